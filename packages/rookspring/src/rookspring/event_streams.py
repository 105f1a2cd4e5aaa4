"""Server-sent events: split the bytes of a stream into complete events."""

import typing as t


class Events(t.NamedTuple):
    """Complete events as their bytes, in order.

    :param number: count of events.
    :param last_id: the id of the last event that has one, or empty.
    """

    data: bytes
    number: int
    last_id: str


class EventSplitter:
    """Buffers bytes and returns complete events; an incomplete one stays in the buffer."""

    def __init__(self) -> None:
        self._rest = b""

    def feed(self, data: bytes) -> Events:
        """Add bytes, and return the events that are complete now."""
        text = self._rest + data
        cut = max(_end(text, b"\n\n"), _end(text, b"\r\n\r\n"))
        if cut < 0:
            self._rest = text
            return Events(b"", 0, "")
        whole, self._rest = text[:cut], text[cut:]
        number = whole.count(b"\n\n") + whole.count(b"\r\n\r\n")
        return Events(whole, number, _last_id(whole))

    def incomplete(self) -> bytes:
        """Return the bytes of the incomplete event at the end."""
        return self._rest


def _end(text: bytes, mark: bytes) -> int:
    place = text.rfind(mark)
    return place + len(mark) if place >= 0 else -1


def _last_id(whole: bytes) -> str:
    for line in reversed(whole.splitlines()):
        if line.startswith(b"id:"):
            return line[3:].strip().decode("latin-1")
    return ""
