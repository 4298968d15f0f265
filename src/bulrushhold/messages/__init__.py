"""Typed messages between processes, and their codec."""

from bulrushhold.messages._codec import BACKEND_LIST
from bulrushhold.messages._codec import decode
from bulrushhold.messages._codec import encode
from bulrushhold.messages._codec import ENTRY_LIST
from bulrushhold.messages._codec import Failure
from bulrushhold.messages._codec import Message
from bulrushhold.messages._codec import pack_map
from bulrushhold.messages._codec import unpack_map
from bulrushhold.messages._codec import unpack_routes
from bulrushhold.messages._codec import unpack_services
from bulrushhold.messages._entries import CopyAck
from bulrushhold.messages._entries import CopyAppend
from bulrushhold.messages._entries import CopyBatch
from bulrushhold.messages._entries import CopyBatchAck
from bulrushhold.messages._entries import CopyState
from bulrushhold.messages._entries import CopyTake
from bulrushhold.messages._entries import MemberNews
from bulrushhold.messages._entries import PointerState
from bulrushhold.messages._entries import PointerTake
from bulrushhold.messages._entries import Probe
from bulrushhold.messages._entries import ProbeFor
from bulrushhold.messages._entries import ProbeReply
from bulrushhold.messages._entries import QuotaAsk
from bulrushhold.messages._entries import QuotaGrant
from bulrushhold.messages._fleet import ControlNode
from bulrushhold.messages._fleet import is_newer
from bulrushhold.messages._fleet import Known
from bulrushhold.messages._fleet import ListedBackend
from bulrushhold.messages._fleet import ListedEntry
from bulrushhold.messages._fleet import NodeWatch
from bulrushhold.messages._fleet import PermitAsk
from bulrushhold.messages._fleet import PermitGrant
from bulrushhold.messages._fleet import RouteMapOutcome
from bulrushhold.messages._fleet import RouteMapPut
from bulrushhold.messages._fleet import RouteMapRead
from bulrushhold.messages._fleet import RouteMapReply
from bulrushhold.messages._fleet import Watch
from bulrushhold.messages._fleet import WatchReply
from bulrushhold.messages._lists import ListCodec
from bulrushhold.messages._lists import ListItem
from bulrushhold.messages._lists import ListSplice
from bulrushhold.messages._lists import ListUpdate
from bulrushhold.messages._loads import CrashReport
from bulrushhold.messages._loads import EngineLoad
from bulrushhold.messages._loads import EngineSpeed
from bulrushhold.messages._loads import FailureSample
from bulrushhold.messages._loads import LoadReport
from bulrushhold.messages._loads import LoadSummary
from bulrushhold.messages._loads import NodeLoad
from bulrushhold.messages._loads import Received
from bulrushhold.messages._loads import RequestBlock
from bulrushhold.messages._loads import ServerLimit
from bulrushhold.messages._loads import ServiceTraffic
from bulrushhold.messages._loads import SpeedSample
from bulrushhold.messages._log import AppendReply
from bulrushhold.messages._log import AppendRequest
from bulrushhold.messages._log import Config
from bulrushhold.messages._log import CoreRead
from bulrushhold.messages._log import CoreReply
from bulrushhold.messages._log import Found
from bulrushhold.messages._log import InstallSnapshot
from bulrushhold.messages._log import JoinReply
from bulrushhold.messages._log import JoinRequest
from bulrushhold.messages._log import KIND_COMMAND
from bulrushhold.messages._log import KIND_CONFIG
from bulrushhold.messages._log import KIND_NOOP
from bulrushhold.messages._log import LogEntry
from bulrushhold.messages._log import VoteReply
from bulrushhold.messages._log import VoteRequest
from bulrushhold.messages._origins import OriginRead
from bulrushhold.messages._origins import OriginReply
from bulrushhold.messages._origins import OriginReport
from bulrushhold.messages._origins import PendingOrigin
from bulrushhold.messages._origins import StreamOrigin
from bulrushhold.messages._peerproxy import ProxiedAttempt
from bulrushhold.messages._peerproxy import ProxiedConnect
from bulrushhold.messages._peerproxy import ProxiedCopy
from bulrushhold.messages._peerproxy import ProxiedCopyDrop
from bulrushhold.messages._peerproxy import ProxiedEndCheck
from bulrushhold.messages._peerproxy import ProxiedHead
from bulrushhold.messages._peerproxy import ProxiedProbe
from bulrushhold.messages._peerproxy import ProxiedSegmentsRead
from bulrushhold.messages._peerproxy import ProxiedStartRead
from bulrushhold.messages._peerproxy import ProxyAnswer
from bulrushhold.messages._peerproxy import ProxyFailure
from bulrushhold.messages._peerproxy import ProxyFailureKind
from bulrushhold.messages._places import PlaceAsk
from bulrushhold.messages._places import PlaceGrant
from bulrushhold.messages._places import PlaceReport
from bulrushhold.messages._retries import RetryAsk
from bulrushhold.messages._retries import RetryDelay
from bulrushhold.messages._retries import RetryGrant
from bulrushhold.messages._retries import RetryPoolCopy
from bulrushhold.messages._retries import RetryPoolUpdate
from bulrushhold.messages._rollouts import OrderStatus
from bulrushhold.messages._rollouts import Rollout
from bulrushhold.messages._rollouts import RolloutEnd
from bulrushhold.messages._rollouts import RolloutEvidence
from bulrushhold.messages._rollouts import RolloutOrder
from bulrushhold.messages._rollouts import RolloutOutcome
from bulrushhold.messages._rollouts import RolloutPlan
from bulrushhold.messages._rollouts import RolloutProgress
from bulrushhold.messages._rollouts import RolloutRead
from bulrushhold.messages._rollouts import RolloutReply
from bulrushhold.messages._rollouts import RolloutStart
from bulrushhold.messages._rollouts import RolloutState
from bulrushhold.messages._rollouts import VersionSample
from bulrushhold.messages._scheduling import PromisedReturn
from bulrushhold.messages._scheduling import SchedulingStatus
from bulrushhold.messages._scheduling import StreamAsk
from bulrushhold.messages._scheduling import StreamCancel
from bulrushhold.messages._scheduling import StreamDecision
from bulrushhold.messages._scheduling import StreamPoll
from bulrushhold.messages._state import Claim
from bulrushhold.messages._state import ClaimEnd
from bulrushhold.messages._state import ClaimOutcome
from bulrushhold.messages._state import Conflict
from bulrushhold.messages._state import EditOutcome
from bulrushhold.messages._state import ForgetClaims
from bulrushhold.messages._state import HistoryItem
from bulrushhold.messages._state import HistoryRead
from bulrushhold.messages._state import HistoryReply
from bulrushhold.messages._state import Proposal
from bulrushhold.messages._state import ProposalReply
from bulrushhold.messages._state import Quarantine
from bulrushhold.messages._state import Refusals
from bulrushhold.messages._state import Row
from bulrushhold.messages._state import StatusRead
from bulrushhold.messages._state import StatusReply
from bulrushhold.messages._state import Suspected
from bulrushhold.messages._state import TableEdit
from bulrushhold.messages._state import TableRead
from bulrushhold.messages._state import TableReply
from bulrushhold.messages._state import VersionsRecord

__all__ = [
    'AppendReply',
    'AppendRequest',
    'BACKEND_LIST',
    'Claim',
    'ClaimEnd',
    'ClaimOutcome',
    'Config',
    'Conflict',
    'ControlNode',
    'CopyAck',
    'CopyAppend',
    'CopyBatch',
    'CopyBatchAck',
    'CopyState',
    'CopyTake',
    'CoreRead',
    'CoreReply',
    'CrashReport',
    'ENTRY_LIST',
    'EditOutcome',
    'EngineLoad',
    'EngineSpeed',
    'Failure',
    'FailureSample',
    'ForgetClaims',
    'Found',
    'HistoryItem',
    'HistoryRead',
    'HistoryReply',
    'InstallSnapshot',
    'JoinReply',
    'JoinRequest',
    'KIND_COMMAND',
    'KIND_CONFIG',
    'KIND_NOOP',
    'Known',
    'ListCodec',
    'ListItem',
    'ListSplice',
    'ListUpdate',
    'ListedBackend',
    'ListedEntry',
    'LoadReport',
    'LoadSummary',
    'LogEntry',
    'MemberNews',
    'Message',
    'NodeLoad',
    'NodeWatch',
    'OrderStatus',
    'OriginRead',
    'OriginReply',
    'OriginReport',
    'PendingOrigin',
    'PermitAsk',
    'PermitGrant',
    'PlaceAsk',
    'PlaceGrant',
    'PlaceReport',
    'PointerState',
    'PointerTake',
    'Probe',
    'ProbeFor',
    'ProbeReply',
    'PromisedReturn',
    'Proposal',
    'ProposalReply',
    'ProxiedAttempt',
    'ProxiedConnect',
    'ProxiedEndCheck',
    'ProxiedCopy',
    'ProxiedCopyDrop',
    'ProxiedHead',
    'ProxiedProbe',
    'ProxiedSegmentsRead',
    'ProxiedStartRead',
    'ProxyAnswer',
    'ProxyFailure',
    'ProxyFailureKind',
    'Quarantine',
    'QuotaAsk',
    'QuotaGrant',
    'Received',
    'Refusals',
    'RequestBlock',
    'RetryAsk',
    'RetryDelay',
    'RetryGrant',
    'RetryPoolCopy',
    'RetryPoolUpdate',
    'Rollout',
    'RolloutEnd',
    'RolloutEvidence',
    'RolloutOrder',
    'RolloutOutcome',
    'RolloutPlan',
    'RolloutProgress',
    'RolloutRead',
    'RolloutReply',
    'RolloutStart',
    'RolloutState',
    'RouteMapOutcome',
    'RouteMapPut',
    'RouteMapRead',
    'RouteMapReply',
    'Row',
    'SchedulingStatus',
    'ServerLimit',
    'ServiceTraffic',
    'SpeedSample',
    'StatusRead',
    'StatusReply',
    'StreamAsk',
    'StreamCancel',
    'StreamDecision',
    'StreamOrigin',
    'StreamPoll',
    'Suspected',
    'TableEdit',
    'TableRead',
    'TableReply',
    'VersionSample',
    'VersionsRecord',
    'VoteReply',
    'VoteRequest',
    'Watch',
    'WatchReply',
    'decode',
    'encode',
    'is_newer',
    'pack_map',
    'unpack_map',
    'unpack_routes',
    'unpack_services',
]
