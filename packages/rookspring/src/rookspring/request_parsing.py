"""Parsing and checks of callers' requests; each error names the faulty field."""

import hashlib
import math
import re
import typing as t

import orjson
from sanic import Request

from rookspring_core import defaults as core_defaults
from rookspring_core.organisations import digest_of

from .digits import parse_digits
from .exceptions import CallerError
from .node_context import NodeContext
from .signing import SessionClaims

_IDEMPOTENCY_KEY = re.compile(r"^(?P<session>[\w.=-]{8,512})/(?P<sequence>[0-9]{1,15})$")
_HOP_HEADERS = {
    "authorization",
    "connection",
    "content-length",
    "host",
    "idempotency-key",
    "keep-alive",
    "te",
    "traceparent",
    "transfer-encoding",
    "upgrade",
}


def authenticate_team(node: NodeContext, request: Request) -> str:
    """Return the team whose key the request carries.

    :raises CallerError: 401 if there is none.
    """
    bearer = request.headers.get("authorization", "")
    scheme, _, key = bearer.partition(" ")
    # A header that is not UTF-8 is no key either.
    digest = digest_of(key.encode(errors="surrogateescape"))
    team = node.state.catalogue.team_by_digest.get(digest)
    if scheme.lower() != "bearer" or team is None:
        raise CallerError(401, "Authorization", "Bearer and the key of a declared team")
    return str(team)


def _read_deadline(request: Request, default_s: float) -> float:
    text = request.headers.get("x-rookspring-deadline-ms")
    if text is None:
        return default_s
    try:
        value = float(text) / 1000.0
    except ValueError:
        value = math.nan
    if not 0.0 < value <= core_defaults.DEADLINE_MAX_S:
        most = int(core_defaults.DEADLINE_MAX_S * 1000)
        raise CallerError(400, "X-Rookspring-Deadline-Ms", f"milliseconds from 1 to {most}")
    return value


def _read_priority(request: Request, default: str) -> str:
    text = request.headers.get("x-rookspring-priority")
    if text is None:
        return default
    if text not in core_defaults.PRIORITY_RANK:
        names = ", ".join(core_defaults.PRIORITY_RANK)
        raise CallerError(400, "X-Rookspring-Priority", f"one of {names}")
    return str(text)


def _read_once_key(
    node: NodeContext, request: Request, team: str
) -> tuple[SessionClaims, tuple[str, int]] | None:
    text = request.headers.get("idempotency-key")
    session = request.headers.get("x-rookspring-session")
    if text is None:
        if session is not None:
            node.signer.read_session(session, "X-Rookspring-Session")
        return None
    found = _IDEMPOTENCY_KEY.match(text)
    if found is None:
        expected = "SESSION/SEQUENCE, with a session from POST /v1/sessions and a whole number"
        raise CallerError(400, "Idempotency-Key", expected)
    claims = node.signer.read_session(found["session"], "Idempotency-Key")
    if claims.team != team:
        raise CallerError(403, "Idempotency-Key", "a session of your own team")
    return claims, (found["session"], int(found["sequence"]))


def _read_first_send(request: Request) -> bool:
    """Return whether the caller declares that it sends this key for the first time."""
    text = request.headers.get("x-rookspring-attempt")
    if text is None:
        return False
    number = parse_digits(text)
    if not number:
        raise CallerError(400, "X-Rookspring-Attempt", "1 for the first send of a key, then 2, ...")
    return number == 1


def _read_text(request: Request, name: str) -> str:
    """Return a header that is passed on; empty if there is none.

    :raises CallerError: if it is not UTF-8, as which it is passed on.
    """
    text = str(request.headers.get(name, ""))
    try:
        text.encode()
    except UnicodeEncodeError:
        raise CallerError(400, name, "UTF-8") from None
    return text


class ChatFields(t.TypedDict):
    """The checked fields of a chat request.

    :param total: most tokens of the answer.
    """

    model: str
    adapter: str
    prompt: str
    total: int
    stream: bool
    priority: str
    deadline_s: float
    once_key: tuple[str, int] | None
    body_digest: str
    first_send: bool
    traceparent: str


def read_body(request: Request) -> dict[str, t.Any]:
    """Decode the body, a JSON object.

    :raises CallerError: if it is anything else.
    """
    try:
        body = orjson.loads(request.body or b"")
    except orjson.JSONDecodeError as error:
        raise CallerError(400, "body", f"JSON was expected: {error}") from None
    if not isinstance(body, dict):
        raise CallerError(400, "body", "a JSON object was expected")
    return body


def _read_prompt(body: dict[str, t.Any]) -> str:
    messages = body.get("messages")
    if not isinstance(messages, list) or not messages:
        raise CallerError(400, "messages", "a list of at least one message was expected")
    parts: list[str] = []
    for number, one in enumerate(messages):
        content = one.get("content") if isinstance(one, dict) else None
        if isinstance(content, list):
            content = "".join(
                str(part.get("text", "")) for part in content if isinstance(part, dict)
            )
        if not isinstance(content, str):
            raise CallerError(400, f"messages.{number}.content", "a text was expected")
        parts.append(f"{one.get('role', 'user')}: {content}")
    return "\n".join(parts)


def _read_total(body: dict[str, t.Any]) -> int:
    for field in ("max_completion_tokens", "max_tokens"):
        value = body.get(field)
        if value is None:
            continue
        most = core_defaults.MAX_TOKENS_LIMIT
        if not isinstance(value, int) or isinstance(value, bool) or not 1 <= value <= most:
            raise CallerError(400, field, f"a whole number from 1 to {most}")
        return value
    return core_defaults.DEFAULT_MAX_TOKENS


def read_chat(node: NodeContext, request: Request, team: str) -> ChatFields:
    """Parse and check a chat request.

    :raises CallerError: naming the faulty field.
    """
    body = read_body(request)
    name = body.get("model")
    if not isinstance(name, str) or not name:
        raise CallerError(400, "model", "the name of a declared model")
    model, _, adapter = name.partition(":")
    spec = node.state.catalogue.models.get(model)
    if spec is None:
        raise CallerError(404, "model", f"a declared model; {model!r} is none")
    declared = node.state.catalogue.adapters.get(adapter) if adapter else None
    if adapter and (declared is None or declared.model != model):
        raise CallerError(404, "model", f"a declared adapter of {model}; {adapter!r} is none")
    stream = body.get("stream", False)
    if not isinstance(stream, bool):
        raise CallerError(400, "stream", "true or false")
    keyed = _read_once_key(node, request, team)
    return ChatFields(
        model=model,
        adapter=adapter,
        prompt=_read_prompt(body),
        total=_read_total(body),
        stream=stream,
        priority=_read_priority(request, spec.priority),
        deadline_s=_read_deadline(request, spec.deadline_s),
        once_key=keyed[1] if keyed else None,
        body_digest=hashlib.sha256(request.body).hexdigest(),
        first_send=_read_first_send(request),
        traceparent=_read_text(request, "traceparent"),
    )


class ServiceFields(t.TypedDict):
    """The checked fields of a call of a plain service."""

    service: str
    method: str
    path: str
    headers: dict[str, str]
    repeatable: bool
    priority: str
    deadline_s: float
    once_key: tuple[str, int] | None
    body_digest: str
    first_send: bool
    traceparent: str


def read_service(
    node: NodeContext, request: Request, team: str, service: str, path: str
) -> ServiceFields:
    """Parse and check a call of a plain service.

    :raises CallerError: naming the faulty field.
    """
    spec = node.state.catalogue.services.get(service)
    if spec is None:
        raise CallerError(404, "path", f"a declared service; {service!r} is none")
    keyed = _read_once_key(node, request, team)
    unrepeatable = any(path.startswith(prefix) for prefix in spec.unrepeatable)
    if unrepeatable and keyed is None:
        expected = (
            "SESSION/SEQUENCE, since this call runs at most once; POST /v1/sessions gives a session"
        )
        raise CallerError(400, "Idempotency-Key", expected)
    headers = {
        name: _read_text(request, name)
        for name in request.headers
        if name not in _HOP_HEADERS and not name.startswith("x-rookspring-")
    }
    query = f"?{request.query_string}" if request.query_string else ""
    digest = hashlib.sha256(f"{request.method} {path}{query}\n".encode() + request.body)
    return ServiceFields(
        service=service,
        method=request.method,
        path=path + query,
        headers=headers,
        repeatable=keyed is None,
        priority=_read_priority(request, spec.priority),
        deadline_s=_read_deadline(request, spec.deadline_s),
        once_key=keyed[1] if keyed else None,
        body_digest=digest.hexdigest(),
        first_send=_read_first_send(request),
        traceparent=_read_text(request, "traceparent"),
    )
