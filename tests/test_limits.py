"""Limits and weights shared by all entries, and routing by load."""

import asyncio
import random

import pytest

from bulrushhold import decisions
from bulrushhold import errors
from bulrushhold import messages
from bulrushhold import ports
from tests import conftest

LEASE_S = decisions.QUOTA_LEASE_S
ENTRIES = ('e1', 'e2', 'e3')
LIMITED = conftest.row(token_rate=100.0, concurrency=10)


def lease_request(holder, want=1.0, running=0, need=99):
    return messages.QuotaAsk(
        LIMITED.key, holder, want, need, running, len(ENTRIES)
    )


def test_leases_and_floors_never_exceed_the_limits(rng):
    # Guards against exceeding a row's limits when entries request leases in
    # any order and are suspended past the end of a lease.
    home = decisions.QuotaHome(-100.0)
    shares = {n: decisions.QuotaShare(LIMITED, len(ENTRIES)) for n in ENTRIES}
    now = 0.0
    for _ in range(3000):
        now += rng.random() * 0.5
        name = rng.choice(ENTRIES)
        share = shares[name]
        sent = now
        running = share.running_on_lease
        grant = home.grant(
            lease_request(name, rng.randint(1, 9), running), LIMITED, now
        )
        # The reply may be late; the lease runs from the time of the request.
        now += rng.random() * 0.3
        share.apply_grant(grant, sent)
        rates = [s._rate_limit(now) for s in shares.values()]
        slots = [s._slot_limit(now) for s in shares.values()]
        assert sum(rates) <= LIMITED.token_rate + 1e-6
        assert sum(slots) <= LIMITED.concurrency


def test_new_home_waits_for_earlier_leases_to_expire():
    # A new home doesn't know the leases of its predecessor, so it must not
    # grant anything until they have expired.
    home = decisions.QuotaHome(10.0)
    assert home.grant(lease_request('e1'), LIMITED, 10.1).slots == 0
    assert home.grant(lease_request('e1'), LIMITED, 10.0 + LEASE_S).slots > 0


def test_row_first_used_later_is_granted_at_once():
    home = decisions.QuotaHome(10.0)
    assert home.grant(lease_request('e1'), LIMITED, 100.0).slots == 10


def test_suspended_holder_keeps_only_its_floor():
    share = decisions.QuotaShare(LIMITED, len(ENTRIES))
    share.apply_grant(messages.QuotaGrant(90.0, 10, LEASE_S), 50.0)
    assert share.allows(51.0)
    share.running = 1
    assert not share.allows(50.0 + LEASE_S)


def test_leases_follow_demand():
    home = decisions.QuotaHome(-100.0)
    for now in (0.0, 1.0, 2.0, 3.0):
        first = home.grant(lease_request('e1', 9.0), LIMITED, now)
        second = home.grant(lease_request('e2', 1.0), LIMITED, now)
    assert first.rate == pytest.approx(81.0)
    assert second.rate == pytest.approx(9.0)
    assert first.slots + second.slots <= 10


def test_holder_above_its_share_starts_nothing_new():
    # Requests above a reduced share may finish but aren't replaced. The other
    # holder gets only the slots that are free until then.
    home = decisions.QuotaHome(-100.0)
    assert home.grant(lease_request('e1'), LIMITED, 0.0).slots == 10
    home.grant(lease_request('e2'), LIMITED, 1.0)
    assert home.grant(lease_request('e1', running=10), LIMITED, 1.1).slots == 5
    assert home.grant(lease_request('e2'), LIMITED, 1.2).slots == 0
    assert home.grant(lease_request('e1', running=7), LIMITED, 2.0).slots == 5
    assert home.grant(lease_request('e2'), LIMITED, 2.1).slots == 3


def test_unneeded_slots_stay_available():
    home = decisions.QuotaHome(-100.0)
    assert (
        home.grant(lease_request('e1', 1.0, need=2), LIMITED, 0.0).slots == 2
    )
    assert (
        home.grant(lease_request('e2', 1.0, need=9), LIMITED, 0.0).slots == 5
    )


async def read_forever(caller, prompt):
    while True:
        await read(caller, 8, prompt)


async def test_entry_slots_follow_account_weights(
    make_system,
):
    # Two accounts with weights 1 and 3 overload one entry each. The entries'
    # slots must follow the weights instead of being equal.
    system = await make_system(entries=2, gap_s=0.05, slots=16)
    light_row, heavy_row = (
        conftest.row('light'),
        conftest.row('heavy', weight=3.0),
    )
    await system.edit([*conftest.INITIAL_ROWS, light_row, heavy_row], 1)
    callers = []
    for name, account in (('e1', 'light'), ('e2', 'heavy')):
        caller = system.client(account)
        caller.entries = [str(system.addresses[name][0])]
        caller.entries_expire_at = float('inf')
        callers += [
            asyncio.ensure_future(read_forever(caller, f'{account} {n}'))
            for n in range(40)
        ]
    queues = [system.entries[n].admission.queue for n in ('e1', 'e2')]

    def in_proportion():
        light_capacity, heavy_capacity = (queue.capacity for queue in queues)
        return 2.2 < heavy_capacity / light_capacity < 3.8

    await conftest.wait_until(in_proportion)
    for caller in callers:
        caller.cancel()
    await asyncio.gather(*callers, return_exceptions=True)


def test_token_debt_blocks_the_next_request():
    share = decisions.QuotaShare(conftest.row(token_rate=10.0), 1)
    share.apply_grant(messages.QuotaGrant(9.0, 0, LEASE_S), 0.0)
    assert share.allows(0.5)
    share.start(60.0, 0.5)
    assert not share.allows(1.0)
    assert share.retry_after(1.0) > 1.0


def run_queue(weights, seconds, backlog, rng):
    """Serve permanently backlogged flows; return the tokens of each."""
    queue = decisions.FairQueue(4)
    served = dict.fromkeys(weights, 0.0)
    running = []
    now = 0.0
    for name in weights:
        for _ in range(backlog):
            queue.push(name, weights[name], 100.0, name)
    while now < seconds:
        while (name := queue.pop(lambda _: True)) is not None:
            tokens = rng.uniform(20, 400)
            running.append((now + tokens / 100, name, tokens))
            queue.push(name, weights[name], 100.0, name)
        running.sort()
        now, name, tokens = running.pop(0)
        served[name] += tokens
        queue.done(name, 100.0, tokens, now)
    return served


def test_overload_shares_follow_weights(rng):
    weights = {'a': 1.0, 'b': 2.0, 'c': 5.0}
    served = run_queue(weights, 2000.0, 20, rng)
    total = sum(served.values())
    for name, weight in weights.items():
        expected = weight / sum(weights.values())
        assert served[name] / total == pytest.approx(expected, rel=0.05)


def test_burst_does_not_delay_other_rows():
    queue = decisions.FairQueue(1)
    for number in range(100):
        queue.push('large', 1.0, 100.0, number)
    assert queue.pop(lambda _: True) == 0
    queue.push('small', 1.0, 100.0, 'small')
    queue.done('large', 100.0, 100.0, 1.0)
    assert queue.pop(lambda _: True) == 'small'


def test_idle_row_accumulates_no_credit():
    queue = decisions.FairQueue(1)
    for number in range(50):
        queue.push('busy', 1.0, 10.0, number)
        queue.pop(lambda _: True)
        queue.done('busy', 10.0, 10.0, float(number))
    for number in range(10):
        queue.push('idle', 1.0, 10.0, f'idle {number}')
        queue.push('busy', 1.0, 10.0, f'busy {number}')
    order = []
    for number in range(8):
        order.append(queue.pop(lambda _: True).partition(' ')[0])
        queue.done(order[-1], 10.0, 10.0, 50.0 + number)
    assert 3 <= order.count('busy') <= 5


async def read(caller, count, prompt='hello'):
    message = [{'role': 'user', 'content': prompt}]
    return [
        token
        async for token in caller.generate('small', message, max_tokens=count)
    ]


async def make_limited_system(make_system, **cells):
    system = await make_system(entries=3)
    rows = [*conftest.INITIAL_ROWS[1:], conftest.row(**cells)]
    await system.edit(rows, 1)
    return system


async def test_concurrency_limit_holds_across_entries(make_system):
    # Guards against exceeding a row's concurrency when callers overload it
    # through all entries. Requests over the limit get status 429.
    system = await make_limited_system(make_system, concurrency=3)
    max_running = 0

    async def watch():
        nonlocal max_running
        while True:
            running = sum(len(e.running) for e in system.engines.values())
            max_running = max(max_running, running)
            await asyncio.sleep(0.001)

    watcher = asyncio.ensure_future(watch())
    clients = [system.client(deadline_s=30.0) for _ in range(9)]
    for number, caller in enumerate(clients):
        caller.entries = [str(system.addresses[f'e{number % 3 + 1}'][0])]
        caller.entries_expire_at = float('inf')
    answers = await asyncio.gather(
        *(read(c, 10, f'prompt {n}') for n, c in enumerate(clients)),
        return_exceptions=True,
    )
    watcher.cancel()
    complete = [a for a in answers if isinstance(a, list)]
    refused = [a for a in answers if not isinstance(a, list)]
    assert all(r.status == 429 and r.retry_after for r in refused)
    assert complete
    assert 1 <= max_running <= 3


async def test_request_that_cannot_meet_its_deadline_is_refused(make_system):
    # The row's token debt outlasts its deadline, so the request must be
    # refused immediately, with a retry time, instead of being queued.
    system = await make_limited_system(
        make_system, token_rate=20, deadline_s=0.5
    )
    caller = system.client()
    await read(caller, 200)
    with pytest.raises(errors.RequestError) as caught:
        await read(caller, 5)
    assert caught.value.status == 429
    assert caught.value.ran is errors.Ran.NO
    assert caught.value.retry_after > 1


async def test_plain_calls_bypass_the_queue(make_system):
    system = await make_system(gap_s=0.05)
    entry = system.entries['e1']
    entry.admission.engine_slots = 1
    entry.admission.engine_quota.row = entry.admission._engine_quota_row()
    generations = [
        asyncio.ensure_future(read(system.client(), 40, f'draft {n}'))
        for n in range(5)
    ]
    await conftest.wait_until(lambda: entry.admission.queue.waiting >= 3)
    answer = await system.client().call('booking', 'availability')
    assert answer.status == 200
    assert entry.admission.queue.waiting >= 3
    for generation in generations:
        generation.cancel()
    await asyncio.gather(*generations, return_exceptions=True)


def servers(count):
    return [
        ports.BackendServer(
            f'm{n}', 'engine', f'127.0.0.1:{n}', 'north', False, {'s': 'v1'}
        )
        for n in range(count)
    ]


def test_stale_report_does_not_attract_all_requests():
    # Guards against sending all requests to an engine that reported to be
    # idle a while ago.
    router = decisions.Router(random.Random(7))
    router.update(servers(8))
    for state in router.states.values():
        state.report(0 if state.server.name == 'm0' else 6, 0.0)
    chosen = []
    for number in range(40):
        choice = router.choose_engine('s', f'prompt {number}', 1.0)
        choice.state.own_requests += 1
        chosen.append(choice.chosen)
    assert chosen.count('m0') <= 15
    loads = [s.own_requests for s in router.states.values()]
    assert max(loads) <= 15


def test_rare_prefix_uses_few_engines(rng):
    # Requests with a common prefix should hit the same prefix caches.
    router = decisions.Router(rng)
    router.update(servers(40))
    chosen = set()
    for number in range(600):
        router.choose_engine('s', f'other {number}', 1.0)
        if number % 20 == 0:
            chosen.add(router.choose_engine('s', 'rare', 1.0).chosen)
    assert len(chosen) <= 8


def test_common_prefix_is_spread(rng):
    # Guards against queueing on a few engines while others are idle.
    router = decisions.Router(rng)
    router.update(servers(40))
    for number in range(400):
        affinity = 'hot' if number % 2 else f'other {number}'
        router.choose_engine('s', affinity, 1.0).state.own_requests += 1
    assert max(s.own_requests for s in router.states.values()) <= 20


def test_failing_server_is_retried_after_a_backoff():
    router = decisions.Router(random.Random(7))
    router.update(servers(2))
    state = router.states['m0']
    state.record_failure(10.0)
    state.record_failure(10.0)
    names = {router.choose_engine('s', str(n), 10.9).chosen for n in range(20)}
    assert names == {'m1'}
    assert 'm0' in {
        router.choose_engine('s', str(n), 11.1).chosen for n in range(20)
    }


def test_many_different_prompts_can_be_routed(rng):
    # Guards against a failure when the prompt counts are halved and the
    # count just incremented is dropped.
    router = decisions.Router(rng)
    router.update(servers(3))
    for number in range(20_000):
        assert router.choose_engine('s', f'prompt {number}', 1.0).state


async def test_slot_of_a_cancelled_request_is_released(system):
    # Guards against leaking a slot when a request is cancelled in the same
    # event loop iteration in which it gets the slot.
    admission = system.entries['e1'].admission
    admission.queue.running = admission.queue.capacity
    waiting = asyncio.ensure_future(admission.acquire(conftest.row()))
    await conftest.wait_until(lambda: admission.queue.waiting == 1)
    admission.queue.running = 0
    admission._grant_slots()
    waiting.cancel()
    await asyncio.gather(waiting, return_exceptions=True)
    assert admission.queue.running == 0
    assert admission.shares['vendors/chat'].running == 0
