"""Events of callers' requests and of their attempts at endpoints."""

import typing as t


class RouteTerms(t.NamedTuple):
    """What a route grants a request that is passed through as it is.

    :param service: whose endpoints may serve it.
    :param attempts: most endpoints that it may be sent to.
    :param patience_s: longest wait for room before it is refused, in seconds.
    :param objective_s: an answer within it is worth the most; 0 where none is known.
    """

    name: str
    service: str
    version: int
    rank: int
    attempts: int
    patience_s: float
    objective_s: float = 0.0


class RequestArrived(t.NamedTuple):
    """A caller's request was read and its team established.

    :param team: the product's team, or the organisation that holds a relayed request's
        key; empty where it needs none.
    :param key: digest of the caller's key; empty where it needs none.
    :param told_tokens: of the prompt and the most of the answer, as the caller tells them.
    :param fingerprint: the same for each time that this request comes; see :mod:`fingerprints`.
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
    told_tokens: int | None = None
    fingerprint: str = ""


class ResumeAsked(t.NamedTuple):
    """A caller came back for a stream that runs at an endpoint already.

    :param endpoint: where its resume token says that it runs.
    :param continuable: the caller gave the text so far, so another endpoint may go on.
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
    """The first byte of a request may have left for its endpoint."""

    at: float
    request_id: str
    attempt: int


class AttemptProgressed(t.NamedTuple):
    """Tokens of an attempt were passed on to the caller, batched."""

    at: float
    request_id: str
    attempt: int
    tokens: int


class AttemptSucceeded(t.NamedTuple):
    """The endpoint's whole answer was passed on."""

    at: float
    request_id: str
    attempt: int
    status: int = 200
    answer: bytes = b""


class AttemptFailed(t.NamedTuple):
    """An attempt ended without a whole answer.

    :param sent: a byte of the request may have reached the endpoint.
    :param said_not_run: the endpoint's own protocol said that it did not run.
    :param down: nothing listens at the endpoint's address any more.
    :param broken: the endpoint ended the connection before its answer was whole.
    :param withheld: nothing was sent, since the endpoint was found to want nothing.
    """

    at: float
    request_id: str
    attempt: int
    sent: bool
    said_not_run: bool
    reason: str
    down: bool = False
    broken: bool = False
    withheld: bool = False


class CallerLeft(t.NamedTuple):
    """The caller's connection ended before its answer did."""

    at: float
    request_id: str


class AllotmentAnswered(t.NamedTuple):
    """An organisation's owner has decided on a request.

    :param after_s: 0 where it is granted, else when there may be room, in seconds.
    """

    at: float
    request_id: str
    organisation: str
    units: float
    after_s: float


class SlotAnswered(t.NamedTuple):
    """The owner of a plain service, or of an endpoint, has answered a request that needs a slot.

    :param endpoint: where it has one; empty where it waits or is refused.
    :param after_s: when to come back where it is refused, in seconds; else 0.
    :param rated: the slot counts towards the requests a second that the endpoint takes.
    :param stay_s: how long this node is to use other endpoints, if there are any, in seconds.
    :param blind: it is refused as its owner knows no endpoint that takes work.
    """

    at: float
    request_id: str
    queue: str
    endpoint: str
    after_s: float
    rated: bool = False
    stay_s: float = 0.0
    blind: bool = False


class SessionOpened(t.NamedTuple):
    """A caller asked for a session; the daemon made its identifier."""

    at: float
    session: str
    team: str
