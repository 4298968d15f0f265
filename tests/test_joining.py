"""Control processes that know each other from a few addresses only."""

import asyncio


from bulrushhold import control
from bulrushhold import messages
from bulrushhold import node
from bulrushhold import settings


async def start_core(core):
    peers = {name: core.address() for name in ('a', 'b', 'c')}
    for name, peer in peers.items():
        core.start(name, peer, peers)
    await core.until(lambda: core.leader() is not None)
    command = messages.encode(messages.RouteMapPut(7, b'packed', b'source'))
    assert (await core.leader().propose(command)).status == 'done'
    return peers


async def test_a_newcomer_at_another_address_becomes_a_voter(core):
    # A core machine is gone for good. An empty one comes elsewhere, and
    # knows the others only from a list that still names the lost one. If it
    # can't answer the leader, it never catches up, and the next lost disk
    # takes the last copy but one of what was acknowledged.
    peers = await start_core(core)
    lost = next(n for n in 'abc' if core.running[n][0] is not core.leader())
    await core.stop(lost)
    newcomer = core.start('d', core.address(), contacts=peers.values())
    wanted = sorted({'a', 'b', 'c', 'd'} - {lost})
    await core.until(lambda: core.voters() == wanted)
    assert newcomer.state.map_version == 7
    second = next(
        n
        for n in core.running
        if n != 'd' and core.running[n][0] is not core.leader()
    )
    await core.stop(second)
    command = messages.encode(messages.RouteMapPut(9, b'packed', b'source'))
    reply = await core.leader().propose(command)
    assert reply.status == 'done'


async def test_an_instance_that_lost_its_disk_becomes_a_voter_again(core):
    peers = await start_core(core)
    lost = next(n for n in 'abc' if core.running[n][0] is not core.leader())
    await core.stop(lost)
    for file in (core.folder / lost).iterdir():
        file.unlink()
    others = [peer for name, peer in peers.items() if name != lost]
    again = core.start(lost, peers[lost], contacts=[peers[lost], *others])
    ident = again.replica.ident
    await core.until(
        lambda: core.leader() is not None
        and ident in core.leader().replica.config.voters
    )
    await core.until(lambda: core.voters() == ['a', 'b', 'c'])
    assert again.state.map_version == 7


async def test_a_newcomer_that_knows_one_follower_only_finds_the_leader(core):
    peers = await start_core(core)
    follower = next(
        n for n in 'abc' if core.running[n][0] is not core.leader()
    )
    newcomer = core.start('d', core.address(), contacts=[peers[follower]])
    await core.until(lambda: newcomer.state.map_version == 7)
    await core.until(lambda: newcomer.replica.leader_address() != '')


async def test_a_log_founded_by_one_promises_nothing_before_it_has_three(
    core,
):
    # The first replica alone could acknowledge a route map, and lose it with
    # its disk before the others hold it.
    peers = {name: core.address() for name in 'abc'}
    first = core.start('a', peers['a'], {'a': peers['a']}, founds=True)
    await core.until(lambda: core.leader() is first)
    command = messages.encode(messages.RouteMapPut(7, b'packed', b'source'))
    assert (await first.propose(command)).status == 'unknown'
    for name in 'bc':
        core.start(name, peers[name], contacts=[peers['a']], founds=True)
    await core.until(lambda: core.voters() == ['a', 'b', 'c'])
    assert (await first.propose(command)).status == 'done'


async def test_a_relay_appoints_one_founder_and_leads_others_on(
    core, monkeypatch
):
    # Callers are told of control processes without a disk only. One of them
    # says which replica founds the log; the others find it through that.
    monkeypatch.setattr('bulrushhold.control._relay.BOOTSTRAP_DELAY_S', 0.1)
    monkeypatch.setattr(
        'bulrushhold.control._relay.LEADER_CHECK_INTERVAL_S', 0.05
    )
    address = str(core.address())
    transport = node.ZmqTransport(address)
    relay = control.Relay(transport, address, [address], appoints=True)
    look = asyncio.ensure_future(relay.run())
    contact = settings.Address(*_split(address))
    servers = [
        core.start(name, core.address(), contacts=[contact], founds=True)
        for name in 'abc'
    ]
    await core.until(lambda: any(server.bootstrapped for server in servers))
    founders = [s for s in servers if s.bootstrapped]
    assert len(founders) == 1
    name = founders[0].config.name
    peer = founders[0].config.peer
    await core.stop(name)
    core.start(name, peer, contacts=[contact], founds=True)
    await core.until(lambda: core.voters() == ['a', 'b', 'c'])
    put = messages.RouteMapPut(7, b'packed', b'source')
    assert (await relay.calls.put_map(put)).version == 7
    assert (await relay.calls.read_map()).source == b'source'
    assert not relay.appoints
    look.cancel()
    await transport.close()


def _split(address):
    host, _, port = address.rpartition(':')
    return host, int(port)


async def test_a_relay_that_knows_only_itself_hears_where_control_is(core):
    # The seeds were exchanged for three instances without a disk; then all
    # lost power. Relays and entries start with these seeds only, and nobody
    # they can ask knows a replica: nothing would be served ever again.
    address = core.address()
    peers = {name: core.address() for name in 'abc'}
    for name, peer in peers.items():
        core.start(name, peer, peers, contacts=[address])
    transport = node.ZmqTransport(str(address))
    relay = control.Relay(
        transport, str(address), [str(address)], appoints=False
    )
    fleet = control.FleetRelay(relay, 'dc')
    look = asyncio.ensure_future(relay.run())
    await core.until(lambda: relay.leader != '')
    assert relay.core == sorted(map(str, peers.values()))
    entry = messages.ListedEntry('e1', 'dc', '127.0.0.1:1', True)
    reply = await fleet.watch._on_watch(
        messages.Watch(entry, messages.Known(), hold_s=0.0)
    )
    assert reply.leader == relay.leader
    look.cancel()
    await transport.close()
