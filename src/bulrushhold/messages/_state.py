"""Commands and reads of the replicated state: table, claims, quarantine."""

import attrs


@attrs.frozen
class Row:
    """A row of the table: a client account's limits for a kind of work.

    :param weight: share under overload, relative to other rows.
    :param token_rate: engine tokens per second; 0 means no limit.
    :param concurrency: concurrent requests; 0 means no limit.
    :param deadline_s: seconds within which the first token is due.
    :param priority: passed on to engines; lower values are served first.
    :param idempotent: whether the call may be retried.
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
        """The key of the row in the table."""
        return f'{self.account}/{self.work}'


@attrs.frozen
class TableEdit:
    """Changes that one push makes to the table.

    Holds only rows that differ from revision ``base``, to keep the log
    small.

    :param edit_id: idempotency key; a resend returns the first outcome.
    :param base: revision of the table that the operator pulled.
    :param rows: added or changed rows.
    :param removed: keys of removed rows.
    """

    edit_id: str
    base: int
    author: str
    at: float
    rows: list[Row]
    removed: list[str] = attrs.field(factory=list)


@attrs.frozen
class Conflict:
    """A cell changed by two operators; the accepted value is kept."""

    row: str
    column: str
    accepted: str
    refused: str


@attrs.frozen
class EditOutcome:
    """Result of a :class:`TableEdit`."""

    accepted: bool
    revision: int
    changed: int = 0
    reason: str = ''
    conflicts: list[Conflict] = attrs.field(factory=list)


@attrs.frozen
class Claim:
    """Reserves the single execution of a non-idempotent call.

    :param key: account and idempotency key.
    :param key_time: time in the key, in seconds since the Unix epoch.
    :param fingerprint: hash of the call, to detect reuse of the key.
    :param holder: the attempt that may proceed if the claim is granted.
    """

    key: str
    key_time: float
    fingerprint: str
    holder: str


@attrs.frozen
class ClaimEnd:
    """Ends a claim with its outcome, or closes it without execution."""

    key: str
    holder: str
    ran: str
    status: int
    body: bytes


@attrs.frozen
class ClaimOutcome:
    """The state of a claim after a command.

    :param granted: whether this holder may execute the call, once.
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
    """Advances the watermark before which claims are discarded."""

    before: float


@attrs.frozen
class Quarantine:
    """Quarantines a request content, or with ``lift`` releases it.

    :param fingerprint: hash of the request content.
    """

    fingerprint: str
    reason: str
    at: float
    lift: bool = False


@attrs.frozen
class Proposal:
    """An encoded command for the replicated state."""

    command: bytes


@attrs.frozen
class ProposalReply:
    """Reply to :class:`Proposal`.

    :param status: ``done``, ``not_leader`` (it was not proposed) or
        ``unknown`` (it may still be committed).
    :param leader: address of the leader, if known.
    """

    status: str
    leader: str = ''
    result: bytes = b''


@attrs.frozen
class Suspected:
    """Reports request contents that an engine was running when it crashed."""

    fingerprints: list[str]


@attrs.frozen
class VersionsRecord:
    """Replaces the versions that may have begun running streams.

    :param versions: versions of the engines of each service.
    :param map_version: version of the route map that they were found under;
        under another one the record is ignored. -1 for any.
    """

    versions: dict[str, list[str]]
    map_version: int = -1


@attrs.frozen
class Refusals:
    """Quarantined request contents, and candidates for quarantine.

    :param suspects: contents that one engine was running when it crashed.
    """

    quarantined: list[str]
    suspects: list[str]


@attrs.frozen
class TableRead:
    """Requests the changes after revision ``known`` from the leader.

    :param instance: the requesting entry, whose applied revision is
        recorded; ``''`` for an operator's pull.
    :param known_refusals: revision of its :class:`Refusals`.
    :param at: if not negative, requests the whole table at this revision.
    """

    known: int
    instance: str
    known_refusals: int = -1
    at: int = -1


@attrs.frozen
class TableReply:
    """Reply to :class:`TableRead`, read under the leader's lease.

    :param whole: whether ``rows`` are the whole table, not only changes.
    """

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
    """Requests the accepted edits of the table, newest first."""

    limit: int = 50


@attrs.frozen
class HistoryItem:
    """An accepted edit of the table."""

    revision: int
    author: str
    at: float
    changes: list[str]


@attrs.frozen
class HistoryReply:
    """Reply to :class:`HistoryRead`."""

    status: str
    leader: str = ''
    items: list[HistoryItem] = attrs.field(factory=list)


@attrs.frozen
class StatusRead:
    """Requests the status of a control process."""


@attrs.frozen
class StatusReply:
    """The status of a control process.

    :param in_force: applied revision, and seconds since it was reported, by
        instance; known to the leader only.
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
