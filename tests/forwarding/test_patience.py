"""How long a living but slow engine is waited for."""

import asyncio
import time

import pytest

from bulrushhold.forwarding import _flow
from tests.forwarding import fakes


@pytest.fixture
def quick(monkeypatch):
    monkeypatch.setattr(_flow, 'FIRST_ASK_S', 0.02)
    monkeypatch.setattr('bulrushhold.forwarding._streams.COPY_AFTER_S', 0.0)


def paused(logged):
    return next(
        line['longest_pause_s']
        for line in logged
        if line['decision'] == 'stream whole'
    )


@pytest.mark.parametrize(('full', 'least'), [(False, 0.05), (True, 0.4)])
async def test_a_stream_without_a_copy_waits_longer_for_a_living_engine(
    client, parts, quick, logged, full, least
):
    # In a crowd an engine reads others' prompts and pauses a stream. With a
    # copy elsewhere the caller is better off there; without one its prompt
    # would be read again, which takes 0.2 s.
    parts.placement.capacity = {'engines': 30_000}
    for backend in parts.placement.backends.values():
        backend.memory = 20_000 if full else 0
    client.scripts = [
        fakes.Script(events=(1,), then='silent'),
        fakes.Script(events=(2,)),
    ]
    out, _ = await fakes.stream(parts, aim_s=4.0, gap_s=0.06)
    assert out.data == fakes.text(1, 2)
    assert bool(client.attempts[0].backup) is not full
    assert least <= paused(logged) < least + 0.3


@pytest.mark.parametrize(('busy', 'moved'), [(0, True), (50_000, False)])
async def test_a_queued_stream_moves_only_where_it_is_served_sooner(
    client, parts, quick, monkeypatch, busy, moved
):
    # A prompt waits in an engine's queue. Where all others have as much to
    # read, moving would only put it behind them.
    answers = []

    async def send(call, attempt):
        answers.append(attempt.address)
        for backend in parts.placement.backends.values():
            backend.reading = busy
        if len(answers) == 1:
            await asyncio.sleep(0.5)
        return fakes.FakeAnswer(
            client, attempt.address, fakes.Script(events=(1,))
        )

    monkeypatch.setattr(client, 'send', send)
    await fakes.stream(parts)
    assert (len(answers) > 1) is moved


async def test_an_entry_that_stood_still_reads_what_has_come(
    client, parts, monkeypatch
):
    # The entry's machine freezes for a second in mid-stream. The engine goes
    # on, and its events lie in the socket when the entry wakes: the caller
    # should get them at once. Taken for a silent engine, the stream is moved
    # instead, and its prompt read again.
    client.scripts = [
        fakes.Script(events=(1, 2, 3)),
        fakes.Script(events=(3,)),
    ]
    answer = fakes.FakeAnswer.chunk
    freezes = [1.0]

    async def chunk(self):
        if self.left == [3] and freezes:
            # Whoever waits in vain has lost nothing: the event stays.
            asyncio.get_running_loop().call_soon(time.sleep, freezes.pop())
            await asyncio.sleep(0.01)
        return await answer(self)

    monkeypatch.setattr(fakes.FakeAnswer, 'chunk', chunk)
    out, _ = await fakes.stream(parts, gap_s=0.35)
    assert out.data == fakes.text(1, 2, 3)
    assert len(client.attempts) == 1
