"""How a replica with an empty disk replaces its former self."""

import os
import typing as t

import attrs

from bulrushhold.decisions import _replica
from bulrushhold import messages


# Ten lost beats and an election's length: longer than any pause of a process
# that merely syncs or is short of processor time.
VOTER_TIMEOUT_S: t.Final = 1.5
# A learner that answered within this time can be relied on for the next
# majority.
LEARNER_TIMEOUT_S: t.Final = 1.0


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
    replica: _replica.Replica, now: float | None = None, voter_count: int = 0
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
    removal = _voter_to_remove(replica, now, voter_count)
    if removal is not None:
        ident, reason = removal
        voters = dict(config.voters)
        del voters[ident]
        return MemberChange(attrs.evolve(config, voters=voters), reason)
    needs_voter = len(config.voters) < voter_count
    needs_voter = needs_voter or bool(_unresponsive_voters(replica, now))
    for ident, address in config.learners.items():
        replaces_voter = instance_name(ident) in map(
            instance_name, config.voters
        )
        if (needs_voter or replaces_voter or not voter_count) and _caught_up(
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


def _voter_to_remove(
    replica: _replica.Replica, now: float | None, voter_count: int
) -> tuple[str, str] | None:
    replaced = _replaced_voter(replica.config)
    if replaced is not None:
        return replaced, f'{replaced} was replaced; its disk is gone'
    if voter_count and len(replica.config.voters) > voter_count:
        unresponsive = _unresponsive_voters(replica, now)
        if unresponsive:
            return unresponsive[
                0
            ], f'{unresponsive[0]} is silent and was replaced'
    return None


def _unresponsive_voters(
    replica: _replica.Replica, now: float | None
) -> list[str]:
    if now is None:
        return []
    return [
        ident
        for ident in replica.config.voters
        if ident in replica.progress
        and now - replica.progress[ident].acked_at > VOTER_TIMEOUT_S
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
        and (now is None or now - progress.acked_at < LEARNER_TIMEOUT_S)
    )


def _replaced_voter(config: messages.Config) -> str | None:
    """Return the elder of two voters of one instance."""
    voter_by_instance: dict[str, str] = {}
    for ident in config.voters:
        name = instance_name(ident)
        if name in voter_by_instance:
            return voter_by_instance[name]
        voter_by_instance[name] = ident
    return None
