"""HTTP/1.1 messages of the relay: headers as bytes, in their order.

The relay forwards methods, targets, headers and bodies unchanged, byte for byte, so
nothing here decodes, folds or normalises them. Names are compared in lower case.
"""

import http
import typing as t

Header = tuple[bytes, bytes]

# Hop-by-hop headers (RFC 9110, section 7.6.1), and framing headers, which each
# connection writes itself.
CONNECTION_HEADERS = frozenset(
    {
        b"connection",
        b"keep-alive",
        b"proxy-connection",
        b"proxy-authenticate",
        b"proxy-authorization",
        b"te",
        b"trailer",
        b"transfer-encoding",
        b"upgrade",
        b"content-length",
        b"expect",
    }
)

# Status codes begin here (RFC 9110, section 15); lower ones say nothing about a body.
STATUS_MIN = 100
# Lower ones are those of interim heads, which another head follows.
FINAL_STATUS_MIN = 200
# Versions without chunks, in which no answer may be sent (RFC 9112, section 6.1).
VERSIONS_WITHOUT_CHUNKS = frozenset({"0.9", "1.0"})
# Answers with these status codes have no body, and so no framing of one.
BODILESS_STATUSES = frozenset({204, 304})


class HttpRequest(t.NamedTuple):
    """One complete request as it was read.

    :param reads_chunks: its caller can read an answer in chunks.
    """

    method: bytes
    target: bytes
    headers: tuple[Header, ...]
    body: bytes
    keep_alive: bool
    reads_chunks: bool = True

    def header(self, name: bytes) -> bytes:
        """Return the first value of a header; empty if there is none.

        :param name: in lower case.
        """
        return find_header(self.headers, name)


class HttpHead(t.NamedTuple):
    """Status and headers of an answer."""

    status: int
    headers: tuple[Header, ...]

    def header(self, name: bytes) -> bytes:
        """Return the first value of a header; empty if there is none.

        :param name: in lower case.
        """
        return find_header(self.headers, name)

    def values(self, name: bytes) -> list[bytes]:
        """Return all values of a header, in their order.

        :param name: in lower case.
        """
        return [value.strip() for key, value in self.headers if key.lower() == name]

    def framing(self) -> str:
        """Return what shows the end of the body: ``chunks``, ``length``, or ``close``.

        Chunks show it only as the last coding (RFC 9112, section 6.3).
        """
        codings = b",".join(self.values(b"transfer-encoding"))
        if codings:
            return (
                "chunks" if codings.rpartition(b",")[2].strip().lower() == b"chunked" else "close"
            )
        return "length" if self.header(b"content-length") else "close"

    def is_coded(self) -> bool:
        """Return whether the body is in a transfer coding besides chunks, which isn't read here."""
        return are_coded(self.values(b"transfer-encoding"))


def are_coded(values: t.Iterable[bytes]) -> bool:
    """Return whether values of ``Transfer-Encoding`` name a coding that changes the bytes."""
    codings = b",".join(values).split(b",")
    return any(one.strip().lower() not in (b"", b"identity", b"chunked") for one in codings)


def find_header(headers: t.Iterable[Header], name: bytes) -> bytes:
    """Return the first value of a header; empty if there is none."""
    for key, value in headers:
        if key.lower() == name:
            return value
    return b""


def end_to_end_headers(headers: t.Iterable[Header]) -> list[Header]:
    """Return the headers that are forwarded to the next hop.

    Headers that ``Connection`` names are hop-by-hop as well.
    """
    rows = list(headers)
    named = {
        part.strip().lower()
        for key, value in rows
        if key.lower() == b"connection"
        for part in value.split(b",")
    }
    dropped = CONNECTION_HEADERS | named
    return [row for row in rows if row[0].lower() not in dropped]


def reason_phrase(status: int) -> bytes:
    """Return the reason phrase of a status."""
    try:
        return http.HTTPStatus(status).phrase.encode()
    except ValueError:
        return b"Status"


def write_head(first_line: bytes, headers: t.Iterable[Header]) -> bytes:
    """Write a start line and headers."""
    lines = [first_line]
    lines += [key + b": " + value for key, value in headers]
    return b"\r\n".join(lines) + b"\r\n\r\n"


def write_request(request: HttpRequest, headers: t.Iterable[Header]) -> bytes:
    """Write a request that was read, with other headers and the length of its body."""
    rows = list(headers)
    if request.body or request.method not in (b"GET", b"HEAD", b"DELETE"):
        rows.append((b"Content-Length", str(len(request.body)).encode()))
    return write_head(request.method + b" " + request.target + b" HTTP/1.1", rows) + request.body
