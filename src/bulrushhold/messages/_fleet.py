"""Messages between control and entries that forward opaque requests."""

import attrs


@attrs.frozen
class RouteMapPut:
    """Replaces the route map, unless one as new is there already.

    :param packed: the map, as :func:`pack_map` writes it.
    :param source: the operator's own document, to be read back as sent.
    """

    version: int
    packed: bytes
    source: bytes


@attrs.frozen
class RouteMapOutcome:
    """The version in force after a :class:`RouteMapPut`."""

    version: int


@attrs.frozen
class RouteMapRead:
    """Asks the leader for the operator's newest document."""


@attrs.frozen
class RouteMapReply:
    """Answers :class:`RouteMapRead`; version 0 where there is none yet."""

    status: str
    leader: str = ''
    version: int = 0
    source: bytes = b''


@attrs.frozen
class ListedBackend:
    """A backend server as the platform lists it.

    :param ident: of one start of it; another start has another.
    """

    ident: str
    service: str
    address: str
    data_centre: str
    slots: int
    leaving: bool = False


@attrs.frozen
class ListedEntry:
    """An entry as the leader of control last heard of it.

    :param callers: address that callers connect to.
    :param ready: takes new callers.
    """

    name: str
    data_centre: str
    callers: str
    ready: bool


@attrs.frozen
class EngineLoad:
    """What entries have running on one engine.

    :param reading: prompt tokens that have shown no event yet.
    :param running: streams.
    :param memory: tokens of streams, and of copies kept for others.
    """

    reading: int
    running: int
    memory: int = 0


@attrs.frozen
class ServiceTraffic:
    """Requests to a service within the window of the repeat budget.

    :param firsts: that callers sent.
    :param repeats: that were sent to a backend server once more.
    :param waiting: streams that are held until an engine can take them.
    """

    firsts: int
    repeats: int
    waiting: int = 0


@attrs.frozen
class CrashReport:
    """An engine crashed alone, with this request on it.

    :param fingerprint: of the request and all its repetitions.
    """

    fingerprint: str
    engine: str


@attrs.frozen
class EngineSpeed:
    """What was lately seen of a service's engines; adds up over entries.

    Sums, in which what was seen longer ago counts less.

    :param tokens: of prompts that were read, and of those ahead of them.
    :param read_s: seconds from sending them to their first events.
    :param pauses: between events of runs.
    :param pause_s: their seconds.
    :param pause_sq: the squares of their seconds.
    :param runs: streams written whole by one engine.
    :param run_s: seconds from sending them to their last events.
    """

    tokens: float = 0.0
    read_s: float = 0.0
    pauses: float = 0.0
    pause_s: float = 0.0
    pause_sq: float = 0.0
    runs: float = 0.0
    run_s: float = 0.0


@attrs.frozen
class LoadReport:
    """What one entry has running; replaces its report before.

    :param lost: engines that it has just lost.
    :param replaced: engines at whose address it has just found another one.
    :param traffic: by service.
    :param crashes: since its report before.
    :param speeds: by service.
    """

    entry: str
    engines: dict[str, EngineLoad]
    lost: list[str]
    replaced: list[str] = attrs.field(factory=list)
    traffic: dict[str, ServiceTraffic] = attrs.field(factory=dict)
    crashes: list[CrashReport] = attrs.field(factory=list)
    speeds: dict[str, EngineSpeed] = attrs.field(factory=dict)

    @property
    def urgent(self) -> bool:
        """Whether it holds news that no later report repeats."""
        return bool(self.lost or self.replaced or self.crashes)


@attrs.frozen
class Received:
    """Acknowledges a message that is sent again otherwise."""


@attrs.frozen
class NodeLoad:
    """The sum of the entries at one control process, for the others.

    :param node: peer address of the sender.
    :param incarnation: differs between starts of the sender.
    :param number: of the sum; counts up.
    :param since: number that the receiver must have; the sum holds events
        and engines that have changed since then. With 0 it holds all.
    :param acknowledged: by peer address, its incarnation and the number of
        its newest sum that has arrived.
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
    """What all other entries have running.

    :param number: of the summary; counts up while one process makes them.
    :param since: number of the summary to which this one is a difference:
        it holds the engines that have changed. With 0 it holds all.
    :param lost: engines lost since the number that was asked with.
    :param replaced: since then.
    :param traffic: by service.
    :param crashes: since then.
    :param speeds: by service.
    :param age_s: of the oldest sum in it.
    :param silent: data centres whose sums are missing.
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


@attrs.frozen
class ControlNode:
    """A control process, as entries and its peers find it.

    :param address: for messages between processes.
    :param replica: it keeps the log; one that doesn't has more time for
        entries.
    :param link_mbps: of its instance.
    """

    address: str
    data_centre: str
    replica: bool
    link_mbps: float = 0.0


@attrs.frozen
class Known:
    """Versions of what the asking process already has.

    :param route_map: in force there; 0 for none.
    """

    route_map: int = 0
    backends: str = ''
    entries: str = ''
    nodes: str = ''


@attrs.frozen
class Watch:
    """An entry's long poll: answered as soon as there is news.

    :param entry: the asking entry, which so stays listed.
    :param known_loads: number of its newest summary from this process.
    :param hold_s: answer after this time, with news or without.
    """

    entry: ListedEntry
    known: Known
    hold_s: float
    known_loads: int = 0


@attrs.frozen
class NodeWatch:
    """A control process's long poll at the leader.

    :param entries: that are attached to the asking process.
    """

    node: ControlNode
    entries: list[ListedEntry]
    known: Known
    hold_s: float


@attrs.frozen
class WatchReply:
    """Answers a long poll; what hasn't changed is ``None``.

    :param core: addresses of the replicas.
    :param route_map: compressed; see :func:`pack_map`.
    :param map_version: of the route map that is known here.
    :param backends_age_s: since the platform's list was read.
    """

    status: str
    leader: str = ''
    core: list[str] = attrs.field(factory=list)
    route_map: bytes | None = None
    map_version: int = 0
    backends_version: str = ''
    backends: list[ListedBackend] | None = None
    backends_age_s: float = 0.0
    entries_version: str = ''
    entries: list[ListedEntry] | None = None
    nodes_version: str = ''
    nodes: list[ControlNode] | None = None
    loads: LoadSummary | None = None


def is_newer(version: str, known: str) -> bool:
    """Whether a version of a leader's news is newer than another one.

    :param version: ``TERM.NUMBER``, or ``''`` for none.
    """
    return _order(version) > _order(known)


def _order(version: str) -> tuple[int, ...]:
    return tuple(map(int, version.split('.'))) if version else ()
