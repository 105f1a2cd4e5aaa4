"""A caller that looks up entry addresses, caches them until they expire, and resumes streams."""

import asyncio
import random
import time
import typing as t

import aiohttp
import orjson

from .engine import token_text


class Answer(t.NamedTuple):
    """The end of a request as its caller sees it.

    :param resumed: how often the stream was resumed after its connection broke.
    :param first_token_s: time to the first token, in seconds.
    :param cut: whether the stream ended before it was complete.
    :param reason: the error code, or why the caller stopped.
    """

    outcome: str
    status: int
    text: str
    tokens: int
    resumed: int
    first_token_s: float
    total_s: float
    cut: bool = False
    reason: str = ""


class Caller:
    """A client of one team.

    :param seeds: addresses used for look-ups in addition to the last known ones.
    """

    def __init__(self, seeds: t.Sequence[str], key: str = "demo", seed: int = 0) -> None:
        self._seeds = list(seeds)
        self._key = key
        self._random = random.Random(seed)
        self._addresses: list[str] = []
        self._expires_at = 0.0
        self.session = aiohttp.ClientSession(
            connector=aiohttp.TCPConnector(limit=0),
            headers={"Authorization": f"Bearer {key}"},
        )

    async def close(self) -> None:
        """Close all connections."""
        await self.session.close()

    def expire_addresses(self) -> None:
        """Look addresses up again before the next use."""
        self._expires_at = 0.0

    async def address(self) -> str:
        """Return a random entry address; looks addresses up when the last ones have expired."""
        if time.monotonic() >= self._expires_at or not self._addresses:
            await self._look_up()
        return self._random.choice(self._addresses or self._seeds)

    async def _look_up(self) -> None:
        candidates = [*self._addresses, *self._seeds]
        self._random.shuffle(candidates)
        for address in candidates:
            try:
                async with self.session.get(
                    f"http://{address}/v1/addresses", timeout=aiohttp.ClientTimeout(total=1.0)
                ) as response:
                    raw = orjson.loads(await response.read())
            except (aiohttp.ClientError, TimeoutError, OSError):
                continue
            found = [row["address"] for row in raw["addresses"]]
            if found:
                self._addresses = found
                self._expires_at = time.monotonic() + float(raw["ttl_s"])
                return

    async def stream(
        self,
        model: str,
        prompt: str,
        total: int,
        headers: dict[str, str] | None = None,
        tries: int = 40,
        gaps: list[float] | None = None,
    ) -> Answer:
        """Stream a completion, resuming it at any address when the connection breaks.

        :param gaps: list to which the time from each break to the next token is added, in seconds.
        """
        body = {
            "model": model,
            "messages": [{"role": "user", "content": prompt}],
            "max_tokens": total,
            "stream": True,
        }
        begun = time.monotonic()
        state = _StreamState(gaps)
        for _ in range(tries):
            address = await self.address()
            extra = dict(headers or {})
            if state.event_id:
                extra["Last-Event-ID"] = state.event_id
                body["resume_text"] = state.text()
            ended = await self._read(address, body, extra, state, begun)
            if ended is not None:
                return ended
            self.expire_addresses()
            state.resumed += 1
            state.cut_at = state.cut_at or time.monotonic()
            await asyncio.sleep(0.05 * (1 + self._random.random()))
        return state.answer("unknown", 0, begun, cut=True, reason="gave up")

    async def _read(
        self,
        address: str,
        body: dict[str, t.Any],
        headers: dict[str, str],
        state: "_StreamState",
        begun: float,
    ) -> Answer | None:
        """Read one connection to its end; None if it broke, so that the caller may retry."""
        try:
            async with self.session.post(
                f"http://{address}/v1/chat/completions",
                data=orjson.dumps(body),
                headers=headers,
                timeout=aiohttp.ClientTimeout(total=None, connect=1.0, sock_read=20.0),
            ) as response:
                if response.status != 200:
                    return state.error_answer(response.status, await response.read(), begun)
                async for raw in response.content:
                    done = state.read_line(raw.rstrip(b"\n"), begun)
                    if done is not None:
                        return done
        except (aiohttp.ClientError, TimeoutError, OSError):
            return None
        return None

    async def open_session(self) -> str | None:
        """Open a session; None if eight attempts failed."""
        for _ in range(8):
            address = await self.address()
            try:
                async with self.session.post(
                    f"http://{address}/v1/sessions", timeout=aiohttp.ClientTimeout(total=2.0)
                ) as response:
                    if response.status == 201:
                        return str(orjson.loads(await response.read())["session"])
            except (aiohttp.ClientError, TimeoutError, OSError):
                pass
            self.expire_addresses()
            await asyncio.sleep(0.05)
        return None

    async def call(
        self,
        service: str,
        path: str,
        body: dict[str, t.Any],
        key: str = "",
        timeout_s: float = 15.0,
    ) -> tuple[str, int]:
        """Call a service once.

        :return: outcome (``broken`` when no answer came) and status.
        """
        headers = {"Idempotency-Key": key} if key else {}
        address = await self.address()
        try:
            async with self.session.post(
                f"http://{address}/v1/services/{service}/{path}",
                data=orjson.dumps(body),
                headers=headers,
                timeout=aiohttp.ClientTimeout(total=timeout_s, connect=1.0),
            ) as response:
                raw = await response.read()
        except (aiohttp.ClientError, TimeoutError, OSError):
            self.expire_addresses()
            return "broken", 0
        if response.status < 400:
            return "ran", response.status
        answer = orjson.loads(raw)
        return str(answer.get("outcome", "ran")), response.status

    async def call_until_known(
        self, service: str, path: str, body: dict[str, t.Any], key: str, tries: int = 6
    ) -> str:
        """Call with an idempotency key and retry with the same key until the outcome is known."""
        outcome = "broken"
        for _ in range(tries):
            outcome, status = await self.call(service, path, body, key)
            if outcome in {"ran", "unknown"}:
                return outcome
            if outcome == "not_run" and status not in (429, 503):
                return outcome
            await asyncio.sleep(0.1 * (1 + self._random.random()))
        return "unknown" if outcome == "broken" else outcome


class _StreamState:
    """The part of a stream that a caller has received, over all its connections."""

    def __init__(self, gaps: list[float] | None = None) -> None:
        self.gaps = gaps
        self.cut_at = 0.0
        self.parts: list[str] = []
        self.event_id = ""
        self.tokens = 0
        self.resumed = 0
        self.first_token_s = 0.0
        self.error: dict[str, t.Any] | None = None
        self._in_error = False
        self._id = ""

    def text(self) -> str:
        """Return the text received so far."""
        return "".join(self.parts)

    def read_line(self, line: bytes, begun: float) -> Answer | None:
        """Process a line of an event stream; returns an answer if the stream has ended."""
        if line.startswith(b"id: "):
            self._id = line[4:].decode()
        elif line.startswith(b"event: error"):
            self._in_error = True
        elif line == b"data: [DONE]":
            return self.answer("ran", 200, begun)
        elif line.startswith(b"data: "):
            raw = orjson.loads(line[6:])
            if self._in_error:
                return self.answer(
                    str(raw.get("outcome")), 200, begun, cut=True, reason=str(raw["error"]["code"])
                )
            self._read_event(raw, begun)
        return None

    def _read_event(self, raw: dict[str, t.Any], begun: float) -> None:
        content = raw["choices"][0]["delta"].get("content")
        if content:
            if not self.parts:
                self.first_token_s = time.monotonic() - begun
            if self.cut_at and self.gaps is not None:
                self.gaps.append(time.monotonic() - self.cut_at)
            self.cut_at = 0.0
            self.parts.append(content)
            self.event_id = self._id
        usage = raw.get("usage")
        if usage:
            self.tokens = int(usage["completion_tokens"])

    def error_answer(self, status: int, raw: bytes, begun: float) -> Answer:
        """Convert an error response into an answer."""
        answer = orjson.loads(raw)
        outcome = str(answer.get("outcome", "unknown"))
        code = str(answer.get("error", {}).get("code", ""))
        return self.answer(outcome, status, begun, cut=bool(self.parts), reason=code)

    def answer(
        self, outcome: str, status: int, begun: float, cut: bool = False, reason: str = ""
    ) -> Answer:
        """Build the answer from what was received."""
        return Answer(
            outcome,
            status,
            self.text(),
            self.tokens,
            self.resumed,
            self.first_token_s,
            time.monotonic() - begun,
            cut,
            reason,
        )


def expected_text(model: str, prompt: str, total: int) -> str:
    """Return the complete text of the answer to a prompt sent as one user message."""
    whole = f"user: {prompt}"
    return "".join(token_text(model, whole, index) for index in range(total))
