"""Messages between control processes and forwarding entries."""

import attrs

from bulrushhold.messages import _lists
from bulrushhold.messages import _loads
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
    :param versions_age_s: time since they were the leader's.
    :param held_s: time for which the reply was held back. A receiver that
        was paused can't tell how old a reply is, but knows since when it has
        asked.
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
    loads: _loads.LoadSummary | None = None
    rollouts_version: str = ''
    rollouts: list[_rollouts.RolloutPlan] | None = None
    versions_version: str = ''
    versions: dict[str, list[str]] | None = None
    versions_age_s: float = 0.0
    held_s: float = 0.0


def is_newer(version: str, other: str) -> bool:
    """Whether a version of a part of the cluster view is newer than another.

    :param version: ``TERM.NUMBER``, or ``''`` for none.
    :param other: the version to compare with, in the same format.
    """
    return _version_key(version) > _version_key(other)


def _version_key(version: str) -> tuple[int, ...]:
    return tuple(map(int, version.split('.'))) if version else ()
