"""Events that the reducer takes, each with its time in seconds.

An event states what happened, never what to do. Its time is of the node's own monotonic clock and
never decreases from one event to the next; nodes exchange durations only.
"""

from ._control_events import DesiredSeen as DesiredSeen
from ._control_events import HeadSeen as HeadSeen
from ._control_events import IntentsSeen as IntentsSeen
from ._control_events import IntentWritten as IntentWritten
from ._control_events import LeaseSeen as LeaseSeen
from ._control_events import LeaseWritten as LeaseWritten
from ._control_events import ModelWanted as ModelWanted
from ._control_events import OrderAnswered as OrderAnswered
from ._control_events import OrderDue as OrderDue
from ._control_events import PlatformAnswered as PlatformAnswered
from ._control_events import Published as Published
from ._control_events import RevisionSeen as RevisionSeen
from ._control_events import RouteTableSeen as RouteTableSeen
from ._control_events import StoreEraBegan as StoreEraBegan
from ._control_events import StoreRead as StoreRead
from ._control_events import TableProved as TableProved
from ._control_events import TightHeard as TightHeard
from ._control_events import UseRecalled as UseRecalled
from ._endpoint_events import BoxListCame as BoxListCame
from ._endpoint_events import BoxListed as BoxListed
from ._endpoint_events import CacheEventsCame as CacheEventsCame
from ._endpoint_events import ComingHeard as ComingHeard
from ._endpoint_events import DownHeard as DownHeard
from ._endpoint_events import EndpointReported as EndpointReported
from ._endpoint_events import EndpointSaid as EndpointSaid
from ._endpoint_events import EvidenceHeard as EvidenceHeard
from ._endpoint_events import LeavingHeard as LeavingHeard
from ._endpoint_events import PromptsHeard as PromptsHeard
from ._endpoint_events import RatesHeard as RatesHeard
from ._endpoint_events import ReportMissed as ReportMissed
from ._endpoint_events import ShedHeard as ShedHeard
from ._node_events import DrainAsked as DrainAsked
from ._node_events import MembersHeard as MembersHeard
from ._node_events import PeerHeard as PeerHeard
from ._node_events import PeerLost as PeerLost
from ._node_events import PeerUnreached as PeerUnreached
from ._node_events import Ticked as Ticked
from ._request_events import AllotmentAnswered as AllotmentAnswered
from ._request_events import AttemptFailed as AttemptFailed
from ._request_events import AttemptProgressed as AttemptProgressed
from ._request_events import AttemptStarted as AttemptStarted
from ._request_events import AttemptSucceeded as AttemptSucceeded
from ._request_events import CallerLeft as CallerLeft
from ._request_events import RequestArrived as RequestArrived
from ._request_events import ResumeAsked as ResumeAsked
from ._request_events import RouteTerms as RouteTerms
from ._request_events import SessionOpened as SessionOpened
from ._request_events import SlotAnswered as SlotAnswered

Event = (
    Ticked
    | RequestArrived
    | ResumeAsked
    | AttemptStarted
    | AttemptProgressed
    | AttemptSucceeded
    | AttemptFailed
    | EndpointSaid
    | LeavingHeard
    | RatesHeard
    | ShedHeard
    | CallerLeft
    | EvidenceHeard
    | EndpointReported
    | CacheEventsCame
    | ReportMissed
    | BoxListCame
    | RouteTableSeen
    | PeerHeard
    | MembersHeard
    | PeerUnreached
    | StoreEraBegan
    | StoreRead
    | TableProved
    | TightHeard
    | UseRecalled
    | AllotmentAnswered
    | SlotAnswered
    | PromptsHeard
    | ComingHeard
    | DownHeard
    | PeerLost
    | PlatformAnswered
    | LeaseSeen
    | LeaseWritten
    | DesiredSeen
    | RevisionSeen
    | HeadSeen
    | Published
    | OrderAnswered
    | ModelWanted
    | OrderDue
    | IntentWritten
    | IntentsSeen
    | DrainAsked
    | SessionOpened
)
