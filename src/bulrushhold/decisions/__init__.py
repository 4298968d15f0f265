"""Decision logic without I/O: callers pass in time and random sources."""

from bulrushhold.decisions._accountretries import AccountRetryBudget
from bulrushhold.decisions._admissioncontrol import ADMISSION_CHECK_S
from bulrushhold.decisions._admissioncontrol import AdmissionController
from bulrushhold.decisions._admissioncontrol import AdmissionDecision
from bulrushhold.decisions._admissioncontrol import CapacityEstimate
from bulrushhold.decisions._admissioncontrol import retry_after_s
from bulrushhold.decisions._backendserver import BackendServer
from bulrushhold.decisions._brittleservices import BrittleServices
from bulrushhold.decisions._claims import ClaimState
from bulrushhold.decisions._clienteviction import ClientStage
from bulrushhold.decisions._clienteviction import ClientState
from bulrushhold.decisions._clienteviction import free_memory_order
from bulrushhold.decisions._clienteviction import free_place_order
from bulrushhold.decisions._clienteviction import large_requests
from bulrushhold.decisions._configchanges import new_identity
from bulrushhold.decisions._configchanges import next_config
from bulrushhold.decisions._configchanges import with_learner
from bulrushhold.decisions._controlservers import ControlServers
from bulrushhold.decisions._copies import CopyStore
from bulrushhold.decisions._copies import MAX_COPY_ADDRESSES
from bulrushhold.decisions._copypeers import CopyPeers
from bulrushhold.decisions._copypeers import CopyPeerStatus
from bulrushhold.decisions._enginecrashes import content_fingerprint
from bulrushhold.decisions._enginecrashes import EngineCrashTracker
from bulrushhold.decisions._enginelosses import EngineLosses
from bulrushhold.decisions._engineroom import EngineRoom
from bulrushhold.decisions._engineshares import engine_shares
from bulrushhold.decisions._engineshares import owned_rooms
from bulrushhold.decisions._enginespeeds import EngineSpeeds
from bulrushhold.decisions._enginespeeds import LatencyObjective
from bulrushhold.decisions._enginespeeds import PauseSamples
from bulrushhold.decisions._enginespeeds import PromptRead
from bulrushhold.decisions._entryweights import choose_entries
from bulrushhold.decisions._entryweights import entry_capacity
from bulrushhold.decisions._entryweights import LoadFactor
from bulrushhold.decisions._entryweights import weights_differ
from bulrushhold.decisions._fairqueue import FairQueue
from bulrushhold.decisions._fairshares import allocate
from bulrushhold.decisions._homes import home_address
from bulrushhold.decisions._homes import next_home_address
from bulrushhold.decisions._incarnations import Incarnations
from bulrushhold.decisions._incarnations import LIST_MARGIN_S
from bulrushhold.decisions._incarnations import Start
from bulrushhold.decisions._lifecycle import Lifecycle
from bulrushhold.decisions._listcopy import BackendList
from bulrushhold.decisions._listcopy import EntryList
from bulrushhold.decisions._listcopy import list_splices
from bulrushhold.decisions._listcopy import ListCopy
from bulrushhold.decisions._loadaggregator import LoadAggregator
from bulrushhold.decisions._permithome import PermitHome
from bulrushhold.decisions._placehome import PlaceHome
from bulrushhold.decisions._placement import Placement
from bulrushhold.decisions._poisonrequests import CrashVerdict
from bulrushhold.decisions._poisonrequests import fingerprint
from bulrushhold.decisions._poisonrequests import PoisonRequestDetector
from bulrushhold.decisions._poisonrequests import Verdict
from bulrushhold.decisions._proxypeers import ProxyPeers
from bulrushhold.decisions._proxypeers import usable_proxies
from bulrushhold.decisions._quota import LEASE_S as QUOTA_LEASE_S
from bulrushhold.decisions._quota import QuotaHome
from bulrushhold.decisions._quota import QuotaShare
from bulrushhold.decisions._quota import RENEW_S as QUOTA_RENEW_S
from bulrushhold.decisions._raftstate import PersistedState
from bulrushhold.decisions._raftstate import Ready
from bulrushhold.decisions._raftstate import Role
from bulrushhold.decisions._raftstate import Timing
from bulrushhold.decisions._reachability import Reachability
from bulrushhold.decisions._readrate import ReadRate
from bulrushhold.decisions._recovery import Action
from bulrushhold.decisions._recovery import GapEstimate
from bulrushhold.decisions._recovery import HedgingPolicy
from bulrushhold.decisions._recovery import RecoveryPolicy
from bulrushhold.decisions._recovery import SequentialPolicy
from bulrushhold.decisions._recovery import WorkBudget
from bulrushhold.decisions._rejections import Rejections
from bulrushhold.decisions._rendezvous import copy_peers
from bulrushhold.decisions._rendezvous import entries_for_account
from bulrushhold.decisions._rendezvous import entries_needed
from bulrushhold.decisions._rendezvous import home_entries
from bulrushhold.decisions._rendezvous import pointer_homes
from bulrushhold.decisions._rendezvous import rendezvous_order
from bulrushhold.decisions._rendezvous import SMALL_ACCOUNT_ENTRIES
from bulrushhold.decisions._replica import Replica
from bulrushhold.decisions._requestlimits import RequestLimits
from bulrushhold.decisions._retryhome import GRANT_TTL_S
from bulrushhold.decisions._retryhome import RetryHome
from bulrushhold.decisions._retryhome import SUMMARY_S
from bulrushhold.decisions._rolloutanalysis import RolloutAnalysis
from bulrushhold.decisions._rolloutanalysis import Verdict as RolloutVerdict
from bulrushhold.decisions._rolloutdriver import DEFAULT_EXPOSURE
from bulrushhold.decisions._rolloutdriver import ExposureLimits
from bulrushhold.decisions._rolloutdriver import RolloutDriver
from bulrushhold.decisions._rolloutdriver import Step as RolloutStep
from bulrushhold.decisions._rolloutevidence import add_evidence
from bulrushhold.decisions._rolloutevidence import latency_bucket
from bulrushhold.decisions._rolloutstate import RolloutTable
from bulrushhold.decisions._routing import BackendState
from bulrushhold.decisions._routing import Choice
from bulrushhold.decisions._routing import Router
from bulrushhold.decisions._schedulerstate import FlowState
from bulrushhold.decisions._schedulerstate import SchedulerState
from bulrushhold.decisions._serviceretries import RetryPriority
from bulrushhold.decisions._serviceretries import RetryUsage
from bulrushhold.decisions._serviceretries import ServiceRetryBudget
from bulrushhold.decisions._spareengines import has_spare_engines
from bulrushhold.decisions._stalltimeouts import first_event_timeout_s
from bulrushhold.decisions._stalltimeouts import StallTimeouts
from bulrushhold.decisions._statemachine import ReplicatedState
from bulrushhold.decisions._streamorigins import MAX_ORIGINS
from bulrushhold.decisions._streamorigins import ORIGIN_HOMES
from bulrushhold.decisions._streamorigins import origin_homes
from bulrushhold.decisions._streamorigins import origin_key
from bulrushhold.decisions._streamorigins import OriginStore
from bulrushhold.decisions._streamscheduler import StreamScheduler
from bulrushhold.decisions._swim import Membership
from bulrushhold.decisions._swim import PERIOD_S as MEMBERSHIP_PERIOD_S
from bulrushhold.decisions._swim import PROBE_S as MEMBERSHIP_PROBE_TIMEOUT_S
from bulrushhold.decisions._table import difference
from bulrushhold.decisions._table import TableState
from bulrushhold.decisions._tablecsv import read as read_csv
from bulrushhold.decisions._tablecsv import write as write_csv
from bulrushhold.decisions._takeover import best_copy
from bulrushhold.decisions._takeover import PointerSummary
from bulrushhold.decisions._takeover import summarize_pointers
from bulrushhold.decisions._transcript import AcceptResult
from bulrushhold.decisions._transcript import Transcript
from bulrushhold.decisions._versionhistory import KnownVersions
from bulrushhold.decisions._versionhistory import listed_versions
from bulrushhold.decisions._versionhistory import moved_routes
from bulrushhold.decisions._versionhistory import recorded_routes
from bulrushhold.decisions._versionhistory import route_key
from bulrushhold.decisions._versionhistory import stream_services
from bulrushhold.decisions._versionhistory import VersionRecorder
from bulrushhold.decisions._versionhistory import with_map_version
from bulrushhold.decisions._versionsplit import count_by_version
from bulrushhold.decisions._versionsplit import VersionSplit
from bulrushhold.decisions._waitingorder import Waiter
from bulrushhold.decisions._waitingorder import WaitingOrder

__all__ = [
    'GRANT_TTL_S',
    'SUMMARY_S',
    'ADMISSION_CHECK_S',
    'AcceptResult',
    'AccountRetryBudget',
    'Action',
    'AdmissionController',
    'AdmissionDecision',
    'BackendList',
    'BackendServer',
    'BackendState',
    'BrittleServices',
    'CapacityEstimate',
    'Choice',
    'ClaimState',
    'ClientStage',
    'ClientState',
    'ControlServers',
    'CopyPeerStatus',
    'CopyPeers',
    'CopyStore',
    'CrashVerdict',
    'DEFAULT_EXPOSURE',
    'EngineCrashTracker',
    'EngineLosses',
    'EngineRoom',
    'EngineSpeeds',
    'EntryList',
    'ExposureLimits',
    'FairQueue',
    'FlowState',
    'GapEstimate',
    'HedgingPolicy',
    'Incarnations',
    'LIST_MARGIN_S',
    'KnownVersions',
    'LatencyObjective',
    'Lifecycle',
    'ListCopy',
    'LoadAggregator',
    'MAX_COPY_ADDRESSES',
    'MEMBERSHIP_PERIOD_S',
    'MEMBERSHIP_PROBE_TIMEOUT_S',
    'LoadFactor',
    'Membership',
    'OriginStore',
    'PauseSamples',
    'PermitHome',
    'PersistedState',
    'PlaceHome',
    'Placement',
    'PointerSummary',
    'PoisonRequestDetector',
    'PromptRead',
    'ProxyPeers',
    'QUOTA_LEASE_S',
    'QUOTA_RENEW_S',
    'QuotaHome',
    'QuotaShare',
    'Reachability',
    'ReadRate',
    'Ready',
    'RecoveryPolicy',
    'Replica',
    'ReplicatedState',
    'RequestLimits',
    'Role',
    'RolloutAnalysis',
    'RolloutDriver',
    'RolloutStep',
    'RolloutTable',
    'RolloutVerdict',
    'Router',
    'SMALL_ACCOUNT_ENTRIES',
    'SequentialPolicy',
    'SchedulerState',
    'Rejections',
    'RetryHome',
    'RetryPriority',
    'RetryUsage',
    'ServiceRetryBudget',
    'StallTimeouts',
    'Start',
    'StreamScheduler',
    'TableState',
    'Timing',
    'Transcript',
    'Verdict',
    'VersionRecorder',
    'VersionSplit',
    'Waiter',
    'WaitingOrder',
    'WorkBudget',
    'add_evidence',
    'allocate',
    'best_copy',
    'choose_entries',
    'content_fingerprint',
    'copy_peers',
    'count_by_version',
    'difference',
    'engine_shares',
    'entries_for_account',
    'entries_needed',
    'entry_capacity',
    'fingerprint',
    'first_event_timeout_s',
    'free_memory_order',
    'free_place_order',
    'has_spare_engines',
    'home_address',
    'home_entries',
    'large_requests',
    'latency_bucket',
    'list_splices',
    'listed_versions',
    'moved_routes',
    'recorded_routes',
    'route_key',
    'stream_services',
    'with_map_version',
    'new_identity',
    'next_config',
    'next_home_address',
    'MAX_ORIGINS',
    'ORIGIN_HOMES',
    'origin_homes',
    'origin_key',
    'owned_rooms',
    'pointer_homes',
    'read_csv',
    'rendezvous_order',
    'retry_after_s',
    'summarize_pointers',
    'weights_differ',
    'with_learner',
    'write_csv',
    'usable_proxies',
]
