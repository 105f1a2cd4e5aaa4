"""Answers to one request in many shapes, as the bytes an endpoint sends, to be cut anywhere."""

import typing as t

ID = b"X-Rookspring-Request-Id: q1\r\n"
OTHER_ID = b"X-Rookspring-Request-Id: another\r\n"
LENGTH = b"Content-Length: 5\r\n"
CHUNKS = b"Transfer-Encoding: chunked\r\n"
OK = b"HTTP/1.1 200 OK\r\n" + ID
END = b"\r\n"
BODY = b"whole"
CHUNKED_BODY = b"2\r\nwh\r\n3\r\nole\r\n0\r\n\r\n"
PLAIN = OK + LENGTH + END + BODY
INTERIM = b"HTTP/1.1 100 Continue\r\n\r\n"


class Shape(t.NamedTuple):
    """The bytes of an answer, which belongs to the request ``q1``.

    :param body: what its reader gets if it arrives whole.
    :param by_close: its close alone ends it.
    """

    data: bytes
    body: bytes = BODY
    by_close: bool = False


def head_of(shape: Shape) -> bytes:
    """Return a shape's bytes up to the end of its own head, with what comes before it."""
    at = shape.data.index(b"q1\r\n")
    return shape.data[: shape.data.index(b"\r\n\r\n", at) + 4]


SOUND = {
    "with a length": Shape(PLAIN),
    "with a length of 0": Shape(OK + b"Content-Length: 0\r\n\r\n", b""),
    "without a reason": Shape(b"HTTP/1.1 200\r\n" + ID + LENGTH + END + BODY),
    "in chunks": Shape(OK + CHUNKS + END + CHUNKED_BODY),
    "in chunks with extensions": Shape(
        OK + CHUNKS + END + b"2;a=b\r\nwh\r\n3;c\r\nole\r\n0;d=e\r\n\r\n"
    ),
    "in chunks with trailers": Shape(
        OK + CHUNKS + END + b"5\r\nwhole\r\n0\r\nX-Sum: 1\r\nX-Date: 2\r\n\r\n"
    ),
    "after an interim head": Shape(INTERIM + PLAIN),
    "after interim heads with fields": Shape(
        b"HTTP/1.1 103 Early Hints\r\nLink: <a>\r\n\r\n" + INTERIM + PLAIN
    ),
    "after one of another request": Shape(
        b"HTTP/1.1 200 OK\r\n" + OTHER_ID + b"Content-Length: 3\r\n\r\nabc" + PLAIN
    ),
    "after one of another request in chunks": Shape(
        b"HTTP/1.1 200 OK\r\n" + OTHER_ID + CHUNKS + END + CHUNKED_BODY + PLAIN
    ),
    "that says close": Shape(OK + b"Connection: close\r\n" + LENGTH + END + BODY),
    "that offers an upgrade, with a length": Shape(
        OK + b"Connection: Upgrade\r\nUpgrade: h2c\r\n" + LENGTH + END + BODY
    ),
    "that offers an upgrade, in chunks": Shape(
        OK + b"Connection: Upgrade\r\nUpgrade: h2c\r\n" + CHUNKS + END + CHUNKED_BODY
    ),
    "that offers an upgrade, without a length": Shape(
        OK + b"Connection: Upgrade\r\nUpgrade: h2c\r\n\r\n" + BODY, by_close=True
    ),
    "204": Shape(b"HTTP/1.1 204 No Content\r\n" + ID + END, b""),
    "304 with a length": Shape(b"HTTP/1.1 304 Not Modified\r\n" + ID + LENGTH + END, b""),
    "without a length": Shape(OK + END + BODY, by_close=True),
    "of HTTP/1.0 without a length": Shape(b"HTTP/1.0 200 OK\r\n" + ID + END + BODY, by_close=True),
    "of HTTP/1.0 with a length": Shape(b"HTTP/1.0 200 OK\r\n" + ID + LENGTH + END + BODY),
}

# None of these may be taken for a whole answer, wherever it is cut or if it is not.
FAULTY = {
    "with two lengths": OK + LENGTH + b"Content-Length: 3\r\n\r\nwhole",
    "with one length twice": OK + LENGTH + LENGTH + END + BODY,
    "with a length among the trailers": OK
    + CHUNKS
    + END
    + b"5\r\nwhole\r\n0\r\nContent-Length: 9\r\n\r\n",
    "with an empty length": OK + b"Content-Length:\r\n\r\nwhole",
    "with a blank length": OK + b"Content-Length:  \r\n\r\nwhole",
    "with a length below 0": OK + b"Content-Length: -5\r\n\r\nwhole",
    "with a length that has a sign": OK + b"Content-Length: +5\r\n\r\nwhole",
    "with a length that is a list": OK + b"Content-Length: 5, 3\r\n\r\nwhole",
    "with a length over 64 bits": OK + b"Content-Length: 18446744073709551621\r\n\r\nwhole",
    "with a length on a folded line": OK + b"Content-Length: 5\r\n 0\r\n\r\nwhole",
    "with a length and chunks": OK + LENGTH + CHUNKS + END + CHUNKED_BODY,
    "with chunks and a length": OK + CHUNKS + LENGTH + END + CHUNKED_BODY,
    "with another coding": OK + b"Transfer-Encoding: gzip\r\n\r\nwhole",
    "with chunks within another coding": OK + b"Transfer-Encoding: chunked, gzip\r\n\r\nwhole",
    "with the coding identity": OK + b"Transfer-Encoding: identity\r\n\r\nwhole",
    "with a chunk size that is none": OK + CHUNKS + END + b"x\r\nwhole\r\n0\r\n\r\n",
    "with a chunk size below 0": OK + CHUNKS + END + b"-1\r\nwhole\r\n0\r\n\r\n",
    "with a chunk longer than its size": OK + CHUNKS + END + b"3\r\nwhole\r\n0\r\n\r\n",
    "with a folded line": OK + b"X-Long: a\r\n b\r\n" + LENGTH + END + BODY,
    "with bare line feeds": PLAIN.replace(b"\r\n", b"\n"),
    "with a bare line feed at the end of its head": OK + LENGTH + b"\nwhole",
    "with a NUL in a header": OK + b"X-A: b\0c\r\n" + LENGTH + END + BODY,
    "with a NUL in a name": OK + b"X-\0A: b\r\n" + LENGTH + END + BODY,
    "with a blank before a colon": OK + b"Content-Length : 5\r\n\r\nwhole",
    "with a line that is no header": OK + b"what\r\n" + LENGTH + END + BODY,
    "of no known version": b"HTTP/3.7 200 OK\r\n" + ID + LENGTH + END + BODY,
    "with a status of two digits": b"HTTP/1.1 20\r\n" + ID + LENGTH + END + BODY,
    "with a status of four digits": b"HTTP/1.1 2000 OK\r\n" + ID + LENGTH + END + BODY,
    "with a status below 100": b"HTTP/1.1 099 Odd\r\n" + ID + LENGTH + END + BODY,
    "after a status below 100 with a body": b"HTTP/1.1 099 Odd\r\nContent-Length: 3\r\n\r\nabc"
    + PLAIN,
    "after an interim head with a body": b"HTTP/1.1 100 Continue\r\nContent-Length: 3\r\n\r\nabc"
    + PLAIN,
    "that switches the protocol": b"HTTP/1.1 101 Switching Protocols\r\n"
    + b"Connection: Upgrade\r\nUpgrade: h2c\r\n\r\n"
    + PLAIN,
}
