"""Generations are completed, or fail with an error, despite failures."""

import asyncio
import json

import pytest

from bulrushhold.entry import _requests
from bulrushhold.entry import _server
from bulrushhold import errors
from bulrushhold import messages
from tests import conftest


async def read(caller, count=40, prompt=None, on=None, **options):
    """Read an answer; call ``on[n]`` after n tokens."""
    tokens = []
    async for token in caller.generate(
        'small', prompt or conftest.PROMPT, max_tokens=count, **options
    ):
        tokens.append(token)
        if on and len(tokens) in on:
            await on[len(tokens)](tokens)
    return tokens


def engine_of(system, tokens):
    return system.engines[tokens[0].partition('-')[0]]


async def test_an_answer_is_complete(system):
    tokens = await read(system.client())
    conftest.assert_complete(tokens, 40)


async def test_a_stream_continues_on_another_engine_after_a_crash(system):
    # The answer must have no missing, repeated or foreign token.
    async def kill(tokens):
        await engine_of(system, tokens).crash()

    tokens = await read(system.client(), on={10: kill})
    conftest.assert_complete(tokens, 40)
    assert sum(e.requests for e in system.engines.values()) == 2


@pytest.mark.parametrize('policy', ['thrifty', 'prompt'])
async def test_tokens_of_a_replaced_attempt_are_ignored(make_system, policy):
    # A frozen engine may resume after its attempt has been replaced.
    system = await make_system(
        recovery={'policy': policy, 'min_gap_s': 0.1, 'max_gap_s': 0.2}
    )
    first = []

    async def freeze(tokens):
        first.append(engine_of(system, tokens))
        first[0].freeze()

    async def thaw(tokens):
        first[0].thaw()

    tokens = await read(system.client(), on={10: freeze, 20: thaw})
    conftest.assert_complete(tokens, 40)


async def test_a_stream_without_a_finish_event_is_continued(system):
    # Without a finish event, an answer that broke off can't be told from a
    # complete one.
    for engine in system.engines.values():
        engine.omit_finish_event = True

    async def restore_finish_event(tokens):
        for engine in system.engines.values():
            if engine is not engine_of(system, tokens):
                engine.omit_finish_event = False

    tokens = await read(system.client(), on={1: restore_finish_event})
    conftest.assert_complete(tokens, 40)


async def test_a_reply_for_another_request_is_dropped(system):
    # Another request's tokens must not reach the caller.
    faulty_engine = system.engines['m1']
    faulty_engine.wrong_request_id = True
    for _ in range(4):
        tokens = await read(system.client(), 5)
        conftest.assert_complete(tokens, 5)
        assert tokens[0].startswith('m2-')


async def test_without_an_engine_of_the_same_version_the_request_fails(
    make_system,
):
    # No engine of the model version is left to continue the answer.
    system = await make_system(engines=1)

    async def kill(tokens):
        await engine_of(system, tokens).crash()
        system.engines.clear()
        await system.publish_list()

    with pytest.raises(errors.RequestError) as caught:
        await read(system.client(), on={10: kill})
    assert caught.value.ran is errors.Ran.YES


async def test_an_error_after_the_headers_keeps_its_status(
    make_system, monkeypatch
):
    # A slow refusal comes as an event, and the client took it for a 500.
    monkeypatch.setattr(_server, 'MAX_HEADER_DELAY_S', 0.0)
    system = await make_system(engines=4)
    prompt = [{'role': 'user', 'content': 'CRASH please'}]
    with pytest.raises(errors.RequestError) as caught:
        await read(system.client(), prompt=prompt)
    assert caught.value.status == 422


async def test_a_key_used_for_another_content_is_refused(system):
    await read(system.client(), 5, key='one')
    with pytest.raises(errors.RequestError, match='another request'):
        await read(system.client(), 6, key='one')


async def test_a_resent_key_gets_the_same_answer(system):
    first = await read(system.client(), 5, key='one')
    second = await read(system.client(), 5, key='one')
    assert first == second
    assert sum(e.requests for e in system.engines.values()) == 1


async def test_another_entry_resumes_the_stream_of_a_lost_entry(make_system):
    # The client resumes at another entry, which continues from a copy of the
    # transcript.
    system = await make_system(entries=3)
    caller = system.client()

    async def stop_entry(tokens):
        await system.kill_entry(serving_entry(system))

    tokens = await read(caller, on={10: stop_entry})
    conftest.assert_complete(tokens, 40)


async def test_takeover_of_an_answer_longer_than_the_copy_retention(
    make_system,
):
    # The entry must refresh pointers and copies while an answer is running.
    system = await make_system(entries=3, gap_s=0.02, copies={'keep_s': 0.4})

    async def stop_entry(tokens):
        await system.kill_entry(serving_entry(system))

    tokens = await read(system.client(), 90, on={80: stop_entry})
    conftest.assert_complete(tokens, 90)


def serving_entry(system):
    """Return the name of the entry with the running generation."""
    return next(
        name
        for name, entry in system.entries.items()
        if entry.registry.running
    )


async def test_the_previous_entry_is_fenced_when_another_takes_over(
    make_system,
):
    # Otherwise two entries would continue the same answer in different ways.
    system = await make_system(entries=3, gap_s=0.02)
    body = json.dumps(
        {
            'model': 'small',
            'messages': conftest.PROMPT,
            'max_tokens': 40,
        }
    )
    headers = {'Bulrushhold_Account': 'vendors', 'Idempotency_Key': 'k'}
    first = asyncio.ensure_future(
        system.post('/v1/chat/completions', body, 'e1', **headers)
    )
    await conftest.wait_until(lambda: system.entries['e1'].registry.running)
    generation = system.entries['e1'].registry.generations['vendors/k']
    await conftest.wait_until(lambda: generation.visible >= 5)
    status, _, answer = await system.post(
        '/v1/chat/completions', body, 'e2', **headers
    )
    assert status == 200
    text = answer['choices'][0]['message']['content']
    conftest.assert_complete([f'{part} ' for part in text.split()], 40)
    status, _, refusal = await first
    assert status == 409
    assert refusal['error']['step'] == 'fenced'


async def resume_unknown_answer(system):
    """Resume an answer that no entry knows; return the status and error."""
    status, _, answer = await system.post(
        '/v1/chat/completions',
        json.dumps({'model': 'small', 'messages': conftest.PROMPT}),
        Bulrushhold_Account='vendors',
        Idempotency_Key='unknown',
        Last_Event_ID='9',
    )
    return status, answer['error']


async def test_a_resume_past_the_known_answer_is_refused(system):
    status, error = await resume_unknown_answer(system)
    assert status == 410
    assert error['step'] == 'resume'


async def test_a_refused_key_leaves_no_lock_behind(system):
    # The locks of all keys that were refused stayed in memory.
    status, _ = await resume_unknown_answer(system)
    assert status == 410
    assert not system.entries['e1'].registry.open_locks


async def test_an_abandoned_stream_is_kept_then_cancelled(
    make_system,
):
    # After orphan_s without a reader, the engine must be told to stop.
    system = await make_system(
        engines=1, gap_s=0.05, recovery={'orphan_s': 0.1}
    )
    stream = system.client().generate(
        'small', conftest.PROMPT, max_tokens=1000
    )
    async for _ in stream:
        break
    await stream.aclose()
    engine = system.engines['m1']
    await conftest.wait_until(lambda: not engine.running)
    assert engine.generated < 1000
    (generation,) = system.entries['e1'].registry.generations.values()
    assert generation.lifecycle.state == 'cancelled'


async def test_a_leaving_engine_keeps_its_streams_and_gets_none_new(system):
    # The platform lists an engine as leaving while it serves a stream.
    served = []

    async def leave(tokens):
        served.append(tokens[0].partition('-')[0])
        await system.publish_list(leaving=served)

    tokens = await read(system.client(), on={3: leave})
    conftest.assert_complete(tokens, 40)
    for number in range(6):
        prompt = [{'role': 'user', 'content': f'prompt {number}'}]
        later = await read(system.client(), 2, prompt)
        assert later[0].partition('-')[0] != served[0]
    assert system.engines[served[0]].requests == 1


async def test_an_engine_that_reports_leaving_gets_no_new_requests(
    system,
):
    # The engine's own report must take effect before the platform's list
    # shows it as leaving.
    leaving = system.engines['m1']
    leaving.leaving = True
    for number in range(12):
        prompt = [{'role': 'user', 'content': f'prompt {number}'}]
        conftest.assert_complete(await read(system.client(), 2, prompt), 2)
    assert leaving.requests <= 1


async def test_engine_crashes_of_a_request_are_shared_by_all_entries(
    make_system,
):
    # A crash counted at one entry must still count when the request is
    # retried at another.
    system = await make_system(entries=3, engines=4)
    prompt = [{'role': 'user', 'content': 'CRASH please'}]
    chat = _requests.ChatBody('small', prompt, max_tokens=40)
    content = _requests.make_spec(chat, conftest.row()).fingerprint
    first = system.entries['e1']
    await system.engines['m1'].crash()
    await first.control.propose(messages.Suspected([content]), 5)
    second = system.entries['e2']
    await conftest.wait_until(
        lambda: content in second.table.poison_candidates
    )
    await system.kill_entry('e1')
    with pytest.raises(errors.RequestError) as caught:
        await read(system.client(), prompt=prompt)
    assert caught.value.status == 422
    dead = [e for e in system.engines.values() if e.runner is None]
    assert len(dead) == 2


async def test_operators_can_lift_a_quarantine(system):
    entry = system.entries['e1']
    await entry.control.propose(messages.Quarantine('f' * 32, 'test', 0.0), 5)
    await entry.table.poll()
    assert entry.table.quarantined == {'f' * 32}
    await entry.control.propose(
        messages.Quarantine('f' * 32, '', 0.0, lift=True), 5
    )
    await entry.table.poll()
    assert not entry.table.quarantined


async def test_a_draining_entry_finishes_its_streams(make_system):
    # New requests must be refused with the address of another entry.
    system = await make_system(entries=2, gap_s=0.01)
    draining = []

    async def drain(tokens):
        entry = system.entries[serving_entry(system)]
        draining.append(asyncio.ensure_future(entry.drain()))
        await asyncio.sleep(0)
        status, _, answer = await system.post(
            '/v1/chat/completions',
            json.dumps({'model': 'small', 'messages': conftest.PROMPT}),
            entry.config.name,
            Bulrushhold_Account='vendors',
        )
        other = 'e2' if entry.config.name == 'e1' else 'e1'
        assert status == 503
        assert answer['error']['ran'] == 'no'
        assert str(system.addresses[other][0]) in answer['error']['reason']

    tokens = await read(system.client(), on={5: drain})
    conftest.assert_complete(tokens, 40)
    await draining[0]


async def test_an_engine_frozen_before_its_first_token_is_replaced(
    make_system,
):
    # An engine that accepts a request but sends nothing is replaced after
    # first_token_s.
    system = await make_system(recovery={'first_token_s': 0.2})
    system.engines['m1'].freeze()
    for number in range(12):
        prompt = [{'role': 'user', 'content': f'prompt {number}'}]
        tokens = await read(system.client(), 5, prompt)
        conftest.assert_complete(tokens, 5)
        assert tokens[0].startswith('m2-')
    assert system.engines['m1'].requests >= 1


async def test_an_engine_that_slows_down_is_not_replaced(make_system):
    # The stall timeout must adapt to the gaps between tokens.
    system = await make_system(
        gap_s=0.005, recovery={'min_gap_s': 0.03, 'max_gap_s': 2.0}
    )

    def set_gap(gap_s):
        async def slow_down(tokens):
            for engine in system.engines.values():
                engine.gap_s = gap_s

        return slow_down

    steps = {20: set_gap(0.012), 40: set_gap(0.025), 60: set_gap(0.05)}
    tokens = await read(system.client(), 80, on=steps)
    conftest.assert_complete(tokens, 80)
    assert sum(e.requests for e in system.engines.values()) == 1


async def test_losing_all_copy_peers_does_not_stop_a_stream(make_system):
    # With no live peer, tokens are sent without being replicated.
    system = await make_system(entries=3)

    async def kill_peers(tokens):
        own = serving_entry(system)
        for name in [n for n in system.entries if n != own]:
            await system.kill_entry(name)

    tokens = await read(system.client(), on={10: kill_peers})
    conftest.assert_complete(tokens, 40)


async def test_an_answer_restarts_if_its_entry_is_lost_before_the_first_token(
    make_system,
):
    # Without a copy, another entry must start the text again.
    system = await make_system(entries=3, gap_s=0.3)
    reading = asyncio.ensure_future(read(system.client(), 4))
    await conftest.wait_until(
        lambda: any(e.requests for e in system.engines.values())
    )
    for engine in system.engines.values():
        engine.gap_s = 0.005
    await system.kill_entry(serving_entry(system))
    conftest.assert_complete(await reading, 4)


async def test_a_stalled_engine_is_not_mistaken_for_a_lost_entry(make_system):
    # Keep-alive comments must keep the client from leaving its entry while
    # the engine pauses for longer than the client's read timeout.
    system = await make_system(
        engines=1, recovery={'min_gap_s': 20.0, 'max_gap_s': 20.0}
    )
    engine = system.engines['m1']

    async def pause(tokens):
        engine.freeze()
        asyncio.get_running_loop().call_later(2.0, engine.thaw)

    tokens = await read(system.client(), 20, on={5: pause})
    conftest.assert_complete(tokens, 20)
    assert engine.requests == 1


async def test_an_internal_error_ends_the_request_at_once(system):
    # After an unexpected exception, the caller must not wait forever.
    def fail(*args, **options):
        raise KeyError('unexpected')

    system.entries['e1'].router.choose_engine = fail
    status, _, answer = await system.post(
        '/v1/chat/completions',
        json.dumps({'model': 'small', 'messages': conftest.PROMPT}),
        Bulrushhold_Account='vendors',
    )
    assert (status, answer['error']['ran']) == (500, 'unknown')
