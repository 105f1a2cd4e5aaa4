"""What the relay needs to know of a platform's formats: one interface, adapters behind it.

A dialect only reads and writes: it turns headers, settings, objects and bodies
into the project's own types and back. Everything is decided on this side of it.
"""

import abc
import typing as t

from rookspring_core.events import BoxListed
from rookspring_core.events import EndpointReported
from rookspring_core.notices import Notice
from rookspring_core.routes import RouteTable

from .http_messages import Header
from .http_messages import HttpHead
from .http_messages import HttpRequest
from .platform import StoredObject


class Ask(t.NamedTuple):
    """What a caller's request says of itself.

    :param deadline_s: how long the caller waits from now on; None where it does not say.
    :param adapter: as ``MODEL/NAME``, or empty.
    :param prefix: names the longest part of the prompt that others share; 0 for none.
    :param last_event: the event after which a stream is to go on, or empty.
    :param key: digest of its key; empty where it has none, or none that is clear.
    :param told_tokens: of the prompt and the most of the answer; None where it tells none.
    """

    request_id: str
    host: str
    path: str
    deadline_s: float | None
    model: str
    adapter: str
    prompt_tokens: int
    answer_tokens: int
    prefix: int
    last_event: str
    key: str = ""
    told_tokens: int | None = None


class Errand(t.NamedTuple):
    """What this system adds when it sends a request on.

    :param left_s: time that is left of the deadline, in seconds.
    :param rank: 0 is the most urgent.
    :param organisation: whose key the request bears; empty on routes that need none.
    :param keyed: callers have keys here, which endpoints are not to see.
    """

    left_s: float
    incarnation: str
    rank: int
    last_event: str
    organisation: str = ""
    keyed: bool = False


class Verdict(t.NamedTuple):
    """What an endpoint's answer head says of the request.

    :param mine: it belongs to the request that was asked.
    :param not_run: the endpoint says that it did not run the request.
    """

    mine: bool
    not_run: bool = False


class OrderReply(t.NamedTuple):
    """What came back from an order.

    :param taken: it is under way or done; None when nobody knows.
    :param done: it is done already.
    :param fenced: another holder has used a higher fence.
    """

    taken: bool | None
    done: bool = False
    fenced: bool = False


class OrderAsked(t.NamedTuple):
    """An order to an endpoint.

    :param fence: rises with each holder, and one holder has it.
    :param taken_before: orders that the endpoint is believed to have taken; it refuses
        at any other count.
    """

    action: str
    model: str
    adapter: str
    holder: str
    fence: int
    taken_before: int
    incarnation: str


class Dialect(abc.ABC):
    """Formats of one platform."""

    @abc.abstractmethod
    def read_ask(self, request: HttpRequest) -> Ask:
        """Read a caller's request; raises :class:`CallerError` when it is malformed."""

    @abc.abstractmethod
    def errand_headers(self, headers: t.Iterable[Header], errand: Errand) -> list[Header]:
        """Give the headers with which a request goes to an endpoint."""

    @abc.abstractmethod
    def judge(self, head: HttpHead, request_id: str) -> Verdict:
        """Read what an endpoint's answer head says of the request."""

    @abc.abstractmethod
    def read_notice(self, head: HttpHead) -> Notice:
        """Read what an endpoint's answer head says of the endpoint itself."""

    @abc.abstractmethod
    def refusal_headers(self, request_id: str, retry_after_s: float) -> list[Header]:
        """Give the headers of an answer of our own."""

    @abc.abstractmethod
    def read_lookup(self, request: HttpRequest) -> str | None:
        """Give the data centre of a caller who asks for addresses; None for other requests."""

    @abc.abstractmethod
    def write_lookup(self, addresses: list[str], ttl_s: float) -> tuple[list[Header], bytes]:
        """Write the answer to a caller who asks for addresses."""

    @abc.abstractmethod
    def is_ready_check(self, request: HttpRequest) -> bool:
        """Say whether a request is the platform's own readiness check."""

    @abc.abstractmethod
    def read_table(self, stored: StoredObject) -> RouteTable | None:
        """Read a configuration; None for objects that are none."""

    @abc.abstractmethod
    def read_endpoint(self, stored: StoredObject, now: float) -> tuple[BoxListed, EndpointReported]:
        """Read an endpoint's entry; raises ``ValueError`` when it is malformed."""

    @abc.abstractmethod
    def read_report(
        self, raw: bytes, known: EndpointReported, now: float
    ) -> EndpointReported | None:
        """Read an endpoint's own report upon what is known of it; None when malformed."""

    @abc.abstractmethod
    def report_request(self, address: str) -> bytes:
        """Write the request for an endpoint's report."""

    @abc.abstractmethod
    def order_request(self, address: str, order: OrderAsked) -> bytes:
        """Write an order."""

    @abc.abstractmethod
    def read_order_reply(self, head: HttpHead) -> OrderReply:
        """Read the answer to an order."""

    @abc.abstractmethod
    def table_kind(self) -> str:
        """Name the kind of objects in which the configuration lies."""

    @abc.abstractmethod
    def table_name(self) -> str:
        """Name the object that holds the configuration."""

    @abc.abstractmethod
    def endpoint_kind(self) -> str:
        """Name the kind of objects in which endpoints lie."""
