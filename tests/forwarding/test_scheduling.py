"""Entries that ask the scheduling home of a service to place streams."""

import asyncio
import contextlib
import time

import attrs
import pytest

from bulrushhold import errors
from bulrushhold import forwarding
from bulrushhold.forwarding import _admission
from bulrushhold.forwarding import _engine_stream
from bulrushhold.forwarding import _enginechooser
from bulrushhold import messages
from bulrushhold import routes
from tests.forwarding import fakes

NODES = [messages.ControlNode('10.0.2.1:70', 'dc0', False)]
OWN = messages.ListedEntry('e1', 'dc0', '10.0.1.1:80', True)
QUEUED = messages.StreamDecision(messages.SchedulingStatus.QUEUED)
UNKNOWN = messages.StreamDecision(messages.SchedulingStatus.UNKNOWN)
REFUSED = messages.StreamDecision(
    messages.SchedulingStatus.REFUSED, retry_after_s=2.5
)
SILENT = errors.PeerError('no reply', 'StreamAsk', NODES[0].address)
WHOLE = fakes.Script(events=(1,))


def granted(ident):
    return messages.StreamDecision(messages.SchedulingStatus.GRANTED, ident)


class FakeHome(fakes.FakeTransport):
    """Answers with scripted decisions; errors are raised."""

    def __init__(self):
        super().__init__()
        self.replies = []
        self.asks = []
        self.on_poll = lambda: None

    async def request(self, address, message, timeout):
        await asyncio.sleep(0.01)
        if isinstance(message, messages.StreamAsk):
            self.asks.append(message)
        else:
            self.on_poll()
        reply = self.replies.pop(0)
        if isinstance(reply, errors.PeerError):
            raise reply
        return reply

    def cancelled(self):
        return [message.ticket for _, message in self.sent]


class FakeMetrics:
    def __init__(self):
        self.values = {}

    def count(self, name, amount=1, labels=None):
        self.values[name] = self.values.get(name, 0) + amount

    def gauge(self, name, value, labels=None):
        self.values[name] = value

    def time(self, name, seconds):
        pass


@pytest.fixture
def home():
    return FakeHome()


@pytest.fixture
def now():
    return [0.0]


@pytest.fixture
def ordered(context, home, now):
    """A context whose engines are busy, so that the home is asked."""
    metrics = FakeMetrics()
    started_at = time.monotonic()

    def clock():
        return now[0] + time.monotonic() - started_at

    scheduling = forwarding.HomeScheduling(
        home,
        context.placement,
        context.admission,
        metrics,
        'e1',
        lambda: NODES,
        forwarding.EngineShareScheduler(
            context.placement, lambda: OWN, list, clock
        ),
        clock,
    )
    set_reading(context, 8000)
    return attrs.evolve(context, scheduling=scheduling, metrics=metrics)


def set_reading(context, tokens, idents=('i0', 'i1', 'i2', 'i3', 'i4', 'i5')):
    context.placement.last_report_at = float('inf')
    for ident in idents:
        context.placement.backends[ident].reading = tokens


async def run(ordered, client, *scripts, **options):
    client.scripts += scripts or [WHOLE]
    options = {'priority': 1, 'aim_s': 2.0, **options}
    return await fakes.run_stream(ordered, **options)


def engines_used(client):
    return [attempt.instance for attempt in client.attempts]


async def test_no_message_is_sent_while_engines_are_idle(
    ordered, client, home
):
    set_reading(ordered, 0)
    await run(ordered, client)
    assert home.asks == home.sent == []
    assert client.attempts[0].priority == 1


@pytest.mark.parametrize('idle', [1, 2])
async def test_the_home_is_asked_if_few_engines_are_idle(
    ordered, client, home, idle
):
    set_reading(ordered, 0, [f'i{n}' for n in range(idle)])
    home.replies = [granted('i4')]
    await run(ordered, client)
    assert len(home.asks) == (idle == 1)


async def test_the_only_engine_of_a_service_is_enough_if_idle(
    ordered, client, home
):
    ordered.placement.update(
        [messages.ListedBackend('i9', 'engines', '10.0.0.9:80', 'dc0', 64)]
    )
    await run(ordered, client)
    set_reading(ordered, 8000, ['i9'])
    home.replies = [granted('i9')]
    await run(ordered, client)
    assert len(home.asks) == 1
    assert engines_used(client) == ['i9', 'i9']


async def test_streams_dont_overtake_those_that_wait_at_other_entries(
    ordered, client, home
):
    set_reading(ordered, 0)
    ordered.admission.remote_waiting = {'engines': 1}
    home.replies = [granted('i2')]
    await run(ordered, client)
    assert engines_used(client) == ['i2']


async def test_an_entry_keeps_asking_after_a_stream_had_to_wait(
    ordered, client, home, now
):
    home.replies = [QUEUED, granted('i3'), granted('i2')]
    for _ in range(2):
        await run(ordered, client)
        set_reading(ordered, 0)
    assert engines_used(client) == ['i3', 'i2']
    now[0] += 1.1
    await run(ordered, client)
    assert len(home.asks) == 2


async def test_a_queued_stream_is_reported_as_waiting(ordered, client, home):
    waiting = []
    home.on_poll = lambda: waiting.append(ordered.admission.waiting['engines'])
    home.replies = [QUEUED, QUEUED, QUEUED, granted('i3')]
    await run(ordered, client)
    assert waiting == [1, 1, 1]
    assert ordered.admission.waiting['engines'] == 0
    [ask] = home.asks
    assert (ask.priority, ask.account, ask.tokens) == (1, 'acct', 8000)
    assert ask.objective_s == pytest.approx(2.0, abs=0.1)
    assert ordered.metrics.values['scheduling.queued'] == 1


async def test_a_caller_that_leaves_while_queued_frees_its_place(
    ordered, client, home
):
    home.replies = [QUEUED] * 100
    task = asyncio.ensure_future(run(ordered, client))
    await asyncio.sleep(0.1)
    task.cancel()
    with contextlib.suppress(asyncio.CancelledError):
        await task
    assert home.cancelled() == [home.asks[0].ticket]
    assert ordered.admission.waiting['engines'] == 0


async def test_a_refused_stream_has_not_run(
    ordered, client, home, log_records
):
    home.replies = [QUEUED, REFUSED]
    with pytest.raises(errors.RequestError) as raised:
        await run(ordered, client)
    assert raised.value.ran is errors.Ran.NO
    assert (raised.value.status, raised.value.retry_after) == (503, 2.5)
    assert client.attempts == []
    [line] = [r for r in log_records if r.get('decision') == 'stream refused']
    assert line['ticket'] == home.asks[0].ticket


async def test_a_stream_that_may_have_run_is_not_refused(
    ordered, client, home
):
    """Guards against a 503 whose statement "not run" is false."""
    home.replies = [granted('i1'), REFUSED]
    caller, _ = await run(ordered, client, fakes.Script(then='crash'), WHOLE)
    assert caller.ended
    first, second = home.asks
    assert (second.ticket, second.excluded) == (first.ticket, ['i1'])
    assert second.objective_s <= first.objective_s
    assert [attempt.priority for attempt in client.attempts] == [1, 1]


async def test_a_stream_with_events_never_asks(ordered, client, home):
    home.replies = [granted('i1')]
    lost = fakes.Script(events=(1, 2), then='crash')
    resumed = fakes.Script(events=(3,))
    caller, _ = await run(ordered, client, lost, resumed)
    assert caller.data == fakes.encode_events(1, 2, 3)
    assert len(home.asks) == 1
    await run(ordered, client, resumed, last_event_id=2)
    assert len(home.asks) == 1


@pytest.mark.parametrize('replies', [[SILENT], [QUEUED, SILENT]])
async def test_an_entry_decides_itself_for_a_second_while_its_home_is_silent(
    ordered, client, home, now, log_records, replies
):
    home.replies = [*replies, SILENT, granted('i5')]
    for _ in range(3):
        await run(ordered, client)
    assert len(home.asks) == 1
    # A grant whose reply was lost is freed.
    assert home.cancelled() == [home.asks[0].ticket]
    values = ordered.metrics.values
    assert values['scheduling.fallback_active'] == 1
    for _ in range(2):
        now[0] += 1.1
        await run(ordered, client)
    assert len(home.asks) == 3
    assert engines_used(client)[-1] == 'i5'
    assert values['scheduling.fallback_active'] == 0
    assert values['scheduling.fallback'] == 1


async def test_streams_are_served_while_control_is_gone_for_seconds(
    ordered, client, home, now
):
    home.replies = [SILENT] * 7
    for _ in range(7):
        for _ in range(2):
            caller, _ = await run(ordered, client)
            assert caller.ended
        now[0] += 1.05
    assert len(home.asks) == 7
    assert ordered.metrics.values['scheduling.fallback'] == 1


async def test_one_stream_at_a_time_asks_a_silent_home_again(
    ordered, client, home, now
):
    """Guards against a wait of all streams each second of a long outage."""
    home.replies = [SILENT, SILENT]
    await run(ordered, client)
    now[0] += 1.1
    await asyncio.gather(*(run(ordered, client) for _ in range(5)))
    assert len(home.asks) == 2


def own_first_engine(ordered):
    """Let the entry own one of six engines, i0."""
    local = ordered.scheduling.local
    local.entries = lambda: [
        attrs.evolve(OWN, name=f'e{n}') for n in range(1, 7)
    ]


@pytest.mark.parametrize('change', ['lost', 'version', 'tried'])
async def test_an_entry_without_a_suitable_engine_uses_those_of_others(
    ordered, client, home, change
):
    """Guards against refusals by an entry whose only engine is down."""
    own_first_engine(ordered)
    home.replies = [SILENT]
    scripts = [WHOLE]
    if change == 'lost':
        ordered.placement.record_failure('i0', 0.0, unreachable=True)
        ordered.placement.backends['i0'].ejected_until = float('inf')
    elif change == 'version':
        update_versions(ordered, 'baaaaa')
    else:
        scripts = [fakes.Script(error='connect'), WHOLE]
    caller, _ = await run(ordered, client, *scripts)
    assert caller.ended
    assert engines_used(client)[-1] != 'i0'
    assert len(home.asks) == 1


async def test_a_stream_isnt_refused_once_the_entry_loses_its_engine(
    ordered, client, home
):
    """Guards against a refusal seconds after the arrival."""
    own_first_engine(ordered)
    told = attrs.evolve(granted('i1'), token_ns=125_000)
    home.replies = [told, SILENT]
    await run(ordered, client)
    set_reading(ordered, 16_000)
    task = asyncio.ensure_future(run(ordered, client, aim_s=8.0))
    await asyncio.sleep(0.3)
    assert len(client.attempts) == 1
    assert ordered.admission.waiting['engines'] == 1
    ordered.placement.record_failure('i0', 0.0, unreachable=True)
    ordered.placement.backends['i0'].ejected_until = float('inf')
    set_reading(ordered, 0)
    caller, _ = await task
    assert caller.ended
    assert engines_used(client)[1] != 'i0'
    assert ordered.admission.waiting['engines'] == 0


async def test_streams_keep_their_place_while_the_home_stays_silent(
    ordered, client, home
):
    """Guards against queues that begin anew each second of an outage."""
    told = attrs.evolve(granted('i1'), token_ns=125_000)
    home.replies = [told, *[SILENT] * 20]
    await run(ordered, client)
    asked = []
    local_ask = ordered.scheduling.local.ask

    def ask(ask, token_s):
        asked.append(ask.ticket)
        return local_ask(ask, token_s)

    ordered.scheduling.local.ask = ask
    set_reading(ordered, 32_000)
    client.scripts = [WHOLE] * 20
    waiting = [
        asyncio.ensure_future(run(ordered, client, aim_s=8.0))
        for _ in range(5)
    ]
    await asyncio.sleep(0.1)
    # Others arrive, of which one asks the home each second.
    for _ in range(25):
        later = run(ordered, client, aim_s=8.0)
        waiting.append(asyncio.ensure_future(later))
        await asyncio.sleep(0.1)
    assert len(home.asks) > 3
    assert len(asked) == len(set(asked))
    scheduler = ordered.scheduling.local.services['engines'].scheduler
    assert scheduler.queue.waiting > 0
    for task in waiting:
        task.cancel()
    await asyncio.gather(*waiting, return_exceptions=True)
    # Nothing else drops the streams of callers that have left.
    assert scheduler.queue.waiting == 0
    assert ordered.admission.waiting['engines'] == 0


async def test_a_stream_that_waits_alone_asks_a_silent_home_again(
    ordered, client, home
):
    """Guards against an outage that lasts until another stream arrives."""
    home.replies = [attrs.evolve(granted('i1'), token_ns=125_000), SILENT]
    await run(ordered, client)
    set_reading(ordered, 32_000)
    home.replies += [SILENT, granted('i2')]
    await run(ordered, client, aim_s=8.0)
    assert engines_used(client) == ['i1', 'i2']
    assert len({ask.ticket for ask in home.asks}) == 2


async def test_streams_are_placed_without_any_control_process(
    ordered, client, home
):
    ordered.scheduling.nodes = list
    caller, _ = await run(ordered, client)
    assert caller.ended
    assert home.asks == home.sent == []


async def test_a_stream_asks_again_if_its_home_has_restarted(
    ordered, client, home
):
    home.replies = [QUEUED, UNKNOWN, granted('i1')]
    await run(ordered, client)
    assert engines_used(client) == ['i1']
    first, second = home.asks
    assert second.objective_s < first.objective_s
    assert second.ticket == first.ticket
    # Guards against a refusal after a wait, for a change of the home.
    assert (first.committed, second.committed) == (False, True)


async def test_a_queued_stream_moves_to_a_new_home(ordered, client, home):
    moved = [messages.ControlNode('10.0.2.2:70', 'dc0', False)]
    home.on_poll = lambda: setattr(ordered.scheduling, 'nodes', lambda: moved)
    home.replies = [QUEUED, QUEUED, granted('i1')]
    await run(ordered, client)
    assert len(home.asks) == 2
    # Guards against a place that two homes keep for one stream.
    assert home.sent[0][0] == NODES[0].address


@pytest.mark.parametrize('path', ['/urgent/', '/usual/', '/once/'])
async def test_requests_have_the_priority_of_their_route(
    ordered, fleet, client, home, path
):
    def make_route(name, priority, kind=routes.Kind.STREAM):
        targets = [routes.Target('engines', 1)]
        return routes.Route(
            name, 'h', f'/{name}/', kind, targets, 9.0, 2.0, priority
        )

    route_map = routes.RouteMap(
        1,
        [
            make_route('urgent', 0),
            make_route('usual', 4),
            make_route('once', 7, routes.Kind.ONCE),
        ],
        [routes.Service('engines')],
    )
    fleet.index = routes.RouteIndex(route_map)
    home.replies, client.scripts = [granted('i1')], [WHOLE]
    call = fakes.make_job(ordered, routes.Kind.STREAM).call
    await forwarding.Forwarder(fleet, ordered).handle(
        attrs.evolve(call, target=path), fakes.FakeCaller()
    )
    priority = {'/urgent/': 0, '/usual/': 4, '/once/': 7}[path]
    asked = {'/urgent/': [0], '/usual/': [1], '/once/': []}[path]
    assert [attempt.priority for attempt in client.attempts] == [priority]
    assert [ask.priority for ask in home.asks] == asked


def update_versions(ordered, versions):
    """List engines of version a, and then those of new versions."""
    listed = [
        messages.ListedBackend(
            f'i{n}', 'engines', f'10.0.0.{n}:80', 'dc0', 64, version=version
        )
        for n, version in enumerate(versions)
    ]
    ordered.placement.update([e for e in listed if e.version == 'a'])
    ordered.placement.update(listed)
    set_reading(ordered, 8000)


async def test_only_engines_of_an_allowed_version_are_asked_for(
    ordered, client, home
):
    """Guards against streams on a new version that is being withheld."""
    update_versions(ordered, 'aabbbb')
    home.replies = [granted('i2'), granted('i1')]
    await run(ordered, client)
    assert [ask.version for ask in home.asks] == ['a', 'a']
    assert engines_used(client) == ['i1']


def mark_leaving(placement):
    placement.backends['i1'].leaving = True


def mark_lost(placement):
    placement.record_failure('i1', 0.0, unreachable=True)
    placement.backends['i1'].ejected_until = float('inf')


def hold(placement):
    # A backoff counts for an hour at most, so that it has to begin now.
    placement.demands.backoffs.record('i1', 1e6, time.monotonic())


def remove(placement):
    del placement.backends['i1']
    placement.services['engines'] = list(placement.backends.values())


@pytest.mark.parametrize('change', [mark_leaving, mark_lost, hold, remove])
async def test_a_granted_engine_that_cant_be_used_is_excluded(
    ordered, client, home, change
):
    change(ordered.placement)
    home.replies = [granted('i1'), granted('i2')]
    await run(ordered, client)
    assert engines_used(client) == ['i2']
    assert 'i1' in home.asks[1].excluded


async def test_a_home_that_grants_an_unusable_engine_again_and_again(
    ordered, client, home
):
    """Guards against a stream that asks forever."""
    hold(ordered.placement)
    home.replies = [granted('i1')] * 20
    await run(ordered, client)
    assert engines_used(client) != ['i1']


async def test_waiting_streams_of_an_entry_go_by_priority(context):
    """Guards against an urgent stream behind others without a home."""
    set_reading(context, 80_000)
    admitted = []

    async def wait(priority):
        job = fakes.make_job(
            context, routes.Kind.STREAM, aim_s=1.0, priority=priority
        )
        engines = _enginechooser.EngineChooser(context, job)
        result = await _admission.wait_in_order(
            context,
            job,
            engines,
            waiting_since=context.clock(),
            refusable=True,
        )
        assert result.admitted
        admitted.append(priority)

    tasks = [asyncio.ensure_future(wait(p)) for p in (2, 1, 0, 1)]
    await asyncio.sleep(0.1)
    assert not admitted
    set_reading(context, 0)
    await asyncio.gather(*tasks)
    assert admitted == [0, 1, 1, 2]


def test_messages_of_an_ask_are_small():
    """Guards against a cost of control that grows unnoticed."""
    ask = messages.StreamAsk(
        'model-large-1', 'entry-123', 'a1b2c3-4d5', '0123456789abcdef',
        2, 'account-12345', 8000, 8256, 3.999, 19.999,
    )  # fmt: skip
    assert len(messages.encode(ask)) < 270
    poll = messages.StreamPoll(ask.service, ask.entry, ask.ticket, 0.2)
    assert len(messages.encode(poll)) < 100
    assert len(messages.encode(granted('i-0123456789'))) < 80


async def test_a_late_stream_does_not_leave_its_engine_to_queue(
    ordered, client, home, monkeypatch
):
    # Guards against a run that is given up for a turn that may never come.
    monkeypatch.setattr(_engine_stream, 'PROBE_INTERVAL_S', 0.02)
    monkeypatch.setattr(
        ordered.placement.speeds, 'token_s', lambda *_, **__: 0.00001
    )
    home.replies = [granted('i1'), QUEUED]
    home.on_poll = lambda: home.replies.append(QUEUED)
    set_reading(ordered, 0, ['i0'])
    late = fakes.Script(events=(1,), open_delay_s=1.5)
    caller, _ = await run(ordered, client, late, WHOLE, aim_s=0.2)
    assert caller.data == fakes.encode_events(1)
    assert len(home.asks) == 1
