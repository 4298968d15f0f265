"""Tests of the division of capacity among priorities and accounts."""

import random

import hypothesis
from hypothesis import strategies
import pytest

from bulrushhold import decisions
from bulrushhold.decisions import _fairshares

FLOWS = strategies.dictionaries(
    strategies.tuples(
        strategies.integers(0, 3), strategies.sampled_from('abcdefgh')
    ),
    strategies.floats(0.01, 50.0),
    max_size=20,
)


def by_priority(rates):
    totals = {}
    for (priority, _), rate in rates.items():
        totals[priority] = totals.get(priority, 0.0) + rate
    return totals


@hypothesis.given(FLOWS, strategies.floats(0.1, 100.0))
def test_capacity_is_neither_exceeded_nor_left_unused(flows, capacity):
    rates = decisions.allocate(flows, capacity)
    used = min(capacity, sum(flows.values()))
    assert sum(rates.values()) == pytest.approx(used)
    assert all(rates[flow] <= flows[flow] + 1e-9 for flow in flows)


@hypothesis.given(FLOWS, strategies.floats(0.1, 100.0))
def test_no_account_gets_more_than_one_whose_demand_is_not_met(
    flows, capacity
):
    rates = decisions.allocate(flows, capacity)
    for flow, rate in rates.items():
        if rate < flows[flow] * (1 - 1e-9):
            same = [r for f, r in rates.items() if f[0] == flow[0]]
            assert max(same) <= rate * (1 + 1e-9)


@hypothesis.given(FLOWS, strategies.floats(0.1, 100.0))
def test_urgent_demand_starves_no_priority(flows, capacity):
    demands = by_priority(flows)
    rates = by_priority(decisions.allocate(flows, capacity))
    for priority, demand in demands.items():
        assert rates[priority] >= min(demand, 0.05 * capacity) * (1 - 1e-9)


def test_urgent_priorities_come_first():
    flows = {(0, 'a'): 4.0, (1, 'a'): 10.0, (2, 'a'): 6.0}
    rates = decisions.allocate(flows, 10.0)
    assert list(rates.values()) == pytest.approx([4.0, 5.5, 0.5])


def test_a_large_account_takes_nothing_from_small_ones():
    flows = {(0, 'large'): 9.0, (0, 'small'): 1.0, (0, 'smaller'): 0.5}
    rates = decisions.allocate(flows, 6.0)
    assert list(rates.values()) == pytest.approx([4.5, 1.0, 0.5])


def test_demand_is_measured_over_many_weight_octaves():
    rates = _fairshares.DemandRates()
    for step in range(200_000):
        rates.add((0, f'a{step % 2}'), 1.0, step * 0.01)
        assert rates.origin > step * 0.01 - 900
    assert rates.rate((0, 'a0'), 2000.0) == pytest.approx(50.0, rel=0.02)


def test_grouped_demands_give_nearly_the_exact_level():
    rng = random.Random(1)
    rates = _fairshares.DemandRates()
    for step in range(20_000):
        account = f'a{int(rng.paretovariate(0.6)) % 3000}'
        rates.add((0, account), rng.uniform(0.5, 1.5), step * 0.001)
    demands = rates.demands(20.0)
    exact = [(rates.rate(flow, 20.0), 1) for flow in rates.flows]
    assert len(demands[0]) < len(exact) / 10
    total = sum(demand for demand, _ in exact)
    for load in (0.2, 0.5, 0.9):
        assert _fairshares.fair_level(demands[0], load * total) == (
            pytest.approx(_fairshares.fair_level(exact, load * total), rel=0.1)
        )


def test_idle_accounts_are_forgotten():
    # 27,000 accounts would otherwise stay in memory.
    rates = _fairshares.DemandRates()
    for step in range(10_000):
        rates.add((step % 3, f'a{step}'), 1.0, step * 0.1)
    assert len(rates.flows) < 300
    assert sum(
        count
        for groups in rates.demands(1000.0).values()
        for _, count in groups
    ) == len(rates.flows)
