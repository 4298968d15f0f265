"""Commands and reads of the replicated state: table, claims, refusals."""

import attrs


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
