"""Data types of a Raft replica and its interface to the driver."""

import enum

import attrs

from bulrushhold import messages


class Role(enum.StrEnum):
    """Raft role of a replica."""

    FOLLOWER = 'follower'
    PRE_CANDIDATE = 'pre-candidate'
    CANDIDATE = 'candidate'
    LEADER = 'leader'


@attrs.frozen
class Timing:
    """Heartbeat interval and minimum election timeout, in seconds.

    The lease lasts ``lease_s`` from the sending of a heartbeat. A follower
    grants no vote for ``election_s`` after receiving it, so no other leader
    can exist during the lease. The difference between the two allows for
    clock drift.
    """

    heartbeat_s: float = 0.15
    election_s: float = 1.0

    @property
    def lease_s(self) -> float:
        """Length of the lease from an acknowledged heartbeat, in seconds."""
        return self.election_s * 0.8


@attrs.define
class PersistedState:
    """Persisted state of a replica.

    :param founding: initial configuration, used until there is a snapshot.
    """

    term: int = 0
    vote: str = ''
    entries: list[messages.LogEntry] = attrs.field(factory=list)
    snapshot: messages.InstallSnapshot | None = None
    founding: messages.Config = attrs.field(factory=messages.Config)


@attrs.define
class Ready:
    """Work for the driver: save, then send, then apply.

    :param snapshot: received from the leader; replaces log and state.
    :param outbox: pairs of recipient identity and message.
    """

    term: int = 0
    vote: str = ''
    must_save: bool = False
    entries: list[messages.LogEntry] = attrs.field(factory=list)
    snapshot: messages.InstallSnapshot | None = None
    outbox: list[tuple[str, messages.Message]] = attrs.field(factory=list)
    committed: list[messages.LogEntry] = attrs.field(factory=list)


@attrs.define
class Progress:
    """Replication progress of a peer as tracked by the leader.

    :param match: highest index known to be replicated.
    :param next: index of the next entry to send.
    :param acked_at: send time of the latest acknowledged heartbeat.
    """

    match: int = 0
    next: int = 1
    acked_at: float = -1e9
