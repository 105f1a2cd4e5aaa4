"""Events that the reducer takes, each with its time in seconds.

An event states what happened, never what to do. Its time is of the node's own monotonic clock and
never decreases from one event to the next; nodes exchange durations only.
"""

from ._control_events import DesiredSeen as DesiredSeen
from ._control_events import EvacuationsListed as EvacuationsListed
from ._control_events import HeadSeen as HeadSeen
from ._control_events import IntentsSeen as IntentsSeen
from ._control_events import IntentWritten as IntentWritten
from ._control_events import LeaseSeen as LeaseSeen
from ._control_events import LeaseWritten as LeaseWritten
from ._control_events import LoadRequested as LoadRequested
from ._control_events import NearLimitReceived as NearLimitReceived
from ._control_events import OrderAnswered as OrderAnswered
from ._control_events import OrderDue as OrderDue
from ._control_events import PlatformAnswered as PlatformAnswered
from ._control_events import Published as Published
from ._control_events import RevisionSeen as RevisionSeen
from ._control_events import RouteTableSeen as RouteTableSeen
from ._control_events import StoreEraBegan as StoreEraBegan
from ._control_events import StoreEraDenied as StoreEraDenied
from ._control_events import StoreRead as StoreRead
from ._control_events import StoreUnread as StoreUnread
from ._control_events import TableProved as TableProved
from ._control_events import UsageRestored as UsageRestored
from ._endpoint_events import BoxListed as BoxListed
from ._endpoint_events import BoxListReceived as BoxListReceived
from ._endpoint_events import CacheEventsReceived as CacheEventsReceived
from ._endpoint_events import CloseCountsReceived as CloseCountsReceived
from ._endpoint_events import DownReceived as DownReceived
from ._endpoint_events import EndpointBroke as EndpointBroke
from ._endpoint_events import EndpointReported as EndpointReported
from ._endpoint_events import EventGapMeasured as EventGapMeasured
from ._endpoint_events import EvidenceReceived as EvidenceReceived
from ._endpoint_events import LeavingReceived as LeavingReceived
from ._endpoint_events import LoadingReceived as LoadingReceived
from ._endpoint_events import NoticeReceived as NoticeReceived
from ._endpoint_events import PromptsReceived as PromptsReceived
from ._endpoint_events import RatesReceived as RatesReceived
from ._endpoint_events import ReachProbed as ReachProbed
from ._endpoint_events import ReportMissed as ReportMissed
from ._endpoint_events import ShedReceived as ShedReceived
from ._endpoint_events import SpeedsReceived as SpeedsReceived
from ._node_events import DrainAsked as DrainAsked
from ._node_events import GraceEnded as GraceEnded
from ._node_events import HeartbeatReceived as HeartbeatReceived
from ._node_events import MembersReceived as MembersReceived
from ._node_events import PeerLost as PeerLost
from ._node_events import PeerUnreached as PeerUnreached
from ._node_events import Ticked as Ticked
from ._request_events import AllotmentAnswered as AllotmentAnswered
from ._request_events import AnswerEnded as AnswerEnded
from ._request_events import AttemptFailed as AttemptFailed
from ._request_events import AttemptProgressed as AttemptProgressed
from ._request_events import AttemptStarted as AttemptStarted
from ._request_events import AttemptSucceeded as AttemptSucceeded
from ._request_events import CallerLeft as CallerLeft
from ._request_events import FormerVersionsMissed as FormerVersionsMissed
from ._request_events import FormerVersionsRead as FormerVersionsRead
from ._request_events import OriginReceived as OriginReceived
from ._request_events import RequestArrived as RequestArrived
from ._request_events import ResumeAsked as ResumeAsked
from ._request_events import RouteTerms as RouteTerms
from ._request_events import RunCopied as RunCopied
from ._request_events import RunNotCopied as RunNotCopied
from ._request_events import SessionOpened as SessionOpened
from ._request_events import SeveralVersionsTold as SeveralVersionsTold
from ._request_events import SlotAnswered as SlotAnswered

Event = (
    Ticked
    | RequestArrived
    | ResumeAsked
    | OriginReceived
    | SeveralVersionsTold
    | FormerVersionsRead
    | FormerVersionsMissed
    | AttemptStarted
    | AnswerEnded
    | AttemptProgressed
    | AttemptSucceeded
    | AttemptFailed
    | RunCopied
    | RunNotCopied
    | NoticeReceived
    | LeavingReceived
    | RatesReceived
    | ShedReceived
    | EndpointBroke
    | CloseCountsReceived
    | EventGapMeasured
    | SpeedsReceived
    | CallerLeft
    | EvidenceReceived
    | EndpointReported
    | CacheEventsReceived
    | ReportMissed
    | BoxListReceived
    | RouteTableSeen
    | EvacuationsListed
    | HeartbeatReceived
    | MembersReceived
    | PeerUnreached
    | StoreEraBegan
    | StoreEraDenied
    | StoreRead
    | StoreUnread
    | TableProved
    | NearLimitReceived
    | UsageRestored
    | AllotmentAnswered
    | SlotAnswered
    | PromptsReceived
    | LoadingReceived
    | DownReceived
    | ReachProbed
    | PeerLost
    | PlatformAnswered
    | LeaseSeen
    | LeaseWritten
    | DesiredSeen
    | RevisionSeen
    | HeadSeen
    | Published
    | OrderAnswered
    | LoadRequested
    | OrderDue
    | IntentWritten
    | IntentsSeen
    | DrainAsked
    | GraceEnded
    | SessionOpened
)
