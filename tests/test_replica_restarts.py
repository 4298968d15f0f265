"""Who leads after replicas have restarted."""

import pytest

from tests import test_replica as log


def restart(cluster, *names):
    """Lose and give back the power of replicas; what was under way is lost."""
    cluster.network.clear()
    for name in names:
        cluster.restart(name)


def time_to_leader(cluster, timeout=5.0, suspended=()):
    """Return the seconds until one that isn't frozen holds the lease."""
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
    # Until control leads, no entry that has just started can serve. Waiting
    # for silence takes 1.0 to 2.0 s at this timing, and guards a lease that
    # nobody can hold any more.
    cluster = log.stable_cluster(size)
    former = cluster.leader().ident
    restart(cluster, *cluster.disks)
    assert time_to_leader(cluster) <= 3 * log.TIMING.heartbeat_s
    assert cluster.leader().ident == former


def test_restarted_leader_resumes_leadership():
    cluster = log.stable_cluster(3)
    former = cluster.leader().ident
    restart(cluster, former)
    assert time_to_leader(cluster) <= 3 * log.TIMING.heartbeat_s
    assert cluster.leader().ident == former


def test_restarted_followers_respect_the_lease():
    # The leader is frozen and holds its lease for a while. The others lose
    # power and are back at once: neither may lead within that lease.
    cluster = log.stable_cluster(3)
    suspended = cluster.leader().ident
    others = [name for name in cluster.disks if name != suspended]
    restart(cluster, *others)
    assert (
        time_to_leader(cluster, suspended=(suspended,)) >= log.TIMING.lease_s
    )


def test_replaced_leader_waits_for_the_election_timeout():
    # Another one has led since, and may hold the lease.
    cluster = log.stable_cluster(3)
    former = cluster.leader().ident
    assert time_to_leader(cluster, suspended=(former,)) < 5.0
    cluster.heal(1.0)
    newer = cluster.leader().ident
    assert newer != former
    assert cluster.replicas[former].term_leader == newer
    restart(cluster, former)
    least = cluster.now + log.TIMING.election_s
    assert cluster.replicas[former].election_at >= least
