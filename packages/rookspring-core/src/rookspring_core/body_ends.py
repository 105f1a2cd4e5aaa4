"""What shows that a body is whole, or cut, whose end nothing but the close of its connection marks.

A connection is closed in the midst of an answer too, by an endpoint that lives on as by one that
ends, so the close itself proves nothing. A body is shown to be whole by one of these signs: its
media type is JSON, whose values show their end; a digest that its head states is that of its bytes;
or a run of the same request at another endpoint has given the same bytes. One endpoint alone may
cut each run at the same byte, by a limit or a fault of its own. The same signs show some to be cut.
Where there is none, :mod:`close_ends` tells whether the close looks like the answer's own.
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
# How JSON values begin that have an end of their own, and end: a number or literal may be the
# beginning of a longer one.
CLOSED_JSON = {b"{": b"}", b"[": b"]", b'"': b'"'}
JSON_SPACE = b" \t\n\r"
# The digests that a body is compared with, by their names in RFC 9530. The others that it registers
# are not resistant to collisions.
DIGESTS: dict[str, t.Callable[..., t.Any]] = {
    "sha-256": hashlib.sha256,
    "sha-512": hashlib.sha512,
}
# The one status whose body is always the whole representation that ``Repr-Digest`` is of.
WHOLE_REPRESENTATION = 200
# The share of a service's resends that is kept as bodies that look whole are run again behind which
# their endpoint worked on: an endpoint that closes all that it runs shows no work, so those without
# need the runs more.
WORKED_KEPT_SHARE = 0.75


# How the head of another answer begins, and how much of that at the end of a body may be one: fewer
# bytes end many bodies.
ANSWER_START = b"HTTP/1."
ANSWER_START_BYTES_MIN = len(b"HTTP")


class Sign(enum.Enum):
    """What shows that a body is whole: ``NONE`` where nothing does.

    ``DIFFERS``: a digest shows that it is not, whatever else may show. ``CUT``: its syntax does, or
    another run that gave more.
    """

    JSON = "json"
    DIGEST = "digest"
    EQUAL = "equal"
    DIFFERS = "differs"
    CUT = "cut"
    NONE = "none"


WHOLE = frozenset({Sign.JSON, Sign.DIGEST, Sign.EQUAL})


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
    :param likely: its end looked like its own; see :mod:`close_ends`.
    """

    endpoint: str
    status: int
    size: int
    digest: bytes
    likely: bool = False


def copy_body(endpoint: str, status: int, body: bytes, likely: bool = False) -> BodyCopy:
    """Return what is kept of a body."""
    return BodyCopy(endpoint, status, len(body), hashlib.sha256(body).digest(), likely)


def judge_earlier(copy: BodyCopy, status: int, body: bytes) -> bool | None:
    """Return whether another run's body shows that an earlier one was whole; None if neither.

    It does if it is the same, and that it was cut if the earlier one is its beginning. Services
    state times and stamps, so others show nothing, nor does an empty one.

    :param body: of the later run, which is whole as far as known.
    """
    if copy.status != status or not 0 < copy.size <= len(body):
        return None
    if hashlib.sha256(body[: copy.size]).digest() != copy.digest:
        return None
    return copy.size == len(body)


def may_run_again(took_s: float, left_s: float) -> bool:
    """Return whether a further run, which may take as long as the first, would end in time.

    :param took_s: how long the first took, until it could be asked for, in seconds.
    :param left_s: seconds until the request's deadline.
    """
    return took_s < left_s


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
    check_json: t.Callable[[bytes], bool | None],
    earlier: t.Collection[BodyCopy] = (),
    endpoint: str = "",
    longer: bytes = b"",
) -> Sign:
    """Find what shows that a body is whole, or cut, that has ended with its connection.

    :param check_json: returns whether bytes are one JSON value, without recursion; None if they are
        neither that nor the beginning of one.
    :param earlier: the bodies of earlier runs of the request that ended so as well.
    :param endpoint: the name of the one that gave this.
    :param longer: what an earlier run with the same status gave; empty if none is kept.
    """
    matches = _compare_digests(head, body)
    if matches is False:
        return Sign.DIFFERS
    if matches:
        return Sign.DIGEST
    if _may_end_itself(head, body):
        closes = check_json(body)
        if closes:
            return Sign.JSON
        # Its syntax shows that it is cut, whatever another run gave.
        if closes is False or not _closes(body):
            return Sign.CUT
    if not body:
        # Many are cut right after their head, so two empty ones show nothing.
        return Sign.NONE
    if _is_among(copy_body(endpoint, head.status, body), earlier):
        return Sign.EQUAL
    if len(longer) > len(body) and longer.startswith(body):
        return Sign.CUT
    return Sign.NONE


def _closes(body: bytes) -> bool:
    """Return whether JSON ends with what closes its first value."""
    return CLOSED_JSON[body.lstrip(JSON_SPACE)[:1]] == body.rstrip(JSON_SPACE)[-1:]


def _is_among(copy: BodyCopy, earlier: t.Collection[BodyCopy]) -> bool:
    """Return whether another endpoint has given the same body."""
    others = (one for one in earlier if one.endpoint != copy.endpoint)
    return any(one._replace(endpoint=copy.endpoint, likely=copy.likely) == copy for one in others)


def _may_end_itself(head: BodyHead, body: bytes) -> bool:
    """Return whether a body is of a type whose values show their end, as it begins."""
    if head.coded or len(head.types) != 1 or len(body) > defaults.CHECKED_JSON_BYTES_MAX:
        return False
    media_type = head.types[0].partition(";")[0].strip().lower()
    if media_type != JSON_TYPE and not media_type.endswith(JSON_SUFFIX):
        return False
    if media_type == JSON_SEQUENCE:
        return False
    return body.lstrip(JSON_SPACE)[:1] in CLOSED_JSON


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
