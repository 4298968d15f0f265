"""The search for the cheapest engine, and the bounds that it relies on."""

import random

import pytest

from bulrushhold import decisions
from bulrushhold.decisions import _enginesearch
from bulrushhold.decisions import _promptcosts
from bulrushhold import messages

EQUAL_COST = 0.3
PACE_COST = 0.25
SERVICE = 'engines'


def make_placement(rng, size):
    placement = decisions.Placement(random.Random(1), rng.choice(('', 'dc0')))
    placement.capacity = rng.choice(({}, {SERVICE: 88_000}))
    placement.update(
        [
            messages.ListedBackend(
                f'i{n}', SERVICE, f'10.0.0.{n}:80', f'dc{n % 3}', 16
            )
            for n in range(size)
        ]
    )
    return placement


class KnownCosts:
    """Stands for the costs of engines, with bounds somewhat below them."""

    def __init__(self, costs, slack):
        self.costs = costs
        self.slack = slack
        self.now = 0.0

    def cost(self, engine, jitter_prompts):
        return self.costs[engine.ident]

    def lower_bounds(self, engines, fixed, max_cost):
        bounds = [
            (self.costs[engine.ident] * self.slack[engine.ident], index)
            for index, engine in enumerate(engines)
        ]
        return [bound for bound in bounds if bound[0] <= max_cost]

    def with_jitter(self, engines, bounds, jitter_prompts, max_cost):
        return bounds

    def with_penalties(self, engines, bounds):
        return bounds


def compare_all(engines, costs, paces):
    """Return the best engine and the next best by comparing all."""
    least = min(costs.values())
    best = min(
        (e for e in engines if costs[e.ident] <= least + EQUAL_COST),
        key=lambda e: (
            costs[e.ident] + PACE_COST * (paces.pace(e.ident, 0.0) - 1)
        ),
    )
    others = [engine for engine in engines if engine is not best]
    next_best = min(others, key=lambda e: costs[e.ident], default=None)
    return best, next_best.ident if next_best else ''


@pytest.mark.parametrize('seed', range(300))
def test_a_search_finds_what_a_comparison_of_all_engines_finds(seed):
    # Guards against leaving out an engine that wins by its pace, or that wins
    # because all cheaper ones are slow at the moment.
    rng = random.Random(seed)
    placement = make_placement(rng, rng.choice((1, 2, 5, 60, 200)))
    engines = placement.usable(SERVICE)
    values = [1 + 0.02 * n for n in range(rng.choice((1, 20, 100)))]
    costs = {e.ident: rng.choice(values) for e in engines}
    paces = placement.server_speeds.paces
    share = rng.choice((0.0, 0.5, 0.9))
    values = rng.choice(((0.5, 1.0, 1.5, 2.5), (2.5,)))
    for engine in engines:
        if rng.random() < share:
            paces.record(engine.ident, rng.choice(values), 0.0)
    slack = {e.ident: rng.choice((0.7, 0.95, 1.0)) for e in engines}
    positions = placement.usable_servers(SERVICE).positions
    for used in (None, paces):
        search = _enginesearch.EngineSearch(
            KnownCosts(costs, slack), positions, 0.1, used
        )
        for engine in rng.sample(engines, min(len(engines), 2)):
            search.add(engine)
        search.search(_enginesearch.EngineGroup(engines, 0.0, set()))
        if used is None:
            best = min(engines, key=lambda e: costs[e.ident])
            assert search.result() == (best, '')
        else:
            assert search.result() == compare_all(engines, costs, paces)


@pytest.mark.parametrize('seed', range(60))
def test_no_cost_is_below_its_bound(seed):
    # A bound that is too high would exclude the best engine.
    rng = random.Random(seed)
    placement = make_placement(rng, 60)
    busy = rng.choice((0, 8000, 30_000))
    loads = {
        ident: messages.EngineLoad(
            rng.choice((0, busy)), rng.randrange(5), rng.randrange(90_000)
        )
        for ident in placement.backends
    }
    slowness = {i: rng.choice((0.1, 0.8, 1.7)) for i in loads}
    summary = messages.LoadSummary(1, loads, [], slowness=slowness)
    placement.apply_loads(summary, 0.0)
    for engine in rng.sample(placement.usable(SERVICE), 9):
        placement.stream_started(engine, rng.choice((0, 8000)))
        engine.memory += 9000
    tokens = rng.choice((0, 300, 8000))
    objective = decisions.LatencyObjective(
        rng.choice((1, 8000)), rng.choice((0.01, 1.0, 4.0)), 0.7
    )
    now = rng.choice((0.1, 1.0, 3.0))
    placement.update_slowness_floors()
    costs = _promptcosts.PromptCosts(
        placement,
        SERVICE,
        _promptcosts.Prompt(tokens, 'segment', '', {}, 5, ''),
        now,
        placement.slowness_view(SERVICE, now),
        placement.late_cost(SERVICE, objective, now),
        stale=rng.random() < 0.5,
    )
    engines = placement.usable(SERVICE)
    jitter = rng.choice((0.0, 0.3))
    bounds = costs.lower_bounds(engines, 0.0, float('inf'))
    bounds = costs.with_jitter(engines, bounds, jitter, float('inf'))
    bounds = costs.with_penalties(engines, bounds)
    assert len(bounds) == len(engines)
    for bound, index in bounds:
        assert bound <= costs.cost(engines[index], jitter) * (1 + 1e-9)
