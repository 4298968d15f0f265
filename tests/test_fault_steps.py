"""Tests of faults before the first token and after the last one."""

import asyncio
import json

from tests import conftest
from tests import test_generations as generations

COUNT = 6
LAST = COUNT


async def wait_for_dispatch(system):
    """Wait until an engine runs the request, and return the engine."""
    await conftest.wait_until(
        lambda: any(e.running for e in system.engines.values())
    )
    return next(e for e in system.engines.values() if e.running)


def start_reading(system):
    return asyncio.ensure_future(
        generations.read(system.client(), count=COUNT)
    )


def speed_up(system):
    for engine in system.engines.values():
        engine.gap_s = 0.005


async def test_a_disconnect_before_the_first_token_stops_the_engine(
    make_system,
):
    # Guards against an engine that runs on for a disconnected caller. The
    # stream is kept for orphan_s, so that the caller can reconnect.
    system = await make_system(
        engines=1, gap_s=0.2, recovery={'orphan_s': 0.05}
    )
    run = start_reading(system)
    engine = await wait_for_dispatch(system)
    run.cancel()
    await asyncio.gather(run, return_exceptions=True)
    await conftest.wait_until(lambda: not engine.running)
    assert engine.generated < COUNT


async def test_an_entry_draining_before_the_first_token_completes_the_stream(
    make_system,
):
    system = await make_system(entries=2, gap_s=0.3)
    run = start_reading(system)
    await wait_for_dispatch(system)
    entry = system.entries[generations.serving_entry(system)]
    draining = asyncio.ensure_future(entry.drain())
    await asyncio.sleep(0.05)
    speed_up(system)
    conftest.assert_complete(await run, COUNT)
    await draining


async def test_an_entry_draining_after_the_last_token_ends_the_stream(
    make_system,
):
    # Guards against a missing end marker if the drain starts just before it.
    system = await make_system(entries=2, gap_s=0.02)
    draining = []

    async def drain(tokens):
        entry = next(iter(system.entries.values()))
        draining.append(asyncio.ensure_future(entry.drain()))

    tokens = await generations.read(system.client(), COUNT, on={LAST: drain})
    conftest.assert_complete(tokens, COUNT)
    await asyncio.gather(*draining)


async def test_an_engine_draining_before_the_first_token_completes_the_stream(
    make_system,
):
    # Guards against restarting a stream whose engine is only draining.
    system = await make_system(gap_s=0.3)
    run = start_reading(system)
    engine = await wait_for_dispatch(system)
    await system.publish_list(leaving=[engine.name])
    speed_up(system)
    tokens = await run
    conftest.assert_complete(tokens, COUNT)
    assert tokens[0].startswith(engine.name)
    assert sum(e.requests for e in system.engines.values()) == 1


async def test_a_stream_restarts_after_loss_of_its_engine_and_entry(
    make_system,
):
    # Guards against mixed output of two engines. Both are killed before the
    # first token.
    system = await make_system(entries=3, gap_s=0.3)
    run = start_reading(system)
    engine = await wait_for_dispatch(system)
    speed_up(system)
    await engine.crash()
    await system.kill_entry(generations.serving_entry(system))
    tokens = await run
    conftest.assert_complete(tokens, COUNT)
    assert not tokens[0].startswith(engine.name)


async def test_a_stream_completes_if_its_entry_is_killed_after_the_last_token(
    make_system,
):
    # Guards against an error if only the end marker is missing: another entry
    # completes the stream without further tokens.
    system = await make_system(entries=3, gap_s=0.05)

    async def kill(tokens):
        running = [n for n, e in system.entries.items() if e.registry.running]
        if running:
            await system.kill_entry(running[0])

    tokens = await generations.read(system.client(), COUNT, on={LAST: kill})
    conftest.assert_complete(tokens, COUNT)


async def test_a_model_without_engines_is_refused_as_not_run(
    make_system,
):
    system = await make_system(engines=1)
    system.engines.clear()
    await system.publish_list()
    status, _, answer = await system.post(
        '/v1/chat/completions',
        json.dumps({'model': 'small', 'messages': conftest.PROMPT}),
        Bulrushhold_Account='vendors',
    )
    assert status == 404
    assert answer['error']['ran'] == 'no'
