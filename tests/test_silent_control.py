"""Control processes and entries that are silent for a moment and go on."""

import pytest

from bulrushhold.decisions import _swim
from tests import test_membership
from tests import test_replica

STEP_S = 0.05


def run_silenced(cluster, seconds):
    """Run replicas; those that are suspended get their messages later."""
    end = cluster.now + seconds
    while cluster.now < end:
        cluster.now += STEP_S
        cluster.tick(*filter(cluster.is_running, cluster.disks))
        due, cluster.network = cluster.network, []
        for sender, receiver, message in due:
            if not cluster.is_running(receiver):
                cluster.network.append((sender, receiver, message))
                continue
            cluster.replicas[receiver].receive(message, cluster.now)
            cluster.process_ready(receiver)
        cluster.propose()
        cluster.check_leases()


@pytest.mark.parametrize('size', [3, 5])
@pytest.mark.parametrize('silent_s', [1.0, 1.5, 2.0])
def test_a_leader_that_is_silent_loses_no_committed_change(size, silent_s):
    # Guards against changes that were acknowledged and are gone.
    cluster = test_replica.stable_cluster(size)
    run_silenced(cluster, 1.0)
    for _ in range(5):
        before = max(cluster.committed)
        leader = cluster.leader().ident
        cluster.suspended_until[leader] = cluster.now + silent_s
        run_silenced(cluster, silent_s + 2.5)
        assert max(cluster.committed) > before
    cluster.heal(5.0)
    assert set(cluster.applied.values()) == {max(cluster.committed)}


@pytest.mark.parametrize('silent_s', [1.0, 1.5, 2.0])
def test_a_member_that_is_silent_for_a_moment_is_not_declared_dead(silent_s):
    # Guards against homes and takeovers that move for a silence.
    member = test_membership.EntryGroup(3).members['e1']
    now = 100.0
    member.unanswered('e2', now)
    member.tick(now + silent_s - STEP_S)
    assert member.members['e2'].status is _swim.Status.SUSPECT
    member.answered('e2', now + silent_s)
    assert member.members['e2'].status is _swim.Status.ALIVE
