"""Rankings and mean loads of the router compared with plain versions.

The router keeps rankings until engines come or go. Guards against a ranking
that contains an engine which is gone, or lacks a new one.
"""

import random

import pytest

from bulrushhold import decisions
from bulrushhold import ports


def plain_ranking(router, key):
    engines = [s for s in router.states.values() if s.server.kind == 'engine']
    return decisions.rendezvous_order(key, engines, lambda s: s.server.name)


def plain_means(router, now):
    eligible = [
        state
        for state in router.states.values()
        if state.server.kind == 'engine' and state.available(now)
    ]
    others = [max(0, s.running - s.own_at_report) for s in eligible]
    mean = sum(others) / max(1, len(eligible))
    loads = [state.load(now, mean) for state in eligible]
    return mean, sum(loads) / max(1, len(eligible))


def draw_servers(rng):
    """Return a list that often has the same engines as the one before."""
    moved = rng.random() < 0.1
    return [
        ports.BackendServer(
            f'm{n}',
            'engine' if n else 'desk',
            f'{int(moved and n == 3)}:{n}',
            'd',
            rng.random() < 0.1,
            {'s': rng.choice(('v1', 'v2'))},
            16,
        )
        for n in range(rng.choice((20, 20, 20, 19, 3)))
    ]


@pytest.mark.parametrize('seed', range(20))
def test_rankings_and_means_equal_those_of_the_plain_rules(seed):
    rng = random.Random(seed)
    router = decisions.Router(random.Random(seed))
    now = 0.0
    for _ in range(200):
        now += rng.choice((0.0, 0.1, 0.6))
        if rng.random() < 0.3 or not router.states:
            router.update(draw_servers(rng))
        state = rng.choice(list(router.states.values()))
        event = rng.randrange(4)
        if event == 0:
            state.report(rng.randrange(16), now - rng.choice((-0.1, 0.0, 2)))
        elif event == 1:
            state.own_requests = rng.randrange(9)
        elif event == 2:
            state.record_failure(now)
        else:
            router.mark_leaving(state.server.name, now)
        refreshed = now >= router.means_valid_until
        router.choose_engine('s', f'prompt {rng.randrange(8)}', now)
        for key, ranking in router.rankings.items():
            expected = plain_ranking(router, key)
            assert [id(s) for s in ranking] == [id(s) for s in expected]
        if refreshed:
            assert plain_means(router, now) == (
                router.mean_other_load,
                router.mean_load,
            )
