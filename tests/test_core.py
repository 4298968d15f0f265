"""Control's life: suspension, replacement, held calls, failing disks."""

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

TIMING = decisions.Timing(heartbeat_s=0.1, election_s=0.5)


class Net:
    """Replicas over an instant network, with the clock in hand."""

    def __init__(self, names, voters=3):
        self.now = 100.0
        self.voters = voters
        self.cut = set()
        founders = {f'{n}.founder': n for n in names}
        self.replicas = {}
        for name in names:
            self.start(f'{name}.founder', messages.Config(voters=founders))

    def start(self, ident, founding):
        self.replicas[ident] = decisions.Replica(
            ident,
            decisions.Durable(founding=founding),
            TIMING,
            random.Random(len(self.replicas)),
            self.now,
        )

    def deliver(self):
        for _ in range(20):
            quiet = True
            for ident, replica in list(self.replicas.items()):
                ready = replica.take_ready()
                if ready.must_save:
                    replica.saved_up_to(replica.last_index)
                    quiet = False
                for peer, message in ready.outbox:
                    quiet = False
                    if ident in self.cut or peer in self.cut:
                        continue
                    if peer in self.replicas:
                        self.replicas[peer].receive(message, self.now)
            if quiet:
                return

    def run(self, seconds, step=0.05):
        end = self.now + seconds
        while self.now < end:
            self.now += step
            for ident, replica in self.replicas.items():
                if ident not in self.cut:
                    replica.tick(self.now)
                    replica.flush(self.now)
            self.deliver()

    def leader(self):
        return next(
            r
            for i, r in self.replicas.items()
            if r.lease_holds(self.now) and i not in self.cut
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
def net():
    made = Net(['a', 'b', 'c'])
    made.run(2.0)
    return made


def test_a_leader_that_was_suspended_has_no_lease_when_it_wakes(net):
    # A machine is suspended for five seconds; the others elect another
    # leader and take a new route map. On a clock that stands still meanwhile
    # the first one would believe its lease and show the old map.
    sleeper = net.leader()
    assert sleeper.lease_holds(net.now)
    net.cut.add(sleeper.ident)
    net.run(5.0)
    assert net.leader() is not sleeper
    assert not sleeper.lease_holds(net.now)


def test_control_runs_on_the_clock_that_counts_suspension(
    tmp_path, monkeypatch
):
    # Seeded bug: with time.monotonic in its place the lease above holds on.
    clocks = []
    real = control.ControlServer

    def record(*args, **options):
        clocks.append(args[6])
        raise errors.SettingsError('enough')

    monkeypatch.setattr(control, 'ControlServer', record)
    port = settings.Address('127.0.0.1', 45871)
    config = settings.Control(
        'c1', 'dc', port, str(tmp_path / 'c1'), {'c1': port}
    )
    (tmp_path / 'c1').mkdir()

    async def run():
        with pytest.raises(errors.SettingsError):
            await composition.run_control(config)

    asyncio.run(run())
    assert clocks == [node.boot_time]
    assert real is not control.ControlServer


def test_a_voter_that_is_gone_for_good_is_replaced_by_a_newcomer(net):
    # A core machine is removed, and an empty one comes at another address.
    # Afterwards one more may be lost without harm.
    gone = next(i for i in net.replicas if i != net.leader().ident)
    net.cut.add(gone)
    del net.replicas[gone]
    net.start('d.new', messages.Config())
    net.repair('d.new')
    config = net.leader().config
    assert len(config.voters) == 3
    assert 'd.new' in config.voters and gone not in config.voters
    second = next(
        i for i in config.voters if i not in ('d.new', net.leader().ident)
    )
    net.cut.add(second)
    index = net.leader().propose(b'x')[0]
    net.run(1.0)
    assert net.leader().commit >= index


def test_a_newcomer_waits_while_all_voters_are_there(net):
    # Four voters bear no more than three, and need one more for each step.
    net.start('d.new', messages.Config())
    net.repair('d.new', 2.0)
    config = net.leader().config
    assert len(config.voters) == 3
    assert 'd.new' in config.learners


def test_a_learner_that_is_gone_gets_no_vote(net):
    # It was up to date, and the log is quiet: by its log alone it still is.
    net.start('d.new', messages.Config())
    net.repair('d.new', 1.0)
    net.cut.add('d.new')
    lost = next(
        i for i in net.leader().config.voters if i != net.leader().ident
    )
    net.run(2.0)
    net.cut.add(lost)
    net.repair(seconds=3.0)
    assert 'd.new' not in net.leader().config.voters


def test_a_replica_that_was_dropped_while_it_was_frozen_joins_again(net):
    net.start('d.new', messages.Config())
    net.repair('d.new', 1.0)
    frozen = next(i for i in net.replicas if i != net.leader().ident)
    net.cut.add(frozen)
    net.repair(seconds=4.0)
    assert frozen not in net.leader().config.voters
    net.cut.clear()
    net.run(1.0)
    assert net.replicas[frozen].silent_for(net.now) > 2.0
    net.repair(frozen, 2.0)
    assert frozen in net.leader().config.learners


def test_appends_hold_a_bounded_number_of_bytes(net):
    # A storm of large route maps while one replica is away: the whole
    # backlog in one message would block its link for seconds.
    leader = net.leader()
    behind = next(i for i in net.replicas if i != leader.ident)
    net.cut.add(behind)
    for _ in range(40):
        leader.propose(bytes(100_000))
        net.run(0.05)
    net.cut.clear()
    largest = 0
    for _ in range(200):
        net.now += 0.05
        for replica in net.replicas.values():
            replica.tick(net.now)
            replica.flush(net.now)
            for _, message in replica._ready.outbox:
                if isinstance(message, messages.AppendRequest):
                    size = sum(len(e.data) for e in message.entries)
                    largest = max(largest, size)
        net.deliver()
    assert net.replicas[behind].commit == net.leader().commit
    assert largest <= 1 << 20


# News and load reports


class FakeBackends(ports.BackendList):
    def __init__(self):
        self.listed = []
        self.failing = False

    async def fetch(self):
        if self.failing:
            raise errors.PeerError('no list')
        return list(self.listed)


class FakeServer:
    """What a fleet's control uses of a replica."""

    def __init__(self):
        self.clock = node.boot_time
        self.applied_hooks = []
        self.state = decisions.ReplicatedState()
        self.replica = self
        self.transport = self
        self.role = decisions.Role.LEADER
        self.term = 1
        self.config = types.SimpleNamespace(
            voters={'a': '10.0.0.1:1'}, peer='10.0.0.1:1'
        )
        self.lease = True
        self.handlers = {}

    def lease_holds(self, now):
        return self.lease

    def leader_address(self):
        return '10.0.0.2:1'

    def handle(self, kind, handler):
        self.handlers[kind] = handler

    def put(self, version):
        order = messages.RouteMapPut(version, b'map', b'source')
        self.state.apply(messages.encode(order))
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


async def test_a_held_call_is_answered_as_soon_as_there_is_news(fleet, server):
    call = asyncio.ensure_future(fleet.watch._on_watch(watch()))
    await asyncio.sleep(0.02)
    assert not call.done()
    server.put(3)
    reply = await asyncio.wait_for(call, 0.2)
    assert (reply.status, reply.route_map) == ('done', b'map')


async def test_a_call_held_past_the_lease_says_nothing(fleet, server):
    # The process is suspended while the call is held. Its state may be old
    # by the time the answer leaves.
    call = asyncio.ensure_future(fleet.watch._on_watch(watch(hold_s=0.1)))
    await asyncio.sleep(0.02)
    server.lease = False
    server.put(3)
    reply = await call
    assert reply.status == 'not_leader' and reply.route_map is None
    read = await fleet.leader._on_read(messages.RouteMapRead())
    assert read.status == 'not_leader' and not read.source


async def test_losses_reach_other_entries_at_once(fleet, server):
    call = asyncio.ensure_future(fleet.watch._on_watch(watch(name='e2')))
    await asyncio.sleep(0.02)
    await fleet.watch._on_load_report(messages.LoadReport('e1', {}, ['i7']))
    reply = await asyncio.wait_for(call, 0.2)
    assert reply.loads.lost == ['i7']


async def test_the_list_is_kept_while_it_cannot_be_read(fleet):
    backend = messages.ListedBackend('i1', 's', '10.0.0.9:1', 'dc', 4)
    fleet.leader.source.listed = [backend]
    await fleet.leader._read_list()
    fleet.leader.source.failing = True
    await fleet.leader._read_list()
    reply = await fleet.watch._on_watch(watch(hold_s=0.0))
    assert reply.backends == [backend]


def test_entries_are_dropped_when_silent_and_a_new_leader_waits():
    registry = control.EntryRegistry()
    registry.lead(1, 0.0)
    entry = messages.ListedEntry('e1', 'dc', '10.0.1.1:80', True)
    assert registry.hear(entry, 0.1)
    assert not registry.hear(entry, 0.5)
    assert registry.version(0.6) == ''
    assert registry.version(1.6) == '1.1'
    assert registry.hear(attrs.evolve(entry, ready=False), 1.6)
    assert registry.expire(2.5) == []
    assert registry.expire(2.7) == ['e1']
    registry.lead(2, 3.0)
    assert registry.version(3.1) == ''


# Disks


async def test_a_disk_that_fails_does_not_end_the_process(
    tmp_path, monkeypatch
):
    # The disk is full for a while. The replica begins anew from what is
    # there, once writes are taken again, and holds what it acknowledged.
    port = settings.Address('127.0.0.1', 45873)
    config = settings.Control(
        'c1',
        'dc',
        port,
        str(tmp_path),
        {'c1': port},
        heartbeat_s=0.02,
        election_s=0.06,
    )
    control.found(config, node.FileLog(tmp_path))
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
    await _acknowledged(servers, command)
    real = node.FileLog.save

    def full(self, *args):
        raise errors.StorageError('No space left on device', 'storage')

    monkeypatch.setattr(node.FileLog, 'save', full)
    servers[-1].replica.propose(command)
    servers[-1].work.set()
    await asyncio.sleep(0.7)
    assert not run.done()
    monkeypatch.setattr(node.FileLog, 'save', real)
    await asyncio.sleep(0.7)
    later = messages.encode(messages.RouteMapPut(2, b'', b''))
    await _acknowledged(servers, later)
    assert len(servers) > 1
    assert servers[-1].state.map_version == 2
    run.cancel()
    await asyncio.gather(run, return_exceptions=True)


async def _acknowledged(servers, command):
    for _ in range(100):
        if servers:
            reply = await servers[-1].propose(command)
            if reply.status == 'done':
                return
        await asyncio.sleep(0.05)
    pytest.fail('never acknowledged')
