"""Tests of the route map: validation, lookup and replication."""

import attrs
import hypothesis
import hypothesis.strategies as st
import pytest

from bulrushhold import decisions
from bulrushhold import errors
from bulrushhold import messages
from bulrushhold import routes


def make_route(name='r1', prefix='/a/', **changes):
    route = routes.Route(
        name,
        'forms.example',
        prefix,
        routes.Kind.IDEMPOTENT,
        [routes.Target('engines', 1.0)],
        timeout_s=3.0,
        aim_s=0.3,
    )
    return attrs.evolve(route, **changes)


def make_map(*items, version=1, accounts=()):
    return routes.RouteMap(
        version,
        list(items) or [make_route()],
        [routes.Service('engines'), routes.Service('desk')],
        list(accounts),
    )


def test_find_returns_the_longest_prefix():
    index = routes.RouteIndex(
        make_map(
            make_route(), make_route('r2', '/a/b/'), make_route('r3', '/')
        )
    )
    assert index.find('forms.example', '/a/b/c').name == 'r2'
    assert index.find('forms.example:80', '/a/bc').name == 'r1'
    assert index.find('FORMS.example', '/x').name == 'r3'
    assert index.find('other.example', '/a/') is None


def test_routes_whose_hosts_differ_in_case_only_are_rejected():
    # Guards against a route that another one replaces in silence.
    route_map = make_map(
        make_route(), make_route('r2', host='Forms.EXAMPLE'), version=2
    )
    with pytest.raises(errors.RouteMapError, match='duplicate route at'):
        route_map.check()


def test_find_returns_none_without_a_matching_prefix():
    index = routes.RouteIndex(make_map())
    assert index.find('forms.example', '/b/a/') is None
    assert index.find('forms.example', '/a') is None


@pytest.mark.parametrize('rest', ['/' * 60_000, 'a/' * 30_000, 'b/c' * 20_000])
def test_a_path_of_many_slashes_is_processed_once(rest):
    # Guards against callers whose paths hold up an entry for half a second.
    copied = []

    class CountedPath(str):
        def __getitem__(self, key):
            part = super().__getitem__(key)
            copied.append(len(part))
            return part

    index = routes.RouteIndex(make_map(make_route(prefix='/a/b/')))
    path = CountedPath('/a/b/' + rest)
    assert index.find('forms.example', path).name == 'r1'
    assert index.find('forms.example', CountedPath('/x/' + rest)) is None
    assert sum(copied) <= 4 * len(path)


def longest_prefix(items, path):
    """Compare each route's prefix with the path, as a reference."""
    matching = [route for route in items if path.startswith(route.prefix)]
    return max(matching, key=lambda r: len(r.prefix), default=None)


PATHS = st.lists(st.sampled_from(['', 'a', 'b', 'ab']), max_size=5).map(
    '/'.join
)


@hypothesis.given(st.lists(PATHS, max_size=6, unique=True), PATHS, PATHS)
def test_find_returns_what_comparing_all_prefixes_returns(prefixes, path, end):
    items = [
        make_route(f'r{n}', f'/{prefix}/' if prefix else '/')
        for n, prefix in enumerate(prefixes)
    ]
    index = routes.RouteIndex(make_map(*items))
    for asked in (f'/{path}', f'/{path}/{end}', path, '*', ''):
        found = index.find('forms.example', asked)
        assert found == longest_prefix(items or [make_route()], asked)


def make_account(name, priority=None):
    return routes.ClientAccount(name, [f'key-{name}'], priority)


def make_stream(name, priority, **changes):
    changes = {'kind': routes.Kind.STREAM, **changes}
    return make_route(name, f'/{name}/', priority=priority, **changes)


DESK = {'targets': [routes.Target('desk', 1.0)]}
UNUSED = {'targets': [routes.Target('engines', 0), routes.Target('desk', 1)]}


@pytest.mark.parametrize(
    ('streams', 'accounts', 'ordered'),
    [
        ([make_stream('a', 5)], [], False),
        ([make_stream('a', 0), make_stream('b', 1)], [], True),
        ([make_stream('a', 0), make_stream('b', 1, **DESK)], [], False),
        ([make_stream('a', 0), make_stream('b', 1, **UNUSED)], [], False),
        (
            [
                make_stream('a', 0),
                make_stream('b', 1, kind=routes.Kind.IDEMPOTENT),
            ],
            [],
            False,
        ),
        ([make_stream('a', 5)], [1, 2], False),
        ([make_stream('a', 0), make_stream('b', 1)], [2, 2], True),
    ],
)
def test_admission_is_ordered_where_streaming_routes_differ_in_priority(
    streams, accounts, ordered
):
    """Guards against messages and headers where nothing is to be ordered."""
    accounts = [make_account(f'a{n}', p) for n, p in enumerate(accounts)]
    index = routes.RouteIndex(make_map(*streams, accounts=accounts))
    rank = index.priority('engines', streams[0], None)
    assert (rank is not None) is ordered


def test_accounts_precede_routes_in_the_order_of_streams():
    streams = [make_stream('a', 0), make_stream('b', 1)]
    urgent, usual = make_account('u', 0), make_account('v', 1)
    index = routes.RouteIndex(make_map(*streams, accounts=[urgent, usual]))
    order = [(urgent, 0), (urgent, 1), (usual, 0), (usual, 1)]
    ranks = [
        index.priority('engines', streams[number], account)
        for account, number in order
    ]
    assert ranks == sorted(set(ranks))
    assert index.priority('desk', streams[1], urgent) is None


def test_the_priorities_of_routes_are_ranks_without_those_of_accounts():
    streams = [make_stream(name, n) for n, name in enumerate('abc')]
    index = routes.RouteIndex(make_map(*streams, accounts=[make_account('u')]))
    account = index.accounts['key-u']
    assert [index.priority('engines', s, account) for s in streams] == [
        0,
        1,
        2,
    ]


class CountedAccount:
    """Counts how often its priority is read."""

    def __init__(self, number):
        self.name, self.keys = f'a{number}', [f'key-{number}']
        self.number = number
        self.reads = 0

    @property
    def priority(self):
        self.reads += 1
        return self.number % 3


def test_a_large_map_reads_each_account_a_few_times():
    # Guards against entries and control that stand still for seconds, as each
    # route of each service was combined with each account.
    services = [f's{n}' for n in range(20)]
    accounts = [CountedAccount(n) for n in range(100)]
    streams = [
        make_stream(f'r{n}', n % 3, targets=[routes.Target(service, 1.0)])
        for n, service in enumerate(services * 5)
    ]
    index = routes.RouteIndex(make_map(*streams, accounts=accounts))
    assert index.priority('s0', streams[0], None) == 0
    assert max(account.reads for account in accounts) <= 3


def enumerated_ranks(services_routes, accounts):
    """Sort the keys of all pairs of a route and an account, as a reference."""
    keys = {
        (route.priority, route.priority)
        if account is None or account.priority is None
        else (account.priority, route.priority)
        for route in services_routes
        for account in [None, *accounts]
    }
    return {key: rank for rank, key in enumerate(sorted(keys))}


@hypothesis.given(
    st.lists(st.integers(0, 9), min_size=2, max_size=6),
    st.lists(st.none() | st.integers(0, 9), max_size=6),
)
def test_ranks_are_those_of_all_pairs_of_routes_and_accounts(
    route_priorities, account_priorities
):
    streams = [
        make_stream(f'r{n}', priority)
        for n, priority in enumerate(route_priorities)
    ]
    accounts = [
        make_account(f'a{n}', priority)
        for n, priority in enumerate(account_priorities)
    ]
    index = routes.RouteIndex(make_map(*streams, accounts=accounts))
    ranks = enumerated_ranks(streams, accounts)
    if len(set(route_priorities)) < 2:
        ranks = {}
    for route in streams:
        for account in [None, *accounts]:
            first = getattr(account, 'priority', None)
            key = (route.priority if first is None else first, route.priority)
            rank = index.priority('engines', route, account)
            assert rank == ranks.get(key)
    assert index.priority('engines', streams[0], make_account('x', 77)) is None


def test_target_picks_services_by_weight():
    route = make_route(
        targets=[routes.Target('engines', 90), routes.Target('desk', 10)]
    )
    index = routes.RouteIndex(make_map(route))
    picked = [index.target(route, n / 100) for n in range(100)]
    assert picked.count('engines') == 90
    assert picked.count('desk') == 10


@pytest.mark.parametrize(
    'invalid',
    [
        make_map(make_route(timeout_s=0)),
        make_map(make_route(targets=[routes.Target('nobody', 1)])),
        make_map(make_route(targets=[routes.Target('engines', 0)])),
        make_map(make_route(targets=[])),
        make_map(make_route(), make_route('r2')),
        make_map(make_route(prefix='/a')),
        make_map(
            accounts=[
                routes.ClientAccount('x', ['key']),
                routes.ClientAccount('y', ['key']),
            ]
        ),
    ],
)
def test_check_rejects_an_invalid_map(invalid):
    with pytest.raises(errors.RouteMapError) as caught:
        invalid.check()
    assert 'key' not in caught.value.reason or 'duplicate key' in str(
        caught.value
    )


def make_put(version, host='forms.example'):
    route_map = make_map(make_route(host=host), version=version)
    return messages.RouteMapPut(
        version, messages.pack_map(route_map), host.encode()
    )


def test_only_a_higher_version_replaces_the_map():
    # Guards against a concurrent or delayed update that reverts a newer map.
    state = decisions.ReplicatedState()
    outcomes = [
        messages.decode(state.apply(messages.encode(put))).version
        for put in (
            make_put(3),
            make_put(3, 'else.example'),
            make_put(2),
            make_put(7),
        )
    ]
    assert outcomes == [3, 3, 3, 7]
    assert state.route_map == make_put(7)


def test_a_snapshot_contains_the_route_map():
    state = decisions.ReplicatedState()
    state.apply(messages.encode(make_put(4)))
    restored = decisions.ReplicatedState.restore(state.dump())
    assert restored.route_map == make_put(4)
    assert messages.unpack_map(restored.route_map.packed).version == 4
