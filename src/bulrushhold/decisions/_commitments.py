"""Work that must be started by certain times, and whether capacity allows it.

Applies the demand bound test of earliest-deadline-first scheduling (Baruah,
Rosier and Howell, 1990) to work that any of the engines can do.
"""

import collections.abc as cabc
import math
import typing as t

# Resolution of start times.
STEP_S: t.Final = 0.25
# Later start times count as this far ahead, which bounds the cost of a test.
HORIZON_S: t.Final = 30.0


class Commitments:
    """Sums of committed work by priority and latest start time."""

    def __init__(self) -> None:
        self.work: dict[int, dict[int, float]] = {}
        self.totals: dict[int, float] = {}

    def add(self, priority: int, start_at: float, work: float) -> int:
        """Add work; return the step to pass to `remove`."""
        step = math.floor(start_at / STEP_S)
        steps = self.work.setdefault(priority, {})
        steps[step] = steps.get(step, 0.0) + work
        self.totals[priority] = self.totals.get(priority, 0.0) + work
        return step

    def remove(self, priority: int, step: int, work: float) -> None:
        """Remove work that was added."""
        steps = self.work[priority]
        steps[step] -= work
        self.totals[priority] -= work
        if steps[step] < 1e-9:
            del steps[step]
        if not steps:
            del self.work[priority], self.totals[priority]

    def total(self, up_to: float = math.inf) -> float:
        """Return the work of priorities up to and including ``up_to``."""
        return sum(w for p, w in self.totals.items() if p <= up_to)

    def fits(
        self,
        priorities: cabc.Iterable[int],
        start_at: float,
        work: float,
        rate: float,
        free_at: float,
    ) -> bool:
        """Return whether more work leaves all start times within reach.

        :param priorities: the priorities whose commitments are compared.
        :param start_at: latest start time of the added work.
        :param rate: work per second available to these priorities.
        :param free_at: when the engines are done with their present prompts.
        """
        first = math.floor(start_at / STEP_S)
        earlier = 0.0
        later: dict[int, float] = {}
        for priority in priorities:
            for step, amount in self.work.get(priority, {}).items():
                if step <= first:
                    earlier += amount
                else:
                    later[step] = later.get(step, 0.0) + amount
        if earlier > rate * (start_at - free_at):
            return False
        total = earlier + work
        for step in sorted(later):
            if total > rate * (step * STEP_S - free_at):
                return False
            total += later[step]
        return True

    def deficit(self, rate: float, free_at: float) -> float:
        """Return the work that exceeds capacity before its start times."""
        steps: dict[int, float] = {}
        for amounts in self.work.values():
            for step, amount in amounts.items():
                steps[step] = steps.get(step, 0.0) + amount
        total = worst = 0.0
        for step in sorted(steps):
            total += steps[step]
            worst = max(worst, total - rate * (step * STEP_S - free_at))
        return worst
