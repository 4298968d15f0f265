"""Stall timeouts of streams on slow but healthy engines."""

import asyncio
import time

import pytest

from bulrushhold import errors
from bulrushhold.forwarding import _engine_stream
from bulrushhold.forwarding import _retries
from tests.forwarding import fakes


@pytest.fixture
def short_timeouts(monkeypatch):
    monkeypatch.setattr(_engine_stream, 'PROBE_INTERVAL_S', 0.02)
    monkeypatch.setattr('bulrushhold.forwarding._streams.COPY_AFTER_S', 0.0)


def longest_pause_s(log_records):
    return next(
        line['longest_pause_s']
        for line in log_records
        if line['decision'] == 'stream whole'
    )


@pytest.mark.parametrize(
    ('memory_full', 'min_pause_s'), [(False, 0.05), (True, 0.4)]
)
async def test_a_stream_without_a_copy_tolerates_longer_stalls(
    client, context, short_timeouts, log_records, memory_full, min_pause_s
):
    # Failing over to a copy is cheap; without one, another engine has to read
    # the prompt again, which takes 0.2 s.
    context.placement.capacity = {'engines': 30_000}
    for backend in context.placement.backends.values():
        backend.memory = 20_000 if memory_full else 0
    client.scripts = [
        fakes.Script(events=(1,), then='silent'),
        fakes.Script(events=(2,)),
    ]
    caller, _ = await fakes.run_stream(context, aim_s=4.0, gap_s=0.06)
    assert caller.data == fakes.encode_events(1, 2)
    assert bool(client.attempts[0].backup) is not memory_full
    assert min_pause_s <= longest_pause_s(log_records) < min_pause_s + 0.3


@pytest.mark.parametrize(
    ('queued_tokens', 'retried'), [(0, True), (50_000, False)]
)
async def test_a_queued_stream_is_retried_only_where_it_is_served_sooner(
    client, context, short_timeouts, monkeypatch, queued_tokens, retried
):
    # Guards against moving a queued prompt to an engine with an equal queue.
    addresses = []

    async def send(call, attempt):
        addresses.append(attempt.address)
        for backend in context.placement.backends.values():
            backend.reading = queued_tokens
        if len(addresses) == 1:
            # In steps, as the stream counts no wait longer than its timeout.
            for _ in range(25):
                await asyncio.sleep(_engine_stream.PROBE_INTERVAL_S)
        return fakes.FakeResponse(
            client, attempt.address, fakes.Script(events=(1,))
        )

    monkeypatch.setattr(client, 'send', send)
    await fakes.run_stream(context)
    assert (len(addresses) > 1) is retried


async def test_a_late_stream_stays_where_no_other_engine_has_a_place(
    client, context, short_timeouts, monkeypatch
):
    # Guards against a 502 of a stream that has left a sound engine.
    monkeypatch.setattr(
        context.placement.speeds, 'token_s', lambda *_, **__: 0.00001
    )
    original_send = client.send

    async def send(call, attempt):
        for backend in context.placement.backends.values():
            backend.reading = 20_000
        return await original_send(call, attempt)

    monkeypatch.setattr(client, 'send', send)
    client.scripts = [
        fakes.Script(events=(1,), open_delay_s=1.5),
        fakes.Script(events=(1,), then='silent'),
    ]
    caller, _ = await fakes.run_stream(context, aim_s=0.2)
    assert caller.data == fakes.encode_events(1)
    assert len(client.attempts) == 1


async def test_a_paused_entry_reads_buffered_events_before_it_times_out(
    client, context, monkeypatch
):
    # Guards against counting a pause of the entry itself as a stall of the
    # engine: events wait in the socket, and the stream would be retried.
    client.scripts = [
        fakes.Script(events=(1, 2, 3)),
        fakes.Script(events=(3,)),
    ]
    original_chunk = fakes.FakeResponse.chunk
    pauses_s = [1.0]

    async def chunk(self):
        if self.remaining_events == [3] and pauses_s:
            # A read that times out loses nothing: the event stays buffered.
            asyncio.get_running_loop().call_soon(time.sleep, pauses_s.pop())
            await asyncio.sleep(0.01)
        return await original_chunk(self)

    monkeypatch.setattr(fakes.FakeResponse, 'chunk', chunk)
    caller, _ = await fakes.run_stream(context, gap_s=0.35)
    assert caller.data == fakes.encode_events(1, 2, 3)
    assert len(client.attempts) == 1


async def test_a_place_that_was_not_used_admits_no_later_move(
    client, context, short_timeouts, monkeypatch
):
    # Guards against a stream that is sent to a full engine unasked.
    monkeypatch.setattr(
        context.placement.speeds, 'token_s', lambda *_, **__: 0.00001
    )
    monkeypatch.setattr('bulrushhold.forwarding._streams.COPY_AFTER_S', 9.0)
    refused = []

    async def no_retry(*_):
        refused.append(True)
        for backend in context.placement.backends.values():
            backend.reading = 2_000_000

    original_take_now = _retries.take_now
    monkeypatch.setattr(_retries, 'take_now', no_retry)
    original_send = client.send

    async def send(call, attempt):
        if client.attempts:
            return await original_send(call, attempt)
        client.attempts.append(attempt)
        while not refused:
            await asyncio.sleep(0.01)
        monkeypatch.setattr(_retries, 'take_now', original_take_now)
        raise errors.BackendError('lost', 'answer', attempt.address)

    monkeypatch.setattr(client, 'send', send)
    client.scripts = [fakes.Script(events=(1,))]
    with pytest.raises(errors.RequestError):
        await fakes.run_stream(context, aim_s=0.2)
    assert len(client.attempts) == 1


async def test_a_late_stream_stays_if_no_further_engine_may_run_it(
    client, context, short_timeouts, monkeypatch
):
    # Guards against leaving a sound engine for a place that can't be used.
    monkeypatch.setattr('bulrushhold.forwarding._streams.COPY_AFTER_S', 9.0)
    original_send = client.send

    async def send(call, attempt):
        if not client.attempts:
            client.silent.add(attempt.address)
        return await original_send(call, attempt)

    monkeypatch.setattr(client, 'send', send)
    client.scripts = [
        fakes.Script(open_delay_s=60.0),
        fakes.Script(events=(1,), open_delay_s=1.5),
        *[fakes.Script(open_delay_s=60.0) for _ in range(4)],
    ]
    caller, _ = await fakes.run_stream(context, attempts=2)
    assert caller.data == fakes.encode_events(1)
    assert len(client.attempts) == 2
