"""Raft membership changes: adding learners and replacing voters."""

import os
import typing as t

import attrs

from bulrushhold.decisions import _replica
from bulrushhold import messages


# A voter that hasn't acknowledged a heartbeat for this long may be replaced:
# ten heartbeats and an election, longer than a pause for a disk sync or CPU
# starvation.
VOTER_TIMEOUT_S: t.Final = 1.5
# A learner is promoted only if it acknowledged a heartbeat this recently.
LEARNER_TIMEOUT_S: t.Final = 1.0


@attrs.frozen
class MemberChange:
    """A configuration to propose and the reason for it."""

    config: messages.Config
    reason: str


def new_identity(name: str) -> str:
    """Return a unique replica identity for a control instance."""
    return f'{name}.{os.urandom(6).hex()}'


def instance_name(replica: str) -> str:
    """Return the control instance name in a replica identity."""
    return replica.partition('.')[0]


def with_learner(
    replica: _replica.Replica, request: messages.JoinRequest
) -> messages.Config | None:
    """Return the configuration with the requester added as a learner.

    ``None`` if it is a member already. Replaces a learner of the same
    instance.
    """
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
    """Return the next configuration change of a replacement, or ``None``.

    A caught-up learner is promoted before the lost voter is removed.
    Removing the voter first would leave one copy of the log fewer until the
    promotion, and another failure could lose committed entries.

    :param now: seconds of the replica's clock; ``None`` to ignore how long
        ago members acknowledged a heartbeat.
    :param voter_count: target number of voters. Learners fill up missing
        voters and replace unresponsive ones.
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
                f'{ident} holds every committed entry',
            )
    return None


def _voter_to_remove(
    replica: _replica.Replica, now: float | None, voter_count: int
) -> tuple[str, str] | None:
    replaced = _replaced_voter(replica.config)
    if replaced is not None:
        return replaced, f'{replaced} lost its disk and was replaced'
    if voter_count and len(replica.config.voters) > voter_count:
        unresponsive = _unresponsive_voters(replica, now)
        if unresponsive:
            return unresponsive[
                0
            ], f'{unresponsive[0]} is unresponsive and was replaced'
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
    """Whether a learner holds every committed entry and is responsive.

    While nothing is appended, a crashed learner still counts as caught up;
    promoting it would raise the quorum without adding a live voter.
    """
    progress = replica.progress.get(ident)
    return (
        progress is not None
        and progress.match >= replica.commit
        and (now is None or now - progress.acked_at < LEARNER_TIMEOUT_S)
    )


def _replaced_voter(config: messages.Config) -> str | None:
    """Return the older of two voters that belong to one instance."""
    voter_by_instance: dict[str, str] = {}
    for ident in config.voters:
        name = instance_name(ident)
        if name in voter_by_instance:
            return voter_by_instance[name]
        voter_by_instance[name] = ident
    return None
