"""Messages between replicas, and what the log holds."""

import typing as t

import attrs


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
class JoinReply:
    """Tells a replica that asked to join where the members are.

    Its own log is empty, and the instances it was told of may be gone:
    without this it couldn't answer the leader that sends it the log.
    """

    config: Config


@attrs.frozen
class Found:
    """Tells the one replica that is to found the log to do so."""


@attrs.frozen
class CoreRead:
    """Asks a control process who leads, and who the members are."""


@attrs.frozen
class CoreReply:
    """Answers :class:`CoreRead`.

    :param leader: its address, or ``''`` where unknown.
    """

    leader: str
    config: Config
