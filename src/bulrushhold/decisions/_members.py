"""How a replica with an empty disk replaces its former self."""

import os
import typing as t

import attrs

from bulrushhold.decisions import _replica
from bulrushhold import messages


# Ten lost beats and an election's length: longer than any pause of a process
# that merely syncs or is short of processor time.
DEAD_S: t.Final = 1.5
# A learner that answered within this time can be relied on for the next
# majority.
RECENT_S: t.Final = 1.0


@attrs.frozen
class MemberChange:
    """One membership change and why it is made."""

    config: messages.Config
    reason: str


def new_identity(name: str) -> str:
    """Return an identity that no replica has had before."""
    return f'{name}.{os.urandom(6).hex()}'


def instance_name(replica: str) -> str:
    """Return the control instance's name within an identity."""
    return replica.partition('.')[0]


def with_learner(
    replica: _replica.Replica, request: messages.JoinRequest
) -> messages.Config | None:
    """Return the members with one more learner, or ``None``."""
    config = replica.config
    if request.replica in config.voters or request.replica in config.learners:
        return None
    learners = {
        ident: address
        for ident, address in config.learners.items()
        if instance_name(ident) != instance_name(request.replica)
    }
    learners[request.replica] = request.address
    return attrs.evolve(config, learners=learners)


def next_config(
    replica: _replica.Replica, now: float | None = None, wanted: int = 0
) -> MemberChange | None:
    """Return the next step of a replacement or repair, if one is due.

    The learner first gets a vote, once it holds all that is committed;
    only then does the lost replica lose its own. In the other order, the
    loss of one more replica in between could take the last full copy.

    :param now: seconds of the replica's clock; ``None`` to pass over
        how long ago others were heard.
    :param wanted: voters to have; fewer are filled up from the learners,
        and a voter that is silent is replaced by one.
    """
    config = replica.config
    leaves = _leaving_voter(replica, now, wanted)
    if leaves is not None:
        ident, reason = leaves
        voters = dict(config.voters)
        del voters[ident]
        return MemberChange(attrs.evolve(config, voters=voters), reason)
    short = len(config.voters) < wanted
    short = short or bool(_silent_voters(replica, now))
    for ident, address in config.learners.items():
        returns = instance_name(ident) in map(instance_name, config.voters)
        if (short or returns or not wanted) and _caught_up(
            replica, ident, now
        ):
            learners = dict(config.learners)
            del learners[ident]
            voters = {**config.voters, ident: address}
            return MemberChange(
                messages.Config(voters, learners),
                f'{ident} holds all that is committed',
            )
    return None


def _leaving_voter(
    replica: _replica.Replica, now: float | None, wanted: int
) -> tuple[str, str] | None:
    retired = _retired_voter(replica.config)
    if retired is not None:
        return retired, f'{retired} was replaced; its disk is gone'
    if wanted and len(replica.config.voters) > wanted:
        silent = _silent_voters(replica, now)
        if silent:
            return silent[0], f'{silent[0]} is silent and was replaced'
    return None


def _silent_voters(replica: _replica.Replica, now: float | None) -> list[str]:
    if now is None:
        return []
    return [
        ident
        for ident in replica.config.voters
        if ident in replica.progress
        and now - replica.progress[ident].acked_at > DEAD_S
    ]


def _caught_up(
    replica: _replica.Replica, ident: str, now: float | None
) -> bool:
    """Whether a learner holds all that is committed, and is alive.

    In a quiet log a learner that is gone holds everything too; a vote
    for it would make every later majority harder to reach.
    """
    progress = replica.progress.get(ident)
    return (
        progress is not None
        and progress.match >= replica.commit
        and (now is None or now - progress.acked_at < RECENT_S)
    )


def _retired_voter(config: messages.Config) -> str | None:
    """Return the elder of two voters of one instance."""
    seen: dict[str, str] = {}
    for ident in config.voters:
        name = instance_name(ident)
        if name in seen:
            return seen[name]
        seen[name] = ident
    return None
