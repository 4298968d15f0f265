"""Figures of what callers got, and their bounds."""

import asyncio
import math

import attrs

LONG_REFUSAL_S = 0.5
LAG_INTERVAL_S = 0.02


@attrs.frozen
class Check:
    """A figure with its bound.

    :param at_least: whether the bound is a lower one.
    """

    name: str
    value: float
    bound: float
    at_least: bool = True

    @property
    def passed(self):
        if self.at_least:
            return self.value >= self.bound
        return self.value <= self.bound

    def __str__(self):
        sign = '>=' if self.at_least else '<='
        mark = 'ok  ' if self.passed else 'FAIL'
        return f'{mark} {self.name}: {self.value:.3f} {sign} {self.bound:.3f}'


async def measure_lag(lags):
    """Append how late this process wakes up, in seconds, until cancelled.

    Callers and servers run in it, so that its lag adds to all times.
    """
    loop = asyncio.get_running_loop()
    while True:
        due_at = loop.time() + LAG_INTERVAL_S
        await asyncio.sleep(LAG_INTERVAL_S)
        lags.append(loop.time() - due_at)


def share(flags):
    """Return the share of true values; NaN if there is none."""
    flags = list(flags)
    return sum(flags) / len(flags) if flags else math.nan


def percentile(values, part=0.95):
    """Return a percentile by nearest rank; 0 without values."""
    ordered = sorted(values)
    return ordered[math.ceil(part * len(ordered)) - 1] if ordered else 0.0


def of_priority(outcomes, priority):
    """Return the outcomes of one priority."""
    return [o for o in outcomes if o.arrival.priority == priority]


def on_time_share(outcomes):
    """Return the share whose first event was on time."""
    return share(o.on_time for o in outcomes)


def check_order(outcomes):
    """Return checks that no priority is served less than a later one."""
    priorities = sorted({o.arrival.priority for o in outcomes})
    served = {
        p: share(o.whole for o in of_priority(outcomes, p)) for p in priorities
    }
    return [
        Check(
            f'served of priority {urgent}, compared with {later}',
            served[urgent],
            served[later] - 0.05,
        )
        for urgent in priorities
        for later in priorities
        if urgent < later
    ]


def check_refusals(outcomes, *, capacity_lost=False):
    """Return checks of when refusals came and what returns brought."""
    seconds = [r.seconds for o in outcomes for r in o.refusals]
    returned = [o for o in outcomes if o.returned_as_told]
    checks = [
        Check('p95 of refusals, s', percentile(seconds), 0.1, at_least=False)
    ]
    if not capacity_lost:
        late = sum(s > LONG_REFUSAL_S for s in seconds)
        checks.append(Check('refusals after 0.5 s', late, 0, at_least=False))
    if returned:
        served = share(o.whole for o in returned)
        checks.append(
            Check(f'served of {len(returned)} returned as told', served, 0.9)
        )
    return checks


def describe(outcomes):
    """Return a line for each priority."""
    lines = []
    for priority in sorted({o.arrival.priority for o in outcomes}):
        group = of_priority(outcomes, priority)
        first_s = [o.first_event_s for o in group if o.whole]
        refusals = [r for o in group for r in o.refusals]
        told_s = [r.retry_after_s for r in refusals if r.retry_after_s]
        lines.append(
            f'priority {priority}: {len(group)} due, '
            f'{on_time_share(group):.3f} on time, '
            f'{share(o.whole for o in group):.3f} served, '
            f'{share(o.refused for o in group):.3f} refused at last, '
            f'{share(o.broken for o in group):.3f} broken, '
            f'p95 first event {percentile(first_s):.2f} s, '
            f'{len(refusals)} refusals, '
            f'p95 after {percentile([r.seconds for r in refusals]):.2f} s, '
            f'p95 told {percentile(told_s):.2f} s'
        )
    return lines
