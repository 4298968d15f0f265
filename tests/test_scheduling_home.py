"""The scheduling home of a service, alone and with entries over sockets."""

import asyncio
import time

import pytest

from bulrushhold.control import _clusterview
from bulrushhold.control import _scheduling
from bulrushhold import decisions
from bulrushhold import errors
from bulrushhold import forwarding
from bulrushhold import messages
from bulrushhold import node
from bulrushhold import routes

ADDRESS = '10.0.2.1:70'
OTHER = '10.0.2.2:70'
PROMPT = 8000
BUSY = messages.EngineLoad(20 * PROMPT, 4, 4 * PROMPT)
# A prompt takes a second.
SPEED = messages.EngineSpeed(100 * PROMPT, 100.0)
Status = messages.SchedulingStatus


class Transport:
    def __init__(self):
        self.handlers = {}
        self.sent = []

    def send(self, address, message):
        self.sent.append((address, message))

    def handle(self, kind, handler):
        self.handlers[kind] = handler

    async def request(self, message):
        return await self.handlers[type(message)](message)


class Home:
    """A home with two engines, by a clock that the test sets."""

    def __init__(self):
        self.now = 100.0
        self.transport = Transport()
        self.view = _clusterview.ClusterView(lambda: self.now)
        self.view.backends = [
            messages.ListedBackend(f'i{n}', 's', f'h{n}', 'dc', 8)
            for n in range(2)
        ]
        self.view.route_map = messages.pack_map(
            routes.RouteMap(1, [], [routes.Service('s', memory_tokens=88_000)])
        )
        self.view.map_version = 1
        self.loads = decisions.LoadAggregator('x', 'dc', 1)
        self.restart()
        self.report(BUSY, BUSY)

    def restart(self):
        self.server = _scheduling.SchedulingServer(
            self.transport,
            ADDRESS,
            self.view,
            self.loads,
            lambda: self.now,
        )

    def report(self, *engine_loads, lost=()):
        engines = {f'i{n}': load for n, load in enumerate(engine_loads)}
        report = messages.LoadReport(
            'e9', engines, list(lost), speeds={'s': SPEED}
        )
        self.loads.add_report(report, self.now)

    def rooms(self):
        return self.server.rooms.usable('s', self.now)

    async def ask(self, ticket='t1', entry='e1', **fields):
        fields = {'objective_s': 40.0, 'remaining_s': 60.0, **fields}
        return await self.transport.request(
            messages.StreamAsk(
                's',
                entry,
                ticket,
                f'f-{entry}-{ticket}',
                1,
                'acct',
                PROMPT,
                PROMPT + 200,
                **fields,
            )  # fmt: skip
        )

    async def poll(self, ticket='t1', entry='e1', hold_s=0.0):
        poll = messages.StreamPoll('s', entry, ticket, hold_s)
        return await self.transport.request(poll)

    async def cancel(self, ticket='t1', entry='e1'):
        cancel = messages.StreamCancel('s', entry, ticket)
        return await self.transport.request(cancel)

    def advance(self, seconds):
        self.now += seconds
        self.server.advance()


@pytest.fixture
def home():
    return Home()


async def test_a_poll_returns_as_soon_as_an_engine_is_granted(home):
    assert (await home.ask()).status is Status.QUEUED
    poll = asyncio.ensure_future(home.poll(hold_s=1.0))
    await asyncio.sleep(0.05)
    home.report(BUSY)
    home.advance(0.2)
    started_at = time.monotonic()
    decision = await poll
    assert decision == messages.StreamDecision(Status.GRANTED, 'i1')
    assert time.monotonic() - started_at < 0.2
    # Guards against a second engine for a stream that polls twice.
    assert await home.poll() == decision
    assert (await home.ask('t2')).status is Status.QUEUED


async def test_a_promised_return_is_served_by_the_next_home(home):
    # Guards against a Retry-After that is forgotten with the home.
    home.view.nodes = [
        messages.ControlNode(address, 'dc', False)
        for address in (ADDRESS, OTHER)
    ]
    number = 0
    while not home.transport.sent:
        number += 1
        refused = await home.ask(f't{number}', objective_s=2.0)
    [(address, promised)] = home.transport.sent
    assert refused.status is Status.REFUSED
    assert address == OTHER
    assert promised.return_s == pytest.approx(refused.retry_after_s, abs=0.01)
    home.restart()
    await home.transport.request(promised)
    home.report(messages.EngineLoad(PROMPT, 1), messages.EngineLoad(PROMPT, 1))
    home.now += promised.return_s
    scheduler = home.server.services['s'].scheduler
    assert scheduler.returns.due(promised.fingerprint, home.now)
    # Other streams that arrive at the same time are refused.
    others = [await home.ask(f'other-{n}', objective_s=2.0) for n in range(60)]
    assert others[-1].status is Status.REFUSED
    served = await home.ask(f't{number}', objective_s=2.0)
    assert served.status is not Status.REFUSED


async def test_a_promise_reaches_a_home_that_is_new_or_restarted(home):
    # Guards against a promise that only a process keeps which isn't the home.
    home.view.nodes = [messages.ControlNode(OTHER, 'dc', False)]
    promised = messages.PromisedReturn('s', 'f', 1, 'acct', 1.0, 5.0)
    await home.transport.request(promised)
    for _ in range(3):
        home.advance(1.0)
    sent = [(a, m.return_s) for a, m in home.transport.sent]
    assert sent == [(OTHER, 4.0), (OTHER, 3.0), (OTHER, 2.0)]
    home.advance(5.0)
    assert len(home.transport.sent) == 3
    assert not home.server.promises.copies


def promised_return(return_s):
    return messages.PromisedReturn('s', 'f-e1-t1', 1, 'acct', 1.0, return_s)


async def test_a_delayed_copy_of_a_promise_does_not_change_it(home):
    # Guards against promises that slow processes postpone, so that their
    # callers aren't recognized and the work stays reserved.
    await home.transport.request(promised_return(5.0))
    returns = home.server.services['s'].scheduler.returns.returns
    for _ in range(20):
        home.advance(0.5)
        copy = home.server.promises.copies.get('f-e1-t1')
        if copy is not None and copy.return_at > home.now:
            # What the other process sends back, 0.6 s late.
            return_s = copy.return_at - home.now + 0.6
            await home.transport.request(promised_return(return_s))
            assert returns['f-e1-t1'].return_at == 105.0
    assert not home.server.promises.copies


async def test_an_earlier_copy_of_a_promise_is_the_more_exact_one(home):
    # Guards against the delay of a process that was suspended.
    for return_s in (5.0, 4.0, 3.0):
        await home.transport.request(promised_return(return_s))
    returns = home.server.services['s'].scheduler.returns.returns
    assert returns['f-e1-t1'].return_at == 103.0


async def test_a_promise_that_was_kept_is_not_made_again(home):
    # Guards against work that is reserved twice for one caller.
    await home.transport.request(promised_return(2.0))
    home.now += 1.9
    assert (await home.ask('t1')).status is not Status.REFUSED
    returns = home.server.services['s'].scheduler.returns.returns
    assert not returns
    for late_s in (0.02, 0.12):
        home.advance(late_s)
        await home.transport.request(promised_return(0.1))
    assert not returns


async def test_another_promise_to_a_caller_counts_after_the_first(home):
    # Guards against a caller whose second Retry-After is forgotten.
    await home.transport.request(promised_return(2.0))
    for return_s in (8.0, 6.9, 5.8, 4.7):
        home.advance(1.1)
        await home.transport.request(promised_return(return_s))
    returns = home.server.services['s'].scheduler.returns.returns
    assert returns['f-e1-t1'].return_at == pytest.approx(home.now + 4.7)


async def test_a_promise_says_nothing_of_the_engines_speed(home):
    # Guards against a first stream that is refused for engines of 0.1 s a
    # token.
    await home.transport.request(promised_return(2.0))
    await home.ask('t2', objective_s=-1.0, remaining_s=20.0)
    objective = home.server.services['s'].objective
    assert (objective.tokens, objective.aim_s) == (PROMPT, 20.0)


async def test_a_promise_made_after_queueing_is_copied_too(home):
    # Guards against a Retry-After that is forgotten with the home.
    home.view.nodes = [
        messages.ControlNode(address, 'dc', False)
        for address in (ADDRESS, OTHER)
    ]
    load = messages.EngineLoad(PROMPT, 1)
    home.report(load, load)
    for number in range(40):
        await home.ask(f't{number}', objective_s=8.0, remaining_s=150.0)
    home.report(load, load, lost=('i0',))
    home.transport.sent.clear()
    home.advance(0.2)
    promised = home.server.services['s'].scheduler.returns.returns
    assert promised
    assert set(home.server.promises.copies) == set(promised)
    sent = {m.fingerprint for _, m in home.transport.sent}
    assert sent == set(promised)


async def test_a_new_home_takes_over_the_measured_speed(home):
    # Guards against refusals by a home that assumes slow engines.
    decision = await home.ask(token_ns=125_000)
    assert decision.token_ns == pytest.approx(125_000, rel=0.05)
    assert home.server.services['s'].token_s == pytest.approx(125e-6, rel=0.05)


async def test_equal_tickets_of_two_entries_are_two_streams(home):
    home.report(BUSY, messages.EngineLoad(0, 0))
    assert (await home.ask(entry='e1')).status is Status.GRANTED
    assert (await home.ask(entry='e2')).status is Status.QUEUED
    assert (await home.poll(entry='e1')).engine == 'i1'


async def test_a_home_that_has_restarted_knows_no_ticket(home):
    await home.ask()
    home.restart()
    assert (await home.poll()).status is Status.UNKNOWN
    home.report(BUSY)
    # Guards against a new home that waits before it grants.
    assert (await home.ask()).status is Status.GRANTED


async def test_the_tickets_of_an_entry_that_died_are_dropped(home):
    await home.ask('t1', entry='dead')
    await home.ask('t2', entry='e2')
    for _ in range(4):
        home.advance(0.2)
        await home.poll('t2', entry='e2')
    home.report(BUSY)
    home.advance(0.2)
    assert (await home.poll('t1', entry='dead')).status is Status.UNKNOWN
    assert (await home.poll('t2', entry='e2')).engine == 'i1'


async def test_a_cancelled_stream_frees_its_engine(home):
    """Guards against grants whose reply was late and isn't used."""
    home.report(BUSY)
    assert (await home.ask('t1')).engine == 'i1'
    assert (await home.ask('t2')).status is Status.QUEUED
    await home.cancel('t1')
    home.advance(0.1)
    assert (await home.poll('t2')).engine == 'i1'


async def test_an_engine_that_was_just_lost_is_not_granted(home):
    home.report(BUSY, lost=['i1'])
    assert [room.ident for room in home.rooms()] == ['i0']
    assert (await home.ask()).status is Status.QUEUED
    home.now += 1.1
    assert [room.ident for room in home.rooms()] == ['i0', 'i1']


async def test_a_commitment_withdrawn_after_a_loss_is_logged(
    home, log_records
):
    assert (await home.ask(objective_s=10.0)).status is Status.QUEUED
    poll = asyncio.ensure_future(home.poll(hold_s=1.0))
    await asyncio.sleep(0.05)
    home.report(BUSY, BUSY, lost=['i0', 'i1'])
    home.advance(0.2)
    assert (await poll).status is Status.REFUSED
    [line] = [r for r in log_records if 'waited_s' in r]
    assert line['decision'] == 'stream refused after queueing'
    assert line['ticket'] == 't1'


async def test_a_refusal_is_logged_with_what_was_served_instead(
    home, log_records
):
    home.report(BUSY)
    await home.ask('t1')
    refused = await home.ask('t2', objective_s=0.1, remaining_s=0.1)
    assert refused.status is Status.REFUSED
    [line] = log_records
    assert line['decision'] == 'stream refused'
    assert (line['served'], line['queued']) == ({1: 1}, {})
    assert (line['priority'], line['account']) == (1, 'acct')


def test_rooms_combine_loads_with_the_limits_of_the_route_map(home):
    home.report(messages.EngineLoad(500, 2, 900))
    first, second = home.rooms()
    expected = decisions.EngineRoom('i0', 500, 2, 900, 8, 88_000)
    assert first == expected
    assert (second.reading, second.running) == (0, 0)
    home.loads.remove_report('e9')
    # Guards against full engines that look idle without reports.
    assert all(room.reading < 0 for room in home.rooms())


def forget_list(home):
    home.view.backends = None


def lose_all_engines(home):
    home.report(BUSY, lost=['i0', 'i1'])


@pytest.mark.parametrize('change', [forget_list, lose_all_engines])
async def test_a_home_without_engines_refuses_nothing(home, change):
    """Guards against refusals by a home that has just started.

    The soak also showed it with few engines that were all lost at once.
    """
    change(home)
    with pytest.raises(errors.PeerError):
        await home.ask()


async def test_an_idle_service_is_not_updated_and_dropped_in_the_end(home):
    await home.ask()
    await home.cancel()
    home.advance(4.0)
    updated_at = home.server.services['s'].updated_at
    home.advance(4.0)
    assert home.server.services['s'].updated_at == updated_at
    home.advance(60.0)
    assert not home.server.services


def make_scheduling(fleet, metrics):
    entry = fleet.entries['a']
    return forwarding.HomeScheduling(
        fleet.transports['a'],
        entry.placement,
        entry.admission,
        metrics,
        'e-a',
        lambda: entry.servers.nodes,
        forwarding.EngineShareScheduler(
            entry.placement,
            lambda: entry.own_entry,
            lambda: entry.entries,
            time.monotonic,
        ),
    )


async def request(scheduling):
    ask = messages.StreamAsk(
        'engines', '', '', 'f', 1, 'acct', PROMPT, PROMPT, 5.0, 5.0
    )
    scheduled = await scheduling.request(ask)
    return scheduled.decision.status


async def test_another_home_decides_after_the_first_is_gone(fleet):
    entry = fleet.entries['a']
    await fleet.cluster.wait_until(lambda: len(entry.servers.nodes) == 5)
    scheduling = make_scheduling(fleet, node.NullMetrics())
    assert await request(scheduling) is Status.GRANTED
    home = decisions.home_address('engines', entry.servers.nodes)
    [name] = [n for n, a in fleet.relays.items() if a == home]
    await fleet.stop(f'relay-{name}')
    started_at = time.monotonic()
    assert await request(scheduling) is Status.UNKNOWN
    assert time.monotonic() - started_at < 0.4
    state = scheduling.services['engines']
    assert state.in_fallback(time.monotonic())
    # This entry's own decision.
    assert await request(scheduling) is Status.GRANTED
    assert state.fallback_since is not None
    await fleet.cluster.wait_until(
        lambda: home not in [n.address for n in entry.servers.nodes]
        and not state.in_fallback(time.monotonic())
    )
    assert await request(scheduling) is Status.GRANTED
    assert state.fallback_since is None
