"""Generations whose entry reaches no engine."""

import json

from bulrushhold import errors
from tests import conftest


async def test_a_generation_at_an_entry_without_engines_is_served(
    make_system, monkeypatch
):
    # Guards against an entry that takes callers and reaches no engine.
    system = await make_system(entries=2, engines=2)

    async def fail_to_connect(address, generation, on_event):
        raise errors.EngineLostError('cut off', 'connect', address)

    engines = system.entries['e1'].registry.runner.engines
    monkeypatch.setattr(engines, 'run', fail_to_connect)
    body = {'model': 'small', 'messages': conftest.PROMPT, 'max_tokens': 5}
    status, _, _ = await system.post(
        '/v1/chat/completions',
        json.dumps(body),
        Bulrushhold_Account='vendors',
        Idempotency_Key='isolated',
    )
    assert status == 200
