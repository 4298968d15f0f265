"""Who leads after replicas have restarted."""

import pytest

from tests import test_replica as log


def restart(cluster, *names):
    """Lose and give back the power of replicas; what was under way is lost."""
    cluster.network.clear()
    for name in names:
        cluster.bounce(name)


def until_led(cluster, most=5.0, frozen=()):
    """Return the seconds until one that isn't frozen holds the lease."""
    begun = cluster.now
    awake = [name for name in cluster.replicas if name not in frozen]
    while cluster.now - begun < most:
        cluster.now += 0.05
        cluster.tick(*awake)
        for _ in range(4 * len(cluster.network)):
            if cluster.network:
                sender, receiver, message = cluster.network.pop(0)
                if receiver in awake:
                    cluster.replicas[receiver].receive(message, cluster.now)
                    cluster.drive(receiver)
        cluster.check_leases()
        if any(cluster.replicas[n].lease_holds(cluster.now) for n in awake):
            break
    return cluster.now - begun


@pytest.mark.parametrize('size', [3, 5])
def test_after_a_loss_of_all_power_the_former_leader_leads_at_once(size):
    # Until control leads, no entry that has just started can serve. Waiting
    # for silence takes 1.0 to 2.0 s at this timing, and guards a lease that
    # nobody can hold any more.
    cluster = log.settled(size)
    former = cluster.leader().ident
    restart(cluster, *cluster.disks)
    assert until_led(cluster) <= 3 * log.TIMING.heartbeat_s
    assert cluster.leader().ident == former


def test_a_leader_that_restarts_alone_leads_again_at_once():
    cluster = log.settled(3)
    former = cluster.leader().ident
    restart(cluster, former)
    assert until_led(cluster) <= 3 * log.TIMING.heartbeat_s
    assert cluster.leader().ident == former


def test_a_restarted_follower_is_still_silent_towards_all_others():
    # The leader is frozen and holds its lease for a while. The others lose
    # power and are back at once: neither may lead within that lease.
    cluster = log.settled(3)
    frozen = cluster.leader().ident
    others = [name for name in cluster.disks if name != frozen]
    restart(cluster, *others)
    assert until_led(cluster, frozen=(frozen,)) >= log.TIMING.lease_s


def test_a_former_leader_that_was_replaced_has_to_wait():
    # Another one has led since, and may hold the lease.
    cluster = log.settled(3)
    former = cluster.leader().ident
    assert until_led(cluster, frozen=(former,)) < 5.0
    cluster.settle(1.0)
    newer = cluster.leader().ident
    assert newer != former
    assert cluster.replicas[former].term_leader == newer
    restart(cluster, former)
    least = cluster.now + log.TIMING.election_s
    assert cluster.replicas[former].election_at >= least
