"""Messages between replicas, and the entries of the replicated log."""

import typing as t

import attrs


@attrs.frozen
class LogEntry:
    """An entry of the replicated log.

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
    """Members of the replicated log: addresses by replica identity."""

    voters: dict[str, str] = attrs.field(factory=dict)
    learners: dict[str, str] = attrs.field(factory=dict)


@attrs.frozen
class VoteRequest:
    """Requests a vote, or with ``pre`` a pre-vote."""

    term: int
    candidate: str
    last_index: int
    last_term: int
    pre: bool


@attrs.frozen
class VoteReply:
    """Reply to :class:`VoteRequest`; ``asked`` is the requested term."""

    term: int
    voter: str
    granted: bool
    pre: bool
    asked: int


@attrs.frozen
class AppendRequest:
    """Appends entries; without any it is a heartbeat.

    :param beat: sequence number of the leader's heartbeats.
    """

    term: int
    leader: str
    prev_index: int
    prev_term: int
    entries: list[LogEntry]
    commit: int
    beat: int


@attrs.frozen
class AppendReply:
    """Reply to :class:`AppendRequest` and :class:`InstallSnapshot`.

    :param match: on success the last matching index, else the index to try
        next.
    """

    term: int
    follower: str
    success: bool
    match: int
    beat: int


@attrs.frozen
class InstallSnapshot:
    """A snapshot for a follower that lags behind the leader's log start."""

    term: int
    leader: str
    index: int
    index_term: int
    config: Config
    state: bytes
    beat: int


@attrs.frozen
class JoinRequest:
    """Request of a replica with an empty disk to become a learner."""

    replica: str
    address: str


@attrs.frozen
class JoinReply:
    """Reply to :class:`JoinRequest` with the current members.

    The joining replica has an empty log and may be configured with stale
    addresses; without the members it could not reply to the leader.
    """

    config: Config


@attrs.frozen
class Found:
    """Orders a replica to bootstrap the log."""


@attrs.frozen
class CoreRead:
    """Requests leader and members from a control process."""


@attrs.frozen
class CoreReply:
    """Reply to :class:`CoreRead`.

    :param leader: address of the leader, or ``''`` if unknown.
    """

    leader: str
    config: Config
