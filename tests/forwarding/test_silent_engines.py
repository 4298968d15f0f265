"""Streams whose engines fall silent, with or without coming back."""

import asyncio

import attrs
import pytest

from bulrushhold import decisions
from bulrushhold import forwarding
from bulrushhold import routes
from tests.forwarding import fakes

ALL_ADDRESSES = {f'10.0.0.{n}:80' for n in range(6)}
SILENT_S = 0.6


class SilentClient(fakes.FakeClient):
    """Sends no event of a stream while its engine is silent.

    :ivar on_chunk: called with a response before each of its events.
    """

    def __init__(self):
        super().__init__()
        self.on_chunk = lambda response: None

    async def send(self, call, attempt):
        await self.wait_while_silent(attempt.address)
        return await super().send(call, attempt)

    async def wait_while_silent(self, address):
        while address in self.silent:
            await asyncio.sleep(0.01)


@pytest.fixture
def client():
    return SilentClient()


@pytest.fixture
def verdicts(context):
    """Return the list of decisions on crashes under requests."""
    decided = []
    context.poison_requests.on_verdict = decided.append
    return decided


@pytest.fixture
async def monitored(context, monkeypatch):
    """Probe silent engines all the time."""
    monkeypatch.setattr(
        'bulrushhold.forwarding._silencemonitor.CHECK_INTERVAL_S', 0.05
    )
    watch = asyncio.ensure_future(forwarding.SilenceMonitor(context).watch())
    yield
    watch.cancel()


@pytest.fixture
def paced(monkeypatch):
    """Let each event of a stream take 20 ms."""
    next_chunk = fakes.FakeResponse.next_chunk

    async def chunk(self):
        await asyncio.sleep(0.02)
        self.client.on_chunk(self)
        await self.client.wait_while_silent(self.address)
        return await next_chunk(self)

    monkeypatch.setattr(fakes.FakeResponse, 'chunk', chunk)
    monkeypatch.setattr(
        'bulrushhold.forwarding._engine_stream.PROBE_INTERVAL_S', 0.05
    )


async def end_silence(client, addresses):
    await asyncio.sleep(SILENT_S)
    client.silent -= addresses


def start_silence(client, addresses):
    client.silent = client.silent | addresses
    return asyncio.ensure_future(end_silence(client, addresses))


def silence_all(client, remaining):
    """Let all engines fall silent as so many events of a stream remain."""
    silences = []

    def lose(response):
        if len(response.remaining_events) == remaining and not silences:
            silences.append(start_silence(client, ALL_ADDRESSES))

    client.on_chunk = lose


async def test_a_stream_stays_while_all_engines_are_silent(
    client, context, paced
):
    """Guards against prompts read anew on engines that are silent, too."""
    client.scripts = [fakes.Script(events=tuple(range(1, 9)))]
    silence_all(client, remaining=5)
    caller, _ = await fakes.run_stream(context, gap_s=0.1)
    assert caller.data == fakes.encode_events(*range(1, 9))
    assert len(client.attempts) == 1


async def test_a_new_stream_waits_while_all_engines_are_silent(
    client, context, paced
):
    """Guards against failures of requests that engines would serve."""
    client.scripts = [fakes.Script(events=(1, 2))]
    silence = start_silence(client, ALL_ADDRESSES)
    caller, _ = await fakes.run_stream(context, gap_s=0.1)
    await silence
    assert caller.data == fakes.encode_events(1, 2)
    assert len(client.attempts) == 1


async def test_a_silent_engine_is_left_for_one_that_answers(
    client, context, paced
):
    """Guards against a long wait at an engine that has lost power."""
    client.scripts = [
        fakes.Script(events=(1, 2, 3)),
        fakes.Script(events=(2, 3)),
    ]
    answering = {'10.0.0.4:80', '10.0.0.5:80'}

    def lose(response):
        if len(response.remaining_events) == 2 and not client.silent:
            client.silent = ALL_ADDRESSES - answering | {response.address}

    client.on_chunk = lose
    run = fakes.run_stream(context, gap_s=0.1)
    caller, _ = await asyncio.wait_for(run, 1.0)
    assert caller.data == fakes.encode_events(1, 2, 3)
    assert client.attempts[1].address not in client.silent


async def test_a_text_is_not_blocked_as_its_engines_fall_silent(
    client, context, paced, verdicts, monitored
):
    """Guards against blocks of harmless requests."""
    client.scripts = [
        fakes.Script(events=(1, 2)),
        fakes.Script(events=(2, 3)),
        fakes.Script(events=(3, 4)),
        fakes.Script(events=(4,)),
    ]

    def lose(response):
        if len(response.remaining_events) == 1 and len(client.attempts) < 4:
            start_silence(client, {response.address})

    client.on_chunk = lose
    caller, _ = await fakes.run_stream(context, gap_s=0.1)
    assert caller.data.startswith(fakes.encode_events(1, 2, 3))
    assert caller.ended
    assert not verdicts


async def test_a_stream_that_may_run_once_outlasts_the_silence(
    client, context, paced
):
    """Guards against the end of an answer that its engine still makes."""
    client.scripts = [fakes.Script(events=(1, 2, 3))]
    silence_all(client, remaining=2)
    caller = fakes.FakeCaller()
    job = fakes.make_job(context, routes.Kind.STREAM, gap_s=0.1)
    job = attrs.evolve(job, route=attrs.evolve(job.route, resumable=False))
    await forwarding.StreamForwarder(context, job, caller).run()
    assert caller.data == fakes.encode_events(1, 2, 3)
    assert caller.ended


async def test_a_silent_engine_is_not_left_without_a_retry(
    client, context, paced
):
    """Guards against a stream given up as the retry budget is used up."""
    client.scripts = [fakes.Script(events=(1, 2, 3))]
    context.budget.take = lambda service, now, priority: False
    silences = []

    def lose(response):
        if len(response.remaining_events) == 2 and not silences:
            silences.append(start_silence(client, {response.address}))

    client.on_chunk = lose
    caller, _ = await fakes.run_stream(context, gap_s=0.1)
    await silences[0]
    assert caller.data == fakes.encode_events(1, 2, 3)
    assert len(client.attempts) == 1


async def test_a_long_stream_outlasts_more_losses_than_attempts(
    client, context
):
    """Guards against lost runs that are counted over a stream's whole life."""
    client.scripts = [
        fakes.Script(events=(n,), then='reset') for n in range(1, 9)
    ]
    client.scripts.append(fakes.Script(events=(9,)))
    caller, _ = await fakes.run_stream(context, attempts=3)
    assert caller.data == fakes.encode_events(*range(1, 10))
    assert len({attempt.address for attempt in client.attempts}) <= 3


async def test_a_rejected_resumption_does_not_look_like_the_end(
    client, context
):
    """Guards against a truncated answer that looks complete."""
    client.scripts = [
        fakes.Script(events=(1,), then='reset'),
        fakes.Script(status=400),
    ]
    caller, reply = await fakes.run_stream(context)
    assert reply is None
    assert caller.aborted and not caller.ended


async def test_a_safe_request_stays_at_a_slow_server_without_a_retry(
    client, context
):
    """Guards against an attempt given up before the next one is allowed."""
    client.scripts = [fakes.Script(open_delay_s=0.5)]
    context.budget.take = lambda service, now, priority: False
    reply = await fakes.run_plain(context, routes.Kind.IDEMPOTENT, aim_s=0.04)
    assert reply.status == 200
    assert len(client.attempts) == 1


def lose_silently(context, ident='i1'):
    now = context.clock()
    context.placement.record_failure(ident, now, unreachable=True)
    context.placement.record_silence(ident, now)
    context.poison_requests.record_reset('bad', ident, now, 0.1, silent=True)


@pytest.mark.parametrize('proof', ['refused', 'other instance', 'time'])
async def test_a_silent_engine_that_has_crashed_counts(
    client, context, monkeypatch, proof
):
    """Guards against poison requests whose engines close no connection."""
    lose_silently(context)
    address = context.placement.backends['i1'].address
    if proof == 'refused':
        client.dead.add(address)
    elif proof == 'other instance':
        client.replaced.add(address)
    else:
        client.silent.add(address)
        monkeypatch.setattr(
            'bulrushhold.forwarding._silencemonitor.MAX_SILENCE_S', 0.0
        )
    await forwarding.SilenceMonitor(context).check()
    assert list(context.poison_requests.crashes) == ['bad']
    assert not context.placement.silent_since


async def test_a_silent_engine_that_answers_again_is_used_and_not_blamed(
    client, context
):
    """Guards against blame for silence that is over."""
    lose_silently(context)
    await forwarding.SilenceMonitor(context).check()
    context.placement.mark_replaced('i1')
    assert not context.poison_requests.crashes
    assert context.placement.backends['i1'].ejected_until == 0.0
    assert not context.placement.recently_lost(context.clock())


async def test_a_silent_engine_that_is_no_longer_listed_is_left(
    client, context, paced
):
    """Guards against a wait at an engine that the platform knows is gone."""
    client.scripts = [
        fakes.Script(events=(1, 2)),
        fakes.Script(events=(2,)),
    ]

    def lose(response):
        if len(client.attempts) == 1 and len(response.remaining_events) == 1:
            client.silent = set(ALL_ADDRESSES)

    client.on_chunk = lose
    run = asyncio.ensure_future(fakes.run_stream(context, gap_s=0.1))
    await asyncio.sleep(0.5)
    assert len(client.attempts) == 1
    context.placement.mark_replaced(client.attempts[0].instance)
    await asyncio.sleep(0.4)
    client.silent.clear()
    caller, _ = await run
    assert caller.data == fakes.encode_events(1, 2)


def test_the_engines_of_one_stream_are_bounded():
    """Guards against more engines than a route's number of attempts."""
    limit = forwarding.RunLimit(2)
    limit.record_sent('a')
    limit.record_sent('b')
    assert limit.allows('a') and not limit.allows('c')
    limit.record_ended('a')
    assert limit.allows('c')


async def test_a_reset_by_an_engine_that_is_silent_then_is_no_crash(
    client, context, verdicts
):
    """Guards against a crash that nothing shows."""
    client.scripts = [
        fakes.Script(events=(1,), then='reset'),
        fakes.Script(events=(2,)),
    ]
    client.on_reset = client.silent.add
    caller, _ = await fakes.run_stream(context)
    assert caller.data == fakes.encode_events(1, 2)
    assert not verdicts


def test_a_silence_that_is_over_is_no_evidence_later():
    """Guards against silence that counts as the engine is replaced later."""
    detector = decisions.PoisonRequestDetector(decisions.EngineLosses())
    detector.record_reset('bad', 'i1', 1.0, 0.1, silent=True)
    detector.record_reset('worse', 'i1', 1.0, 0.1)
    detector.clear_silences('i1')
    detector.record_replaced('i1', 2.0)
    assert list(detector.crashes) == ['worse']
