"""Messages between control processes and forwarding entries."""

import typing as t

import attrs
import msgspec

from bulrushhold.messages import _lists
from bulrushhold.messages import _rollouts


@attrs.frozen
class RouteMapPut:
    """Replaces the route map unless the current version is at least as new.

    :param packed: the map as encoded by :func:`pack_map`.
    :param source: the operator's document, returned unchanged on reads.
    """

    version: int
    packed: bytes
    source: bytes


@attrs.frozen
class RouteMapOutcome:
    """The current version after a :class:`RouteMapPut`."""

    version: int


@attrs.frozen
class RouteMapRead:
    """Requests the newest route map document from the leader."""


@attrs.frozen
class RouteMapReply:
    """Reply to :class:`RouteMapRead`; version 0 if there is no map."""

    status: str
    leader: str = ''
    version: int = 0
    source: bytes = b''


@attrs.frozen
class ListedBackend:
    """A backend server in the platform's list.

    :param ident: identifies one start of the server.
    :param version: version of its software.
    """

    ident: str
    service: str
    address: str
    data_centre: str
    slots: int
    leaving: bool = False
    version: str = ''


@attrs.frozen
class ListedEntry:
    """An entry as last reported to the leader.

    :param callers: address that callers connect to.
    :param ready: whether it accepts new callers.
    :param proxy: address at which it proxies requests of other entries, or
        ``''``.
    :param unreachable: services of which it reaches no server.
    :param weight: capacity of its instance for callers, relative to others.
    :param has_disk: whether its instance runs control too; its weight is then
        the mean of the others.
    :param load_factor: share of its usual callers that it asks for, less than
        1.0 while it is overloaded.
    """

    name: str
    data_centre: str
    callers: str
    ready: bool
    proxy: str = ''
    unreachable: tuple[str, ...] = ()
    weight: float = 1.0
    has_disk: bool = False
    load_factor: float = 1.0

    @property
    def ident(self) -> str:
        """What identifies it among other entries: its name."""
        return self.name


@attrs.frozen
class EngineLoad:
    """Load on one engine.

    :param reading: prompt tokens of requests without a first event.
    :param running: number of running streams.
    :param memory: tokens held for streams and for copies.
    """

    reading: int
    running: int
    memory: int = 0


@attrs.frozen
class ServiceTraffic:
    """Requests to a service within the window of the retry budget.

    :param firsts: requests from callers.
    :param repeats: retries sent to backend servers.
    :param waiting: streams queued until an engine has capacity.
    """

    firsts: int
    repeats: int
    waiting: int = 0


@attrs.frozen
class CrashReport:
    """A crash of a single engine that was running a request.

    :param fingerprint: identifies the request across retries.
    :param run_s: time from sending the request to the crash.
    :param age_s: time since the crash.
    """

    fingerprint: str
    engine: str
    run_s: float = 0.0
    age_s: float = 0.0


@attrs.frozen
class RequestBlock:
    """A request that is sent to no engine, as several crashed under it.

    :param remaining_s: time until the block ends.
    :param duration_s: its whole duration.
    """

    fingerprint: str
    remaining_s: float
    duration_s: float


@attrs.frozen
class EngineSpeed:
    """Recent speed of a service's engines.

    All fields are sums with exponential decay, so that reports of several
    entries can be added.

    :param tokens: tokens of prompts read, and of prompts queued before them.
    :param read_s: time from sending prompts to their first events.
    :param pauses: number of gaps between the events of streams.
    :param pause_s: total duration of the gaps.
    :param pause_sq: sum of the squared durations of the gaps.
    :param runs: streams completed by a single engine.
    :param run_s: time from sending them to their last events.
    :param prompt_tokens: tokens of prompts read, each counted once; only of
        services with ordered admission.
    """

    tokens: float = 0.0
    read_s: float = 0.0
    pauses: float = 0.0
    pause_s: float = 0.0
    pause_sq: float = 0.0
    runs: float = 0.0
    run_s: float = 0.0
    prompt_tokens: float = 0.0


@attrs.frozen
class SpeedSample:
    """How long one engine took to read prompts.

    :param expected_s: at the mean speed of its service.
    :param observed_s: from sending the prompts to their first events.
    """

    expected_s: float
    observed_s: float


@attrs.frozen
class FailureSample:
    """How many attempts at one plain server failed.

    :param attempts: with exponential decay, except in an entry's report.
    :param failures: those of the attempts that failed.
    :param age_s: time since the newest attempt, at which the counts hold.
    """

    attempts: float
    failures: float
    age_s: float = 0


FailureSamples = dict[str, FailureSample] | msgspec.UnsetType


def _omit_empty(samples: FailureSamples) -> FailureSamples:
    return samples or msgspec.UNSET


def _failures_field() -> t.Any:
    """Return a field that isn't encoded if there are no samples.

    Messages of deployments whose servers state no pace don't grow by it.
    """
    return attrs.field(default=msgspec.UNSET, converter=_omit_empty)


@attrs.frozen
class ServerLimit:
    """The request limit of a backend server, which holds for all entries.

    :param per_s: requests per second; ``None`` if it has ended.
    :param age_s: time since the server named it, or was without one.
    """

    server: str
    per_s: float | None
    age_s: float


@attrs.frozen
class PermitAsk:
    """Asks the home of a limited server for a permit to send one request.

    :param per_s: the server's limit as known by the entry.
    :param age_s: age of that knowledge.
    :param max_wait_s: how long the request can wait for the permit.
    """

    server: str
    entry: str
    per_s: float
    age_s: float
    max_wait_s: float = 0.0


@attrs.frozen
class PermitGrant:
    """Reply to :class:`PermitAsk`.

    :param granted: whether a permit was granted.
    :param wait_s: time until the permit is valid, or until one would be.
    :param hold_s: without a permit, time until the entry should ask again
        for a request that can't wait.
    """

    granted: bool
    wait_s: float
    hold_s: float = 0.0


@attrs.frozen
class LoadReport:
    """The load of one entry; replaces its previous report.

    :param engines: load by engine.
    :param lost: engines lost since the previous report.
    :param replaced: engines replaced by another one at the same address
        since the previous report.
    :param traffic: traffic by service.
    :param crashes: crash reports since the previous report.
    :param speeds: engine speed by service.
    :param evidence: results of running rollouts by service.
    :param limits: request limits that have changed since the previous report.
    :param blocks: blocks of requests since the previous report.
    :param samples: speed of single engines since the previous report.
    :param failures: attempts at plain servers since the previous report.
    """

    entry: str
    engines: dict[str, EngineLoad]
    lost: list[str]
    replaced: list[str] = attrs.field(factory=list)
    traffic: dict[str, ServiceTraffic] = attrs.field(factory=dict)
    crashes: list[CrashReport] = attrs.field(factory=list)
    speeds: dict[str, EngineSpeed] = attrs.field(factory=dict)
    evidence: dict[str, _rollouts.RolloutEvidence] = attrs.field(factory=dict)
    limits: list[ServerLimit] = attrs.field(factory=list)
    blocks: list[RequestBlock] = attrs.field(factory=list)
    samples: dict[str, SpeedSample] = attrs.field(factory=dict)
    failures: FailureSamples = _failures_field()

    @property
    def urgent(self) -> bool:
        """Whether it holds events that no later report repeats."""
        return bool(
            self.lost
            or self.replaced
            or self.crashes
            or self.limits
            or self.blocks
        )


@attrs.frozen
class Received:
    """Acknowledges a message, which is resent otherwise."""


@attrs.frozen
class NodeLoad:
    """The total load of the entries attached to one control process.

    :param node: peer address of the sender.
    :param incarnation: differs between starts of the sender.
    :param number: sequence number of the sum.
    :param since: sequence number that the sum is a difference to; it holds
        the events and engines that changed after it. With 0 it holds all.
    :param acknowledged: incarnation and sequence number of the newest sum
        received, by peer address.
    """

    node: str
    data_centre: str
    incarnation: int
    number: int
    since: int
    sum: LoadReport
    acknowledged: dict[str, tuple[int, int]] = attrs.field(factory=dict)


@attrs.frozen
class LoadSummary:
    """The total load of all other entries.

    :param number: sequence number; restarts with the control process.
    :param engines: load by engine.
    :param lost: engines lost since the number given in the request.
    :param replaced: engines replaced since the number given in the request.
    :param traffic: traffic by service.
    :param crashes: crash reports since the number given in the request.
    :param speeds: engine speed by service.
    :param age_s: age of the oldest sum included.
    :param silent: data centres whose sums are missing.
    :param since: sequence number of the summary that this one is a
        difference to; it holds the engines that changed. With 0 it holds
        all.
    :param limits: request limits that changed since the number given in the
        request.
    :param blocks: blocks of requests since the number given in the request.
    :param slowness: by engine, the time that it needs relative to the mean of
        its service; engines whose value has changed.
    :param failures: by plain server, the attempts of all other entries;
        servers whose share of failures has changed.
    """

    number: int
    engines: dict[str, EngineLoad]
    lost: list[str]
    replaced: list[str] = attrs.field(factory=list)
    traffic: dict[str, ServiceTraffic] = attrs.field(factory=dict)
    crashes: list[CrashReport] = attrs.field(factory=list)
    speeds: dict[str, EngineSpeed] = attrs.field(factory=dict)
    age_s: float = 0.0
    silent: list[str] = attrs.field(factory=list)
    since: int = 0
    limits: list[ServerLimit] = attrs.field(factory=list)
    blocks: list[RequestBlock] = attrs.field(factory=list)
    slowness: dict[str, float] = attrs.field(factory=dict)
    failures: FailureSamples = _failures_field()


@attrs.frozen
class ControlNode:
    """A control process, as listed for entries and other processes.

    :param address: address for messages between processes.
    :param replica: whether it stores the log; entries prefer a relay.
    :param link_mbps: network bandwidth of its instance.
    :param incarnation: differs between starts of the process.
    """

    address: str
    data_centre: str
    replica: bool
    link_mbps: float = 0.0
    incarnation: int = 0


@attrs.frozen
class Known:
    """Versions of the data that the requesting process already has.

    :param route_map: version of the current route map; 0 for none.
    :param backends_digest: digest of the list of backend servers, to which
        a difference can be sent; empty to request a full list. A version
        doesn't identify a list: terms start again in a new log.
    :param entries_digest: the same for the list of entries.
    """

    route_map: int = 0
    backends: str = ''
    entries: str = ''
    nodes: str = ''
    rollouts: str = ''
    versions: str = ''
    backends_digest: bytes = b''
    entries_digest: bytes = b''


@attrs.frozen
class Watch:
    """An entry's long poll, answered as soon as something changes.

    :param entry: the requesting entry; the poll is also its heartbeat.
    :param hold_s: maximum time until the reply.
    :param known_loads: sequence number of the newest :class:`LoadSummary` that
        it has from the receiver.
    """

    entry: ListedEntry
    known: Known
    hold_s: float
    known_loads: int = 0


@attrs.frozen
class NodeWatch:
    """A control process's long poll to the leader.

    :param entries: entries attached to the requesting process.
    """

    node: ControlNode
    entries: list[ListedEntry]
    known: Known
    hold_s: float


@attrs.frozen
class WatchReply:
    """Reply to :class:`Watch` and :class:`NodeWatch`.

    Data that the request already has are ``None``.

    :param core: addresses of the voting replicas.
    :param route_map: the map as encoded by :func:`pack_map`.
    :param map_version: version of the sender's route map.
    :param backends_age_s: time since the platform's list was read.
    :param versions: versions of engines that may have begun running streams,
        by service.
    """

    status: str
    leader: str = ''
    core: list[str] = attrs.field(factory=list)
    route_map: bytes | None = None
    map_version: int = 0
    backends_version: str = ''
    backends: _lists.ListUpdate | None = None
    backends_age_s: float = 0.0
    entries_version: str = ''
    entries: _lists.ListUpdate | None = None
    nodes_version: str = ''
    nodes: list[ControlNode] | None = None
    loads: LoadSummary | None = None
    rollouts_version: str = ''
    rollouts: list[_rollouts.RolloutPlan] | None = None
    versions_version: str = ''
    versions: dict[str, list[str]] | None = None


def is_newer(version: str, other: str) -> bool:
    """Whether a version of a part of the cluster view is newer than another.

    :param version: ``TERM.NUMBER``, or ``''`` for none.
    :param other: the version to compare with, in the same format.
    """
    return _version_key(version) > _version_key(other)


def _version_key(version: str) -> tuple[int, ...]:
    return tuple(map(int, version.split('.'))) if version else ()
