"""HTTP/1.1 server connections for the relay, on asyncio and the ``httptools`` parser.

``sanic`` serves the product's own interface. It answers 408, 413 and 503 on its own,
and callers rely on what each of those answers promises. The relay must be able to keep
these promises, so this module serves its callers, on the same parser.

A connection reads one complete request, serves it, and then reads the next. Bytes that
arrive meanwhile are buffered. A half-close by the caller counts as a disconnect.
"""

import asyncio
import typing as t

import httptools

from . import clock
from . import defaults
from .byte_budget import ByteBudget
from .byte_budget import Holding
from .exceptions import CallerGone
from .http_messages import BODILESS_STATUSES
from .http_messages import VERSIONS_WITHOUT_CHUNKS
from .http_messages import Header
from .http_messages import HttpRequest
from .http_messages import reason_phrase
from .http_messages import write_head
from .logs import log


class ReadLimits(t.NamedTuple):
    """Limits on the size of a request in bytes, and on the time to send it in seconds."""

    header_bytes: int = defaults.HEADER_BYTES_MAX
    body_bytes: int = defaults.BODY_BYTES_MAX
    header_s: float = defaults.HEADER_READ_S
    idle_s: float = defaults.CALLER_IDLE_S


class ServerOptions(t.NamedTuple):
    """Options of a listening address; the callables return the values in force when called."""

    serve: t.Callable[["ServerConnection", HttpRequest], t.Awaitable[None]]
    limits: t.Callable[[], ReadLimits] = ReadLimits
    closing: t.Callable[[], bool] = lambda: False
    # Returns the headers of the refusal of a request that has not run, whose body isn't complete.
    refuse: t.Callable[[HttpRequest], list[Header]] = lambda request: []


class ServerConnection(asyncio.Protocol):
    """One connection of a caller.

    :param options: of the listening address that accepted it.
    :param connections: the set of open connections, to which it adds itself.
    :param budget: counts the bytes of requests, and of answers that the caller doesn't read.
    """

    def __init__(
        self, options: ServerOptions, connections: set["ServerConnection"], budget: ByteBudget
    ) -> None:
        self._budget = budget
        # What is read, pipelined or not sent yet; and the request that is served, which may run.
        self._holding: Holding = budget.open("")
        self._running: Holding = budget.open_fixed("")
        # Whether what still comes is dropped, as the connection ends after its answer.
        self._discarding = False
        self._parsing = False
        # Whether pipelined bytes are about to be parsed; what is read meanwhile comes behind them.
        self._read_due = False
        self._options = options
        self._connections = connections
        self._loop = asyncio.get_running_loop()
        self._transport: t.Any = None
        self._parser: t.Any = None
        self._pipelined = bytearray()
        self._timer: asyncio.TimerHandle | None = None
        self._task: asyncio.Task[None] | None = None
        self._writable = asyncio.Event()
        self._writable.set()
        self._method = b""
        self._reset_request()
        self.on_disconnect: t.Callable[[], None] | None = None
        self.disconnected = False
        self._answering = False
        # The request that is served now, or was last.
        self._served: HttpRequest | None = None
        # Whether the head of the answer was written.
        self._begun = False
        self._close_after = False
        self._chunked = False
        self._has_body = True
        # The request that was read last: when, its id as far as its server has parsed it, and what
        # it waits for before its server decides on it; the last two are for the log.
        self.read_at = 0.0
        self.request_id = ""
        self.waits_for = ""

    @property
    def unsent_bytes(self) -> int:
        """The bytes of answers that the kernel has not accepted yet."""
        return 0 if self._transport is None else int(self._transport.get_write_buffer_size())

    def owes_answer(self) -> bool:
        """Return whether a request was read whose answer the kernel has not accepted completely."""
        return not self.disconnected and (self._answering or self.unsent_bytes > 0)

    def is_reading(self) -> bool:
        """Return whether a part of a request was read, and its rest was not."""
        begun = bool(self._target or self._headers or not self._in_headers or self._read_due)
        return begun and not self._answering and not self.disconnected

    def _reset_request(self) -> None:
        self._target = b""
        self._headers: list[Header] = []
        self._header_bytes = 0
        self._body = bytearray()
        self._in_headers = True
        self._complete = False
        self._reject_status = 0

    # Transport callbacks.

    def connection_made(self, transport: t.Any) -> None:
        """Create the parser and start the idle timer."""
        self._transport = transport
        self._connections.add(self)
        self._parser = httptools.HttpRequestParser(self)
        peer = transport.get_extra_info("peername")
        source = str(peer[0]) if peer else ""
        self._holding = self._budget.open(source)
        self._running = self._budget.open_fixed(source)
        self._start_timer(self._options.limits().idle_s)

    def connection_lost(self, exc: Exception | None) -> None:
        """Stop the timer and report the disconnect; either side may have closed."""
        self._connections.discard(self)
        self._holding.close()
        if self._task is None or self._task.done():
            self._running.close()
        self._stop_timer()
        self._handle_disconnect()

    def eof_received(self) -> bool:
        """Treat the end of the caller's sending side as a disconnect."""
        self._handle_disconnect()
        return False

    def _handle_disconnect(self) -> None:
        self.disconnected = True
        self._writable.set()
        if self.on_disconnect is not None:
            callback, self.on_disconnect = self.on_disconnect, None
            callback()

    def pause_writing(self) -> None:
        """Make :meth:`send` wait: the caller reads more slowly than the answer is written."""
        self._writable.clear()
        self.count_held()

    def resume_writing(self) -> None:
        """Let :meth:`send` continue."""
        self._writable.set()
        self.count_held()

    def count_held(self) -> None:
        """Count what waits here: what is read, what is pipelined, and what isn't sent yet."""
        if self._transport is None or self.disconnected:
            return
        unsent = self.unsent_bytes
        pipelined = len(self._pipelined)
        if unsent > pipelined:
            self._holding.give_up = self._cut_unread
        elif self.is_reading():
            self._holding.give_up = self._refuse_unread
        else:
            self._holding.give_up = self._drop_pipelined if pipelined else None
        self._holding.spare(unsent > pipelined)
        self._holding.resize(unsent + pipelined + self._header_bytes + len(self._body))

    def _cut_unread(self, reason: str) -> None:
        """Cut an answer that its caller doesn't read."""
        log("answer_cut", "WARNING", id=self.request_id, unsent=self.unsent_bytes, reason=reason)
        self._answering = False
        # Also of a connection that is closing, which waits until all is sent.
        self._transport.abort()

    def _refuse_unread(self, reason: str) -> None:
        """Refuse a request that is being read; it has not run."""
        self._body.clear()
        self._reject_status = 503
        if not self._parsing:
            self._reject(503)

    def _drop_pipelined(self, reason: str) -> None:
        """Drop what follows the request that is served; the connection ends after its answer."""
        self._pipelined.clear()
        self._discarding = True
        self._close_after = True

    def data_received(self, data: bytes) -> None:
        """Parse the bytes, or buffer them while a request is served."""
        if self._discarding:
            return
        if self._answering or self._read_due:
            self._pipelined += data
            self.count_held()
            if len(self._pipelined) > defaults.PIPELINED_BYTES_MAX:
                self.abort()
            return
        self._parse(data)

    def _parse(self, data: bytes) -> None:
        if self._in_headers:
            self._header_bytes += len(data)
        self._parsing = True
        try:
            self._parser.feed_data(data)
        except httptools.HttpParserUpgrade:
            if not self._answering or self._method == b"CONNECT":
                self._reject(self._reject_status or 400)
            else:
                # The offer is declined. What follows might be of the other protocol.
                self._close_after = True
            return
        except httptools.HttpParserError:
            if not self._answering:
                self._reject(400)
            else:
                # The error follows a complete request; that is served and nothing after it is read.
                self._close_after = True
            return
        finally:
            self._parsing = False
        self.count_held()
        if self._answering:
            return
        if self._in_headers and self._header_bytes > self._options.limits().header_bytes:
            self._reject(431)
        elif self._reject_status:
            self._reject(self._reject_status)

    # Parser callbacks.

    def on_message_begin(self) -> None:
        """Start the header timeout of a new request."""
        if self._complete:
            # A second request in the same bytes is not served on this connection.
            raise ValueError("second request in one read")
        self._start_timer(self._options.limits().header_s)

    def on_url(self, url: bytes) -> None:
        """Append a part of the target."""
        self._target += url

    def on_header(self, name: bytes, value: bytes) -> None:
        """Collect a header; trailers are dropped."""
        if not self._in_headers:
            return
        if len(self._headers) >= defaults.HEADER_ROWS_MAX:
            self._reject_status = 431
            return
        self._headers.append((name, value))

    def on_headers_complete(self) -> None:
        """Check framing and sizes before any byte of the body is accepted."""
        self._in_headers = False
        self._method = self._parser.get_method()
        lengths = [value for key, value in self._headers if key.lower() == b"content-length"]
        codings = [value for key, value in self._headers if key.lower() == b"transfer-encoding"]
        if len(lengths) > 1 or (lengths and codings):
            raise ValueError("conflicting framing headers")
        if codings and [one.strip().lower() for one in codings] != [b"chunked"]:
            raise ValueError("unknown transfer coding")
        limits = self._options.limits()
        if lengths and int(lengths[0]) > limits.body_bytes:
            self._reject_status = 413
        elif lengths and not self._may_run(int(lengths[0])):
            self._reject_status = 503
        if sum(len(key) + len(value) for key, value in self._headers) > limits.header_bytes:
            self._reject_status = 431
        for key, value in self._headers if not self._reject_status else ():
            if key.lower() == b"expect" and value.lower() == b"100-continue":
                self._transport.write(b"HTTP/1.1 100 Continue\r\n\r\n")
        self._start_timer(limits.idle_s)

    def on_body(self, body: bytes) -> None:
        """Append a part of the body, and restart the timeout for the next one."""
        self._start_timer(self._options.limits().idle_s)
        if self._reject_status:
            return
        self._body += body
        if len(self._body) > self._options.limits().body_bytes:
            self._reject_status = 413
            self._body.clear()

    def on_message_complete(self) -> None:
        """Start to serve the complete request."""
        if not self._reject_status and not self._may_run(len(self._body)):
            self._reject_status = 503
        if self._reject_status:
            return
        self._complete = True
        self._answering = True
        self._begun = False
        self.read_at = clock.now()
        self.request_id = ""
        self._stop_timer()
        request = HttpRequest(
            self._method,
            self._target,
            tuple(self._headers),
            bytes(self._body),
            self._parser.should_keep_alive(),
            self._parser.get_http_version() not in VERSIONS_WITHOUT_CHUNKS,
        )
        self._served = request
        self._body.clear()
        self._running.resize(len(request.body))
        self._close_after = not request.keep_alive
        self._task = self._loop.create_task(self._serve(request))

    def _may_run(self, size: int) -> bool:
        """Return whether a body of some bytes may be held until its request has run."""
        return not size or self._budget.may_fix(self._running.source, size)

    async def _serve(self, request: HttpRequest) -> None:
        try:
            await self._run(request)
        finally:
            if self._served is request:
                self._running.close()

    async def _run(self, request: HttpRequest) -> None:
        try:
            await self._options.serve(self, request)
        except Exception as error:  # noqa: BLE001
            # A bug here must not leave the caller without an answer; the request may have run.
            name = type(error).__name__
            log("task_failed", "ERROR", id=self.request_id, error=name, detail=error)
            if self._owes_to(request) and not self._begun:
                self.answer(500, [], b"")
        if self._owes_to(request):
            # No complete answer was written; the caller must be able to see that.
            self.on_disconnect = None
            self.abort()

    def _owes_to(self, request: HttpRequest) -> bool:
        """Return whether the answer to a request is incomplete; the next one may be served now."""
        return self._served is request and self._answering and not self.disconnected

    # Answers.

    def begin(self, status: int, headers: t.Iterable[Header], length: int | None) -> None:
        """Write the head of the answer.

        :param length: of the body in bytes; None where it is not known yet.
        """
        self._begun = True
        if self._options.closing():
            self._close_after = True
        rows = list(headers)
        # A body, or the end of one, would be read as the head of the next answer.
        bodiless = status in BODILESS_STATUSES
        self._has_body = not bodiless and self._method != b"HEAD"
        self._chunked = length is None and not bodiless
        if self._chunked:
            rows.append((b"Transfer-Encoding", b"chunked"))
        elif not bodiless:
            rows.append((b"Content-Length", str(length).encode()))
        if self._close_after:
            rows.append((b"Connection", b"close"))
        line = b"HTTP/1.1 " + str(status).encode() + b" " + reason_phrase(status)
        self._write(write_head(line, rows))

    def _write(self, data: bytes) -> None:
        if not self.disconnected:
            self._transport.write(data)

    async def send(self, data: bytes, behind: Holding | None = None) -> None:
        """Write a part of the body, and wait while the caller does not read.

        :param behind: what waits for this caller meanwhile, and counts as the caller's then.
        :raises CallerGone: if the caller has disconnected.
        """
        if not data or not self._has_body:
            return
        if self._chunked:
            data = b"%x\r\n%b\r\n" % (len(data), data)
        self._write(data)
        if not self._writable.is_set():
            await self._wait_writable(behind)
        if self.disconnected:
            raise CallerGone

    async def _wait_writable(self, behind: Holding | None) -> None:
        if behind is None:
            await self._writable.wait()
            return
        with behind.lend(self._holding.source, self._cut_unread):
            await self._writable.wait()

    def end(self) -> None:
        """Complete the answer, then close the connection or read the next request."""
        if self._chunked and self._has_body:
            self._write(b"0\r\n\r\n")
        self._answering = False
        self.on_disconnect = None
        # It would keep the body in memory until the next one comes.
        self._served = None
        self._running.close()
        if self.disconnected:
            return
        self._reset_request()
        self.count_held()
        if self._close_after:
            self._close_sent()
            return
        self._start_timer(self._options.limits().idle_s)
        if self._pipelined:
            self._read_due = True
            self._loop.call_soon(self._read_pipelined)

    def _read_pipelined(self) -> None:
        """Parse what came while the request before was served, and since."""
        self._read_due = False
        data = bytes(self._pipelined)
        self._pipelined.clear()
        if not self.disconnected:
            self.data_received(data)

    def _close_sent(self) -> None:
        """Close the connection once all is sent.

        What the caller still sends is read for a while: the kernel answers it with a reset after a
        close, and the caller may lose the answer by that.
        """
        if not self._discarding:
            self._transport.close()
            return
        self._transport.write_eof()
        self._start_timer(defaults.LINGER_S)

    def answer(self, status: int, headers: t.Iterable[Header], body: bytes) -> None:
        """Write a complete answer."""
        self.begin(status, headers, len(body))
        if body and self._has_body:
            self._write(body)
        self.end()

    def abort(self) -> None:
        """Abort the connection, so that the caller sees that an answer is incomplete."""
        self._answering = False
        if self._transport is not None and not self._transport.is_closing():
            self._transport.abort()

    def _reject(self, status: int) -> None:
        """Answer a request that could not be read; no part of it was forwarded."""
        headers = [(b"Content-Type", b"text/plain")]
        if status == 503:
            rows = tuple(self._headers)
            headers = self._options.refuse(
                HttpRequest(self._method, self._target, rows, b"", False)
            )
            self._discarding = True
        self._close_after = True
        self._answering = True
        self._method = b""
        self.answer(status, headers, reason_phrase(status))

    def close_if_idle(self) -> None:
        """Close a connection on which no request is being read or served."""
        if not self._answering and not self.is_reading():
            self._transport.close()

    # Time limits.

    def _start_timer(self, after_s: float) -> None:
        self._stop_timer()
        self._timer = self._loop.call_later(after_s, self._time_out)

    def _stop_timer(self) -> None:
        if self._timer is not None:
            self._timer.cancel()
            self._timer = None

    def _time_out(self) -> None:
        """Answer 408 to a caller that sends too slowly, or close an idle connection."""
        if self._answering or self.disconnected:
            return
        if self.unsent_bytes and self._discarding:
            self._start_timer(defaults.LINGER_S)
        elif self._target or self._headers:
            self._reject(408)
        else:
            self._transport.close()
