"""Leadership after restarts of replicas."""

import pytest

from tests import test_replica as simulation


def restart(cluster, *names):
    """Restart replicas and drop all messages in flight."""
    cluster.network.clear()
    for name in names:
        cluster.restart(name)


def time_to_leader(cluster, timeout=5.0, suspended=()):
    """Return the seconds until a running replica holds the lease."""
    started = cluster.now
    running = [name for name in cluster.replicas if name not in suspended]
    while cluster.now - started < timeout:
        cluster.now += 0.05
        cluster.tick(*running)
        for _ in range(4 * len(cluster.network)):
            if cluster.network:
                sender, receiver, message = cluster.network.pop(0)
                if receiver in running:
                    cluster.replicas[receiver].receive(message, cluster.now)
                    cluster.process_ready(receiver)
        cluster.check_leases()
        if any(cluster.replicas[n].lease_holds(cluster.now) for n in running):
            break
    return cluster.now - started


@pytest.mark.parametrize('size', [3, 5])
def test_leader_resumes_after_a_full_restart(size):
    # Guards against entries that can't start for an election timeout: after a
    # full restart no lease is held, so the last leader need not wait.
    cluster = simulation.stable_cluster(size)
    former = cluster.leader().ident
    restart(cluster, *cluster.disks)
    assert time_to_leader(cluster) <= 3 * simulation.TIMING.heartbeat_s
    assert cluster.leader().ident == former


def test_restarted_leader_resumes_leadership():
    cluster = simulation.stable_cluster(3)
    former = cluster.leader().ident
    restart(cluster, former)
    assert time_to_leader(cluster) <= 3 * simulation.TIMING.heartbeat_s
    assert cluster.leader().ident == former


def test_restarted_followers_respect_the_lease():
    # The suspended leader still holds its lease, so the restarted followers
    # must not elect another leader before it expires.
    cluster = simulation.stable_cluster(3)
    suspended = cluster.leader().ident
    others = [name for name in cluster.disks if name != suspended]
    restart(cluster, *others)
    assert (
        time_to_leader(cluster, suspended=(suspended,))
        >= simulation.TIMING.lease_s
    )


def test_replaced_leader_waits_for_the_election_timeout():
    # Another replica has led since then and may hold a lease.
    cluster = simulation.stable_cluster(3)
    former = cluster.leader().ident
    assert time_to_leader(cluster, suspended=(former,)) < 5.0
    cluster.heal(1.0)
    newer = cluster.leader().ident
    assert newer != former
    assert cluster.replicas[former].term_leader == newer
    restart(cluster, former)
    least = cluster.now + simulation.TIMING.election_s
    assert cluster.replicas[former].election_at >= least
