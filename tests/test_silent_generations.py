"""Generations go on although their engines fall silent for a moment."""

import asyncio
import time

import pytest

from bulrushhold.web import _engine
from tests import conftest
from tests import test_generations

SILENCE_S = 0.3


def silence(system, seconds=SILENCE_S):
    """Return a callback that silences all engines for a while."""

    async def fall_silent(tokens):
        for engine in system.engines.values():
            engine.freeze()
            asyncio.get_running_loop().call_later(seconds, engine.thaw)

    return fall_silent


async def test_a_generation_outlasts_more_silences_than_it_may_have_attempts(
    make_system,
):
    # Guards against attempts that a long generation never gets back.
    system = await make_system(
        engines=3,
        recovery={'min_gap_s': 0.1, 'max_gap_s': 0.1, 'max_attempts': 3},
    )
    silences = dict.fromkeys(range(10, 90, 10), silence(system))
    tokens = await test_generations.read(system.client(), 100, on=silences)
    conftest.assert_complete(tokens, 100)


@pytest.mark.parametrize('policy', ['thrifty', 'prompt'])
async def test_a_silent_engine_is_kept_if_no_attempt_remains(
    make_system, policy
):
    # Guards against an attempt given up before the next one is allowed.
    system = await make_system(
        engines=2,
        recovery={
            'policy': policy,
            'min_gap_s': 0.1,
            'max_gap_s': 0.1,
            'max_attempts': 1,
        },
    )
    tokens = await test_generations.read(
        system.client(), on={10: silence(system)}
    )
    conftest.assert_complete(tokens, 40)


async def test_a_silent_engine_is_kept_if_the_retry_budget_is_exhausted(
    make_system,
):
    # Guards against an attempt given up before the next one is allowed.
    system = await make_system(
        engines=2, recovery={'min_gap_s': 0.1, 'max_gap_s': 0.1}
    )
    entry = system.entries['e1']
    entry.registry.runner.retries.remaining['vendors'] = 0.0
    tokens = await test_generations.read(
        system.client(), on={10: silence(system)}
    )
    conftest.assert_complete(tokens, 40)


async def test_a_silent_engine_is_kept_if_there_is_no_other(make_system):
    # Guards against an attempt given up for none.
    system = await make_system(
        engines=1, recovery={'min_gap_s': 0.1, 'max_gap_s': 0.1}
    )
    tokens = await test_generations.read(
        system.client(), on={10: silence(system)}
    )
    conftest.assert_complete(tokens, 40)
    assert system.engines['m1'].requests == 1


async def test_a_silence_that_many_streams_meet_counts_as_one_failure(
    make_system,
):
    # Guards against an engine that is avoided long after it was silent.
    system = await make_system(
        engines=2, recovery={'min_gap_s': 0.1, 'max_gap_s': 0.1}
    )
    streams = [
        asyncio.ensure_future(test_generations.read(system.client(), 80))
        for _ in range(12)
    ]
    await conftest.wait_until(
        lambda: all(len(e.running) >= 3 for e in system.engines.values())
    )
    system.engines['m1'].freeze()
    for stream in streams:
        conftest.assert_complete(await stream, 80)
    state = system.entries['e1'].registry.runner.router.states['m1']
    assert state.failures == 1
    assert state.backoff_until - time.monotonic() < 0.5


async def test_a_silent_engine_is_not_counted_as_crashed(make_system):
    # Guards against a quarantine of contents that harm no engine.
    system = await make_system(
        engines=3, recovery={'min_gap_s': 0.1, 'max_gap_s': 0.1}
    )
    for _ in range(3):
        tokens = await test_generations.read(
            system.client(), on={10: silence(system)}
        )
        conftest.assert_complete(tokens, 40)
    runner = system.entries['e1'].registry.runner
    assert not runner.crash_tracker.crashes


async def test_only_a_refused_connection_counts_as_a_crash(monkeypatch):
    # Guards against crashes counted at an entry that reaches no engine.
    client = _engine.HttpEngineClient(session=None)

    async def fail(*_):
        raise OSError(113, 'No route to host')

    monkeypatch.setattr(asyncio, 'open_connection', fail)
    assert await client.probe('127.0.0.1:9')
