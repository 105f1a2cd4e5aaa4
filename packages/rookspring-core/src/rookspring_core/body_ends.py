"""What shows that a body is whole whose end nothing but the close of its connection marks.

A connection is closed in the midst of an answer too, by an endpoint that lives on as by one that
ends, so the close itself proves nothing. A body is whole only by one of these signs: its media type
is JSON, whose values show their end; a digest that its head states is that of its bytes; or a run
of the same request at another endpoint has given the same bytes. One endpoint alone may cut each
run at the same byte, by a limit or a fault of its own.
"""

import base64
import binascii
import enum
import hashlib
import typing as t

from . import defaults

JSON_TYPE = "application/json"
JSON_SUFFIX = "+json"
# A sequence of JSON values: the end of one is not that of the body.
JSON_SEQUENCE = "application/stream+json"
# How JSON values begin that have an end of their own: a number or literal may be the beginning of a
# longer one.
CLOSED_JSON = (b"{", b"[", b'"')
JSON_SPACE = b" \t\n\r"
# The digests that a body is compared with, by their names in RFC 9530. The others that it registers
# are not resistant to collisions.
DIGESTS: dict[str, t.Callable[..., t.Any]] = {
    "sha-256": hashlib.sha256,
    "sha-512": hashlib.sha512,
}
# The one status whose body is always the whole representation that ``Repr-Digest`` is of.
WHOLE_REPRESENTATION = 200


# How the head of another answer begins, and how much of that at the end of a body may be one: fewer
# bytes end many bodies.
ANSWER_START = b"HTTP/1."
ANSWER_START_BYTES_MIN = len(b"HTTP")


class Sign(enum.Enum):
    """What shows that a body is whole: ``NONE`` where nothing does.

    ``DIFFERS``: a digest shows that it is not, whatever else may show.
    """

    JSON = "json"
    DIGEST = "digest"
    EQUAL = "equal"
    DIFFERS = "differs"
    NONE = "none"


class BodyHead(t.NamedTuple):
    """What the head of an answer states about its body.

    :param types: the values of ``Content-Type``.
    :param coded: it has a ``Content-Encoding``.
    :param content_digests: the values of ``Content-Digest``.
    :param representation_digests: the values of ``Repr-Digest``.
    """

    status: int
    types: t.Sequence[str] = ()
    coded: bool = False
    content_digests: t.Sequence[str] = ()
    representation_digests: t.Sequence[str] = ()


class BodyCopy(t.NamedTuple):
    """What is kept of a body, to compare that of another run with.

    :param endpoint: the name of the one that gave it.
    """

    endpoint: str
    status: int
    size: int
    digest: bytes


def copy_body(endpoint: str, status: int, body: bytes) -> BodyCopy:
    """Return what is kept of a body."""
    return BodyCopy(endpoint, status, len(body), hashlib.sha256(body).digest())


def may_hold_head(body: bytes) -> bool:
    """Return whether a body may hold the head of another answer, or the beginning of one.

    An endpoint that breaks off a body with a length and sends another answer fills the length with
    it. A body may quote one as well; what follows the length tells them apart.
    """
    sizes = range(ANSWER_START_BYTES_MIN, len(ANSWER_START))
    return ANSWER_START in body or any(body.endswith(ANSWER_START[:size]) for size in sizes)


def may_begin_answer(data: bytes) -> bool:
    """Return whether bytes that follow an answer may begin another one, or lie between the two."""
    begin = data.lstrip(b"\r\n")[: len(ANSWER_START)]
    return ANSWER_START.startswith(begin)


def find_sign(
    head: BodyHead,
    body: bytes,
    check_json: t.Callable[[bytes], bool],
    earlier: t.Collection[BodyCopy] = (),
    endpoint: str = "",
) -> Sign:
    """Find what shows that a body is whole that has ended with its connection.

    :param check_json: returns whether bytes are one JSON value, without recursion.
    :param earlier: the bodies of earlier runs of the request that ended so as well.
    :param endpoint: the name of the one that gave this.
    """
    matches = _compare_digests(head, body)
    if matches is False:
        return Sign.DIFFERS
    if matches:
        return Sign.DIGEST
    if _may_end_itself(head, body):
        # Its syntax shows that it is cut, whatever another run gave.
        return Sign.JSON if check_json(body) else Sign.NONE
    # Many are cut right after their head, so two empty ones show nothing.
    if body and _is_among(copy_body(endpoint, head.status, body), earlier):
        return Sign.EQUAL
    return Sign.NONE


def _is_among(copy: BodyCopy, earlier: t.Collection[BodyCopy]) -> bool:
    """Return whether another endpoint has given the same body."""
    others = (one for one in earlier if one.endpoint != copy.endpoint)
    return any(one._replace(endpoint=copy.endpoint) == copy for one in others)


def _may_end_itself(head: BodyHead, body: bytes) -> bool:
    """Return whether a body is of a type whose values show their end, as it begins."""
    if head.coded or len(head.types) != 1 or len(body) > defaults.CHECKED_JSON_BYTES_MAX:
        return False
    media_type = head.types[0].partition(";")[0].strip().lower()
    if media_type != JSON_TYPE and not media_type.endswith(JSON_SUFFIX):
        return False
    if media_type == JSON_SEQUENCE:
        return False
    return body.lstrip(JSON_SPACE).startswith(CLOSED_JSON)


def _compare_digests(head: BodyHead, body: bytes) -> bool | None:
    """Return whether a body has the digests that its head states; None if it states none."""
    stated = _read_digests(head.content_digests)
    if head.status == WHOLE_REPRESENTATION and not head.coded:
        stated += _read_digests(head.representation_digests)
    if not stated:
        return None
    return all(DIGESTS[name](body).digest() == value for name, value in stated)


def _read_digests(values: t.Sequence[str]) -> list[tuple[str, bytes]]:
    """Return the digests that header values state, by name; others and malformed ones are left."""
    found = []
    for member in ",".join(values).split(","):
        name, _, value = member.strip().partition("=")
        item = value.partition(";")[0].strip()
        if name not in DIGESTS or len(item) < 2 or not item.startswith(":") or item[-1] != ":":
            continue
        try:
            digest = base64.b64decode(item[1:-1], validate=True)
        except (binascii.Error, ValueError):
            continue
        if len(digest) == DIGESTS[name]().digest_size:
            found.append((name, digest))
    return found
