"""Server-sent events: split the bytes of a stream into complete events.

Lines, comments, fields and the byte order mark are those of the event-stream standard (WHATWG HTML,
*Server-sent events*).

An endpoint may break its stream off within a line and send another answer behind it (the users'
pages, *Runners*). Unless chunks tell where that begins, it is told by its head.
"""

import re
import typing as t

from rookspring_core import event_order

from . import defaults
from .exceptions import EndpointError
from .http_messages import HttpHead

MEDIA_TYPE = b"text/event-stream"

# Means nothing at the start of a stream; anywhere else it is a part of its line.
BYTE_ORDER_MARK = b"\xef\xbb\xbf"

LINE_ENDS = b"\r\n"
# How the head of another answer begins, behind a stream whose end nothing marks. No field of an
# event has such a name.
ANSWER_START = b"HTTP/1."
# The same within a line that was broken off, up to the line's end. An event may quote one.
STATUS_LINE = re.compile(rb"HTTP/1\.[01] [1-9][0-9]{2}( .*)?$")
# A line of the head, which follows; a name of an event's field begins none.
HEADER_LINE = re.compile(rb"(?!(?:data|event|id|retry):)[-!#$%&'*+.^_`|~0-9A-Za-z]+:")


class Events(t.NamedTuple):
    """What may be passed on: complete events, and the comments and empty lines between them.

    :param number: count of the events; comments and blocks without data are none.
    :param ids: the id that each event states, empty where it resets the id, None where it states
        none; among them the ids that blocks without data state.
    """

    data: bytes
    number: int
    ids: tuple[str | None, ...]


class EventSplitter:
    """Buffers bytes and returns complete events; an incomplete event or line stays in the buffer.

    :param continues: the caller has begun to read the stream. A byte order mark that leads this
        rest of it is left out, as it would hide the first line.
    :param unframed: no chunks frame the events, so that another answer may stand behind them, or
        within the last line.
    :param skips: events up to the one with this id are left out, as the caller has them; empty for
        none.
    :ivar overrun: another answer has begun; it and what follows are left out.
    """

    def __init__(self, continues: bool = False, unframed: bool = False, skips: str = "") -> None:
        self._continues = continues
        self._unframed = unframed
        self._skips = skips
        self.overrun = False
        # A line of the incomplete event has a status line, and whether that may be a whole head.
        self._may_be_torn = False
        self._may_lack_headers = False
        self._has_line_feeds = False
        self._at_start = True
        self._lines = _LineSplitter()
        # The lines of the incomplete event, and what they state.
        self._event = bytearray()
        self._has_data = False
        self._id: str | None = None
        # What the bytes that were fed last have completed.
        self._passable = bytearray()
        self._number = 0
        self._ids: list[str | None] = []

    def expect_torn(self) -> None:
        """Look for another answer from here on, since a chunk may be broken off."""
        self._unframed = True

    def feed(self, data: bytes) -> Events:
        """Add bytes, and return the events that are complete now.

        :raises EndpointError: if an event is longer than ``EVENT_BYTES_MAX``.
        """
        line_feed, lines = self._lines.feed(data)
        if line_feed:
            # It goes where its line has gone.
            (self._event or self._passable).extend(line_feed)
        for line in lines:
            if self._unframed and self._is_of_another(line):
                self.overrun = True
                break
            if self._at_start:
                self._take_first_line(line)
            else:
                self._take_line(line, line.rstrip(LINE_ENDS))
        if self.held_bytes > defaults.EVENT_BYTES_MAX:
            raise EndpointError("too large an event", sent=True)
        return self._take_events()

    def _is_of_another(self, line: bytes) -> bool:
        """Return whether a line shows that another answer has begun, at it or within one before.

        A status line within a line is a quotation unless a header follows. An interim head has
        none: it is told by its line ends, if the lines of the stream end otherwise.
        """
        text = line.rstrip(LINE_ENDS)
        if line.startswith(ANSWER_START):
            return True
        if self._may_be_torn and (HEADER_LINE.match(text) if text else self._may_lack_headers):
            return True
        has_return = b"\r" in line[-2:]
        quotes = ANSWER_START in text and STATUS_LINE.search(text) is not None
        self._may_lack_headers = quotes and has_return and self._has_line_feeds
        self._may_be_torn = bool(text) and (quotes or self._may_be_torn)
        self._has_line_feeds |= not has_return
        return False

    @property
    def held_bytes(self) -> int:
        """The bytes of the incomplete event or line at the end."""
        return len(self._event) + len(self._lines.incomplete)

    def incomplete(self) -> bytes:
        """Return the bytes of the incomplete event or line at the end."""
        return bytes(self._event + self._lines.incomplete)

    def breaks_off(self) -> bool:
        """Return whether the bytes so far end within an event.

        A comment that lacks its line end is part of none: what is pending at the end of a stream is
        discarded.
        """
        line = bytes(self._lines.incomplete)
        if self._at_start:
            line = line.removeprefix(BYTE_ORDER_MARK)
        return bool(self._event) or (line != b"" and not line.startswith(b":"))

    def _take_first_line(self, line: bytes) -> None:
        self._at_start = False
        unmarked = line.removeprefix(BYTE_ORDER_MARK)
        self._take_line(unmarked if self._continues else line, unmarked.rstrip(LINE_ENDS))

    def _take_line(self, line: bytes, text: bytes) -> None:
        """Take a complete line.

        :param text: the line without its end.
        """
        if not text:
            self._end_event(line)
        elif self._event or self._may_be_torn or not text.startswith(b":"):
            self._event += line
            self._read_field(text)
        else:
            # A comment between events belongs to none.
            self._passable += line

    def _read_field(self, text: bytes) -> None:
        name, _, value = text.partition(b":")
        if name == b"data":
            self._has_data = True
        elif name == b"id" and b"\0" not in value:
            self._id = value.removeprefix(b" ").decode("latin-1")

    def _end_event(self, line: bytes) -> None:
        """End the event, if there is one, by an empty line."""
        if self._skips and self._id and not event_order.follows(self._id, self._skips):
            self._event.clear()
            self._has_data = False
            self._id = None
            return
        self._passable += self._event + line
        self._event.clear()
        self._number += self._has_data
        if self._has_data or self._id is not None:
            self._skips = ""
            self._ids.append(self._id)
        self._has_data = False
        self._id = None

    def _take_events(self) -> Events:
        events = Events(bytes(self._passable), self._number, tuple(self._ids))
        self._passable.clear()
        self._number = 0
        self._ids.clear()
        return events


class _LineSplitter:
    """Splits bytes into lines, which a line feed, a carriage return or both in this order end."""

    def __init__(self) -> None:
        self.incomplete = bytearray()
        # Whether the last byte was a carriage return, which a line feed may follow.
        self._after_return = False

    def feed(self, data: bytes) -> tuple[bytes, list[bytes]]:
        """Add bytes.

        :return: a line feed that belongs to the last line before, or nothing, and the lines that
            are complete now, with their ends.
        """
        line_feed = b"\n" if self._after_return and data.startswith(b"\n") else b""
        self._after_return = data.endswith(b"\r")
        lines = data.removeprefix(line_feed).splitlines(keepends=True)
        incomplete = lines.pop() if lines and not lines[-1].endswith((b"\n", b"\r")) else b""
        if lines:
            lines[0] = bytes(self.incomplete) + lines[0]
            self.incomplete.clear()
        self.incomplete += incomplete
        return line_feed, lines


def is_stream(head: HttpHead) -> bool:
    """Return whether an answer is a stream of events, which may follow those of an earlier run."""
    media = head.header(b"content-type").partition(b";")[0].strip().lower()
    return head.status == 200 and media == MEDIA_TYPE
