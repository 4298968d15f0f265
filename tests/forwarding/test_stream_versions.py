"""Streams whose engines have different software versions."""

import asyncio

import attrs
import pytest

from bulrushhold import decisions
from bulrushhold import errors
from bulrushhold.forwarding import _enginechooser
from bulrushhold.forwarding import _retries
from bulrushhold import messages
from tests.forwarding import fakes


def listed(version, *numbers):
    return [
        messages.ListedBackend(
            f'e{n}',
            'engines',
            f'10.0.1.{n}:80',
            f'dc{n % 3}',
            64,
            version=version,
        )
        for n in numbers
    ]


@pytest.fixture
def placement(context):
    context.placement.update([*listed('v1', 0, 1, 2), *listed('v2', 3, 4, 5)])
    return context.placement


@pytest.fixture
def version_of(placement):
    versions = {b.ident: b.version for b in placement.backends.values()}
    return lambda attempt: versions[attempt.instance]


def lines_of(log_records, decision):
    return [r for r in log_records if r.get('decision') == decision]


@pytest.mark.parametrize('number', range(8))
async def test_a_stream_goes_on_only_at_the_version_that_began_it(
    client, context, version_of, number
):
    # Guards against one answer with events of two versions.
    client.scripts = [
        fakes.Script(events=(1, 2), then='reset'),
        fakes.Script(events=(3,), then='crash'),
        fakes.Script(events=(4,)),
    ]
    caller, _ = await fakes.run_stream(
        context, segment=f'p{number}', gap_s=0.5
    )
    assert caller.data == fakes.encode_events(1, 2, 3, 4)
    assert len({version_of(attempt) for attempt in client.attempts}) == 1


@pytest.mark.parametrize('number', range(8))
async def test_a_copy_is_kept_at_an_engine_of_the_same_version(
    client, context, placement, version_of, number
):
    # Guards against a copy that a stream may not resume from.
    client.scripts = [fakes.Script(events=(1,))]
    await fakes.run_stream(context, segment=f'p{number}')
    [attempt] = client.attempts
    backup = placement.backend_at(attempt.backup)
    assert backup.version == version_of(attempt)


async def test_a_run_without_events_is_repeated_at_any_version(
    client, context, placement
):
    placement.update([*listed('v1', 0), *listed('v2', 3)])
    placement.record_failure('e3', context.clock(), unreachable=True)
    client.scripts = [
        fakes.Script(error='send'),
        fakes.Script(events=(1, 2)),
    ]
    caller, _ = await fakes.run_stream(context)
    assert caller.data == fakes.encode_events(1, 2)
    assert [a.instance for a in client.attempts] == ['e0', 'e3']


async def test_a_stream_whose_version_is_gone_ends_at_once(
    client, context, placement, log_records
):
    # Guards against a stream that goes on at another version, or waits.
    placement.update([*listed('v1', 0), *listed('v2', 3)])
    placement.record_failure('e3', context.clock(), unreachable=True)
    script = fakes.Script(events=(1, 2), then='reset')
    client.scripts = [script]

    def leave(address):
        placement.update(listed('v2', 3))

    client.on_reset = leave
    caller, reply = await fakes.run_stream(context)
    assert reply is None and caller.aborted
    assert caller.data == fakes.encode_events(1, 2)
    [end] = lines_of(log_records, 'stream ended early')
    assert end['reason'] == 'no engine of version v1'
    assert len(client.attempts) == 1


async def test_a_stream_waits_for_the_list_if_its_engines_were_replaced(
    client, context, placement
):
    """Guards against streams that end as the list lags behind restarts."""
    placement.update([*listed('v1', 0), *listed('v2', 3)])
    placement.record_failure('e3', context.clock(), unreachable=True)
    client.scripts = [
        fakes.Script(events=(1, 2), then='reset'),
        fakes.Script(events=(3,)),
    ]
    [engine] = listed('v1', 0)
    after = [attrs.evolve(engine, ident='e9'), *listed('v2', 3)]

    def restart(address):
        placement.mark_replaced('e0')
        asyncio.get_running_loop().call_later(0.3, placement.update, after)

    client.on_reset = restart
    caller, _ = await fakes.run_stream(context)
    assert caller.data == fakes.encode_events(1, 2, 3)
    assert [a.instance for a in client.attempts] == ['e0', 'e9']


async def test_an_engine_found_in_a_silence_is_not_used_at_another_version(
    client, context, placement, monkeypatch
):
    """Guards against two versions, as a successor was found before events."""
    placement.update([*listed('v1', 0, 1), *listed('v2', 3)])
    for ident in ('e1', 'e3'):
        placement.record_failure(ident, context.clock(), unreachable=True)

    take_now = _retries.take_now

    async def take_later(*arguments):
        return None if client.silent else await take_now(*arguments)

    monkeypatch.setattr(_retries, 'take_now', take_later)
    client.scripts = [
        fakes.Script(events=(1, 2), then='reset', open_delay_s=1.5),
        fakes.Script(events=(3,)),
    ]
    client.silent |= {'10.0.1.0:80', '10.0.1.1:80'}
    asyncio.get_running_loop().call_later(1.2, client.silent.clear)
    caller, _ = await fakes.run_stream(context)
    assert caller.data == fakes.encode_events(1, 2, 3)
    assert [a.instance for a in client.attempts] == ['e0', 'e1']


async def test_a_capacity_estimate_counts_engines_of_the_version_only(
    context, placement
):
    # Guards against streams that wait for engines which they may not use.
    job = fakes.make_job(context, 'stream')
    chooser = _enginechooser.EngineChooser(context, job)
    assert chooser.estimate_capacity().engines == 6
    chooser.version = 'v1'
    assert chooser.estimate_capacity().engines == 3
    assert {b.version for b in chooser.untried()} == {'v1'}


def test_an_engine_that_is_listed_with_another_version_is_another_one(
    placement,
):
    # Guards against an engine that restarts under its ident.
    former = placement.backends['e0']
    former.inflight = 3
    [engine] = listed('v2', 0)
    placement.update([engine])
    assert placement.backends['e0'] is not former
    assert placement.backends['e0'].version == 'v2'
    placement.update([attrs.evolve(engine, leaving=True)])
    assert placement.backends['e0'].version == 'v2'


# Engines that start again under their idents


START_MS = 1_700_000_000_000


@pytest.fixture
def restarting(client, context, placement):
    """Engines that have stated their starts, as a list that is new shows."""
    for backend in placement.backends.values():
        client.starts[backend.address] = START_MS
        placement.incarnations.record(backend.ident, START_MS, 0.0)
    placement.known_versions.listed_at = context.clock()
    context.version_checks.unix_clock = lambda: START_MS / 1000
    return placement


def restart_as(client, placement, listed_version):
    """Start each engine of a version again, with software unknown so far."""
    for backend in placement.backends.values():
        if backend.version == listed_version:
            client.starts[backend.address] += 1000


def recorded_versions(context):
    """Return the version of each record, ``None`` if it says unknown."""
    return [
        entry.origin.version if entry.origin.version_known else None
        for entry in context.origins.store.entries.values()
    ]


async def run_stream(context):
    return await fakes.run_stream(context, segment='p', timeout_s=2.0)


async def test_a_check_of_one_version_does_not_answer_for_another(
    context, restarting
):
    """Guards against a stream recorded under its engine's former version."""
    checks = context.version_checks
    now = restarting.backends['e0']
    before = attrs.evolve(now, version='v0')
    answers = await asyncio.gather(
        checks.runs_listed_version(now), checks.runs_listed_version(before)
    )
    assert answers == [True, False]


@pytest.mark.parametrize('restarts', [False, True])
async def test_a_stream_does_not_go_on_at_an_engine_that_started_again(
    client, context, restarting, version_of, restarts
):
    # Guards against one answer with events of two versions of one engine.
    client.scripts = [
        fakes.Script(events=(1, 2), then='reset'),
        fakes.Script(events=(3,)),
    ]

    def on_reset(address):
        if restarts:
            for version in ('v1', 'v2'):
                restart_as(client, restarting, version)

    client.on_reset = on_reset
    caller, _ = await run_stream(context)
    events = (1, 2) if restarts else (1, 2, 3)
    assert caller.data == fakes.encode_events(*events)
    assert len({version_of(attempt) for attempt in client.attempts}) == 1


async def test_a_stream_goes_on_once_the_list_shows_the_new_start(
    client, context, restarting
):
    # Guards against engines that get no streams after a restart.
    client.scripts = [
        fakes.Script(events=(1, 2), then='reset'),
        fakes.Script(events=(3,)),
    ]

    def on_reset(address):
        for version in ('v1', 'v2'):
            restart_as(client, restarting, version)
        asyncio.get_running_loop().call_later(
            0.5, setattr, restarting.known_versions, 'listed_at', float('inf')
        )

    client.on_reset = on_reset
    caller, _ = await run_stream(context)
    assert caller.data == fakes.encode_events(1, 2, 3)


async def test_an_unnoticed_restart_gives_a_stream_no_wrong_origin(
    client, context, restarting
):
    # Guards against a stream that is resumed at the version listed before.
    for version in ('v1', 'v2'):
        restart_as(client, restarting, version)
    client.scripts = [
        fakes.Script(events=(1, 2), then='reset'),
        fakes.Script(events=(3,)),
    ]
    context.placement.incarnations.max_lag_s = 0.2
    caller, _ = await fakes.run_stream(context, segment='p', timeout_s=3.0)
    assert caller.data == fakes.encode_events(1, 2)
    assert recorded_versions(context) == [None]


@pytest.mark.parametrize('restarts', [False, True])
@pytest.mark.parametrize('known_before', [False, True])
async def test_a_list_tells_nothing_of_a_process_that_came_and_went(
    client, context, restarting, known_before, restarts
):
    # Guards against software that was replaced before a list showed it.
    def restart_all():
        for version in ('v1', 'v2'):
            restart_as(client, restarting, version)

    restart_all()
    if known_before:
        for engine in restarting.backends.values():
            await context.version_checks.runs_listed_version(engine)
    client.scripts = [
        fakes.Script(events=(1, 2), then='reset', pause_s=0.02),
        fakes.Script(events=(3,)),
    ]

    def on_reset(address):
        if restarts:
            restart_all()
        asyncio.get_running_loop().call_later(
            0.5, setattr, restarting.known_versions, 'listed_at', float('inf')
        )

    client.on_reset = on_reset
    caller, _ = await run_stream(context)
    events = (1, 2) if restarts else (1, 2, 3)
    assert caller.data == fakes.encode_events(*events)
    [version] = recorded_versions(context)
    assert (version is None) is restarts


async def test_a_list_tells_the_version_of_a_stream_whose_engine_is_lost(
    client, context, restarting, version_of
):
    # Guards against streams that end as their engine is lost at once.
    restarting.incarnations.starts.clear()
    client.scripts = [
        fakes.Script(events=(1, 2), then='crash'),
        fakes.Script(events=(3,)),
    ]
    loop = asyncio.get_running_loop()
    loop.call_later(
        0.3, setattr, restarting.known_versions, 'listed_at', float('inf')
    )
    caller, _ = await run_stream(context)
    assert caller.data == fakes.encode_events(1, 2, 3)
    assert len({version_of(attempt) for attempt in client.attempts}) == 1


async def test_engines_that_answer_no_probe_delay_no_new_stream(
    client, context, restarting
):
    # Guards against new streams that wait for what only others need.
    restarting.incarnations.starts.clear()
    client.silent.update(b.address for b in restarting.backends.values())
    client.scripts = [fakes.Script(events=(1, 2))]
    caller, _ = await run_stream(context)
    assert caller.data == fakes.encode_events(1, 2)


@pytest.mark.parametrize('answer_s', [0.0, 1.5])
async def test_an_origin_is_pending_while_its_engine_is_asked(
    client, context, restarting, monkeypatch, answer_s
):
    # Guards against a stream resumed elsewhere before its engine has answered.
    module = 'bulrushhold.forwarding._liveness'
    monkeypatch.setattr(f'{module}.PROBE_TIMEOUT_S', 2.0)
    client.probe_delay_s = answer_s
    client.scripts = [fakes.Script(events=(1, 2))]
    await run_stream(context)
    async with asyncio.timeout(0.15):
        while (
            not context.origins.store.pending | context.origins.store.entries
        ):
            await asyncio.sleep(0.01)
    assert bool(context.origins.store.pending) is bool(answer_s)


def test_a_start_is_listed_once_a_list_is_new_enough():
    starts = decisions.Incarnations()
    starts.max_lag_s = 0.8
    unix_now = START_MS / 1000 + 1
    assert not starts.record('e1', START_MS, 5.0)
    assert not starts.record('e1', START_MS, 9.0)
    assert not starts.is_listed('e1', 6.0, unix_now)
    assert starts.is_listed('e1', 6.2, unix_now)
    assert starts.is_listed('e1', 6.0, unix_now + 5)
    assert starts.record('e1', START_MS + 1, 10.0)
    assert not starts.is_listed('e1', 6.2, unix_now + 60)
    assert starts.is_listed('e1', 11.2, unix_now)
    assert not starts.is_listed('other', 6.2, unix_now)


async def test_engines_are_asked_as_they_are_listed(
    client, context, placement
):
    for backend in placement.backends.values():
        client.starts[backend.address] = START_MS
    watch = asyncio.ensure_future(
        context.version_checks.watch(lambda: ['engines'])
    )
    async with asyncio.timeout(5):
        while len(placement.incarnations.starts) < len(placement.backends):
            await asyncio.sleep(0.01)
    watch.cancel()


@pytest.mark.parametrize('silent', [False, True])
async def test_engines_that_state_no_start_are_asked_once(
    client, context, placement, silent
):
    # Guards against probes without end of engines that tell nothing.
    asked = []
    read_start = client.read_start

    async def count(address, timeout, instance=''):
        asked.append(address)
        if silent:
            raise errors.BackendError('no answer', 'probe', address)
        return await read_start(address, timeout, instance)

    client.read_start = count
    watch = asyncio.ensure_future(
        context.version_checks.watch(lambda: ['engines'])
    )
    await asyncio.sleep(1.0)
    watch.cancel()
    assert sorted(asked) == sorted(
        backend.address for backend in placement.backends.values()
    )
