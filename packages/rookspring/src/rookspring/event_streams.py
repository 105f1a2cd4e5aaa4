"""Server-sent events: split the bytes of a stream into complete events."""

import typing as t

from . import defaults
from .exceptions import EndpointError
from .http_messages import HttpHead

MEDIA_TYPE = b"text/event-stream"

# Marks that end an event.
MARKS = (b"\n\n", b"\r\n\r\n")
LONGEST_MARK = max(MARKS, key=len)


class Events(t.NamedTuple):
    """Complete events as their bytes, in order.

    :param number: count of events, comments included.
    :param ids: of the events but for comments; empty for one that has none.
    """

    data: bytes
    number: int
    ids: tuple[str, ...]


class EventSplitter:
    """Buffers bytes and returns complete events; an incomplete one stays in the buffer."""

    def __init__(self) -> None:
        self._rest = bytearray()

    def feed(self, data: bytes) -> Events:
        """Add bytes, and return the events that are complete now.

        :raises EndpointError: if an event is longer than ``EVENT_BYTES_MAX``.
        """
        # A mark that ends an event may have begun in what was there before.
        start = max(0, len(self._rest) - len(LONGEST_MARK) + 1)
        self._rest += data
        cut = max(_end(self._rest, mark, start) for mark in MARKS)
        if len(self._rest) - max(0, cut) > defaults.EVENT_BYTES_MAX:
            raise EndpointError("too large an event", sent=True)
        if cut < 0:
            return Events(b"", 0, ())
        whole = bytes(self._rest[:cut])
        del self._rest[:cut]
        number = sum(whole.count(mark) for mark in MARKS)
        return Events(whole, number, _read_ids(whole))

    def incomplete(self) -> bytes:
        """Return the bytes of the incomplete event at the end."""
        return bytes(self._rest)


def is_stream(head: HttpHead) -> bool:
    """Return whether an answer is a stream of events, which may follow those of an earlier run."""
    media = head.header(b"content-type").partition(b";")[0].strip().lower()
    return head.status == 200 and media == MEDIA_TYPE


def _end(text: bytearray, mark: bytes, start: int) -> int:
    place = text.rfind(mark, start)
    return place + len(mark) if place >= 0 else -1


def _read_ids(whole: bytes) -> tuple[str, ...]:
    blocks = whole.replace(b"\r\n", b"\n").split(b"\n\n")
    return tuple(_read_id(rows) for block in blocks if (rows := _list_fields(block)))


def _list_fields(block: bytes) -> list[bytes]:
    """Return the lines of an event; none if it is a comment."""
    return [row for row in block.split(b"\n") if row and not row.startswith(b":")]


def _read_id(rows: list[bytes]) -> str:
    """Return the id of an event, the last one that it states; empty if it has none."""
    ids = [row[3:].strip() for row in rows if row.startswith(b"id:")]
    return ids[-1].decode("latin-1") if ids else ""
