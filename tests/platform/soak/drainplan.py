"""Plans of entries that shut down under load."""

import random

import attrs

CALLERS_PER_ENTRY = 10
# Objective where engines send their heads late.
LATE_GOAL_MS = 4500

LENGTHS_S = {
    'drawn': lambda rng, grown: rng.uniform(0.5, 6.0),
    'skewed': lambda rng, grown: 0.5 * 16.0 ** rng.random(),
    'equal': lambda rng, grown: 3.5,
    'growing': lambda rng, grown: 5.0 if grown else 1.0,
}


@attrs.frozen
class DrainPlan:
    """How long requests run, and how entries are signalled.

    :param lengths: of streams, a name in :data:`LENGTHS_S`.
    :param grow_after_s: when streams of ``growing`` lengths get longer.
    :param slow_share: share of the engines that take twice as long.
    :param gaps_s: shortest and longest time between two events; one stream
        has one.
    :param max_head_s: engines send the head of a stream up to this late.
    :param goal_ms: objective for the first event.
    :param room: slots of all engines, as a multiple of the callers.
    :param overlapping: whether several entries are signalled at once.
    :param series: whether entries get more signals before and after.
    :param plain_share: share of the requests that are no streams.
    :param min_deadline_s: callers draw their time limits from here up to the
        longest of the kind; 0 if all have the longest.
    :param beside: names in :data:`plannedwork.WORK`.
    """

    lengths: str = 'drawn'
    grow_after_s: float = 8.0
    slow_share: float = 0.0
    gaps_s: tuple = (0.05, 0.15)
    max_head_s: float = 0.0
    goal_ms: int = 1000
    room: float = 2.0
    overlapping: bool = False
    series: bool = False
    plain_share: float = 0.2
    min_deadline_s: float = 0.0
    beside: tuple = ()
    grace_s: float = 8.0
    entries: int = 4
    seconds: float = 40.0

    def slots(self, engines):
        callers = CALLERS_PER_ENTRY * self.entries
        return max(1, round(self.room * callers / engines))


def draw_plan(seed):
    """Return a plan whose lengths, queues and signals a seed draws."""
    rng = random.Random(f'plan {seed}')
    max_head_s = rng.choice((0.0, rng.uniform(0.5, 3.0)))
    return DrainPlan(
        lengths=rng.choice(list(LENGTHS_S)),
        slow_share=rng.choice((0.0, 1 / 3)),
        max_head_s=max_head_s,
        goal_ms=LATE_GOAL_MS if max_head_s else 1000,
        room=rng.uniform(0.6, 2.0),
        overlapping=rng.random() < 0.5,
        series=rng.random() < 0.5,
        plain_share=rng.uniform(0.0, 0.5),
        min_deadline_s=rng.choice((0.0, rng.uniform(1.0, 8.0))),
        beside=rng.choice(((), ('route_maps',), ('route_maps', 'drain'))),
    )


VARIANTS = {
    'drawn': DrainPlan(),
    'skewed': DrainPlan(lengths='skewed'),
    'equal': DrainPlan(lengths='equal', slow_share=1 / 3),
    'growing': DrainPlan(lengths='growing'),
    'late-heads': DrainPlan(
        lengths='equal', max_head_s=3.0, goal_ms=LATE_GOAL_MS
    ),
    'late-heads-urgent': DrainPlan(lengths='equal', max_head_s=3.0),
    'gaps': DrainPlan(gaps_s=(0.02, 1.5)),
    'queues': DrainPlan(room=0.7, plain_share=0.4),
    'overlapping': DrainPlan(lengths='skewed', overlapping=True),
    'series': DrainPlan(lengths='skewed', series=True),
    'overlapping-series': DrainPlan(overlapping=True, series=True),
    'limits': DrainPlan(min_deadline_s=1.0, plain_share=0.4),
    'maps': DrainPlan(series=True, beside=('route_maps',)),
    'engines-leave': DrainPlan(
        min_deadline_s=2.0, beside=('route_maps', 'drain'), series=True
    ),
}
