"""One HTTP/1.1 connection to an endpoint, on asyncio and the ``httptools`` parser.

An answer belongs to a request only if the caller of :meth:`ClientConnection.send_request`
accepts its head; other answers are skipped. An endpoint may send an answer a second time, later,
and the id in it names the request and not which send of it: a connection knows the requests that
it has carried, so that none is sent on it again. Calls whose answers carry no id count as one
request, since nothing tells these answers apart. A connection that receives bytes without a
request in flight is closed, and so is one that receives bytes without end: in heads, in the
framing of a body, or in answers that are skipped. Bounds of bodies are their readers'.

The bytes of a chunk are handed on once it has ended where its size says: an endpoint may break off
within it and send another answer behind, whose bytes would stand in its place. What one read has
completed is handed on together, so that many small chunks don't take more memory than their bytes.

What is read beyond an endpoint's share of a turn of the event loop is parsed in later turns, and
nothing more is read from the connection until then; see :mod:`paced_reads`.
"""

import asyncio
import itertools
import math
import socket
import typing as t

import httptools

from rookspring_core import body_ends
from rookspring_core import close_ends
from rookspring_core.close_ends import ConnectionTimes
from rookspring_core.close_ends import SegmentTimes
from rookspring_core.read_turns import measure_work

from . import clock
from . import defaults
from ._reply import Reply
from .byte_budget import ByteBudget
from .digits import parse_digits
from .http_messages import BODILESS_STATUSES
from .http_messages import STATUS_MIN
from .http_messages import Header
from .http_messages import HttpHead
from .paced_reads import PacedReads
from .segment_times import read_segment_times

AcceptHead = t.Callable[[HttpHead], bool]
OnHead = t.Callable[[HttpHead], None]
_NUMBERS = itertools.count()
# Reads after which the pause to the next is one within an answer: its head may come alone.
PAUSED_READS_MIN = 2
OnClosed = t.Callable[["ClientConnection"], None]


class ClientConnection(asyncio.Protocol):
    """One connection to an endpoint; it carries one request at a time.

    :param budget: counts the bytes of its answers while they wait.
    :param address: of the endpoint, by which they are counted.
    """

    def __init__(self, budget: ByteBudget | None = None, address: str = "") -> None:
        self.number = next(_NUMBERS)
        self._holding = (budget or ByteBudget()).open(address)
        self._address = address
        # The turns in which large reads are parsed; None to parse all at once.
        self.paced: PacedReads | None = None
        # What was read and waits for its turn, and how much of it has been parsed.
        self._pending = b""
        self._pending_at = 0
        self._in_turns = False
        # The answer that was read last, until its caller is done with it.
        self._read_last: Reply | None = None
        self._transport: t.Any = None
        self._parser: t.Any = None
        self._reply: Reply | None = None
        self._accept: AcceptHead | None = None
        self._on_head: OnHead | None = None
        self._answer_headers: list[Header] = []
        self._skipping = False
        self._skipped = 0
        self._skipped_bytes = 0
        # Bytes since the last body byte, and body bytes of the part that is being parsed.
        self._framing_bytes = 0
        self._body_bytes = 0
        # What has come of the chunk that is being parsed.
        self._chunk = bytearray()
        self._in_chunk = False
        # Body bytes that this read has completed.
        self._completed = bytearray()
        self._until_close = False
        self._got_head = False
        # Bytes follow the answer, and whether they are not the beginning of another one.
        self._surplus_begun = False
        self.surplus_torn = False
        self._no_body = False
        # Whether reading is stopped as the caller reads slowly, and whether for any reason.
        self._slow = False
        self._reading = True
        # Since when it has been read without a stop; infinite while it isn't read.
        self.reading_since = -math.inf
        self.open = False
        # Whether the other side closed it, and this one had no reason to; whether that broke an
        # answer off; and who is told.
        self.closed_there = False
        self.broke_off = False
        self.on_closed: OnClosed = _tell_nobody
        # Who is told that an answer has ended, before its times are those of the next one.
        self.on_ended: OnClosed = _tell_nobody
        self.reusable = True
        self.opened_at = 0.0
        self.closed_at = math.inf
        # When its latest request was sent, the first bytes of its answer were read, and the latest.
        self.asked_at = -math.inf
        self.begun_at = math.inf
        self.read_at = -math.inf
        # In how many reads its answer came, the latest pauses between them, and whether it was
        # closed in step with these; see :func:`close_ends.is_in_step`.
        self._reads = 0
        self._pause_s = 0.0
        self.in_step = self.stalled = False
        self.idle_since = 0.0
        self.idle_timeout_s = defaults.ENDPOINT_IDLE_DEFAULT_S
        self.served = 0
        # Hashes of the ids under which requests were sent on it.
        self._carried: set[int] = set()

    def connection_made(self, transport: t.Any) -> None:
        """Mark the connection as open and enable keep-alive probes on its socket."""
        self._transport = transport
        self.open = True
        self.opened_at = self.idle_since = clock.now()
        raw = transport.get_extra_info("socket")
        if raw is not None:
            enable_keepalive(raw)

    def connection_lost(self, exc: Exception | None) -> None:
        """End the reply: an answer without a length is complete after a regular close."""
        self._parse_pending()
        self.closed_there = self.open
        self.open = False
        self.closed_at = clock.now()
        self._judge_close(in_order=exc is None and self.closed_there)
        ends = exc is None and self._until_close and not self._skipping
        self.broke_off = self._reply is not None and not ends
        if self.closed_there:
            self.on_closed(self)
        if self._reply is None:
            return
        if ends:
            self._reply.ended_by_close = True
            self._finish()
        else:
            head = self._reply.head
            self._reply.closed_by_endpoint = not isinstance(exc, TimeoutError)
            self._reply.failed_by_close = (
                exc is None and head is not None and head.framing() == "close"
            )
            self._break("connection reset" if exc else "connection closed")

    def _judge_close(self, in_order: bool) -> None:
        """Note how the close looks beside the answer's pauses; see :mod:`close_ends`.

        :param in_order: nothing was reset, so that the kernel knows when the close came.
        """
        noted = self._read_segment_times(self.closed_at) if in_order else None
        slow = self._reply is not None and self._reply.held_up
        probed_s = defaults.KEEPALIVE_IDLE_S if slow else math.inf
        waited_s, late_s = close_ends.find_wait(self.read_at, self.closed_at, noted, probed_s)
        idle = self._reply is None
        self.in_step = idle or close_ends.is_in_step(waited_s, self._pause_s, late_s)
        self.stalled = not idle and close_ends.is_stalled(waited_s, self._pause_s)

    def _read_segment_times(self, now: float) -> SegmentTimes | None:
        return read_segment_times(self._transport.get_extra_info("socket"), now)

    def eof_received(self) -> bool:
        """Rule out reuse, since the endpoint has closed its sending side."""
        self.reusable = False
        return False

    def send_request(
        self,
        data: bytes,
        accept: AcceptHead,
        on_head: OnHead,
        no_body: bool = False,
        request_id: str | None = None,
    ) -> Reply:
        """Send a request, given as its bytes, and return its reply.

        :param accept: decides whether the head of an answer belongs to this request.
        :param on_head: called first with the head of each answer, also of other requests.
        :param no_body: the answer has no body, whatever its headers state (``HEAD``).
        :param request_id: the id that its answers carry; empty if they carry none, as those to
            calls of this node's own. None if the other side sends each answer once.
        """
        self.end_use()
        self._reply = self._read_last = Reply(self._limit_unread, self._holding)
        self._reply.on_given_up = self.close
        self._accept = accept
        self._on_head = on_head
        self._no_body = no_body
        self._skipped = 0
        self._skipped_bytes = 0
        self._framing_bytes = 0
        self._new_parser()
        self.served += 1
        self.asked_at = clock.now()
        self.begun_at = math.inf
        self._reads = 0
        self._pause_s = 0.0
        if request_id is not None:
            self._carried.add(hash(request_id))
        if len(self._carried) >= defaults.CARRIED_REQUESTS_MAX:
            self.reusable = False
        self._transport.write(data)
        return self._reply

    def spare(self) -> None:
        """Let answers on other connections give way first, while half of the bound is enough."""
        self._holding.spare(True)

    def end_use(self) -> None:
        """Drop what waits of the last answer, whose caller has read it or doesn't want it."""
        if self._read_last is not None:
            self._read_last.drop()
            self._read_last = None

    def read_times(self) -> ConnectionTimes:
        """Return when it was used last, and closed."""
        return ConnectionTimes(
            self.number,
            self.opened_at,
            self.asked_at,
            self.begun_at,
            self.read_at,
            self.closed_at,
            self.broke_off,
            self.in_step,
            self.reading_since,
            self._pause_s,
            ended=self._reply is None,
        )

    def has_carried(self, request_id: str | None) -> bool:
        """Return whether a request was sent on it under an id; see :meth:`send_request`."""
        return request_id is not None and hash(request_id) in self._carried

    def _new_parser(self) -> None:
        self._parser = httptools.HttpResponseParser(self)
        self._answer_headers = []
        self._skipping = False
        self._end_chunk()
        self._until_close = False
        self._got_head = False
        self._surplus_begun = self.surplus_torn = False

    def data_received(self, data: bytes) -> None:
        """Parse the bytes, now or in turns; close the connection if no request is in flight."""
        self._note_read(clock.now())
        if self.paced is None or self._reply is None:
            self._parse_all(data)
        elif self._pending:
            # The transport has read them before reading was stopped.
            self._pending = self._pending[self._pending_at :] + data
            self._pending_at = 0
        elif self.paced.admit(self._address, data):
            self._parse_all(data)
        else:
            self._pending = data
            self._adapt_reading()
            self._wait_turn()
        self._hold_back()

    def _note_read(self, now: float) -> None:
        """Note when bytes came; the pause before an answer's first bytes tells nothing."""
        self._reads += 1
        self.begun_at = min(self.begun_at, now)
        if self._reads > PAUSED_READS_MIN:
            self._note_pause(now - self.read_at, now)
        self.read_at = now

    def _note_pause(self, pause_s: float, now: float) -> None:
        noted = self._read_segment_times(now) if pause_s > close_ends.SHORT_PAUSE_S else None
        if close_ends.is_pause_known(pause_s, noted, now):
            self._pause_s = (self._pause_s + pause_s) / 2.0 if self._pause_s else pause_s

    def _parse_all(self, data: bytes) -> None:
        for start in range(0, len(data), defaults.PARSED_BYTES_MAX):
            if self._reply is None:
                self._note_surplus(data[start:])
                self.close()
                return
            self._parse(data[start : start + defaults.PARSED_BYTES_MAX])
        self._hand_on()

    def _hold_back(self) -> None:
        if self._reply is not None:
            unparsed = len(self._pending) if self._pending else 0
            self._reply.hold_back(len(self._chunk) + self._framing_bytes + unparsed)

    def handle_next(self) -> int:
        """Parse some of the bytes that wait; return the work, in bytes.

        The end of a request's answer closes the connection if more waits, as it is surplus.
        """
        self._in_turns = False
        if not self.waits:
            return 0
        part = self._pending[self._pending_at : self._pending_at + defaults.PARSED_BYTES_MAX]
        self._pending_at += len(part)
        if self._pending_at >= len(self._pending):
            self._drop_pending()
        self._parse_all(part)
        if self._reply is None and self._pending:
            self._note_surplus(self._pending[self._pending_at :])
            self.close()
        self._adapt_reading()
        self._hold_back()
        if self.waits:
            self._wait_turn()
        return measure_work(part)

    @property
    def waits(self) -> bool:
        """Whether bytes wait that may be parsed in the next turn."""
        return bool(self._pending) and not self._slow

    def _wait_turn(self) -> None:
        if self.paced is not None and not self._in_turns:
            self._in_turns = True
            self.paced.wait(self._address, self)

    def _parse_pending(self) -> None:
        """Parse at once what waits, as nothing more comes."""
        rest = self._pending[self._pending_at :]
        self._drop_pending()
        if rest and self._reply is not None:
            self._parse_all(rest)

    def _drop_pending(self) -> None:
        self._pending = b""
        self._pending_at = 0

    def _hand_on(self) -> None:
        """Hand the completed bytes of the body on to the reader."""
        if self._completed and self._reply is not None:
            self._reply.add_part(bytes(self._completed))
        self._completed.clear()

    def _note_surplus(self, data: bytes) -> None:
        """Note what follows the last answer, apart from what came with its end."""
        if not self._surplus_begun:
            self.surplus_torn = self.surplus_torn or not body_ends.may_begin_answer(data)

    def _parse(self, part: bytes) -> None:
        self._body_bytes = 0
        try:
            self._parser.feed_data(part)
        except (httptools.HttpParserError, httptools.HttpParserUpgrade) as error:
            if self._surplus_begun and not isinstance(error, httptools.HttpParserCallbackError):
                self.surplus_torn = True
            self._give_up("not an answer")
            return
        if self._surplus_begun:
            self.close()
            return
        framing = len(part) - self._body_bytes
        self._framing_bytes = framing if self._body_bytes else self._framing_bytes + framing
        if self._framing_bytes > defaults.FRAMING_BYTES_MAX:
            self._give_up("too many bytes that are no body")
        elif self._skipped_bytes > defaults.SKIPPED_BYTES_MAX:
            self._give_up("too much of an answer to another request")

    def _give_up(self, reason: str) -> None:
        """Fail the request in flight, if there is one, and close the connection."""
        if self._reply is not None:
            self._break(reason)
        self.close()

    def _limit_unread(self, unread: int) -> None:
        """Stop reading from the endpoint while a caller that reads slowly holds up its answer."""
        if unread > defaults.UNREAD_ANSWER_BYTES_MAX and not self._slow:
            self._slow = True
            if self._reply is not None:
                self._reply.held_up = True
            self._adapt_reading()
        elif unread <= defaults.UNREAD_ANSWER_BYTES_MAX // 2 and self._slow:
            self._slow = False
            if self._pending:
                self._wait_turn()
            self._adapt_reading()

    def _adapt_reading(self) -> None:
        """Read from the endpoint unless its bytes wait for a turn or for the caller."""
        reading = not self._slow and not self._pending
        if reading == self._reading:
            return
        self._reading = reading
        self.reading_since = clock.now() if reading else math.inf
        if not reading:
            self._transport.pause_reading()
        elif self.open:
            self._transport.resume_reading()

    # Parser callbacks.

    def on_message_begin(self) -> None:
        """Begin an answer; a surplus one closes the connection."""
        if self._reply is None:
            # Its first line tells whether it is one.
            self.reusable = False
            self._surplus_begun = True
            return
        self._answer_headers = []
        self._got_head = False
        self._skipping = False
        self._end_chunk()

    def on_status(self, status: bytes) -> None:
        """Refuse a surplus answer."""
        self._refuse_surplus()

    def _refuse_surplus(self) -> None:
        if self._surplus_begun:
            raise ValueError("surplus answer")

    def on_header(self, name: bytes, value: bytes) -> None:
        """Collect a header; trailers are dropped."""
        self._refuse_surplus()
        if self._got_head:
            return
        if len(self._answer_headers) >= defaults.HEADER_ROWS_MAX:
            raise ValueError("too many headers")
        self._answer_headers.append((name, value))

    def on_headers_complete(self) -> None:
        """Accept the head, or skip an answer that belongs to another request."""
        self._refuse_surplus()
        self._got_head = True
        status = self._parser.get_status_code()
        if status < STATUS_MIN:
            # Unlike that of an interim head, its body would be read as the answer's.
            raise ValueError("no status code")
        if status < 200 or self._reply is None:
            return
        head = HttpHead(status, tuple(self._answer_headers))
        assert self._accept is not None and self._on_head is not None
        self._on_head(head)
        if not self._accept(head):
            # The answer belongs to another request; the right one may follow.
            self._skipping = True
            self._skipped += 1
            self.reusable = False
            if self._skipped > defaults.MISMATCHED_ANSWERS_MAX:
                raise ValueError("too many answers to other requests")
            return
        framed = head.header(b"content-length") or head.header(b"transfer-encoding")
        self._until_close = not framed and status not in BODILESS_STATUSES
        if self._until_close or not self._parser.should_keep_alive():
            self.reusable = False
        self._note_idle_timeout(head)
        self._reply.begin(head)
        if self._no_body:
            self.reusable = False
            self._finish()
            return
        self._reply.notify()

    def _note_idle_timeout(self, head: HttpHead) -> None:
        for part in head.header(b"keep-alive").split(b","):
            key, _, value = part.strip().partition(b"=")
            timeout_s = parse_digits(value) if key.lower() == b"timeout" else None
            if timeout_s is not None:
                # A margin for network latency and for clocks that run at different rates.
                self.idle_timeout_s = timeout_s * defaults.ENDPOINT_IDLE_SHARE
                return
        self.idle_timeout_s = defaults.ENDPOINT_IDLE_DEFAULT_S

    def on_body(self, body: bytes) -> None:
        """Append a part of the body."""
        self._body_bytes += len(body)
        if self._skipping:
            self._skipped_bytes += len(body)
        elif self._in_chunk:
            self._chunk += body
            if len(self._chunk) > defaults.CHUNK_HELD_BYTES_MAX:
                # So large a chunk is passed on as it comes.
                self._pass_chunk()
                self._in_chunk = False
                if self._reply is not None:
                    self._reply.chunk_open = True
        else:
            self._completed += body

    def on_chunk_header(self) -> None:
        """Begin a chunk."""
        self._in_chunk = True

    def on_chunk_complete(self) -> None:
        """Hand a chunk on, which has ended where its size says."""
        self._pass_chunk()
        self._in_chunk = False

    def _pass_chunk(self) -> None:
        self._completed += self._chunk
        self._chunk.clear()

    def _end_chunk(self) -> None:
        """Drop what has come of a chunk."""
        self._chunk.clear()
        self._in_chunk = False

    def on_message_complete(self) -> None:
        """Complete the answer, whose framing has ended."""
        if self._reply is None or self._skipping or self._parser.get_status_code() < 200:
            return
        if self._transport.get_write_buffer_size() > 0:
            # The answer came early: the rest of the request is not sent yet.
            self.reusable = False
        self._finish()

    def _finish(self) -> None:
        self._hand_on()
        reply, self._reply = self._reply, None
        self.idle_since = clock.now()
        if reply is not None:
            self.on_ended(self)
            reply.complete = True
            # The connection may be reused before all parts are taken, or without.
            reply.on_given_up = _do_nothing
            reply.hold_back(0)
            reply.end()
            reply.notify()
        if not self.reusable:
            self.close()

    def _break(self, reason: str) -> None:
        self._hand_on()
        reply, self._reply = self._reply, None
        self.reusable = False
        if reply is not None:
            reply.failure = reply.failure or reason
            reply.torn = bool(self._chunk)
            reply.notify()

    def close(self) -> None:
        """Abort the connection; a request in flight on it fails."""
        self._drop_pending()
        self.open = False
        self.reusable = False
        if self._reply is not None:
            self._break("connection given up")
        if self._transport is not None:
            self._transport.abort()

    @property
    def closed_new(self) -> bool:
        """Whether the other side ended it soon after it was made, before any answer."""
        lived_s = self.closed_at - self.opened_at
        unused = self.served <= 1 and math.isinf(self.begun_at)
        return self.closed_there and unused and lived_s < defaults.NEW_RESET_S

    @property
    def busy(self) -> bool:
        """Whether a request is in flight on it."""
        return self._reply is not None

    def is_usable(self, now: float, wide_margin: bool) -> bool:
        """Return whether the endpoint presumably still keeps the connection open.

        :param wide_margin: assume a shorter idle timeout, for requests that can't be sent twice.
        """
        if not self.open or not self.reusable or self._reply is not None:
            return False
        timeout_s = self.idle_timeout_s * (
            defaults.ENDPOINT_IDLE_SAFE_SHARE if wide_margin else 1.0
        )
        return now - self.idle_since < timeout_s


def _do_nothing() -> None:
    pass


def _tell_nobody(connection: ClientConnection) -> None:
    pass


def enable_keepalive(raw: t.Any) -> None:
    """Make the kernel close a connection whose other side no longer responds."""
    silence_ms = int(defaults.TCP_USER_TIMEOUT_S * 1000)
    raw.setsockopt(socket.IPPROTO_TCP, socket.TCP_USER_TIMEOUT, silence_ms)
    raw.setsockopt(socket.SOL_SOCKET, socket.SO_KEEPALIVE, 1)
    raw.setsockopt(socket.IPPROTO_TCP, socket.TCP_KEEPIDLE, defaults.KEEPALIVE_IDLE_S)
    raw.setsockopt(socket.IPPROTO_TCP, socket.TCP_KEEPINTVL, defaults.KEEPALIVE_INTERVAL_S)
    raw.setsockopt(socket.IPPROTO_TCP, socket.TCP_KEEPCNT, defaults.KEEPALIVE_PROBES_MAX)
