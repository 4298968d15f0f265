"""Generations whose content crashes the engines that run it."""

import asyncio

import pytest

from bulrushhold import errors
from tests import conftest
from tests import test_generations


async def test_a_poison_request_crashes_two_engines_only(make_system):
    # The second crash quarantines the content, also under new keys.
    system = await make_system(engines=4)
    prompt = [{'role': 'user', 'content': 'CRASH please'}]
    for _ in range(3):
        with pytest.raises(errors.RequestError) as caught:
            await test_generations.read(system.client(), prompt=prompt)
        assert caught.value.status == 422
    alive = [e for e in system.engines.values() if e.runner is not None]
    assert len(alive) == 2


async def test_a_request_on_the_same_engine_as_a_poison_request_completes(
    make_system,
):
    # Either may have caused the crash. They must be retried on different
    # engines, so that only the poison request is quarantined.
    system = await make_system(engines=4)
    poison_requests = []

    async def send_poison_request(tokens):
        prompt = [{'role': 'user', 'content': 'hello CRASH'}]
        poison_requests.append(
            asyncio.ensure_future(
                test_generations.read(system.client(), prompt=prompt)
            )
        )

    tokens = await test_generations.read(
        system.client(), 60, on={5: send_poison_request}
    )
    conftest.assert_complete(tokens, 60)
    with pytest.raises(errors.RequestError):
        await poison_requests[0]


async def test_a_poison_request_is_quarantined_if_its_engines_are_back_at_once(
    make_system,
):
    # Guards against crashes that pass for broken connections.
    system = await make_system(engines=4)
    crashes = []

    def restart_after_crashes(engine):
        crash = engine.crash

        async def crash_and_restart():
            crashes.append(engine.name)
            await crash()
            await engine.start()

        engine.crash = crash_and_restart

    for engine in system.engines.values():
        restart_after_crashes(engine)
    prompt = [{'role': 'user', 'content': 'CRASH please'}]
    for _ in range(3):
        with pytest.raises(errors.RequestError):
            await test_generations.read(system.client(), prompt=prompt)
    assert len(crashes) == 2
