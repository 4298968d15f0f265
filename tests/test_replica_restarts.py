"""Leadership after restarts of replicas."""

import random

import pytest

from bulrushhold import control
from bulrushhold.control import _statereads
from bulrushhold import decisions
from bulrushhold import messages
from tests import test_core
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


def restarted_leader(command):
    """Return a leader that has committed, but not applied, all its entries.

    Its log holds a command that was acknowledged before the restart.
    """
    entry = messages.LogEntry(1, 1, messages.KIND_COMMAND, command)
    replica = decisions.Replica(
        'a',
        decisions.PersistedState(
            1, 'a', [entry], None, messages.Config(voters={'a': '10.0.0.1:1'})
        ),
        simulation.TIMING,
        random.Random(1),
        0.0,
    )
    now = 0.0
    while replica.role is not decisions.Role.LEADER:
        now += 0.1
        replica.tick(now)
    replica.take_ready()
    replica.mark_saved(replica.last_index)
    assert replica.commit == replica.last_index
    assert replica.lease_holds(now)
    return replica, now


def apply_committed(replica, state):
    for entry in replica.take_ready().committed:
        if entry.kind == messages.KIND_COMMAND:
            state.apply(entry.data)


async def test_no_state_is_read_before_earlier_entries_are_applied():
    # Guards against reads of an old snapshot just after an election.
    edit = messages.VersionsRecord({'engines': ['v1', 'v2']})
    replica, now = restarted_leader(messages.encode(edit))
    state = decisions.ReplicatedState()
    reader = _statereads.StateReader(replica, lambda: state, lambda: now)
    read = messages.TableRead(0, '')
    assert (await reader._on_table_read(read)).status == 'not_leader'
    history = await reader._on_history_read(messages.HistoryRead(1))
    assert history.status == 'not_leader'
    apply_committed(replica, state)
    assert (await reader._on_table_read(read)).status == 'done'
    assert state.service_versions == {'engines': ['v1', 'v2']}


async def test_versions_of_an_old_snapshot_are_not_published():
    # Guards against streams that go on at the only version of an old state.
    edit = messages.VersionsRecord({'engines': ['v1', 'v2']})
    replica, now = restarted_leader(messages.encode(edit))
    server = test_core.FakeServer()
    server.replica = replica
    server.clock = lambda: now
    server.state = decisions.ReplicatedState(
        service_versions={'engines': ['v1']}
    )
    fleet = control.FleetControl(server, 'dc', test_core.FakeBackends())
    fleet.leader.announce()
    assert fleet.view.service_versions == {}
    apply_committed(replica, server.state)
    fleet.leader.announce()
    assert fleet.view.service_versions['engines'] == ['v1', 'v2']
