"""Server-sent events: cut out whole events from the bytes of a stream."""

import typing as t


class Events(t.NamedTuple):
    """Whole events as their bytes, in order.

    :param number: how many there are.
    :param last_id: the id of the last event that has one, or empty.
    """

    data: bytes
    number: int
    last_id: str


class EventSplitter:
    """Collects bytes and gives out whole events; a torn one stays behind."""

    def __init__(self) -> None:
        self._rest = b""

    def feed(self, data: bytes) -> Events:
        """Take bytes, and give the events that are whole now."""
        text = self._rest + data
        cut = max(_end(text, b"\n\n"), _end(text, b"\r\n\r\n"))
        if cut < 0:
            self._rest = text
            return Events(b"", 0, "")
        whole, self._rest = text[:cut], text[cut:]
        number = whole.count(b"\n\n") + whole.count(b"\r\n\r\n")
        return Events(whole, number, _last_id(whole))

    def rest(self) -> bytes:
        """Give the bytes of an event that is not whole."""
        return self._rest


def _end(text: bytes, mark: bytes) -> int:
    place = text.rfind(mark)
    return place + len(mark) if place >= 0 else -1


def _last_id(whole: bytes) -> str:
    for line in reversed(whole.splitlines()):
        if line.startswith(b"id:"):
            return line[3:].strip().decode("latin-1")
    return ""
