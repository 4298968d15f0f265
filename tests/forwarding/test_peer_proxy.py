"""Requests of an entry that reaches no backend server by itself."""

import asyncio
import random

import attrs
import pytest

from bulrushhold import calls
from bulrushhold import decisions
from bulrushhold import errors
from bulrushhold import forwarding
from bulrushhold import messages
from bulrushhold import node
from bulrushhold import routes
from tests.forwarding import fakes

SERVERS = 6
CONNECT_ERROR = fakes.Script(error='connect')


class FakeProxies(calls.PeerProxyClient):
    """Sends through other entries' clients.

    :ivar clients: by proxy address; an entry without one refuses.
    """

    def __init__(self):
        self.clients = {}
        self.asked = []
        self.denied = None

    async def send(self, proxy, call, attempt):
        self.asked.append(proxy)
        if self.denied is not None:
            raise self.denied
        if proxy not in self.clients:
            raise errors.ProxyRefusedError('cut off', 'proxy', proxy)
        return await self.clients[proxy].send(call, attempt)

    async def ask(self, proxy, question, timeout):
        self.asked.append(proxy)
        if proxy not in self.clients:
            raise errors.ProxyRefusedError('cut off', 'proxy', proxy)
        client = self.clients[proxy]
        alive = await client.accepts_connections(question.address, timeout)
        return messages.ProxyAnswer(alive)

    async def close(self):
        pass


@pytest.fixture
def proxies():
    return FakeProxies()


@pytest.fixture
def entries():
    return [
        messages.ListedEntry(f'e{n}', 'dc', f'c{n}', True, f'proxy{n}')
        for n in range(1, 4)
    ]


@pytest.fixture
def monitor(client, context):
    return forwarding.ReachabilityMonitor(
        client, context.placement, node.NullMetrics()
    )


@pytest.fixture
def proxying(client, context, proxies, entries, monitor):
    client_of_entry = forwarding.ProxyingClient(
        client,
        proxies,
        monitor,
        context.placement,
        decisions.ProxyPeers('e1'),
        lambda: entries,
        node.NullMetrics(),
    )
    context.client.client = client_of_entry
    return client_of_entry


def cut_off(client):
    client.dead |= {f'10.0.0.{n}:80' for n in range(SERVERS)}
    client.scripts = [CONNECT_ERROR] * 20


def connect(proxies, *scripts):
    """Let the second and third entry reach the servers."""
    peer = fakes.FakeClient()
    peer.scripts = list(scripts) or [fakes.Script()] * 20
    proxies.clients = {'proxy2': peer, 'proxy3': peer}
    return peer


@pytest.mark.parametrize('kind', [routes.Kind.IDEMPOTENT, routes.Kind.ONCE])
async def test_a_request_is_sent_through_an_entry_that_reaches_servers(
    client, context, proxying, proxies, kind
):
    cut_off(client)
    peer = connect(proxies)
    for _ in range(3):
        reply = await fakes.run_plain(context, kind)
        assert reply.status == 200
    # Only the first request has tried the entry's own connections.
    assert len(client.attempts) == 1
    assert len(peer.attempts) == 3
    assert context.placement.pending_losses == []


async def test_a_stream_resumes_through_another_entry(
    client, context, proxying, proxies
):
    # Guards against an entry that loses all engines in the middle of a stream.
    client.scripts = [fakes.Script(events=(1, 2), then='crash')]
    client.scripts += [CONNECT_ERROR] * 20
    client.dead |= {f'10.0.0.{n}:80' for n in range(SERVERS)}
    connect(proxies, fakes.Script(events=(3,)))
    caller, _ = await fakes.run_stream(context)
    assert caller.data == fakes.encode_events(1, 2, 3)
    assert caller.ended


async def test_a_refused_connection_alone_is_a_lost_engine(
    client, context, proxying, proxies
):
    # Guards against requests that take a detour beside a crashed engine.
    client.scripts = [CONNECT_ERROR, fakes.Script(events=(1,))]
    connect(proxies)
    caller, _ = await fakes.run_stream(context)
    assert caller.ended
    assert proxies.asked == []
    assert len(context.placement.pending_losses) == 1


async def test_an_entry_that_is_cut_off_too_is_not_asked_again(
    client, context, proxying, proxies
):
    cut_off(client)
    connect(proxies)
    del proxies.clients['proxy2']
    for _ in range(6):
        await fakes.run_plain(context, routes.Kind.IDEMPOTENT)
    assert proxies.asked.count('proxy2') <= 1


async def test_a_listed_entry_that_reaches_no_server_is_not_asked(
    client, context, proxying, proxies, entries
):
    cut_off(client)
    connect(proxies)
    entries[1] = messages.ListedEntry(
        'e2', 'dc', 'c2', True, 'proxy2', ('engines',)
    )
    for _ in range(6):
        await fakes.run_plain(context, routes.Kind.IDEMPOTENT)
    assert set(proxies.asked) == {'proxy3'}


@pytest.mark.parametrize('kind', list(routes.Kind))
async def test_a_request_that_no_entry_can_send_is_refused_at_once(
    client, context, proxying, proxies, kind
):
    # Guards against a caller that waits while no engine can be reached.
    cut_off(client)
    run = (
        fakes.run_stream(context)
        if kind is routes.Kind.STREAM
        else fakes.run_plain(context, kind)
    )
    started = context.clock()
    with pytest.raises(errors.RequestError) as caught:
        await run
    assert caught.value.status == 503
    assert caught.value.ran is errors.Ran.NO
    assert caught.value.retry_after is not None
    assert context.clock() - started < 0.2
    assert context.placement.pending_losses == []


async def test_a_request_that_may_run_once_is_not_proxied_twice(
    client, context, proxying, proxies
):
    # Guards against a second run after a proxy failed with the first one.
    cut_off(client)
    peer = connect(proxies, fakes.Script(error='send'))
    with pytest.raises(errors.RequestError) as caught:
        await fakes.run_plain(context, routes.Kind.ONCE)
    assert caught.value.ran is errors.Ran.UNKNOWN
    assert len(peer.attempts) == 1


async def test_a_server_that_allows_the_proxy_no_request_is_left_out(
    client, context, proxying, proxies
):
    # Guards against requests that go round between a server and its proxy.
    cut_off(client)
    proxies.denied = errors.NoPermitError('backoff', 'permit', '', 30.0)
    with pytest.raises(errors.RequestError) as caught:
        await fakes.run_plain(context, routes.Kind.IDEMPOTENT)
    assert caught.value.ran is errors.Ran.NO
    assert len(proxies.asked) == SERVERS


async def test_the_entry_uses_its_own_connections_once_they_work_again(
    client, context, proxying, proxies, monitor
):
    cut_off(client)
    connect(proxies)
    watch = asyncio.ensure_future(monitor.watch())
    await fakes.run_plain(context, routes.Kind.IDEMPOTENT)
    client.dead.clear()
    client.scripts = [fakes.Script()]
    while monitor.is_cut_off('engines'):
        await asyncio.sleep(0.01)
    watch.cancel()
    before = len(proxies.asked)
    await fakes.run_plain(context, routes.Kind.IDEMPOTENT)
    assert len(proxies.asked) == before


def test_the_sample_spreads_over_data_centres(context):
    sample = context.placement.reachability.sample(
        context.placement.usable('engines'), '10.0.0.1:80'
    )
    servers = {b.address: b for b in context.placement.backends.values()}
    assert len({servers[address].data_centre for address in sample}) == 3
    assert '10.0.0.1:80' not in sample


def test_the_proxies_of_many_servers_are_spread(entries):
    peers = decisions.ProxyPeers('e1')
    first = [
        peers.order(entries, 'engines', f'10.0.0.{n}:80', 0.0)[0]
        for n in range(100)
    ]
    assert 30 < first.count('proxy2') < 70
    assert 'proxy1' not in first


def make_index():
    reply = fakes.make_reply()
    return routes.RouteIndex(messages.unpack_map(reply.route_map))


async def test_an_entry_without_servers_leaves_the_directory(fleet, context):
    entries = [
        messages.ListedEntry('e1', 'dc', '10.0.1.1:80', True),
        messages.ListedEntry(
            'e2', 'dc', '10.0.1.2:80', True, unreachable=('engines',)
        ),
        messages.ListedEntry('e3', 'dc', '10.0.1.3:80', True),
    ]
    fleet.listed_entries = decisions.EntryList.of(entries)
    fleet.index = make_index()
    assert sorted(fleet.addresses(9)) == ['10.0.1.1:80', '10.0.1.3:80']
    context.placement.reachability.record_unreachable('engines', 0.0)
    assert fleet.addresses(9) == ['10.0.1.3:80']


async def test_a_service_without_routes_keeps_no_entry_in_the_directory(
    fleet, context
):
    # Guards against entries without servers that are listed for a stranger's.
    stranger = messages.ListedBackend('s', 'other', '10.9.9.9:80', 'dc', 1)
    listed = [
        messages.ListedBackend(b.ident, b.service, b.address, 'dc0', b.slots)
        for b in context.placement.backends.values()
    ]
    context.placement.update([*listed, stranger])
    fleet.listed_entries = decisions.EntryList.of(
        [
            messages.ListedEntry(
                'e2', 'dc', '10.0.1.2:80', True, unreachable=('engines',)
            ),
            messages.ListedEntry('e3', 'dc', '10.0.1.3:80', True),
        ]
    )
    fleet.index = make_index()
    context.placement.reachability.record_unreachable('engines', 0.0)
    assert fleet.addresses(9) == ['10.0.1.3:80']


async def test_the_directory_lists_all_entries_if_none_reaches_a_server(
    fleet, context
):
    # Guards against callers that find no entry that could refuse them.
    context.placement.reachability.record_unreachable('engines', 0.0)
    entries = [
        messages.ListedEntry(
            'e2', 'dc', '10.0.1.2:80', True, unreachable=('engines',)
        )
    ]
    fleet.listed_entries = decisions.EntryList.of(entries)
    fleet.index = make_index()
    assert sorted(fleet.addresses(9)) == ['10.0.1.1:80', '10.0.1.2:80']


@pytest.fixture
def handler(client, context, fleet, monitor):
    fleet.index = make_index()
    return forwarding.DirectProxyHandler(
        forwarding.PermitCheckingClient(
            client, context.placement, context.poison_requests
        ),
        context,
        fleet,
        monitor,
    )


def make_attempt(context, number=1):
    job = fakes.make_job(context, routes.Kind.IDEMPOTENT)
    return job.call, calls.Attempt(
        f'10.0.0.{number}:80', f'i{number}', 'acct', 1.0
    )


async def test_an_entry_that_has_drained_proxies_nothing_more(
    handler, context, client
):
    # Guards against another entry's request that ends with this process.
    handler.is_closing = lambda: True
    with pytest.raises(errors.ProxyRefusedError):
        await handler.send(*make_attempt(context))
    assert client.attempts == []


def list_peers(fleet, **second):
    """List a draining entry e1, which the handler runs in, and e2."""
    fleet.start_draining()
    fleet.listed_entries = decisions.EntryList.of(
        [
            fleet.own_entry,
            messages.ListedEntry(
                'e2', 'dc', 'c2', **{'ready': True, 'proxy': 'p2', **second}
            ),
        ]
    )


async def test_a_draining_entry_leaves_attempts_to_its_peers(
    handler, context, client, fleet
):
    # Guards against another entry's request that ends with this process.
    client.scripts = [fakes.Script()]
    list_peers(fleet)
    with pytest.raises(errors.ProxyRefusedError):
        await handler.send(*make_attempt(context))
    assert client.attempts == []


@pytest.mark.parametrize(
    'second',
    [{'unreachable': ('engines',)}, {'ready': False}, {'proxy': ''}],
)
async def test_a_draining_entry_proxies_what_no_peer_can(
    handler, context, client, fleet, second
):
    # Guards against requests refused where they could be served.
    client.scripts = [fakes.Script()]
    list_peers(fleet, **second)
    response = await handler.send(*make_attempt(context))
    assert response.head.status == 200


async def test_draining_entries_are_asked_last(
    client, context, proxying, proxies, entries
):
    # Guards against an attempt that ends with the process of its proxy.
    cut_off(client)
    connect(proxies)
    for ready in ('proxy2', 'proxy3'):
        for index, entry in enumerate(entries):
            is_ready = entry.proxy == ready
            entries[index] = attrs.evolve(entry, ready=is_ready)
        proxies.asked.clear()
        for _ in range(4):
            reply = await fakes.run_plain(context, routes.Kind.ONCE)
            assert reply.status == 200
        assert set(proxies.asked) == {ready}


async def test_a_draining_entry_is_asked_if_no_other_reaches_servers(
    client, context, proxying, proxies, entries
):
    # Guards against requests refused where they could be served.
    cut_off(client)
    connect(proxies)
    for index, entry in enumerate(entries):
        entries[index] = attrs.evolve(entry, ready=False)
    reply = await fakes.run_plain(context, routes.Kind.ONCE)
    assert reply.status == 200


async def test_a_server_that_left_the_list_says_nothing_of_the_others(
    client, context, proxying, proxies
):
    # Guards against a request refused because its first server is gone.
    client.scripts = [CONNECT_ERROR]
    connect(proxies)
    call, _ = make_attempt(context)
    with pytest.raises(errors.BackendError) as caught:
        await proxying.send(
            call, calls.Attempt('10.0.0.9:80', 'i9', 'acct', 1.0)
        )
    assert not isinstance(caught.value, errors.CutOffError)
    assert proxies.asked == []
    assert context.placement.reachability.cut_off == {}


async def test_a_proxy_keeps_to_what_servers_demand_of_it(
    client, context, handler
):
    # Guards against requests of this entry after a demand made to a proxy.
    client.scripts = [fakes.Script(503, backoff=calls.Backoff(30.0))]
    call, attempt = make_attempt(context)
    await handler.send(call, attempt)
    backoffs = context.placement.demands.backoffs
    assert backoffs.is_active('i1', context.clock())
    with pytest.raises(errors.NoPermitError):
        await handler.send(call, attempt)
    assert handler.wait_s('i1') > 29.0


async def test_a_proxy_that_is_cut_off_refuses(client, context, handler):
    cut_off(client)
    call, attempt = make_attempt(context)
    with pytest.raises(errors.ProxyRefusedError):
        await handler.send(call, attempt)


async def test_a_proxy_that_is_cut_off_says_nothing_of_servers(
    context, handler
):
    # Guards against servers that pass for dead on the word of such an entry.
    question = messages.ProxiedConnect('10.0.0.1:80', 0.1)
    assert (await handler.answer(question)).success
    context.placement.reachability.record_unreachable('engines', 0.0)
    with pytest.raises(errors.ProxyRefusedError):
        await handler.answer(question)


async def test_a_proxy_sends_only_to_listed_servers(context, handler):
    # Guards against an entry that forwards to any address.
    call, _ = make_attempt(context)
    attempt = calls.Attempt('10.9.9.9:80', 'i99', 'acct', 1.0)
    with pytest.raises(errors.ProxyRefusedError):
        await handler.send(call, attempt)
    listed = calls.Attempt('10.9.9.9:80', 'i1', 'acct', 1.0)
    with pytest.raises(errors.ProxyRefusedError):
        await handler.send(call, listed)


def test_random_samples_are_small():
    reachability = decisions.Reachability(random.Random(1))
    servers = [
        decisions.BackendServer(f'i{n}', 's', f'a{n}', f'dc{n % 12}', 1)
        for n in range(600)
    ]
    assert len(reachability.sample(servers)) == 3
