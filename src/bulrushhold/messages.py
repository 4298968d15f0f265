"""Typed messages between processes, and their codec (MessagePack)."""

import typing as t
import zlib

import attrs
import msgspec

from bulrushhold import errors
from bulrushhold import routes


@attrs.frozen
class LogEntry:
    """One entry of the replicated log.

    :param kind: one of the ``KIND_`` constants.
    """

    index: int
    term: int
    kind: int
    data: bytes


KIND_NOOP: t.Final = 0
KIND_COMMAND: t.Final = 1
KIND_CONFIG: t.Final = 2


@attrs.frozen
class Config:
    """Members of the replicated log: replica identity to address."""

    voters: dict[str, str] = attrs.field(factory=dict)
    learners: dict[str, str] = attrs.field(factory=dict)


@attrs.frozen
class VoteRequest:
    """Asks for a vote; a pre-vote only asks whether one would be given."""

    term: int
    candidate: str
    last_index: int
    last_term: int
    pre: bool


@attrs.frozen
class VoteReply:
    """Answers :class:`VoteRequest`; ``asked`` is the term asked for."""

    term: int
    voter: str
    granted: bool
    pre: bool
    asked: int


@attrs.frozen
class AppendRequest:
    """Entries, or a heartbeat; ``beat`` counts the leader's beats."""

    term: int
    leader: str
    prev_index: int
    prev_term: int
    entries: list[LogEntry]
    commit: int
    beat: int


@attrs.frozen
class AppendReply:
    """Answers :class:`AppendRequest` and :class:`InstallSnapshot`.

    :param match: last index known equal (success) or to try next.
    """

    term: int
    follower: str
    success: bool
    match: int
    beat: int


@attrs.frozen
class InstallSnapshot:
    """The whole state, for a follower behind the log's first entry."""

    term: int
    leader: str
    index: int
    index_term: int
    config: Config
    state: bytes
    beat: int


@attrs.frozen
class JoinRequest:
    """A replica with an empty disk asks to be a learner."""

    replica: str
    address: str


@attrs.frozen
class Row:
    """One row of the table: a client account's limits for a kind of work.

    :param weight: share under overload, relative to other rows.
    :param token_rate: engine tokens a second; 0 means no limit.
    :param concurrency: requests at once; 0 means no limit.
    :param deadline_s: seconds within which the first token is due.
    :param priority: passed on to engines; lower goes first.
    :param idempotent: whether the call may be repeated.
    """

    account: str
    work: str
    weight: float
    token_rate: float
    concurrency: int
    deadline_s: float
    priority: int
    idempotent: bool

    @property
    def key(self) -> str:
        """Name of the row in the table."""
        return f'{self.account}/{self.work}'


@attrs.frozen
class TableEdit:
    """What one push changes in the table as of ``base``.

    Only rows that differ from those at ``base``: a whole table of 27,000
    accounts in the log for each of 310 edits a day would be a gigabyte.

    :param edit_id: names the edit; a resend returns its first outcome.
    :param base: revision of the table that the operator had pulled.
    :param rows: added or changed.
    :param removed: keys of rows taken out.
    """

    edit_id: str
    base: int
    author: str
    at: float
    rows: list[Row]
    removed: list[str] = attrs.field(factory=list)


@attrs.frozen
class Conflict:
    """One cell changed by two operators; the accepted value stays."""

    row: str
    column: str
    accepted: str
    refused: str


@attrs.frozen
class EditOutcome:
    """What became of a :class:`TableEdit`."""

    accepted: bool
    revision: int
    changed: int = 0
    reason: str = ''
    conflicts: list[Conflict] = attrs.field(factory=list)


@attrs.frozen
class Claim:
    """Reserves one run of a non-idempotent call.

    :param key: account and idempotency key.
    :param key_time: seconds since the epoch that the key carries.
    :param fingerprint: hash of the call, to refuse a key's reuse.
    :param holder: the run that may go ahead if the claim is granted.
    """

    key: str
    key_time: float
    fingerprint: str
    holder: str


@attrs.frozen
class ClaimEnd:
    """Ends a claim: its outcome, or closed without a run."""

    key: str
    holder: str
    ran: str
    status: int
    body: bytes


@attrs.frozen
class ClaimOutcome:
    """The state of a claim after a command.

    :param granted: this holder may run the call, once.
    :param state: ``open``, ``done``, ``closed``, ``expired`` or
        ``mismatch``.
    """

    granted: bool
    state: str
    ran: str = 'unknown'
    status: int = 0
    body: bytes = b''


@attrs.frozen
class ForgetClaims:
    """Moves the watermark before which claims are forgotten."""

    before: float


@attrs.frozen
class Quarantine:
    """Refuses a request content; ``lift`` takes it back."""

    fingerprint: str
    reason: str
    at: float
    lift: bool = False


@attrs.frozen
class Proposal:
    """A command for the replicated state, in its encoded form."""

    command: bytes


@attrs.frozen
class ProposalReply:
    """Answers :class:`Proposal`.

    :param status: ``done``, ``not_leader`` (it was not proposed) or
        ``unknown`` (it may yet be committed).
    :param leader: address of the leader, where known.
    """

    status: str
    leader: str = ''
    result: bytes = b''


@attrs.frozen
class Suspected:
    """Contents that ran on an engine when it died."""

    fingerprints: list[str]


@attrs.frozen
class Refusals:
    """Contents that are refused, and those that may become so.

    :param suspects: each has seen one engine die.
    """

    quarantined: list[str]
    suspects: list[str]


@attrs.frozen
class TableRead:
    """Asks the leader for what changed after revision ``known``.

    :param instance: the asking entry, whose revision in force is kept;
        ``''`` for an operator's pull.
    :param known_refusals: revision of quarantine and suspects it has.
    :param at: if not negative, the whole table as of this revision is
        wanted.
    """

    known: int
    instance: str
    known_refusals: int = -1
    at: int = -1


@attrs.frozen
class TableReply:
    """The table under the leader's lease, whole or as a change."""

    status: str
    leader: str = ''
    revision: int = 0
    whole: bool = False
    rows: list[Row] = attrs.field(factory=list)
    removed: list[str] = attrs.field(factory=list)
    refusals_revision: int = 0
    refusals: Refusals | None = None


@attrs.frozen
class HistoryRead:
    """Asks for the table's edits, newest first."""

    limit: int = 50


@attrs.frozen
class HistoryItem:
    """One accepted edit."""

    revision: int
    author: str
    at: float
    changes: list[str]


@attrs.frozen
class HistoryReply:
    """Answers :class:`HistoryRead`."""

    status: str
    leader: str = ''
    items: list[HistoryItem] = attrs.field(factory=list)


@attrs.frozen
class StatusRead:
    """Asks a process for its status."""


@attrs.frozen
class StatusReply:
    """The status of a control process.

    :param in_force: instance to revision in force and seconds since it
        was last heard; only the leader knows.
    """

    replica: str
    role: str
    term: int
    leader: str
    commit: int
    revision: int
    voters: list[str]
    learners: list[str]
    in_force: dict[str, tuple[int, float]] = attrs.field(factory=dict)


@attrs.frozen
class PointerTake:
    """Registers who serves a key, at the key's pointer homes.

    :param epoch: of the entry that asks; the highest wins.
    :param copies: addresses that will hold this entry's transcript.
    :param begins: the entry begins a new text; copies written before
        this epoch are of a former one.
    :param since: the epoch that began the text, where the entry that
        serves it refreshes the pointer; else 0.
    """

    key: str
    epoch: int
    fingerprint: str
    copies: list[str]
    begins: bool = False
    since: int = 0


@attrs.frozen
class PointerState:
    """Answers :class:`PointerTake`.

    :param epoch: the epoch now in force at this home.
    :param former: addresses with the former entry's transcript.
    :param since: the epoch that began the newest text, 0 for none.
    :param sure: the home knows the key, or has run for long enough to
        know every key in use.
    """

    granted: bool
    epoch: int
    former: list[str]
    since: int = 0
    sure: bool = True
    mismatch: bool = False


@attrs.frozen
class CopyAppend:
    """Tokens for the copy of one transcript.

    :param epoch: of the entry that serves the request; higher wins.
    :param offset: position of the first of ``tokens``.
    :param version: of the model that produced them.
    :param finish: why the generation ended, with its last append.
    """

    key: str
    epoch: int
    offset: int
    tokens: list[str]
    version: str
    finish: str = ''


@attrs.frozen
class CopyBatch:
    """All appends of one entry for one peer since the last batch."""

    appends: list[CopyAppend]


@attrs.frozen
class CopyAck:
    """What became of one append that wasn't simply stored.

    :param number: position of the append in its batch.
    :param ok: ``False`` where a higher epoch fences the sender.
    :param length: tokens that the copy now holds.
    """

    number: int
    ok: bool
    length: int


@attrs.frozen
class CopyBatchAck:
    """Answers :class:`CopyBatch`; appends it doesn't name were stored."""

    exceptions: list[CopyAck]


@attrs.frozen
class CopyTake:
    """Asks for a key's copy and fences the entry that wrote it."""

    key: str
    epoch: int


@attrs.frozen
class CopyState:
    """Answers :class:`CopyTake` with what the peer holds.

    :param written: epoch of the entry that wrote the tokens, 0 for none.
    """

    granted: bool
    epoch: int
    written: int = 0
    tokens: list[str] = attrs.field(factory=list)
    version: str = ''
    finish: str = ''


@attrs.frozen
class QuotaAsk:
    """Asks a row's home for a lease on its limits.

    :param row: key of the row.
    :param holder: the asking entry.
    :param want: the asker's claim to a part, relative to others'.
    :param need: requests at once that it could use now.
    :param running: those that run beyond the floor.
    :param entries: entries that the asker counts, for the floor.
    """

    row: str
    holder: str
    want: float
    need: int
    running: int
    entries: int


@attrs.frozen
class QuotaGrant:
    """A lease: tokens a second and requests at once, for some seconds."""

    rate: float
    slots: int
    lease_s: float


@attrs.frozen
class MemberNews:
    """What is said of one entry.

    :param incarnation: the entry's own number; only it may raise it.
    :param status: a value of the membership's ``Status``.
    """

    name: str
    incarnation: int
    status: str


@attrs.frozen
class Probe:
    """Asks an entry for a sign of life, and tells it news."""

    news: list[MemberNews]


@attrs.frozen
class ProbeFor:
    """Asks an entry to probe another one, by its address."""

    target: str
    news: list[MemberNews]


@attrs.frozen
class ProbeReply:
    """Answers :class:`Probe` and :class:`ProbeFor`."""

    answered: bool
    news: list[MemberNews]


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
    """

    firsts: int
    repeats: int


@attrs.frozen
class Sighting:
    """What one entry sees of engines; replaces what it said before.

    :param lost: engines that it has just lost.
    :param moved: engines whose address has just been found to be another
        one's.
    :param traffic: by service.
    """

    entry: str
    engines: dict[str, EngineSeen]
    lost: list[str]
    moved: list[str] = attrs.field(factory=list)
    traffic: dict[str, ServiceTraffic] = attrs.field(factory=dict)


@attrs.frozen
class Sightings:
    """What all other entries see of engines.

    :param number: of the news; counts up while one process leads.
    :param lost: engines lost since the number that was asked with.
    :param moved: engines since then known to be at no address any more.
    :param traffic: by service.
    """

    number: int
    engines: dict[str, EngineSeen]
    lost: list[str]
    moved: list[str] = attrs.field(factory=list)
    traffic: dict[str, ServiceTraffic] = attrs.field(factory=dict)


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


@attrs.frozen
class Failure:
    """A peer's handler failed; carries the reason to the asker."""

    reason: str


Message = t.Any

_CLASSES: t.Final[tuple[type, ...]] = (
    VoteRequest,
    VoteReply,
    AppendRequest,
    AppendReply,
    InstallSnapshot,
    JoinRequest,
    TableEdit,
    EditOutcome,
    Claim,
    ClaimEnd,
    ClaimOutcome,
    ForgetClaims,
    Quarantine,
    Suspected,
    Proposal,
    ProposalReply,
    TableRead,
    TableReply,
    HistoryRead,
    HistoryReply,
    StatusRead,
    StatusReply,
    PointerTake,
    PointerState,
    CopyBatch,
    CopyBatchAck,
    CopyTake,
    CopyState,
    QuotaAsk,
    QuotaGrant,
    MemberNews,
    Probe,
    ProbeFor,
    ProbeReply,
    RouteMapPut,
    RouteMapOutcome,
    RouteMapRead,
    RouteMapReply,
    Sighting,
    Watch,
    WatchReply,
    Failure,
)
_DECODERS = {cls.__name__: msgspec.msgpack.Decoder(cls) for cls in _CLASSES}
_ENVELOPE = msgspec.msgpack.Decoder(tuple[str, msgspec.Raw])
_ENCODER = msgspec.msgpack.Encoder()


def encode(message: Message) -> bytes:
    """Return the wire form of a message: its name and its fields."""
    return _ENCODER.encode((type(message).__name__, message))


def decode(data: bytes) -> Message:
    """Return the message in ``data``.

    :raises PeerError: where it is malformed or of no known kind.
    """
    try:
        name, body = _ENVELOPE.decode(data)
        return _DECODERS[name].decode(body)
    except (msgspec.DecodeError, KeyError) as error:
        raise errors.PeerError(
            f'malformed message: {error}', 'decode'
        ) from error


_MAP_DECODER = msgspec.msgpack.Decoder(routes.RouteMap)


def pack_map(route_map: routes.RouteMap) -> bytes:
    """Return a route map in a form fit for many entries.

    A map of 400 routes is 60 KB and packs to 5 KB; an entry may have a
    link of 5 Mbit/s.
    """
    return zlib.compress(_ENCODER.encode(route_map), 3)


def unpack_map(data: bytes) -> routes.RouteMap:
    """Return the route map in ``data``.

    :raises PeerError: where it is malformed.
    """
    try:
        return _MAP_DECODER.decode(zlib.decompress(data))
    except (msgspec.DecodeError, zlib.error) as error:
        raise errors.PeerError(
            f'malformed route map: {error}', 'decode'
        ) from error
