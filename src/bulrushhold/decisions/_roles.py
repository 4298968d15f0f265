"""What a replica keeps, and what it wants its driver to do."""

import enum

import attrs

from bulrushhold import messages


class Role(enum.StrEnum):
    """What a replica does in its term."""

    FOLLOWER = 'follower'
    PRE_CANDIDATE = 'pre-candidate'
    CANDIDATE = 'candidate'
    LEADER = 'leader'


@attrs.frozen
class Timing:
    """Seconds between beats, and of the least silence before a vote.

    A lease lasts ``lease_s`` from before its beat left. A follower
    gives no vote for ``election_s`` after a beat arrived, which is
    later, so no other leader can exist while the lease lasts; the
    difference allows for clocks that run at different speeds.
    """

    heartbeat_s: float = 0.15
    election_s: float = 1.0

    @property
    def lease_s(self) -> float:
        """Seconds for which a beat, once acknowledged, gives the lease."""
        return self.election_s * 0.8


@attrs.define
class Durable:
    """What a replica has on its disk."""

    term: int = 0
    vote: str = ''
    entries: list[messages.LogEntry] = attrs.field(factory=list)
    snapshot: messages.InstallSnapshot | None = None
    founding: messages.Config = attrs.field(factory=messages.Config)


@attrs.define
class Ready:
    """What the driver must do: save, then send, then apply.

    :param snapshot: received from the leader; replaces log and state.
    :param outbox: replica identity and message.
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
    """What the leader knows of one other replica."""

    match: int = 0
    next: int = 1
    acked_at: float = -1e9
