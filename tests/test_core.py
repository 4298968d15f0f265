"""Control: suspension, member replacement, long polls and disk failures."""

import asyncio
import random
import types

import attrs
import pytest

from bulrushhold import composition
from bulrushhold import control
from bulrushhold import decisions
from bulrushhold import errors
from bulrushhold import messages
from bulrushhold import node
from bulrushhold import ports
from bulrushhold import settings
from bulrushhold import testing

TIMING = decisions.Timing(heartbeat_s=0.1, election_s=0.5)


class Network:
    """Replicas on a simulated network without delay, with a manual clock."""

    def __init__(self, names, voters=3):
        self.now = 100.0
        self.voters = voters
        self.isolated = set()
        initial_voters = {f'{n}.founder': n for n in names}
        self.replicas = {}
        for name in names:
            self.start(
                f'{name}.founder', messages.Config(voters=initial_voters)
            )

    def start(self, ident, founding):
        self.replicas[ident] = decisions.Replica(
            ident,
            decisions.PersistedState(founding=founding),
            TIMING,
            random.Random(len(self.replicas)),
            self.now,
        )

    def deliver(self):
        for _ in range(20):
            idle = True
            for ident, replica in list(self.replicas.items()):
                ready = replica.take_ready()
                if ready.must_save:
                    replica.mark_saved(replica.last_index)
                    idle = False
                for peer, message in ready.outbox:
                    idle = False
                    if ident in self.isolated or peer in self.isolated:
                        continue
                    if peer in self.replicas:
                        self.replicas[peer].receive(message, self.now)
            if idle:
                return

    def run(self, seconds, step=0.05):
        end = self.now + seconds
        while self.now < end:
            self.now += step
            for ident, replica in self.replicas.items():
                if ident not in self.isolated:
                    replica.tick(self.now)
                    replica.flush(self.now)
            self.deliver()

    def leader(self):
        return next(
            r
            for i, r in self.replicas.items()
            if r.lease_holds(self.now) and i not in self.isolated
        )

    def repair(self, joiner='', seconds=4.0):
        for _ in range(int(seconds / 0.2)):
            leader = self.leader()
            if joiner:
                request = messages.JoinRequest(joiner, joiner)
                config = decisions.with_learner(leader, request)
                if config is not None:
                    leader.change_config(config)
            change = decisions.next_config(leader, self.now, self.voters)
            if change is not None:
                leader.change_config(change.config)
            self.run(0.2)


@pytest.fixture
def network():
    cluster = Network(['a', 'b', 'c'])
    cluster.run(2.0)
    return cluster


def test_suspended_leader_loses_its_lease(network):
    # Guards against a resumed leader that serves an outdated route map. With a
    # clock that stops during suspension, its lease would seem valid.
    suspended = network.leader()
    assert suspended.lease_holds(network.now)
    network.isolated.add(suspended.ident)
    network.run(5.0)
    assert network.leader() is not suspended
    assert not suspended.lease_holds(network.now)


def test_control_uses_a_clock_that_includes_suspension(tmp_path, monkeypatch):
    # time.monotonic doesn't advance during suspension, so a lease measured
    # with it would outlive its real duration.
    clocks = []
    original = control.ControlServer

    def record(*args, **options):
        clocks.append(args[6])
        raise errors.SettingsError('stop after construction')

    monkeypatch.setattr(control, 'ControlServer', record)
    port = settings.Address('127.0.0.1', testing.free_ports(1)[0])
    config = settings.Control(
        'c1', 'dc', port, str(tmp_path / 'c1'), {'c1': port}
    )
    (tmp_path / 'c1').mkdir()

    async def run():
        with pytest.raises(errors.SettingsError):
            await composition.run_control(config)

    asyncio.run(run())
    assert clocks == [node.boot_time]
    assert original is not control.ControlServer


def test_lost_voter_is_replaced_by_a_new_instance(network):
    # An empty instance joins at another address after the permanent loss of a
    # voter. The cluster must then survive the loss of another voter.
    lost = next(i for i in network.replicas if i != network.leader().ident)
    network.isolated.add(lost)
    del network.replicas[lost]
    network.start('d.new', messages.Config())
    network.repair('d.new')
    config = network.leader().config
    assert len(config.voters) == 3
    assert 'd.new' in config.voters and lost not in config.voters
    second = next(
        i for i in config.voters if i not in ('d.new', network.leader().ident)
    )
    network.isolated.add(second)
    index = network.leader().propose(b'x')[0]
    network.run(1.0)
    assert network.leader().commit >= index


def test_learner_is_not_promoted_while_all_voters_respond(network):
    # Four voters tolerate no more failures than three but need a larger
    # quorum.
    network.start('d.new', messages.Config())
    network.repair('d.new', 2.0)
    config = network.leader().config
    assert len(config.voters) == 3
    assert 'd.new' in config.learners


def test_unresponsive_learner_is_not_promoted(network):
    # While nothing is appended, a crashed learner still counts as caught up.
    network.start('d.new', messages.Config())
    network.repair('d.new', 1.0)
    network.isolated.add('d.new')
    lost = next(
        i
        for i in network.leader().config.voters
        if i != network.leader().ident
    )
    network.run(2.0)
    network.isolated.add(lost)
    network.repair(seconds=3.0)
    assert 'd.new' not in network.leader().config.voters


def test_removed_replica_rejoins_after_suspension(network):
    network.start('d.new', messages.Config())
    network.repair('d.new', 1.0)
    suspended = next(
        i for i in network.replicas if i != network.leader().ident
    )
    network.isolated.add(suspended)
    network.repair(seconds=4.0)
    assert suspended not in network.leader().config.voters
    network.isolated.clear()
    network.run(1.0)
    assert network.replicas[suspended].seconds_since_leader(network.now) > 2.0
    network.repair(suspended, 2.0)
    assert suspended in network.leader().config.learners


def test_append_size_is_bounded(network):
    # Guards against sending a large backlog to a lagging replica in one
    # message, which would block its link.
    leader = network.leader()
    lagging = next(i for i in network.replicas if i != leader.ident)
    network.isolated.add(lagging)
    for _ in range(40):
        leader.propose(bytes(100_000))
        network.run(0.05)
    network.isolated.clear()
    largest = 0
    for _ in range(200):
        network.now += 0.05
        for replica in network.replicas.values():
            replica.tick(network.now)
            replica.flush(network.now)
            for _, message in replica._ready.outbox:
                if isinstance(message, messages.AppendRequest):
                    size = sum(len(e.data) for e in message.entries)
                    largest = max(largest, size)
        network.deliver()
    assert network.replicas[lagging].commit == network.leader().commit
    assert largest <= 1 << 20


MALFORMED_COMMANDS = [b'', b'\xff', b'\x92\xa4Read\xc0']


@pytest.mark.parametrize('command', MALFORMED_COMMANDS)
def test_a_malformed_command_in_the_log_changes_nothing(command):
    # Guards against replicas that end at the same entry after each restart.
    state = decisions.ReplicatedState()
    before = state.dump()
    assert isinstance(messages.decode(state.apply(command)), messages.Failure)
    assert state.dump() == before


@pytest.mark.parametrize('command', MALFORMED_COMMANDS)
async def test_a_malformed_command_is_not_proposed(cluster, command):
    # Guards against the same, before the command is in the log.
    peer = cluster.address()
    cluster.start('a', peer, {'a': peer})
    await cluster.wait_until(lambda: cluster.leader() is not None)
    server = cluster.leader()
    last_index = server.replica.last_index
    with pytest.raises(errors.PeerError):
        await server._on_proposal(messages.Proposal(command))
    assert server.replica.last_index == last_index


# Watch replies and load reports


class FakeBackends(ports.BackendList):
    def __init__(self):
        self.listed = []
        self.failing = False

    async def fetch(self):
        if self.failing:
            raise errors.PeerError('no list')
        return list(self.listed)


class FakeServer:
    """Stub of the control server that ``FleetControl`` uses."""

    def __init__(self):
        self.clock = node.boot_time
        self.applied_hooks = []
        self.state = decisions.ReplicatedState()
        self.replica = self
        self.transport = self
        self.role = decisions.Role.LEADER
        self.term = 1
        self.config = types.SimpleNamespace(
            voters={'a': '10.0.0.1:1'}, peer='10.0.0.1:1', founds=False
        )
        self.lease = True
        self.handlers = {}

    def may_read(self, now):
        return self.lease

    def leader_address(self):
        return '10.0.0.2:1'

    def handle(self, kind, handler):
        self.handlers[kind] = handler

    def put_route_map(self, version):
        command = messages.RouteMapPut(version, b'map', b'source')
        self.state.apply(messages.encode(command))
        for hook in self.applied_hooks:
            hook()


@pytest.fixture
def server():
    return FakeServer()


@pytest.fixture
async def fleet(server):
    return control.FleetControl(server, 'dc', FakeBackends())


def watch(known_map=0, hold_s=1.0, name='e1'):
    entry = messages.ListedEntry(name, 'dc', f'10.0.1.{name[1:]}:80', True)
    return messages.Watch(entry, messages.Known(known_map), hold_s)


async def test_long_poll_returns_on_a_change(fleet, server):
    call = asyncio.ensure_future(fleet.watch._on_watch(watch()))
    await asyncio.sleep(0.02)
    assert not call.done()
    server.put_route_map(3)
    reply = await asyncio.wait_for(call, 0.2)
    assert (reply.status, reply.route_map) == ('done', b'map')


async def test_long_poll_past_the_lease_returns_no_state(fleet, server):
    # Guards against stale state in a long-poll reply after the process was
    # suspended and lost its lease.
    call = asyncio.ensure_future(fleet.watch._on_watch(watch(hold_s=0.1)))
    await asyncio.sleep(0.02)
    server.lease = False
    server.put_route_map(3)
    reply = await call
    assert reply.status == 'not_leader' and reply.route_map is None
    read = await fleet.leader._on_route_map_read(messages.RouteMapRead())
    assert read.status == 'not_leader' and not read.source


async def test_engine_loss_reaches_other_entries_at_once(fleet, server):
    call = asyncio.ensure_future(fleet.watch._on_watch(watch(name='e2')))
    await asyncio.sleep(0.02)
    await fleet.watch._on_load_report(messages.LoadReport('e1', {}, ['i7']))
    reply = await asyncio.wait_for(call, 0.2)
    assert reply.loads.lost == ['i7']


async def test_backend_list_is_kept_while_the_source_fails(fleet):
    backend = messages.ListedBackend('i1', 's', '10.0.0.9:1', 'dc', 4)
    fleet.leader.source.listed = [backend]
    await fleet.leader._read_list()
    fleet.leader.source.failing = True
    await fleet.leader._read_list()
    reply = await fleet.watch._on_watch(watch(hold_s=0.0))
    assert messages.BACKEND_LIST.unpack(reply.backends.packed) == [backend]


async def test_a_list_read_across_an_election_is_dropped(fleet, server):
    # Guards against two processes that give one version to different lists.
    class Source(FakeBackends):
        async def fetch(self):
            server.term += 1
            return await super().fetch()

    await fleet.leader._read_list()
    version = fleet.view.backends_version
    backend = messages.ListedBackend('i1', 's', '10.0.0.9:1', 'dc', 4)
    fleet.leader.source = Source()
    fleet.leader.source.listed = [backend]
    await fleet.leader._read_list()
    assert (fleet.view.backends_version, fleet.view.backends) == (version, [])


def test_registry_expires_entries_and_a_new_leader_waits():
    registry = control.EntryRegistry()
    registry.begin_term(1, 0.0)
    entry = messages.ListedEntry('e1', 'dc', '10.0.1.1:80', True)
    assert registry.refresh(entry, 0.1)
    assert not registry.refresh(entry, 0.5)
    assert registry.version(0.6) == ''
    assert registry.version(1.6) == '1.1'
    assert registry.refresh(attrs.evolve(entry, ready=False), 1.6)
    assert registry.expire(2.5) == []
    assert registry.expire(2.7) == ['e1']
    registry.begin_term(2, 3.0)
    assert registry.version(3.1) == ''


# Disks


async def test_disk_failure_does_not_end_the_process(tmp_path, monkeypatch):
    # Once writes to a full disk succeed again, the replica must restart from
    # its log and keep what it acknowledged.
    port = settings.Address('127.0.0.1', testing.free_ports(1)[0])
    config = settings.Control(
        'c1',
        'dc',
        port,
        str(tmp_path),
        {'c1': port},
        heartbeat_s=0.02,
        election_s=0.06,
    )
    control.bootstrap(config, node.FileLog(tmp_path))
    servers = []

    class Attached(composition.Attachment):
        async def start(self):
            pass

        async def close(self):
            pass

    def attach(server):
        servers.append(server)
        return Attached()

    run = asyncio.ensure_future(composition.run_control(config, attach))
    command = messages.encode(messages.RouteMapPut(1, b'', b''))
    await _propose_until_done(servers, command)
    original = node.FileLog.save

    def disk_full(self, *args):
        raise errors.StorageError('No space left on device', 'storage')

    monkeypatch.setattr(node.FileLog, 'save', disk_full)
    servers[-1].replica.propose(command)
    servers[-1].wakeup.set()
    await asyncio.sleep(0.7)
    assert not run.done()
    monkeypatch.setattr(node.FileLog, 'save', original)
    await asyncio.sleep(0.7)
    later = messages.encode(messages.RouteMapPut(2, b'', b''))
    await _propose_until_done(servers, later)
    assert len(servers) > 1
    assert servers[-1].state.map_version == 2
    run.cancel()
    await asyncio.gather(run, return_exceptions=True)


async def _propose_until_done(servers, command):
    for _ in range(100):
        if servers:
            reply = await servers[-1].propose(command)
            if reply.status == 'done':
                return
        await asyncio.sleep(0.05)
    pytest.fail('never acknowledged')
