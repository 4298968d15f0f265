"""Which versions may have begun the streams that are running."""

import asyncio
import random

import pytest

from bulrushhold import control
from bulrushhold.control import _clusterview
from bulrushhold import decisions
from bulrushhold import messages
from bulrushhold import routes
from tests import test_core

WINDOW_S = 30.0


@pytest.fixture
def recorder():
    return decisions.VersionRecorder()


@pytest.fixture
def known():
    placement = decisions.Placement(random.Random(1))
    placement.update([listed('i1', 'v1')])
    placement.known_versions.recorded = {'engines': ['v1']}
    placement.known_versions.listed_at = 10.0
    placement.known_versions.on_control_reply(10.0)
    return placement


def listed(ident, version):
    return messages.ListedBackend(
        ident, 'engines', f'{ident}:80', 'dc', 8, version=version
    )


def test_a_version_is_kept_for_as_long_as_its_streams(recorder):
    # Guards against a stream that is taken for one of the newer version.
    both = {'engines': ['v1', 'v2']}
    only_v2 = {'engines': {'v2'}}
    versions = recorder.next_versions(
        {'engines': ['v1']}, only_v2, 0.0, WINDOW_S
    )
    assert versions == both
    assert recorder.next_versions(both, only_v2, 29.0, WINDOW_S) == both
    assert recorder.next_versions(both, only_v2, 30.0, WINDOW_S) == {
        'engines': ['v2']
    }


def test_services_without_routes_are_recorded_for_a_while_only(recorder):
    # Guards against a state that grows with each odd item of the list.
    recorded = {'engines': ['v1']}
    for number in range(200):
        listed = {'engines': {'v1'}, f'odd-{number}': {f'v{number}'}}
        recorded = recorder.next_versions(
            recorded, listed, float(number), WINDOW_S, {'engines'}
        )
        assert len(recorded) <= WINDOW_S + 2
    assert recorded['engines'] == ['v1']
    assert len(recorder.missing_since) <= WINDOW_S + 2


def test_a_version_that_is_listed_again_starts_anew(recorder):
    both = {'engines': ['v1', 'v2']}
    recorder.next_versions(both, {'engines': {'v2'}}, 0.0, WINDOW_S)
    recorder.next_versions(both, {'engines': {'v1', 'v2'}}, 20.0, WINDOW_S)
    versions = recorder.next_versions(
        both, {'engines': {'v2'}}, 40.0, WINDOW_S
    )
    assert versions == both


def test_a_service_without_engines_keeps_its_versions(recorder):
    recorded = {'engines': ['v1']}
    for now in (0.0, 100.0):
        assert recorder.next_versions(recorded, {}, now, WINDOW_S) == recorded


def test_recorded_versions_are_part_of_snapshots():
    # Guards against versions that a loss of all power makes unknown.
    state = decisions.ReplicatedState()
    versions = {'engines': ['v1']}
    state.apply(messages.encode(messages.VersionsRecord(versions)))
    restored = decisions.ReplicatedState.restore(state.dump())
    assert restored.service_versions == versions


def test_the_only_version_is_known(known):
    assert known.known_versions.only_version('engines', 10.0) == 'v1'
    assert known.known_versions.only_version('other', 10.0) is None


def test_a_listed_version_counts_before_it_is_recorded(known):
    known.update([listed('i1', 'v1'), listed('i2', 'v2')])
    assert known.known_versions.only_version('engines', 10.0) is None


def test_a_recorded_version_counts_after_it_has_left_the_list(known):
    known.update([listed('i2', 'v2')])
    assert known.known_versions.only_version('engines', 10.0) is None


@pytest.mark.parametrize(
    ('recorded', 'used'),
    [
        (['v1'], {'v1'}),
        (['v1', 'v2'], {'v1', 'v2'}),
        (['v0'], {'v1', 'v2'}),
        ([], {'v1', 'v2'}),
    ],
)
def test_an_entry_that_starts_withholds_what_is_not_recorded(recorded, used):
    # Guards against a version that one entry uses before others know of it.
    placement = decisions.Placement(random.Random(1))
    placement.known_versions.recorded = {'engines': recorded}
    placement.update([listed('i1', 'v1'), listed('i2', 'v2')])
    usable = placement.usable('engines')
    assert {backend.version for backend in usable} == used


def test_an_outdated_list_tells_nothing(known):
    # Guards against an entry that is cut off and guesses.
    assert known.known_versions.only_version('engines', 13.1) is None


@pytest.mark.parametrize('newer', ['listed_at', 'complete_at'])
def test_versions_known_before_a_stream_could_begin_tell_nothing(known, newer):
    # Guards against an entry that was paused and trusts what it knew before.
    setattr(known.known_versions, newer, 12.0)
    assert known.known_versions.only_version('engines', 10.0) == 'v1'
    assert known.known_versions.only_version('engines', 10.1) is None


def test_control_that_is_behind_confirms_no_versions(known):
    # Guards against a process without the leader whose history is old.
    known.known_versions.listed_at = 12.0
    known.known_versions.on_control_reply(9.0)
    assert known.known_versions.only_version('engines', 10.0) == 'v1'
    assert known.known_versions.only_version('engines', 11.0) is None


def test_a_version_that_came_and_left_without_control_counts(known):
    # Guards against an entry that is cut off and guesses from its last list.
    for now, versions in ((12.0, ['v1', 'v2']), (14.0, ['v1'])):
        known.update([listed(version, version) for version in versions])
        known.known_versions.on_own_list(now)
    assert known.known_versions.only_version('engines', 14.0) is None
    known.known_versions.on_control_reply(15.0)
    known.known_versions.listed_at = 15.0
    assert known.known_versions.only_version('engines', 15.0) == 'v1'


def test_lists_without_a_gap_replace_control(known):
    for now in (12.0, 14.5, 17.0):
        known.known_versions.on_own_list(now)
    assert known.known_versions.only_version('engines', 17.0) == 'v1'


def test_a_gap_between_lists_without_control_tells_nothing(known):
    # Guards against a version that came and left while no list was read.
    for now in (12.0, 20.0, 21.0):
        known.known_versions.on_own_list(now)
    assert known.known_versions.only_version('engines', 21.0) is None


def route_map(version, timeout_s=30.0, **services_by_prefix):
    listed_routes = [
        routes.Route(
            prefix,
            'h',
            f'/{prefix}/',
            routes.Kind.STREAM,
            [routes.Target(service, 1) for service in services],
            timeout_s,
            1.0,
        )
        for prefix, services in services_by_prefix.items()
    ]
    names = {name for names in services_by_prefix.values() for name in names}
    return routes.RouteMap(
        version, listed_routes, [routes.Service(name) for name in names]
    )


def put_map(state, new):
    put = messages.RouteMapPut(new.version, messages.pack_map(new), b'')
    state.apply(messages.encode(put))


def test_a_moved_route_is_recorded_for_as_long_as_its_streams(recorder):
    # Guards against a stream that is taken for one of its route's new service.
    state = decisions.ReplicatedState(service_versions={'b': ['v1']})
    put_map(state, route_map(1, a=['a'], other=['b']))
    new = route_map(2, a=['b'], other=['b'])
    put_map(state, new)
    [key] = state.service_versions.keys() - {'b'}
    assert key == decisions.route_key(new.routes[0])
    assert state.service_versions[key] == ['a', 'b']
    for now in (0.0, 29.0, 30.0):
        recorded = state.service_versions
        current = decisions.recorded_routes(recorded, new.routes)
        versions = recorder.next_versions(
            recorded, {'b': {'v1'}, **current}, now, WINDOW_S
        )
        assert (key in versions) is (now < WINDOW_S)
        record = messages.VersionsRecord(versions, 2)
        state.apply(messages.encode(record))
    assert state.service_versions == {'b': ['v1']}


def test_a_map_is_applied_without_its_accounts(monkeypatch):
    # Guards against control that stands still as it applies large maps, one
    # after the other at a start.
    def fail(*args):
        raise AssertionError('what a control process needs for no route')

    monkeypatch.setattr(messages, 'unpack_map', fail)
    monkeypatch.setattr(routes, 'RouteIndex', fail)
    state = decisions.ReplicatedState()
    for version in range(1, 9):
        put_map(state, route_map(version, a=['ab'[version % 2]]))
    assert list(state.service_versions.values()) == [['a', 'b']]


def test_a_removed_route_is_forgotten_after_its_streams(recorder):
    state = decisions.ReplicatedState()
    put_map(state, route_map(1, a=['a']))
    put_map(state, route_map(2, a=['b']))
    put_map(state, route_map(3, c=['b']))
    recorded = state.service_versions
    assert recorder.next_versions(recorded, {}, 0.0, WINDOW_S) == recorded
    assert recorder.next_versions(recorded, {}, 30.0, WINDOW_S) == {}


def test_a_record_made_under_an_older_map_is_ignored():
    # Guards against a moved route that a record under way removes again.
    state = decisions.ReplicatedState(service_versions={'b': ['v1']})
    put_map(state, route_map(1, a=['a']))
    record = messages.VersionsRecord({'b': ['v1', 'v2']}, 1)
    put_map(state, route_map(2, a=['b']))
    recorded = state.service_versions
    state.apply(messages.encode(record))
    assert state.service_versions == recorded


async def test_streams_under_longer_timeouts_keep_their_version(known):
    # Guards against a version dropped early as a map shortens timeouts.
    server = test_core.FakeServer()
    server.propose = lambda command: None
    server.wakeup = asyncio.Event()
    fleet = control.FleetControl(server, 'dc', test_core.FakeBackends())
    versions = fleet.leader.versions
    put_map(server.state, route_map(1, 60.0, a=['a']))
    versions.update(0.0)
    put_map(server.state, route_map(2, 5.0, a=['a']))
    versions.update(10.0)
    assert versions.window_s == 65.0
    versions.update(64.0)
    assert versions.window_s == 65.0
    versions.update(65.0)
    assert versions.window_s == 10.0


async def test_a_version_that_left_before_its_record_is_recorded(known):
    # Guards against streams of a version that no record and no list names.
    server = test_core.FakeServer()
    server.wakeup = asyncio.Event()
    proposals = []
    server.replica.propose = proposals.append
    fleet = control.FleetControl(server, 'dc', test_core.FakeBackends())
    publisher = fleet.leader.versions
    for number, versions in enumerate((['v1'], ['v1', 'v2'], ['v1'])):
        backends = [listed(version, version) for version in versions]
        fleet.view.set_backends(
            decisions.BackendList.of(backends), f'1.{number + 1}'
        )
        publisher.update(number * 0.4)
    publisher.update(1.2)
    for command in proposals:
        server.state.apply(command)
    assert server.state.service_versions['engines'] == ['v1', 'v2']
    publisher.update(3.0)
    assert publisher.unrecorded == set()


@pytest.mark.parametrize(('delay_s', 'age_s'), [(0.1, 0.0), (0.8, 0.5)])
async def test_a_slow_list_is_as_old_as_its_request(delay_s, age_s):
    # Guards against versions that a slow response shows as they were.
    server = test_core.FakeServer()
    now = [100.0]
    server.clock = lambda: now[0]

    class SlowBackends(test_core.FakeBackends):
        async def fetch(self):
            now[0] += delay_s
            return await super().fetch()

    fleet = control.FleetControl(server, 'dc', SlowBackends())
    await fleet.leader._read_list()
    read_at = fleet.view.backends_read_at
    assert now[0] - read_at == pytest.approx(age_s)


def test_a_view_is_as_old_as_its_request():
    # Guards against a reply that has waited while its receiver was paused.
    now = [100.0]
    leader = _clusterview.ClusterView(lambda: now[0])
    leader.set_backends(decisions.BackendList.of([listed('i1', 'v1')]), '1.1')
    leader.backends_read_at = 99.0
    leader.update_versions({'engines': ['v1']}, 1)
    view = _clusterview.ClusterView(lambda: now[0])
    reply = leader.reply(view.versions())
    requested_at = now[0]
    now[0] += 5.0
    view.update(reply, requested_at)
    reply = view.reply(messages.Known())
    assert reply.backends_age_s == 6.0
    assert reply.versions_age_s == 5.0


async def test_entries_learn_the_recorded_versions(fleet):
    for entry in fleet.entries.values():
        known = entry.placement.known_versions
        await fleet.cluster.wait_until(
            lambda k=known: k.recorded.get('engines') == ['']
        )
        assert known.recorded == decisions.with_map_version(
            {'engines': ['']}, entry.map_version
        )
