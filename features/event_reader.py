"""The event-stream standard, read a byte at a time; the splitter is held against it."""

import typing as t

BYTE_ORDER_MARK = b"\xef\xbb\xbf"


class Read(t.NamedTuple):
    """What a text has said up to its end.

    ``events``: their data; ``ids``: as ``Events.ids``; ``passable``: bytes that are in no
    incomplete event or line.
    """

    events: list[bytes]
    ids: list[str | None]
    passable: int


def read(text):
    events, ids, passable = [], [], 0
    data, stated, within = [], None, False
    for line, end in lines_of(text):
        if line == b"":
            if data:
                events.append(b"\n".join(data))
            if data or stated is not None:
                ids.append(stated)
            data, stated, within = [], None, False
        elif line[:1] != b":":
            within = True
            name, value = field_of(line)
            if name == b"data":
                data.append(value)
            if name == b"id" and 0 not in value:
                stated = value.decode("latin-1")
        passable = passable if within else end
    return Read(events, ids, passable)


def lines_of(text):
    """Yield each complete line, without its end, and the position after that."""
    line, at = b"", 0
    if text[:3] == BYTE_ORDER_MARK:
        at = 3
    while at < len(text):
        one = text[at : at + 1]
        at += 1
        if one not in b"\r\n":
            line += one
            continue
        if one == b"\r" and text[at : at + 1] == b"\n":
            at += 1
        yield line, at
        line = b""


def field_of(line):
    name, colon, value = line.partition(b":")
    return name, value[1:] if colon and value[:1] == b" " else value
