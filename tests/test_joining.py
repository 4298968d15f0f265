"""Replicas that join, rejoin or bootstrap the replicated log."""

import asyncio


from bulrushhold import control
from bulrushhold import messages
from bulrushhold import node
from bulrushhold import settings


async def start_cluster(cluster):
    peers = {name: cluster.address() for name in ('a', 'b', 'c')}
    for name, peer in peers.items():
        cluster.start(name, peer, peers)
    await cluster.wait_until(lambda: cluster.leader() is not None)
    command = messages.encode(messages.RouteMapPut(7, b'packed', b'source'))
    assert (await cluster.propose(command)).status == 'done'
    return peers


async def test_an_empty_replica_at_a_new_address_becomes_a_voter(cluster):
    # The new replica only has a stale list of contacts. It must still be able
    # to reply to the leader; otherwise it would never catch up.
    peers = await start_cluster(cluster)
    stopped = next(
        n for n in 'abc' if cluster.running[n][0] is not cluster.leader()
    )
    await cluster.stop(stopped)
    replacement = cluster.start(
        'd', cluster.address(), contacts=peers.values()
    )
    expected_voters = sorted({'a', 'b', 'c', 'd'} - {stopped})
    await cluster.wait_until(lambda: cluster.voters() == expected_voters)
    assert replacement.state.map_version == 7
    second_stopped = next(
        n
        for n in cluster.running
        if n != 'd' and cluster.running[n][0] is not cluster.leader()
    )
    await cluster.stop(second_stopped)
    command = messages.encode(messages.RouteMapPut(9, b'packed', b'source'))
    reply = await cluster.propose(command)
    assert reply.status == 'done'


async def test_a_replica_that_lost_its_disk_becomes_a_voter_again(cluster):
    peers = await start_cluster(cluster)
    stopped = next(
        n for n in 'abc' if cluster.running[n][0] is not cluster.leader()
    )
    await cluster.stop(stopped)
    for file in (cluster.folder / stopped).iterdir():
        file.unlink()
    others = [peer for name, peer in peers.items() if name != stopped]
    restarted = cluster.start(
        stopped, peers[stopped], contacts=[peers[stopped], *others]
    )
    ident = restarted.replica.ident
    await cluster.wait_until(
        lambda: cluster.leader() is not None
        and ident in cluster.leader().replica.config.voters
    )
    await cluster.wait_until(lambda: cluster.voters() == ['a', 'b', 'c'])
    assert restarted.state.map_version == 7


async def test_an_empty_replica_finds_the_leader_through_a_follower(cluster):
    peers = await start_cluster(cluster)
    follower = next(
        n for n in 'abc' if cluster.running[n][0] is not cluster.leader()
    )
    replacement = cluster.start(
        'd', cluster.address(), contacts=[peers[follower]]
    )
    await cluster.wait_until(lambda: replacement.state.map_version == 7)
    await cluster.wait_until(
        lambda: replacement.replica.leader_address() != ''
    )


async def test_a_new_log_accepts_no_command_before_it_has_three_voters(
    cluster,
):
    # A command acknowledged by the first replica alone would be lost with
    # its disk.
    peers = {name: cluster.address() for name in 'abc'}
    first = cluster.start('a', peers['a'], {'a': peers['a']}, founds=True)
    await cluster.wait_until(lambda: cluster.leader() is first)
    command = messages.encode(messages.RouteMapPut(7, b'packed', b'source'))
    assert (await first.propose(command)).status == 'unknown'
    for name in 'bc':
        cluster.start(name, peers[name], contacts=[peers['a']], founds=True)
    await cluster.wait_until(lambda: cluster.voters() == ['a', 'b', 'c'])
    assert (await cluster.propose(command)).status == 'done'


async def test_a_relay_selects_one_replica_to_bootstrap_the_log(
    cluster, monkeypatch
):
    # All contacts are relays. More than one bootstrapped replica would create
    # separate logs.
    monkeypatch.setattr('bulrushhold.control._relay.BOOTSTRAP_DELAY_S', 0.1)
    monkeypatch.setattr(
        'bulrushhold.control._relay.LEADER_CHECK_INTERVAL_S', 0.05
    )
    address = str(cluster.address())
    transport = node.ZmqTransport(address)
    relay = control.Relay(transport, address, [address], bootstraps=True)
    relay_task = asyncio.ensure_future(relay.run())
    contact = settings.Address(*_split(address))
    servers = [
        cluster.start(name, cluster.address(), contacts=[contact], founds=True)
        for name in 'abc'
    ]
    await cluster.wait_until(
        lambda: any(server.bootstrapped for server in servers)
    )
    bootstrapped_servers = [s for s in servers if s.bootstrapped]
    assert len(bootstrapped_servers) == 1
    name = bootstrapped_servers[0].config.name
    peer = bootstrapped_servers[0].config.peer
    await cluster.stop(name)
    cluster.start(name, peer, contacts=[contact], founds=True)
    await cluster.wait_until(lambda: cluster.voters() == ['a', 'b', 'c'])
    put = messages.RouteMapPut(7, b'packed', b'source')
    assert (await relay.leader_client.put_map(put)).version == 7
    assert (await relay.leader_client.read_map()).source == b'source'
    assert not relay.bootstraps
    relay_task.cancel()
    await transport.close()


def _split(address):
    host, _, port = address.rpartition(':')
    return host, int(port)


async def test_a_relay_without_other_contacts_learns_the_leader(cluster):
    # After a full restart a relay that only has addresses of relays can't
    # find a replica, so the replicas have to contact it.
    address = cluster.address()
    peers = {name: cluster.address() for name in 'abc'}
    for name, peer in peers.items():
        cluster.start(name, peer, peers, contacts=[address])
    transport = node.ZmqTransport(str(address))
    relay = control.Relay(
        transport, str(address), [str(address)], bootstraps=False
    )
    fleet = control.FleetRelay(relay, 'dc')
    relay_task = asyncio.ensure_future(relay.run())
    await cluster.wait_until(lambda: relay.leader != '')
    assert relay.voter_addresses == sorted(map(str, peers.values()))
    entry = messages.ListedEntry('e1', 'dc', '127.0.0.1:1', True)
    reply = await fleet.watch._on_watch(
        messages.Watch(entry, messages.Known(), hold_s=0.0)
    )
    assert reply.leader == relay.leader
    relay_task.cancel()
    await transport.close()
