"""Randomized schedules focused on elections and leases.

Each profile injects one kind of fault, with frequent restarts, so that it
reaches interleavings that fully random schedules rarely do.
"""

import random

import pytest

from bulrushhold import decisions
from tests import test_replica as simulation

SEEDS = 120
START_SEEDS = 400
STEP_S = 0.05


def step(
    cluster,
    rng,
    *,
    delayed_fraction=0.2,
    long_delayed_fraction=0.0,
    blocked_links=(),
):
    """Advance the clock and deliver most messages in flight.

    :param delayed_fraction: of messages delayed by a step.
    :param long_delayed_fraction: of messages delayed by an election timeout.
    """
    cluster.now += STEP_S * (0.5 + rng.random())
    cluster.tick(*(n for n in list(cluster.replicas) if cluster.is_running(n)))
    due, cluster.network = cluster.network, []
    for item in due:
        sender, receiver, message = item
        if {
            sender,
            receiver,
        } in blocked_links or receiver not in cluster.replicas:
            continue
        if rng.random() < long_delayed_fraction:
            cluster.delayed.append(
                (cluster.now + 1.0 + 0.5 * rng.random(), item)
            )
        elif rng.random() < delayed_fraction or not cluster.is_running(
            receiver
        ):
            cluster.network.append(item)
        else:
            cluster.replicas[receiver].receive(message, cluster.now)
            cluster.process_ready(receiver)
            cluster.check_leases()
    arrived = [item for at, item in cluster.delayed if at <= cluster.now]
    cluster.delayed = [
        delayed for delayed in cluster.delayed if delayed[0] > cluster.now
    ]
    cluster.network += arrived


def make_cluster(seed, size, bug):
    cluster = simulation.Cluster(seed, size, bug=bug)
    cluster.fault_free = True
    cluster.delayed = []
    return cluster


def split_vote(seed, bug):
    """Two candidates compete; isolate the winner and restart the voter."""
    rng = random.Random(seed)
    cluster = make_cluster(seed, 3, bug)
    voter, *candidates = rng.sample(list(cluster.disks), 3)
    election_at = 1.0 + rng.random()
    for name in candidates:
        cluster.replicas[name].election_at = election_at
    blocked_links = []
    for _ in range(80):
        step(
            cluster,
            rng,
            long_delayed_fraction=0.25,
            blocked_links=blocked_links,
        )
        if not blocked_links and cluster.leaders:
            winner = next(iter(cluster.leaders.values()))
            blocked_links = [{winner, other} for other in cluster.disks]
            cluster.restart(voter)


def partitioned_candidate(seed, bug):
    """One replica loses contact with the leader; its follower restarts."""
    rng = random.Random(seed)
    cluster = make_cluster(seed, 3, bug)
    cluster.heal(5.0)
    leader = cluster.leader().ident
    follower, partitioned = (n for n in cluster.disks if n != leader)
    blocked_links = [{leader, partitioned}]
    for _ in range(200):
        step(cluster, rng, blocked_links=blocked_links)
        if rng.random() < 0.15:
            cluster.restart(follower)


def suspended_leader(seed, bug):
    """Replicas are suspended and restarted at random, the leader included."""
    rng = random.Random(seed)
    cluster = make_cluster(seed, 3, bug)
    cluster.heal(5.0)
    for _ in range(200):
        step(cluster, rng)
        name = rng.choice(list(cluster.disks))
        if rng.random() < 0.04:
            cluster.suspended_until[name] = cluster.now + 2 * rng.random()
        if rng.random() < 0.06:
            cluster.restart(name)
            cluster.suspended_until.pop(name, None)
        if rng.random() < 0.03:
            cluster.compact(name)
        if rng.random() < 0.1:
            cluster.propose()


def power_losses(seed, bug):
    """All replicas crash repeatedly and restart one after another."""
    rng = random.Random(seed)
    cluster = make_cluster(seed, 5, bug)
    cluster.heal(5.0)
    for _ in range(6):
        cluster.network.clear()
        names = list(cluster.disks)
        rng.shuffle(names)
        for name in names:
            cluster.crash(name)
        for name in names:
            cluster.start(name)
            for _ in range(rng.randrange(4)):
                tick_and_deliver(cluster, rng)
        for _ in range(30):
            tick_and_deliver(cluster, rng)
            cluster.propose()


def tick_and_deliver(cluster, rng):
    cluster.network = [
        item for item in cluster.network if item[1] in cluster.replicas
    ]
    step(cluster, rng)


PROFILES = {
    split_vote: START_SEEDS,
    partitioned_candidate: SEEDS,
    suspended_leader: SEEDS,
    power_losses: SEEDS,
}
BUG_PROFILES = {
    'vote not synced': split_vote,
    'restart forgets leases': partitioned_candidate,
}


@pytest.mark.parametrize('profile', PROFILES)
def test_focused_schedules_keep_the_log_consistent(profile):
    for seed in range(PROFILES[profile]):
        try:
            profile(seed, '')
        except simulation.InvariantViolation as error:
            pytest.fail(f'{profile.__name__}, seed {seed}: {error}')


@pytest.mark.parametrize('bug', BUG_PROFILES)
def test_search_finds_seeded_bug(bug):
    found = 0
    for seed in range(PROFILES[BUG_PROFILES[bug]]):
        try:
            BUG_PROFILES[bug](seed, bug)
        except simulation.InvariantViolation:
            found += 1
    assert found >= 2, f'{bug}: {found} schedules'


def test_only_the_logged_leader_resumes_after_a_restart():
    # Only a replica that led according to the log may skip the election
    # timeout, not one that merely voted for itself.
    cluster = simulation.Cluster(3, 3)
    cluster.heal(5.0)
    leader = cluster.leader().ident
    for name in cluster.disks:
        cluster.restart(name)
        replica = cluster.replicas[name]
        assert replica.term_leader == leader
        soon = (
            replica.election_at - cluster.now < decisions.Timing().election_s
        )
        assert soon is (name == leader)
