"""A caller's request at the I/O layer: its body, its responder and the answer so far."""

import abc
import asyncio
import time
import typing as t

import orjson
from opentelemetry import trace

from rookspring_core.streams import StreamGuard

from . import clock
from .signing import ResumeGrant
from .signing import Signer


class Responder(abc.ABC):
    """Sends an answer to the caller, or to the node that forwarded the request."""

    @abc.abstractmethod
    async def start(self, status: int, headers: dict[str, str]) -> None:
        """Send status and headers."""

    @abc.abstractmethod
    async def send(self, data: bytes) -> None:
        """Send a part of the body."""

    @abc.abstractmethod
    async def end(self) -> None:
        """End the answer."""


class Exchange:
    """A request from its arrival to the end of its answer.

    :param target: the model or service.
    :param traceparent: trace header for the calls that are made for this request.
    """

    def __init__(
        self,
        request_id: str,
        team: str,
        target: str,
        responder: Responder,
        span: trace.Span,
        traceparent: str,
    ) -> None:
        self.request_id = request_id
        self.team = team
        self.target = target
        self.responder = responder
        self.span = span
        self.traceparent = traceparent
        self.arrived_at = clock.now()
        self.done: asyncio.Future[None] = asyncio.get_running_loop().create_future()
        self.started = False
        self.task: asyncio.Task[None] | None = None
        self.first_token_s: float | None = None

    def finish(self) -> None:
        """Resolve ``done``: the answer has ended, complete or broken off."""
        if not self.done.done():
            self.done.set_result(None)

    async def answer(self, status: int, headers: dict[str, str], body: bytes) -> None:
        """Send an answer whose body is complete."""
        await self.responder.start(status, headers)
        self.started = True
        await self.responder.send(body)
        await self.responder.end()


class ServiceExchange(Exchange):
    """A call of a plain service."""

    method = "POST"
    path = ""
    body = b""
    headers: t.Mapping[str, str] = {}
    repeatable = True
    deadline_at = 0.0


class ChatExchange(Exchange):
    """A request to a model, in the format of the OpenAI chat API."""

    def __init__(self, *args: t.Any, **fields: t.Any) -> None:
        super().__init__(*args)
        self.model: str = fields["model"]
        self.adapter: str = fields["adapter"]
        self.prompt: str = fields["prompt"]
        self.total: int = fields["total"]
        self.rank: int = fields["rank"]
        self.stream: bool = fields["stream"]
        self.initial_offset: int = fields.get("offset", 0)
        self.guard = StreamGuard(0, self.initial_offset)
        self.parts: list[str] = [fields["text"]] if fields.get("text") else []
        self.created = int(time.time())
        self.reader = 0
        self.engine_stream = ""
        self._event_head = b""
        self._event_tail = b""
        self._event_id = b""

    def requested_model(self) -> str:
        """Return the model's name as the caller wrote it, with the adapter if there is one."""
        return f"{self.model}:{self.adapter}" if self.adapter else self.model

    def prepare_events(self, signer: Signer, endpoint: str, stream: str, base: int) -> None:
        """Build the parts that are the same in every event of an attempt, signed only once.

        :param base: offset in the whole answer of the engine stream's first token.
        """
        self.engine_stream = stream
        grant = ResumeGrant(
            self.team, endpoint, stream, self.request_id, self.target, base, self.total
        )
        self._event_id = b"id: " + signer.issue_grant(grant).encode() + b"~"
        chunk = self._make_chunk({"content": "\x00"}, None)
        head, tail = orjson.dumps(chunk).split(b'"\\u0000"')
        self._event_head = b"\ndata: " + head
        self._event_tail = tail + b"\n\n"

    def _make_chunk(self, delta: dict[str, str], finish: str | None) -> dict[str, t.Any]:
        return {
            "id": f"chatcmpl-{self.request_id}",
            "object": "chat.completion.chunk",
            "created": self.created,
            "model": self.requested_model(),
            "choices": [{"index": 0, "delta": delta, "finish_reason": finish}],
        }

    async def deliver(self, tokens: t.Sequence[str]) -> None:
        """Add tokens to the answer, and send them if the caller asked for a stream."""
        text = "".join(tokens)
        self.parts.append(text)
        if self.first_token_s is None:
            self.first_token_s = clock.now() - self.arrived_at
        if not self.stream:
            return
        offset = str(self.guard.offset).encode()
        event = self._event_id + offset + self._event_head + orjson.dumps(text) + self._event_tail
        if not self.started:
            # The role and the first token are sent together.
            event = await self.start_stream() + event
        await self.responder.send(event)

    async def start_stream(self) -> bytes:
        """Send the headers of a stream, and return its first event, which contains the role."""
        self.started = True
        headers = {
            "Content-Type": "text/event-stream",
            "Cache-Control": "no-store",
            "X-Request-Id": self.request_id,
        }
        await self.responder.start(200, headers)
        role = orjson.dumps(self._make_chunk({"role": "assistant", "content": ""}, None))
        return b"data: " + role + b"\n\n"

    def usage(self) -> dict[str, int]:
        """Return the token counts; those of the prompt are estimated at 4 characters per token."""
        prompt = max(1, len(self.prompt) // 4)
        total = self.guard.offset
        return {
            "prompt_tokens": prompt,
            "completion_tokens": total,
            "total_tokens": prompt + total,
        }

    def build_answer(self) -> bytes:
        """Return the whole answer as one JSON object."""
        return orjson.dumps(
            {
                "id": f"chatcmpl-{self.request_id}",
                "object": "chat.completion",
                "created": self.created,
                "model": self.requested_model(),
                "choices": [
                    {
                        "index": 0,
                        "message": {"role": "assistant", "content": "".join(self.parts)},
                        "finish_reason": "stop",
                    }
                ],
                "usage": self.usage(),
            }
        )

    async def finish_answer(self) -> None:
        """Send the last events of a stream, with the token counts, or else the whole answer."""
        if not self.stream:
            headers = {"Content-Type": "application/json", "X-Request-Id": self.request_id}
            await self.answer(200, headers, self.build_answer())
            return
        first = b"" if self.started else await self.start_stream()
        last = self._make_chunk({}, "stop")
        last["usage"] = self.usage()
        end = b"data: " + orjson.dumps(last) + b"\n\ndata: [DONE]\n\n"
        await self.responder.send(first + end)
        await self.responder.end()

    async def replay(self, answer: bytes) -> None:
        """Send the stored answer of an earlier request, as a stream if this one asked for that."""
        raw = orjson.loads(answer)
        self.parts = [raw["choices"][0]["message"]["content"]]
        self.guard.offset = raw["usage"]["completion_tokens"]
        if self.stream:
            first = await self.start_stream()
            chunk = self._make_chunk({"content": self.parts[0]}, None)
            await self.responder.send(first + b"data: " + orjson.dumps(chunk) + b"\n\n")
        await self.finish_answer()


def error_body(message: str, reason: str, outcome: str) -> bytes:
    """Build the body of an error.

    :param reason: its code.
    :param outcome: ``not_run``, ``ran`` or ``unknown``.
    """
    kind = "invalid_request_error" if outcome == "not_run" else "server_error"
    return orjson.dumps(
        {"error": {"message": message, "type": kind, "code": reason}, "outcome": outcome}
    )
