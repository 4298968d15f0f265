"""Streams that callers resume: which service and version they go on at."""

import asyncio

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


def listed(version, *numbers, service='engines'):
    return [
        messages.ListedBackend(
            f'{service}-{n}',
            service,
            f'{service}.{n}:80',
            f'dc{n % 3}',
            64,
            version=version,
        )
        for n in numbers
    ]


START_MS = 1_700_000_000_000
ENGINES = [*listed('v1', 0, 1, 2), *listed('v2', 3, 4, 5)]


@pytest.fixture
def forwarder(context, fleet):
    """An entry that has the route map and engines of two versions."""
    fleet._apply_reply(fakes.make_reply(1, routes.Kind.STREAM, resumable=True))
    context.placement.update(ENGINES)
    known_versions = context.placement.known_versions
    known_versions.recorded = {'engines': ['v1', 'v2']}
    known_versions.listed_at = float('inf')
    known_versions.on_control_reply(float('inf'))
    return forwarding.Forwarder(fleet, context)


class SlowOrigins(forwarding.LocalOrigins):
    """Homes of which one doesn't answer."""

    async def find(self, key):
        finding = await super().find(key)
        return attrs.evolve(finding, asked=6, answered=5, conclusive=False)


class RecordingMetrics(node.NullMetrics):
    def __init__(self):
        self.gauges = {}

    def gauge(self, name, value, labels):
        self.gauges[name, *labels.values()] = value


def make_call(ident, last_event_id=None, resumes='', target='/a/x', key='k'):
    return calls.Call(
        ident,
        'POST',
        target,
        'h',
        key,
        (),
        b'',
        25.0,
        last_event_id,
        calls.Prompt(8000, 100, (f'p-{target}',)),
        resumes,
    )


async def send(forwarder, call, client, *scripts):
    client.scripts = list(scripts)
    caller = fakes.FakeCaller()
    await forwarder.handle(call, caller)
    return caller


async def begin(forwarder, client, ident='req-1', **options):
    """Begin a stream that breaks off; return the version that began it."""
    events = fakes.Script(events=(1, 2), then='reset')
    failure = fakes.Script(status=400)
    await send(forwarder, make_call(ident, **options), client, events, failure)
    return version_at(forwarder, client.attempts.pop(0))


def version_at(forwarder, attempt):
    return forwarder.context.placement.backends[attempt.instance].version


async def refusal(forwarder, call):
    with pytest.raises(errors.RequestError) as caught:
        await forwarder.handle(call, fakes.FakeCaller())
    assert caught.value.ran is errors.Ran.NO
    assert caught.value.status == 503
    return caught.value


@pytest.mark.parametrize('number', range(8))
async def test_a_resumed_stream_goes_on_at_its_version(
    forwarder, client, number
):
    # Guards against a caller's tries that get events of two versions.
    options = {'target': f'/a/{number}'}
    version = await begin(forwarder, client, **options)
    client.attempts.clear()
    call = make_call('req-2', 2, 'req-1', **options)
    caller = await send(forwarder, call, client, fakes.Script(events=(3,)))
    assert caller.data == fakes.encode_events(3)
    assert version_at(forwarder, client.attempts[0]) == version


async def test_a_stream_that_is_resumed_twice_names_its_first_call(
    forwarder, client
):
    version = await begin(forwarder, client)
    for ident, last in (('req-2', 2), ('req-3', 3)):
        client.attempts.clear()
        call = make_call(ident, last, 'req-1')
        await send(forwarder, call, client, fakes.Script(events=(last + 1,)))
        assert version_at(forwarder, client.attempts[0]) == version
    # The second call brought no first event.
    error = await refusal(forwarder, make_call('req-4', 4, 'req-2'))
    assert 'unknown' in error.reason


async def test_two_calls_that_resume_one_stream_at_once(forwarder, client):
    version = await begin(forwarder, client)
    client.attempts.clear()
    client.scripts = [fakes.Script(events=(3,)) for _ in range(2)]
    await asyncio.gather(
        *(
            forwarder.handle(
                make_call(f'req-{n}', 2, 'req-1'), fakes.FakeCaller()
            )
            for n in (2, 3)
        )
    )
    versions = {version_at(forwarder, a) for a in client.attempts}
    assert versions == {version}


@pytest.mark.parametrize('resumes', ['', 'never-sent'])
async def test_an_unknown_version_is_refused_at_once(forwarder, resumes):
    # Guards against a guess, and against a wait that can't succeed.
    error = await refusal(forwarder, make_call('req-2', 2, resumes))
    assert error.retry_after is None


@pytest.fixture
async def pending(forwarder, client, context):
    """A call for a stream whose engine may have started again unlisted."""
    engines = context.placement.backends.values()
    client.starts = {engine.address: START_MS for engine in engines}
    context.version_checks.unix_clock = lambda: START_MS / 1000
    context.placement.known_versions.listed_at = context.clock()
    context.placement.known_versions.recorded = {'engines': ['v1', 'v2']}
    client.scripts = [fakes.Script(events=(1, 2), then='silent')]
    caller = fakes.FakeCaller()
    begun = asyncio.ensure_future(forwarder.handle(make_call('req-1'), caller))
    async with asyncio.timeout(2.0):
        while not caller.data:
            await asyncio.sleep(0.01)
        await asyncio.sleep(0.05)
        begun.cancel()
    client.silent.clear()
    return make_call('req-2', 2, 'req-1')


async def test_a_resumed_stream_waits_until_its_engine_is_known(
    forwarder, client, context, pending
):
    # Guards against refusals of streams that have begun at a new engine.
    version = version_at(forwarder, client.attempts.pop())
    resumed = asyncio.ensure_future(
        send(forwarder, pending, client, fakes.Script(events=(3,)))
    )
    await asyncio.sleep(0.3)
    assert not resumed.done()
    context.placement.known_versions.listed_at = float('inf')
    assert (await resumed).data == fakes.encode_events(3)
    assert version_at(forwarder, client.attempts[0]) == version


async def test_a_version_that_stays_unknown_is_not_guessed(
    forwarder, client, context, pending
):
    # Guards against a wait that goes on once no version can be found.
    client.attempts.clear()
    refused = asyncio.ensure_future(refusal(forwarder, pending))
    await asyncio.sleep(0.3)
    assert not refused.done()
    context.placement.update([])
    context.placement.known_versions.listed_at = float('inf')
    async with asyncio.timeout(0.6):
        assert 'unknown' in (await refused).reason
    assert not client.attempts


async def test_a_version_that_stays_unknown_is_not_the_only_one(
    forwarder, client, context, pending
):
    # Guards against a guess, as it was forgotten that no version is known.
    began_at = client.attempts.pop().instance
    client.attempts.clear()
    others = [e for e in listed('v1', *range(6)) if e.ident != began_at]
    context.placement.update(others)
    context.placement.known_versions.recorded = {'engines': ['v1']}
    context.placement.known_versions.listed_at = float('inf')
    error = await refusal(forwarder, pending)
    assert 'unknown' in error.reason
    assert error.retry_after is None
    assert not client.attempts


async def test_a_stream_whose_version_is_recorded_as_unknown_is_refused(
    forwarder, client, context, log_records
):
    # Guards against a guess, and against a wait that can't succeed.
    context.placement.update(listed('v1', 0, 1, 2))
    context.placement.known_versions.recorded = {'engines': ['v1']}
    key = decisions.origin_key('', 'h', '/a/x', 'req-1')
    context.origins.record(
        messages.StreamOrigin(key, 'engines', '', 30.0, version_unknown=True)
    )
    async with asyncio.timeout(0.3):
        error = await refusal(forwarder, make_call('req-2', 2, 'req-1'))
    assert 'version that began the stream is unknown' in error.reason
    assert error.retry_after is None
    assert not client.attempts
    [line] = [r for r in log_records if r.get('decision') == 'stream taken up']
    assert (line['source'], line['version']) == ('entry', None)


@pytest.mark.parametrize('pending_s', [0.0, 30.0])
async def test_a_record_that_comes_during_the_wait_for_a_list_is_found(
    forwarder, client, context, pending_s
):
    # Guards against a guess for a stream that is younger than its record.
    context.placement.update(listed('v1', 0, 1, 2))
    known_versions = context.placement.known_versions
    known_versions.recorded = {'engines': ['v1']}
    known_versions.listed_at = context.clock()
    call = attrs.evolve(make_call('req-2', 2, 'req-1'), timeout_s=1.0)
    task = asyncio.ensure_future(refusal(forwarder, call))
    await asyncio.sleep(0.05)
    key = decisions.origin_key('', 'h', '/a/x', 'req-1')
    if pending_s:
        context.origins.record_pending(messages.PendingOrigin(key, pending_s))
    else:
        context.origins.record(
            messages.StreamOrigin(key, 'engines', 'v2', 30.0)
        )
    known_versions.listed_at = float('inf')
    await task
    assert not client.attempts


async def test_a_caller_without_time_for_a_pending_origin_may_come_back(
    forwarder, context
):
    # Guards against a refusal that tells callers not to come back.
    key = decisions.origin_key('', 'h', '/a/x', 'req-1')
    context.origins.record_pending(messages.PendingOrigin(key, 9.0))
    call = attrs.evolve(make_call('req-2', 2, 'req-1'), timeout_s=0.3)
    error = await refusal(forwarder, call)
    assert error.retry_after


async def test_an_unknown_version_is_asked_for_again_if_a_home_was_silent(
    forwarder, context
):
    object.__setattr__(context, 'origins', SlowOrigins())
    error = await refusal(forwarder, make_call('req-2', 2, 'req-1'))
    assert error.retry_after


async def test_a_foreign_stream_tells_nothing(forwarder, client, fleet):
    # Guards against callers that name the id of another account's stream.
    accounts = [
        routes.ClientAccount('one', ['k1']),
        routes.ClientAccount('two', ['k2']),
    ]
    route_map = attrs.evolve(fleet.index.map, accounts=accounts)
    fleet.index = routes.RouteIndex(route_map)
    await begin(forwarder, client, key='k1')
    await refusal(forwarder, make_call('req-2', 2, 'req-1', key='k2'))
    call = make_call('req-3', 2, 'req-1', key='k1')
    caller = await send(forwarder, call, client, fakes.Script(events=(3,)))
    assert caller.data


async def test_the_only_version_needs_no_record(forwarder, client, context):
    context.placement.update(listed('v1', 0, 1, 2))
    context.placement.known_versions.recorded = {'engines': ['v1']}
    call = make_call('req-2', 2, 'never-seen')
    caller = await send(forwarder, call, client, fakes.Script(events=(3,)))
    assert caller.data == fakes.encode_events(3)


async def test_a_pending_origin_is_waited_for_beside_one_known_version(
    forwarder, client, context
):
    # Guards against an entry that has missed the version of another's stream.
    context.placement.update(listed('v1', 0, 1, 2))
    context.placement.known_versions.recorded = {'engines': ['v1']}
    key = decisions.origin_key('', 'h', '/a/x', 'req-1')
    context.origins.record_pending(messages.PendingOrigin(key, 2.0))
    call = make_call('req-2', 2, 'req-1')
    resumed = asyncio.ensure_future(
        send(forwarder, call, client, fakes.Script(events=(3,)))
    )
    await asyncio.sleep(0.3)
    assert not resumed.done()
    context.placement.update(ENGINES)
    origin = messages.StreamOrigin(key, 'engines', 'v2', 30.0)
    context.origins.record(origin)
    assert (await resumed).data == fakes.encode_events(3)
    assert version_at(forwarder, client.attempts[0]) == 'v2'


@pytest.mark.parametrize('older', ['listed_at', 'complete_at'])
async def test_what_was_known_before_a_pause_is_not_the_only_version(
    forwarder, client, context, older
):
    # Guards against an entry that was paused and misses a new version.
    known_versions = context.placement.known_versions
    context.placement.update(listed('v1', 0, 1, 2))
    known_versions.recorded = {'engines': ['v1']}
    setattr(known_versions, older, context.clock() - 1.0)
    call = make_call('req-2', 2, 'never-seen')
    refused = asyncio.ensure_future(refusal(forwarder, call))
    await asyncio.sleep(0.3)
    assert not refused.done()
    known_versions.recorded = {'engines': ['v1', 'v2']}
    setattr(known_versions, older, float('inf'))
    assert 'unknown' in (await refused).reason
    assert client.attempts == []


async def test_a_list_must_be_newer_than_the_call_by_its_lag(
    forwarder, client, context
):
    # Guards against a version that others see in the list a bit earlier.
    known_versions = context.placement.known_versions
    context.placement.update(listed('v1', 0, 1, 2))
    known_versions.recorded = {'engines': ['v1']}
    call = make_call('req-2', 2, 'never-seen')
    known_versions.listed_at = context.clock() + 0.2
    resumed = asyncio.ensure_future(
        send(forwarder, call, client, fakes.Script(events=(3,)))
    )
    await asyncio.sleep(0.3)
    assert not resumed.done()
    known_versions.listed_at = context.placement.incarnations.shown_from(
        context.clock()
    )
    assert (await resumed).data == fakes.encode_events(3)


async def test_the_record_is_looked_for_again_once_versions_are_known(
    forwarder, client, context
):
    # Guards against a refusal though the record has come meanwhile.
    known_versions = context.placement.known_versions
    context.placement.update(listed('v1', 0, 1, 2))
    known_versions.recorded = {'engines': ['v1']}
    known_versions.listed_at = context.clock()
    call = make_call('req-2', 2, 'req-1')
    resumed = asyncio.ensure_future(
        send(forwarder, call, client, fakes.Script(events=(3,)))
    )
    await asyncio.sleep(0.1)
    key = decisions.origin_key('', 'h', '/a/x', 'req-1')
    context.origins.record(messages.StreamOrigin(key, 'engines', 'v2', 30.0))
    context.placement.update(ENGINES)
    known_versions.listed_at = float('inf')
    assert (await resumed).data == fakes.encode_events(3)
    assert version_at(forwarder, client.attempts[0]) == 'v2'


async def test_a_resumed_stream_waits_until_the_versions_are_known(
    forwarder, client, context
):
    # Guards against a refusal at an entry that has just started.
    context.placement.update(listed('v1', 0, 1, 2))
    known_versions = context.placement.known_versions
    known_versions.recorded = {}
    call = make_call('req-2', 2)
    resumed = asyncio.ensure_future(
        send(forwarder, call, client, fakes.Script(events=(3,)))
    )
    await asyncio.sleep(0.2)
    assert not resumed.done()
    known_versions.recorded = {'engines': ['v1']}
    assert (await resumed).data == fakes.encode_events(3)


async def test_versions_that_stay_unknown_are_a_reason_to_come_back(
    forwarder, context
):
    context.placement.known_versions.listed_at = 0.0
    error = await refusal(forwarder, make_call('req-2', 2))
    assert error.retry_after


async def test_a_version_without_engines_is_refused_at_once(
    forwarder, client, context, log_records
):
    version = await begin(forwarder, client)
    others = [b for b in ENGINES if b.version != version]
    context.placement.update(others)
    error = await refusal(forwarder, make_call('req-2', 2, 'req-1'))
    assert error.reason == f'no engine of version {version}'
    assert error.retry_after is None
    reasons = [
        line['reason']
        for line in log_records
        if line.get('decision') == 'stream refused'
    ]
    assert reasons == [error.reason]


async def test_a_stream_stays_at_the_service_that_began_it(
    forwarder, client, context, fleet
):
    # Guards against a split of requests that moves streams between services.
    context.placement.update([*ENGINES, *listed('v1', 6, 7, service='second')])
    version = await begin(forwarder, client)
    set_targets(fleet, ('engines', 0.0001), ('second', 1.0))
    for number in range(2, 8):
        client.attempts.clear()
        call = make_call(f'req-{number}', 2, 'req-1')
        await send(forwarder, call, client, fakes.Script(events=(3,)))
        [attempt] = client.attempts
        assert attempt.instance.startswith('engines')
        assert version_at(forwarder, attempt) == version
    set_targets(fleet, ('second', 1.0))
    error = await refusal(forwarder, make_call('req-8', 2, 'req-1'))
    assert 'another service' in error.reason


def set_targets(fleet, *targets):
    route_map = fleet.index.map
    [route] = route_map.routes
    route = attrs.evolve(
        route, targets=[routes.Target(*target) for target in targets]
    )
    services = [routes.Service('engines'), routes.Service('second')]
    fleet.index = routes.RouteIndex(
        attrs.evolve(route_map, routes=[route], services=services)
    )


async def test_a_cached_prompt_at_another_version_is_not_used(
    forwarder, client, context
):
    version = await begin(forwarder, client)
    other = next(b for b in ENGINES if b.version != version)
    context.placement.cached_prompts.record_read(
        'p-/a/x', other.ident, context.clock()
    )
    client.attempts.clear()
    call = make_call('req-2', 2, 'req-1')
    await send(forwarder, call, client, fakes.Script(events=(3,)))
    assert version_at(forwarder, client.attempts[0]) == version


async def test_the_log_tells_from_what_a_version_is_known(
    forwarder, client, log_records
):
    version = await begin(forwarder, client)
    call = make_call('req-2', 2, 'req-1')
    await send(forwarder, call, client, fakes.Script(events=(3,)))
    [line] = [r for r in log_records if r.get('decision') == 'stream taken up']
    assert line['request'] == 'req-2'
    assert (line['resumes'], line['version']) == ('req-1', version)
    assert line['source'] == 'entry'
    assert line['age_s'] >= 0


async def test_gauges_count_engines_and_requests_by_version(context):
    metrics = RecordingMetrics()
    now = [0.0]
    placement = context.placement
    placement.update(ENGINES)
    placement.backends['engines-0'].inflight = 2
    gauges = forwarding.VersionGauges(placement, metrics, lambda: now[0])
    gauges.update()
    assert metrics.gauges['engines', 'engines', 'v1'] == 3
    assert metrics.gauges['engine_requests', 'engines', 'v1'] == 2
    placement.update(listed('v2', 3, 4))
    gauges.update()
    assert metrics.gauges['engines', 'engines', 'v1'] == 3
    now[0] = 1.0
    gauges.update()
    assert metrics.gauges['engines', 'engines', 'v1'] == 0
    assert metrics.gauges['engines', 'engines', 'v2'] == 2


async def test_gauges_of_versions_that_are_gone_are_removed(context):
    # Guards against memory that grows with each odd item of the list.
    metrics = node.make_prometheus_metrics('test')
    now = [0.0]
    placement = context.placement
    gauges = forwarding.VersionGauges(placement, metrics, lambda: now[0])
    for number in range(400):
        now[0] += 1.0
        placement.update([*ENGINES, *listed(f'odd-{number}', 9)])
        gauges.update()
    text = metrics.text().decode()
    assert 'version="v1"' in text
    assert 'version="odd-399"' in text
    assert 'version="odd-0"' not in text
    assert len(gauges.listed_at) < 200


def make_map(version, *prefixes, service='engines'):
    listed = [
        routes.Route(
            f'r{number}',
            'h',
            prefix,
            routes.Kind.STREAM,
            [routes.Target(service, 1)],
            3.0,
            0.3,
            max_attempts=5,
            resumable=True,
        )
        for number, prefix in enumerate(prefixes)
    ]
    names = {'engines', service}
    return messages.WatchReply(
        'done',
        route_map=messages.pack_map(
            routes.RouteMap(
                version, listed, [routes.Service(name) for name in names]
            )
        ),
    )


async def test_a_stream_goes_on_as_its_route_becomes_more_specific(
    forwarder, client
):
    # Guards against streams that all are refused after a change of routes.
    target = '/a/b/x?q'
    version = await begin(forwarder, client, target=target)
    forwarder.fleet._apply_reply(make_map(2, '/a/', '/a/b/'))
    call = make_call('req-2', 2, 'req-1', target)
    await send(forwarder, call, client, fakes.Script(events=(3,)))
    assert version_at(forwarder, client.attempts[0]) == version


def moved(former, new):
    """Return the state after one route map was replaced by another."""
    state = decisions.ReplicatedState(service_versions={'other': ['v9']})
    for reply, version in ((former, 1), (new, 2)):
        put = messages.RouteMapPut(version, reply.route_map, b'')
        state.apply(messages.encode(put))
    return state


async def test_a_lost_origin_is_not_guessed_after_its_route_was_moved(
    forwarder, client
):
    # Guards against the rest of a stream from engines of another service.
    new = make_map(2, '/a/', service='other')
    state = moved(make_map(1, '/a/'), new)
    context = forwarder.context
    context.placement.update(listed('v9', 6, 7, service='other'))
    forwarder.fleet._apply_reply(new)
    context.placement.known_versions.recorded = state.service_versions
    await refusal(forwarder, make_call('req-2', 2, 'req-1'))
    assert client.attempts == []


async def test_versions_recorded_under_an_older_map_tell_nothing(
    forwarder, client, monkeypatch
):
    # Guards against a map that arrives before the routes that it has moved.
    monkeypatch.setattr(forwarding._origins, 'MAX_SEARCH_S', 0.0)
    context = forwarder.context
    context.placement.update(listed('v9', 6, 7, service='other'))
    forwarder.fleet._apply_reply(make_map(2, '/a/', service='other'))
    context.placement.known_versions.recorded = decisions.with_map_version(
        {'other': ['v9']}, 1
    )
    await refusal(forwarder, make_call('req-2', 2, 'req-1'))
    assert client.attempts == []
