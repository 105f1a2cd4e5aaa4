"""Mutants of how a stream's bytes become events, and of what its comments count as."""

import typing as t

from rookspring import defaults as daemon_defaults
from rookspring import event_streams
from rookspring import relay_attempts
from rookspring import relay_handovers
from rookspring._client_connection import ClientConnection
from rookspring.event_streams import EventSplitter
from rookspring_core.event_order import EventOrder

from .mutant import EVENT_STREAMS
from .mutant import UNFRAMED
from .mutant import Mutant

RULE = "a stream's events are those that its standard says"
COMMENT_RULE = "a comment is passed on as it comes, and is no event"
TEAR_RULE = "no byte of another answer stands in a stream that broke off within a line"

_take_line = EventSplitter._take_line
_end_event = EventSplitter._end_event
_read_field = EventSplitter._read_field
_begin_splitter = EventSplitter.__init__
_begin_order = EventOrder.__init__


def _hold_comments(self: EventSplitter, line: bytes, text: bytes) -> None:
    if text.startswith(b":"):
        self._event += line
        return
    _take_line(self, line, text)


def _pass_all_comments(self: EventSplitter, line: bytes, text: bytes) -> None:
    if text.startswith(b":"):
        self._passable += line
        return
    _take_line(self, line, text)


def _count_blocks(self: EventSplitter, line: bytes) -> None:
    self._has_data = True
    _end_event(self, line)


def _count_ids(self: EventSplitter, line: bytes) -> None:
    """Ignore the id of a block without data."""
    if not self._has_data:
        self._id = None
    _end_event(self, line)


def _strip_ids(self: EventSplitter, text: bytes) -> None:
    _read_field(self, text)
    self._id = self._id.strip() if self._id else self._id


def _keep_nul(self: EventSplitter, text: bytes) -> None:
    _read_field(self, text.replace(b"\0", b""))


def _need_colon(self: EventSplitter, text: bytes) -> None:
    if b":" in text:
        _read_field(self, text)


def _never_continue(self: EventSplitter, continues: bool = False, unframed: bool = False) -> None:
    _begin_splitter(self, unframed=unframed)


def _never_overrun(self: EventSplitter, continues: bool = False, unframed: bool = False) -> None:
    _begin_splitter(self, continues)


def _know_line_starts(self: EventSplitter, line: bytes) -> bool:
    """Know another answer only at the start of a line."""
    return line.startswith(event_streams.ANSWER_START)


def _know_any_quote(self: EventSplitter, line: bytes) -> bool:
    """Take any line with a status line for another answer."""
    return b"HTTP/1." in line


def _need_headers(self: EventSplitter, line: bytes) -> bool:
    self._may_lack_headers = False
    return _is_of_another(self, line)


def _ignore_line_ends(self: EventSplitter, line: bytes) -> bool:
    """Take a quotation before an empty line for a head without headers, whatever ends it."""
    found = _is_of_another(self, line)
    self._may_lack_headers = self._may_be_torn
    return found


def _remember_tear(self: EventSplitter, line: bytes) -> bool:
    """Look for headers in the events after a quotation too."""
    before = self._may_be_torn
    found = _is_of_another(self, line)
    self._may_be_torn |= before
    return found


def _pass_torn_comment(self: EventSplitter, line: bytes, text: bytes) -> None:
    if text.startswith(b":") and not self._event:
        self._passable += line
        return
    _take_line(self, line, text)


_is_of_another = EventSplitter._is_of_another


def _begin_no_chunk(self: ClientConnection) -> None:
    """Hand the bytes of a chunk on as they come."""


def _take_any_line(self: EventSplitter, line: bytes) -> None:
    """Take a byte order mark for a part of the first line."""
    self._at_start = False
    self._take_line(line, line.rstrip(event_streams.LINE_ENDS))


def _split_at_each_byte(self: t.Any, data: bytes) -> tuple[bytes, list[bytes]]:
    """Take a line feed that follows a read's last carriage return for an empty line."""
    self._after_return = False
    return _feed(self, data)


def _wait_for_line_feed(self: t.Any, data: bytes) -> tuple[bytes, list[bytes]]:
    """Hold a line back that ends with a carriage return until the next byte comes."""
    line_feed, lines = _feed(self, data)
    if lines and lines[-1].endswith(b"\r"):
        self.incomplete[:0] = lines.pop()
        self._after_return = False
    return line_feed, lines


_feed = event_streams._LineSplitter.feed


def _begin_by_head(self: EventOrder, last: str = "", begun: bool = False) -> None:
    """Take a stream of which only comments were passed on for one with events."""
    _begin_order(self, last, begun=True)


def _ignore_resets(self: EventOrder, ids: t.Sequence[str | None]) -> str:
    return _accept(self, [one or None for one in ids])


_accept = EventOrder.accept


def _time_by_head(exchange: t.Any, head: t.Any) -> None:
    exchange.first_event_at = exchange.first_event_at or relay_attempts.clock.now()
    _begin_stream(exchange, head)


_begin_stream = relay_attempts._begin_stream


async def _pass_bytes_on(
    context: t.Any, effect: t.Any, exchange: t.Any, reply: t.Any, splitter: EventSplitter
) -> None:
    """Pass an answer of another node on as it comes, and count its parts."""
    while part := await reply.next_part():
        exchange.count_events(1, relay_handovers.clock.now())
        await exchange.connection.send(part)
    exchange.connection.end()


def _break_at_any_rest(self: EventSplitter) -> bool:
    return bool(self.incomplete())


def _break_nowhere(self: EventSplitter) -> bool:
    return False


def _of_splitter(name: str, attribute: str, replacement: t.Any, rule: str = RULE) -> Mutant:
    return Mutant(name, rule, EventSplitter, attribute, replacement, EVENT_STREAMS)


MUTANTS = (
    _of_splitter("holds comments back", "_take_line", _hold_comments, COMMENT_RULE),
    _of_splitter("passes comments within an event on", "_take_line", _pass_all_comments),
    _of_splitter("counts blocks without data", "_end_event", _count_blocks),
    _of_splitter("ignores ids without data", "_end_event", _count_ids),
    _of_splitter("strips ids", "_read_field", _strip_ids),
    _of_splitter("takes ids with a NUL", "_read_field", _keep_nul),
    _of_splitter("ignores fields without a colon", "_read_field", _need_colon),
    _of_splitter("passes a second byte order mark on", "__init__", _never_continue),
    _of_splitter("breaks off within comments", "breaks_off", _break_at_any_rest, COMMENT_RULE),
    _of_splitter("breaks off nowhere", "breaks_off", _break_nowhere),
    _of_splitter("reads a byte order mark as text", "_take_first_line", _take_any_line),
    Mutant(
        "passes an answer behind a stream on",
        RULE,
        EventSplitter,
        "__init__",
        _never_overrun,
        UNFRAMED,
    ),
    _of_splitter("reads a torn line as one", "_is_of_another", _know_line_starts, TEAR_RULE),
    _of_splitter("takes quotations for answers", "_is_of_another", _know_any_quote, TEAR_RULE),
    _of_splitter("looks for headers alone", "_is_of_another", _need_headers, TEAR_RULE),
    _of_splitter("ignores line ends", "_is_of_another", _ignore_line_ends, TEAR_RULE),
    _of_splitter("remembers quotations", "_is_of_another", _remember_tear, TEAR_RULE),
    _of_splitter("passes torn comments on", "_take_line", _pass_torn_comment, TEAR_RULE),
    Mutant(
        "hands parts of chunks on",
        TEAR_RULE,
        ClientConnection,
        "on_chunk_header",
        _begin_no_chunk,
        UNFRAMED,
    ),
    Mutant(
        "holds chunks of any size",
        "what is held of a chunk is bounded",
        daemon_defaults,
        "CHUNK_HELD_BYTES_MAX",
        1 << 40,
        UNFRAMED,
    ),
    Mutant(
        "ends a line twice",
        RULE,
        event_streams._LineSplitter,
        "feed",
        _split_at_each_byte,
        EVENT_STREAMS,
    ),
    Mutant(
        "waits for a line feed",
        RULE,
        event_streams._LineSplitter,
        "feed",
        _wait_for_line_feed,
        EVENT_STREAMS,
    ),
    Mutant(
        "takes up no stream of comments",
        COMMENT_RULE,
        EventOrder,
        "__init__",
        _begin_by_head,
        EVENT_STREAMS,
    ),
    Mutant("ignores a reset id", RULE, EventOrder, "accept", _ignore_resets, EVENT_STREAMS),
    Mutant(
        "counts the parts that another node sends",
        COMMENT_RULE,
        relay_handovers,
        "_pass_stream_on",
        _pass_bytes_on,
        EVENT_STREAMS,
    ),
    Mutant(
        "times the first event by a comment",
        COMMENT_RULE,
        relay_attempts,
        "_begin_stream",
        _time_by_head,
        EVENT_STREAMS,
    ),
)
