"""Calls of a local cluster's nodes by HTTP."""

import json

import aiohttp

AUTH = {"Authorization": "Bearer demo"}


def address(context, name="box-1"):
    return context.stage.nodes[name].settings.caller_address


async def send(target, method, path, body, headers):
    async with (
        aiohttp.ClientSession() as session,
        session.request(method, f"http://{target}{path}", data=body, headers=headers) as response,
    ):
        return response.status, json.loads(await response.read())


async def place_call(target, session, sequence, call, key="demo", body=None, attempt=0):
    headers = {"Authorization": f"Bearer {key}", "Idempotency-Key": f"{session}/{sequence}"}
    if attempt:
        headers["X-Rookspring-Attempt"] = str(attempt)
    raw = json.dumps(body or {"call": call}).encode()
    status, answer = await send(target, "POST", "/v1/services/gridmaker/place", raw, headers)
    return "ran" if status < 400 else answer["outcome"]
