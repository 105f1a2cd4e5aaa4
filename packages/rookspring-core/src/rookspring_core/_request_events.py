"""Events of callers' requests and of their attempts at endpoints."""

import math
import typing as t


class RouteTerms(t.NamedTuple):
    """What a route allows a request that is forwarded unchanged.

    :param service: the service whose endpoints may serve it.
    :param attempts: number of endpoints that it may be sent to.
    :param max_wait_s: longest wait for room before it is refused, in seconds.
    :param objective_s: latest answer that has full value, in seconds; 0 where none is known.
    :param stays_s: for how long callers wait for the first event before they leave, in seconds.
    """

    name: str
    service: str
    version: int
    rank: int
    attempts: int
    max_wait_s: float
    objective_s: float = 0.0
    stays_s: float = math.inf


class RequestArrived(t.NamedTuple):
    """A caller's request was read and authenticated.

    :param team: the product's team, or the organisation that holds a relayed request's
        key; empty where it needs none.
    :param key: digest of the caller's key; empty where it needs none.
    :param declared_tokens: prompt tokens plus the answer's maximum, as the caller declared them.
    :param fingerprint: identical each time that the same request is sent; see :mod:`fingerprints`.
    :param sends_before: how often it was sent to an endpoint before another node handed it over;
        None if it came from a caller.
    :param version: of the endpoint's software that began its stream; None if it has not begun.
    :param parts: of its prompt, those that it may share with other requests.
    :param stream_id: id under which its stream may be taken up again at another node: its caller's
        id of the request that began it; empty if that can't be.
    :param resumable_until: when its caller gives up.
    :param doubted_at: endpoints whose processes may be of another version than listed.
    """

    at: float
    request_id: str
    team: str
    target: str
    service: bool = False
    adapter: str = ""
    priority: str = "normal"
    deadline_at: float = 0.0
    tokens: int = 0
    prompt_tokens: int = 0
    prefix: int = 0
    repeatable: bool = True
    once_key: tuple[str, int] | None = None
    body_digest: str = ""
    stream: bool = False
    route: RouteTerms | None = None
    key: str = ""
    declared_tokens: int | None = None
    fingerprint: str = ""
    sends_before: int | None = None
    version: str | None = None
    parts: tuple[int, ...] = ()
    stream_id: str = ""
    resumable_until: float = 0.0
    doubted_at: frozenset[str] = frozenset()


class OriginReceived(t.NamedTuple):
    """Another node told which version began a stream; see ``StreamOrigin``."""

    at: float
    stream: str
    version: str
    kept_s: float


class SeveralVersionsTold(t.NamedTuple):
    """Another node told that several versions of a service serve, or did so lately."""

    at: float
    service: str


class FormerVersionsRead(t.NamedTuple):
    """The store told which services had several versions before this node started.

    :param left: services, each with the time for which that counts, in seconds.
    """

    at: float
    left: tuple[tuple[str, float], ...]


class FormerVersionsMissed(t.NamedTuple):
    """A caller resumes a stream, and nobody knows whether its service had several versions."""

    at: float
    service: str


class ResumeAsked(t.NamedTuple):
    """A caller reconnected to a stream that already runs at an endpoint.

    :param endpoint: the endpoint named by the caller's resume token.
    :param offset: tokens that the caller has received.
    :param continuable: the caller sent the text so far, so that another endpoint may continue it.
    """

    at: float
    request_id: str
    team: str
    target: str
    endpoint: str
    offset: int
    tokens: int
    deadline_at: float
    continuable: bool


class AttemptStarted(t.NamedTuple):
    """The first byte of a request may have left for its endpoint.

    :param opened_at: when its connection was opened; 0 if that is unknown.
    """

    at: float
    request_id: str
    attempt: int
    opened_at: float = 0.0


class AttemptProgressed(t.NamedTuple):
    """Tokens of an attempt were passed on to the caller, in batches."""

    at: float
    request_id: str
    attempt: int
    tokens: int


class AnswerEnded(t.NamedTuple):
    """An endpoint has ended an answer; whether it is whole is still being looked at.

    :param ended_at: when the end came.
    :param by_close: nothing but the close of its connection marks it.
    """

    at: float
    request_id: str
    attempt: int
    ended_at: float
    by_close: bool = False


class CloseShown(t.NamedTuple):
    """A body that ended with its connection was shown to be whole, or cut though it looked so."""

    at: float
    service: str
    whole: bool


class AttemptSucceeded(t.NamedTuple):
    """The endpoint's whole answer was passed on to the caller."""

    at: float
    request_id: str
    attempt: int
    status: int = 200
    answer: bytes = b""


class AttemptFailed(t.NamedTuple):
    """An attempt ended before the endpoint's answer was complete.

    :param sent: a byte of the request may have reached the endpoint.
    :param reported_not_run: the endpoint reported in its protocol that it did not run the request.
    :param down: nothing listens at the endpoint's address any more.
    :param broken: the endpoint closed the connection before its answer was complete.
    :param withheld: nothing was sent, since the endpoint accepts no requests at present.
    :param open_ended: its answer ended with its connection, and nothing showed that it is whole.
    :param doubted: nothing was sent, since its process may be of another version than listed.
    :param copy: the copy that the run can go on from, as it goes on nowhere else; empty if none.
    :param followable: another attempt can be asked for exactly what its caller lacks.
    :param likely: its answer ended with its connection, and looked whole; see :mod:`close_ends`.
    :param backup: the copy is at the endpoint that holds the run's backup.
    """

    at: float
    request_id: str
    attempt: int
    sent: bool
    reported_not_run: bool
    reason: str
    down: bool = False
    broken: bool = False
    withheld: bool = False
    open_ended: bool = False
    doubted: bool = False
    copy: str = ""
    followable: bool = True
    likely: bool = False
    backup: bool = False


class RunCopied(t.NamedTuple):
    """The run of an attempt was copied to another endpoint, which holds the copy.

    :param name: of the copy, as its platform's dialect reads it.
    :param source: the endpoint of the attempt.
    """

    at: float
    request_id: str
    attempt: int
    holder: str
    name: str
    source: str = ""


class RunNotCopied(t.NamedTuple):
    """The run of an attempt was not copied.

    :param unknown: its endpoint knows no such run, or no such call.
    """

    at: float
    request_id: str
    attempt: int
    holder: str
    unknown: bool


class CallerLeft(t.NamedTuple):
    """The caller closed its connection before the answer was complete."""

    at: float
    request_id: str


class AllotmentAnswered(t.NamedTuple):
    """An organisation's owner decided on a request.

    :param after_s: 0 where it is granted, else the time until there may be room, in seconds.
    """

    at: float
    request_id: str
    organisation: str
    units: float
    after_s: float


class SlotAnswered(t.NamedTuple):
    """The owner of a slot queue answered a request for a slot.

    :param queue: key of the queue, of a plain service or of an endpoint.
    :param endpoint: the endpoint of the granted slot; empty where the request waits or is refused.
    :param after_s: when to retry if it is refused, in seconds; else 0.
    :param counts_towards_rate: the slot is a permit of the endpoint's request rate as well.
    :param avoid_s: how long this node is to prefer other endpoints, in seconds; of a place, the
        predicted wait for one.
    :param no_known_endpoint: refused since the owner knows no endpoint that accepts requests.
    :param question: which of the request's questions it answers.
    """

    at: float
    request_id: str
    queue: str
    endpoint: str
    after_s: float
    counts_towards_rate: bool = False
    avoid_s: float = 0.0
    no_known_endpoint: bool = False
    question: int = 1


class SessionOpened(t.NamedTuple):
    """A caller requested a session; the daemon generated its identifier."""

    at: float
    session: str
    team: str
