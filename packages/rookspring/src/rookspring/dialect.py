"""The interface to a platform's formats; each platform has an implementation.

A dialect only parses and writes: it converts headers, settings, objects and bodies to the
project's own types and back. It makes no decisions; its callers do.
"""

import abc
import enum
import typing as t

from rookspring_core.events import BoxListed
from rookspring_core.events import EndpointReported
from rookspring_core.notices import Notice
from rookspring_core.routes import RouteTable

from .http_messages import Header
from .http_messages import HttpHead
from .http_messages import HttpRequest
from .platform import StoredObject


class RequestFields(t.NamedTuple):
    """Fields of a caller's request that routing and admission use.

    :param deadline_s: how long the caller waits from now on; None if it is not stated.
    :param adapter: as ``MODEL/NAME``, or empty.
    :param prefix: identifies the longest prefix of the prompt that others share; 0 for none.
    :param parts: ids of the parts of the prompt that it may share with others, in order.
    :param last_event: the event after which to resume a stream, or empty.
    :param resumes: id of the request whose answer brought the first event of the stream that this
        one resumes, or empty.
    :param key: digest of its key; empty if it has none, or an ambiguous one.
    :param declared_tokens: of the prompt and the longest answer; None if it states none.
    :param sends_before: how often it was sent before another node handed it over; None if it came
        from a caller.
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
    resumes: str = ""
    parts: tuple[int, ...] = ()
    key: str = ""
    declared_tokens: int | None = None
    sends_before: int | None = None


class ForwardFields(t.NamedTuple):
    """What this system adds to a request that it forwards.

    :param remaining_s: time until the deadline, in seconds.
    :param rank: 0 is the most urgent.
    :param organisation: owner of the request's key; empty on routes that need no key.
    :param keyed: the route needs keys, which are removed from what endpoints get.
    :param copy: the copy of its run that it goes on from; empty if it begins a run.
    """

    remaining_s: float
    incarnation: str
    rank: int
    last_event: str
    organisation: str = ""
    keyed: bool = False
    copy: str = ""


class AnswerMatch(t.NamedTuple):
    """What the head of an endpoint's answer states about the request.

    :param matches: the answer belongs to the request in flight.
    :param not_run: the endpoint reports that it did not run the request.
    """

    matches: bool
    not_run: bool = False


class ExpectedProcess(t.NamedTuple):
    """The process that a call is meant for.

    :param name: of the endpoint; where each start has a name of its own, of the process too.
    :param started_ms: when it started, in Unix milliseconds; 0 where endpoints don't state that.
    """

    name: str
    started_ms: int = 0


class ProcessMatch(enum.Enum):
    """What an answer shows of the process that gave it."""

    SAME = "its name and start time are the expected ones"
    NAMED = "its name is, which another start may bear"
    ANOTHER = "it is another one"
    UNKNOWN = "nothing"


class OrderReply(t.NamedTuple):
    """The answer to an order.

    :param taken: the order is under way or done; None if that is unknown.
    :param done: the order is done already.
    :param fenced: refused, since another holder has used a higher fencing token.
    """

    taken: bool | None
    done: bool = False
    fenced: bool = False


class CopyReply(t.NamedTuple):
    """The answer to a call for a copy of a run.

    :param name: by which the copy's holder is told to use it; empty if there is no copy.
    :param unknown: the endpoint knows no such run, or no such call.
    :param stopped: the run was stopped before it was copied, as it was to be.
    """

    name: str = ""
    unknown: bool = False
    stopped: bool = False


class OrderRequest(t.NamedTuple):
    """An order to an endpoint.

    :param fence: fencing token, which belongs to one holder and rises with each one.
    :param taken_before: count of orders that the endpoint is expected to have taken; with any
        other count it refuses the order.
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
    def read_request(self, request: HttpRequest) -> RequestFields:
        """Parse a caller's request.

        :raises CallerError: if it is malformed.
        """

    @abc.abstractmethod
    def forward_headers(self, headers: t.Iterable[Header], fields: ForwardFields) -> list[Header]:
        """Return the headers with which a request is forwarded to an endpoint."""

    @abc.abstractmethod
    def handover_headers(
        self,
        headers: t.Iterable[Header],
        remaining_s: float,
        sends: int,
        last_event: str,
        resumes: str,
    ) -> list[Header]:
        """Return the headers of a request that is handed over to another node: the caller's.

        :param remaining_s: time until the deadline, in seconds.
        :param sends: how often the request was sent to an endpoint before.
        :param last_event: the last event that the caller has got, or empty.
        :param resumes: the request that brought its first event, or empty.
        """

    @abc.abstractmethod
    def match_answer(self, head: HttpHead, request_id: str) -> AnswerMatch:
        """Read what the head of an endpoint's answer states about a request.

        :param request_id: empty for orders and reads of reports, whose answers carry none.
        """

    @abc.abstractmethod
    def read_notice(self, head: HttpHead) -> Notice:
        """Read what the head of an endpoint's answer states about the endpoint itself."""

    @abc.abstractmethod
    def refusal_headers(self, request_id: str, retry_after_s: float) -> list[Header]:
        """Return the headers of an answer that the relay itself makes."""

    @abc.abstractmethod
    def read_lookup(self, request: HttpRequest) -> str | None:
        """Return the data centre in a caller's address lookup; None for other requests."""

    @abc.abstractmethod
    def write_lookup(self, addresses: list[str], ttl_s: float) -> tuple[list[Header], bytes]:
        """Write the answer to an address lookup."""

    @abc.abstractmethod
    def is_readiness_check(self, request: HttpRequest) -> bool:
        """Return whether a request is the platform's own readiness check."""

    @abc.abstractmethod
    def read_table(self, stored: StoredObject) -> RouteTable | None:
        """Parse a configuration; None for other objects."""

    @abc.abstractmethod
    def read_endpoint(self, stored: StoredObject, now: float) -> tuple[BoxListed, EndpointReported]:
        """Parse an endpoint's entry.

        :raises ValueError: if it is malformed.
        """

    @abc.abstractmethod
    def read_report(
        self, raw: bytes, known: EndpointReported, now: float
    ) -> EndpointReported | None:
        """Parse an endpoint's own report, on top of its known one; None if it is malformed."""

    @abc.abstractmethod
    def report_request(self, address: str) -> bytes:
        """Write the request for an endpoint's report."""

    @abc.abstractmethod
    def identity_request(self, address: str, process: ExpectedProcess, health_path: str) -> bytes:
        """Write a call whose answer shows which process gives it.

        :param health_path: of a plain service; empty for a model runner.
        """

    @abc.abstractmethod
    def read_identity(self, head: HttpHead, raw: bytes, process: ExpectedProcess) -> ProcessMatch:
        """Return what the answer to such a call shows of the process that gave it."""

    @abc.abstractmethod
    def order_request(self, address: str, order: OrderRequest) -> bytes:
        """Write an order."""

    @abc.abstractmethod
    def read_order_reply(self, head: HttpHead) -> OrderReply:
        """Read the answer to an order."""

    @abc.abstractmethod
    def copy_request(self, address: str, request_id: str, holder: str, last: bool) -> bytes:
        """Write the call for a copy of a run, to the endpoint that runs it.

        :param holder: address of the endpoint that is to hold the copy.
        :param last: the run is to stop first.
        """

    @abc.abstractmethod
    def read_copy_reply(self, head: HttpHead, raw: bytes, address: str) -> CopyReply:
        """Read the answer to a call for a copy.

        :param address: of the endpoint that gave it.
        """

    @abc.abstractmethod
    def copy_source(self, name: str) -> str:
        """Return the address of the endpoint whose run a copy is of."""

    @abc.abstractmethod
    def free_copy_request(self, address: str, name: str) -> bytes:
        """Write the call that frees a copy, to its source or to its holder."""

    @abc.abstractmethod
    def table_kind(self) -> str:
        """Return the kind of the object with the configuration."""

    @abc.abstractmethod
    def table_name(self) -> str:
        """Return the name of the object with the configuration."""

    @abc.abstractmethod
    def evacuation_kind(self) -> str:
        """Return the kind of the objects that each ask for a data centre's evacuation."""

    @abc.abstractmethod
    def read_evacuation(self, stored: StoredObject) -> str:
        """Return the data centre that is evacuated as long as an object is there."""

    @abc.abstractmethod
    def endpoint_kind(self) -> str:
        """Return the kind of the objects with endpoints' entries."""
