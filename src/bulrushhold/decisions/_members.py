"""How a replica with an empty disk replaces its former self."""

import os

import attrs

from bulrushhold.decisions import _replica
from bulrushhold import messages


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


def next_config(replica: _replica.Replica) -> MemberChange | None:
    """Return the next step of a replacement, if one is due.

    The learner first gets a vote, once it holds all that is committed;
    only then does its former self lose its own. In the other order, the
    loss of one more replica in between could take the last full copy.
    """
    config = replica.config
    retired = _retired_voter(config)
    if retired is not None:
        voters = dict(config.voters)
        del voters[retired]
        return MemberChange(
            attrs.evolve(config, voters=voters),
            f'{retired} was replaced; its disk is gone',
        )
    for ident, address in config.learners.items():
        progress = replica.progress.get(ident)
        if progress and progress.match >= replica.commit:
            learners = dict(config.learners)
            del learners[ident]
            voters = {**config.voters, ident: address}
            return MemberChange(
                messages.Config(voters, learners),
                f'{ident} holds all that is committed',
            )
    return None


def _retired_voter(config: messages.Config) -> str | None:
    """Return the elder of two voters of one instance."""
    seen: dict[str, str] = {}
    for ident in config.voters:
        name = instance_name(ident)
        if name in seen:
            return seen[name]
        seen[name] = ident
    return None
