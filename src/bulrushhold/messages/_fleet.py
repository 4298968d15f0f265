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
class EngineSeen:
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
class EngineDeath:
    """An engine was lost alone, with this request on it.

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
class Sighting:
    """What one entry sees of engines; replaces what it said before.

    :param lost: engines that it has just lost.
    :param moved: engines whose address has just been found to be another
        one's.
    :param traffic: by service.
    :param deaths: seen since it last spoke.
    :param speeds: by service.
    """

    entry: str
    engines: dict[str, EngineSeen]
    lost: list[str]
    moved: list[str] = attrs.field(factory=list)
    traffic: dict[str, ServiceTraffic] = attrs.field(factory=dict)
    deaths: list[EngineDeath] = attrs.field(factory=list)
    speeds: dict[str, EngineSpeed] = attrs.field(factory=dict)


@attrs.frozen
class Sightings:
    """What all other entries see of engines.

    :param number: of the news; counts up while one process leads.
    :param lost: engines lost since the number that was asked with.
    :param moved: engines since then known to be at no address any more.
    :param traffic: by service.
    :param deaths: since then.
    :param speeds: by service.
    """

    number: int
    engines: dict[str, EngineSeen]
    lost: list[str]
    moved: list[str] = attrs.field(factory=list)
    traffic: dict[str, ServiceTraffic] = attrs.field(factory=dict)
    deaths: list[EngineDeath] = attrs.field(factory=list)
    speeds: dict[str, EngineSpeed] = attrs.field(factory=dict)


@attrs.frozen
class Watch:
    """An entry's held call: answered as soon as there is news.

    :param entry: the asking entry, which so stays listed.
    :param known_map: version of the route map in force there.
    :param known_backends: version of the list it has.
    :param known_entries: version of the entries it has.
    :param known_sightings: number of the sightings it has.
    :param hold_s: answer after this time, with news or without.
    """

    entry: ListedEntry
    known_map: int
    known_backends: str
    known_entries: str
    hold_s: float
    known_sightings: int = 0


@attrs.frozen
class WatchReply:
    """Answers :class:`Watch`; what hasn't changed is ``None``.

    :param core: addresses of the control processes.
    :param route_map: compressed; see :func:`pack_map`.
    :param backends_age_s: since the platform's list was read.
    """

    status: str
    leader: str = ''
    core: list[str] = attrs.field(factory=list)
    route_map: bytes | None = None
    backends_version: str = ''
    backends: list[ListedBackend] | None = None
    backends_age_s: float = 0.0
    entries_version: str = ''
    entries: list[ListedEntry] | None = None
    sightings: Sightings | None = None
