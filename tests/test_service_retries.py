"""Tests of the retry budget of a service that all entries share."""

import asyncio
import random

import pytest

from bulrushhold import decisions
from bulrushhold import errors
from bulrushhold import forwarding
from bulrushhold import messages
from bulrushhold import ports
from tests import retrypools


def share_loads(budgets, now):
    """Tell each entry what all others have used, without any delay."""
    traffic = [budget.traffic(now)[retrypools.SERVICE] for budget in budgets]
    firsts = sum(own.firsts for own in traffic)
    repeats = sum(own.repeats for own in traffic)
    for budget, own in zip(budgets, traffic, strict=True):
        others = messages.ServiceTraffic(
            firsts - own.firsts, repeats - own.repeats
        )
        budget.apply_loads({retrypools.SERVICE: others}, now)


@pytest.mark.parametrize('entries', [9, 30, 300])
def test_what_one_entry_has_borrowed_is_not_spent_again(entries):
    # Guards against entries that use their own share after others did.
    budgets = make_budgets(entries, requests=2)
    allowed = retrypools.RATIO * 2 * entries + retrypools.ALLOWANCE
    taken = 0
    for budget in budgets:
        share_loads(budgets, 1.0)
        taken += sum(budget.take(retrypools.SERVICE, 1.0) for _ in range(300))
    assert taken <= allowed


def make_budgets(entries, *, requests=0):
    """Return the budgets of entries that got some requests at second 0."""
    random.seed(1)
    budgets = [
        decisions.ServiceRetryBudget(
            retrypools.RATIO, retrypools.ALLOWANCE, retrypools.WINDOW_S
        )
        for _ in range(entries)
    ]
    for budget in budgets:
        budget.update_entries(entries, 0.0)
        for _ in range(requests):
            budget.count_request(retrypools.SERVICE, 0.0)
    return budgets


@pytest.mark.parametrize('entries', [9, 30, 300])
def test_shares_and_grants_stay_within_the_budget(entries):
    # Guards against grants that overlap with what entries have anyway.
    home = retrypools.make_home(retrypools.home_first('n0', 'n1')[0])
    budgets = make_budgets(entries, requests=2)
    share_loads(budgets, 1.0)
    allowed = retrypools.RATIO * 2 * entries + retrypools.ALLOWANCE
    taken = 0
    for number, budget in enumerate(budgets):
        assert budget.allowed(retrypools.SERVICE, 1.0) == pytest.approx(
            allowed
        )
        pool = budget.pool(retrypools.SERVICE, 1.0)
        question = retrypools.ask(20, 20, pool, f'e{number}')
        taken += retrypools.total(home.grant(question, 1.0))
        taken += sum(budget.take(retrypools.SERVICE, 1.0) for _ in range(300))
    assert 0.8 * allowed <= taken <= allowed


def test_an_entry_that_has_just_started_has_no_part_of_the_allowance():
    # Guards against a second allowance for each restart of an entry.
    budget = decisions.ServiceRetryBudget(
        retrypools.RATIO, retrypools.ALLOWANCE, retrypools.WINDOW_S, 0.0
    )
    assert not budget.take(retrypools.SERVICE, 5.0)
    for _ in range(10):
        budget.count_request(retrypools.SERVICE, 5.0)
    assert sum(budget.take(retrypools.SERVICE, 5.0) for _ in range(20)) == 1
    assert budget.take(retrypools.SERVICE, 10.5)


def test_shares_do_not_grow_at_once_as_entries_leave_the_list():
    # Guards against a part of the allowance that a lost entry has spent.
    budget = decisions.ServiceRetryBudget(
        retrypools.RATIO, retrypools.ALLOWANCE, retrypools.WINDOW_S
    )
    budget.update_entries(30, 0.0)
    budget.update_entries(5, 1.0)
    assert sum(budget.take(retrypools.SERVICE, 2.0) for _ in range(20)) == 1
    budget.update_entries(5, 11.0)
    assert sum(budget.take(retrypools.SERVICE, 11.1) for _ in range(20)) == 5


def test_an_entry_cut_off_for_long_knows_what_was_listed_before():
    # Guards against shares that grow as an entry is in touch again.
    budget = decisions.ServiceRetryBudget(
        retrypools.RATIO, retrypools.ALLOWANCE, retrypools.WINDOW_S
    )
    budget.update_entries(30, 0.0)
    budget.update_entries(5, 30.0)
    assert sum(budget.take(retrypools.SERVICE, 31.0) for _ in range(20)) == 1


def test_an_entry_without_requests_forgets_old_lists():
    # Guards against memory that grows with each list of entries.
    budget = decisions.ServiceRetryBudget(
        retrypools.RATIO, retrypools.ALLOWANCE, retrypools.WINDOW_S
    )
    for number in range(100):
        budget.update_entries(number, float(number))
    assert len(budget.listed) <= retrypools.WINDOW_S + 2


def test_shares_of_less_than_one_retry_are_not_lost():
    # Guards against streams given up while most of the budget is unused.
    budgets = make_budgets(300, requests=1)
    own = sum(budget.take(retrypools.SERVICE, 1.0) for budget in budgets)
    assert own == pytest.approx(0.2 * retrypools.RATIO * 300, rel=0.25)
    assert not any(budget.take(retrypools.SERVICE, 1.0) for budget in budgets)


@pytest.mark.parametrize('entries', [30, 31])
def test_small_parts_of_the_allowance_are_granted_by_the_home(entries):
    # Guards against an allowance that no entry can use, or used twice.
    (budget, *_) = make_budgets(entries)
    own = budget.take(retrypools.SERVICE, 1.0)
    pool = budget.pool(retrypools.SERVICE, 1.0)
    assert entries * own + pool <= retrypools.ALLOWANCE
    assert entries * own + pool >= 0.8 * retrypools.ALLOWANCE


def test_a_small_part_of_the_allowance_is_in_one_place_at_a_time():
    # Guards against parts used twice as the number of entries crosses a bound.
    budget = decisions.ServiceRetryBudget(
        retrypools.RATIO, retrypools.ALLOWANCE, retrypools.WINDOW_S
    )
    for now, count in ((0.0, 28), (20.0, 32), (40.0, 28)):
        budget.update_entries(count, now)
        for at in (now, now + 9.0):
            assert budget.pool(retrypools.SERVICE, at) == 105.0
    budget.update_entries(32, 60.0)
    assert budget.pool(retrypools.SERVICE, 70.5) > 105.0


def test_requests_counted_twice_do_not_raise_the_budget():
    # Guards against entries in the sums of two control processes.
    budget = decisions.ServiceRetryBudget(
        retrypools.RATIO, retrypools.ALLOWANCE, retrypools.WINDOW_S
    )
    for now, firsts in ((0.0, 100), (0.5, 200), (1.0, 200)):
        budget.apply_loads(
            {retrypools.SERVICE: messages.ServiceTraffic(firsts, 0)}, now
        )
    assert (
        budget.allowed(retrypools.SERVICE, 1.1)
        == retrypools.RATIO * 100 + retrypools.ALLOWANCE
    )


def test_retries_that_wait_for_servers_count_as_they_are_sent():
    # Guards against retries that arrive with those allowed after them.
    budget = decisions.ServiceRetryBudget(
        retrypools.RATIO, 20, retrypools.WINDOW_S
    )
    assert sum(budget.take(retrypools.SERVICE, 0.0) for _ in range(9)) == 4
    for _ in range(4):
        budget.record_delay(retrypools.SERVICE, 0.0, 3.0, granted=False)
    assert not budget.take(retrypools.SERVICE, 10.5)
    assert sum(budget.take(retrypools.SERVICE, 13.5) for _ in range(9)) == 4


def test_further_retries_leave_room_for_first_ones():
    # Guards against one request that spends what many others need.
    further = decisions.RetryPriority.FURTHER
    budget = decisions.ServiceRetryBudget(
        retrypools.RATIO, retrypools.ALLOWANCE, retrypools.WINDOW_S
    )
    assert (
        sum(budget.take(retrypools.SERVICE, 0.0, further) for _ in range(99))
        == 15
    )
    assert sum(budget.take(retrypools.SERVICE, 0.0) for _ in range(99)) == 15


class FakeTransport(ports.Transport):
    """Answers asks after a delay, or not at all."""

    def __init__(self):
        self.asks = []
        self.free = 10
        self.delay_s = 0.01
        self.fails = False

    def handle(self, kind, handler):
        pass

    def send(self, address, message):
        pass

    async def request(self, address, message, timeout):
        self.asks.append(message)
        await asyncio.sleep(self.delay_s)
        if self.fails:
            raise errors.PeerError('no reply', 'RetryAsk', address)
        begun = min(message.begun, self.free)
        other = min(message.other, self.free - begun)
        self.free -= begun + other
        missing = (begun, other) != (message.begun, message.other)
        return messages.RetryGrant(begun, other, 0.2 if missing else 0.0)

    async def close(self):
        pass


def make_pool(transport):
    budget = decisions.ServiceRetryBudget(
        retrypools.RATIO, retrypools.ALLOWANCE, retrypools.WINDOW_S
    )
    nodes = retrypools.make_nodes('n0')
    return forwarding.ControlRetryPool(budget, transport, 'e1', lambda: nodes)


async def take_many(pool, count, priority):
    return sum(
        await asyncio.gather(
            *(pool.take(retrypools.SERVICE, priority) for _ in range(count))
        )
    )


async def test_retries_of_one_moment_share_an_ask():
    # Guards against as many messages as retries when an engine is lost.
    transport = FakeTransport()
    pool = make_pool(transport)
    other = decisions.RetryPriority.OTHER_SERVER
    assert await take_many(pool, 30, other) == 10
    assert len(transport.asks) == 1
    assert await take_many(pool, 30, other) == 0
    assert len(transport.asks) == 1


async def test_streams_that_have_begun_are_not_held_with_other_requests():
    # Guards against streams lost while others have used up their part.
    transport = FakeTransport()
    transport.free = 0
    pool = make_pool(transport)
    assert await take_many(pool, 1, decisions.RetryPriority.OTHER_SERVER) == 0
    transport.free = 1
    assert await take_many(pool, 1, decisions.RetryPriority.BEGUN) == 1


@pytest.mark.parametrize('late', [False, True])
async def test_without_a_grant_in_time_nothing_is_taken(late):
    # Guards against grants that the home no longer counts, and long waits.
    transport = FakeTransport()
    transport.fails = not late
    transport.delay_s = 0.3 if late else 0.01
    pool = make_pool(transport)
    begun = decisions.RetryPriority.BEGUN
    assert await take_many(pool, 3, begun) == 0
    if not late:
        assert await take_many(pool, 3, begun) == 0
        assert len(transport.asks) == 1
