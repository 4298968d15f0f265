"""Find the engine of least cost without computing the costs of all."""

import heapq
import math
import typing as t

from bulrushhold.decisions import _backendserver
from bulrushhold.decisions import _enginepace
from bulrushhold.decisions import _promptcosts

# Engines whose costs differ by less are chosen by their pace, of which a part
# is over before the prompt is read.
EQUAL_COST_PROMPTS: t.Final = 0.3
# Cost of a pace that is higher than usual by 1: of the 0.6 s that it lasts on
# average, about a quarter of a typical prompt's reading is lost.
PACE_COST_PROMPTS: t.Final = 0.25
# Bounds are computed in another order than costs. This is far more than the
# rounding errors of either.
ROUNDING: t.Final = 1 + 1e-6
# Engines with the least bounds; their costs exclude most others.
FIRST_ENGINES: t.Final = 3


class EngineSearch:
    """Collects the engines that can be the best one or the next best.

    An engine's cost is computed only if its lower bound doesn't exceed the
    costs found so far. The result is as if all costs were compared; of equal
    ones, that of the engine which is listed first counts.

    :param positions: indices of the engines in the list, by ident.
    :param jitter_prompts: mean of the random part of costs.
    :param paces: if engines of nearly equal cost are chosen by pace.
    """

    def __init__(
        self,
        costs: _promptcosts.PromptCosts,
        positions: dict[str, int],
        jitter_prompts: float,
        paces: _enginepace.EnginePaces | None,
    ) -> None:
        self.costs = costs
        self.positions = positions
        self.jitter_prompts = jitter_prompts
        self.paces = paces
        # Cost and engine by position.
        self.found: dict[int, tuple[float, _backendserver.BackendServer]] = {}
        self.least = self.second = math.inf
        # Least cost of an engine of usual pace.
        self.least_usual = math.inf

    def add(self, engine: _backendserver.BackendServer) -> None:
        """Compute the cost of an engine."""
        position = self.positions[engine.ident]
        if position in self.found:
            return
        cost = self.costs.cost(engine, self.jitter_prompts)
        self.found[position] = (cost, engine)
        self.second = min(self.second, max(self.least, cost))
        self.least = min(self.least, cost)
        if cost < self.least_usual and self._pace(engine) == 1.0:
            self.least_usual = cost

    def search(
        self, engines: list[_backendserver.BackendServer], fixed: float
    ) -> None:
        """Add those engines of a list that can be the best or next best.

        :param fixed: see :meth:`PromptCosts.lower_bounds`.
        """
        bounds = self.costs.closer_bounds(
            engines,
            self.costs.lower_bounds(engines, fixed, self._max_cost()),
            self.jitter_prompts,
        )
        for _, index in heapq.nsmallest(FIRST_ENGINES, bounds):
            self.add(engines[index])
        max_cost = self._max_cost()
        for bound, index in sorted(b for b in bounds if b[0] <= max_cost):
            if bound > self._max_cost():
                break
            if self._may_win(engines[index], bound):
                self.add(engines[index])

    def _max_cost(self) -> float:
        """Return the cost above which no engine is best or next best."""
        if self.paces is None:
            return self.least * ROUNDING
        return max(self.least + EQUAL_COST_PROMPTS, self.second) * ROUNDING

    def _may_win(
        self, engine: _backendserver.BackendServer, bound: float
    ) -> bool:
        """Whether an engine can be best or next best with its pace.

        Of the engines of usual pace, the one of least cost is better than all
        others.
        """
        return (
            bound <= max(self.second, self.least_usual) * ROUNDING
            or self._pace(engine) != 1.0
        )

    def _pace(self, engine: _backendserver.BackendServer) -> float:
        if self.paces is None:
            return 1.0
        return self.paces.pace(engine.ident, self.costs.now)

    def result(self) -> tuple[_backendserver.BackendServer, str]:
        """Return the best engine, and the ident of the next best one.

        The latter is ``''`` if there is none or the pace doesn't matter.
        """
        if self.paces is None:
            _, best = min(
                (cost, position) for position, (cost, _) in self.found.items()
            )
            return self.found[best][1], ''
        _, best = min(
            (cost + PACE_COST_PROMPTS * (self._pace(engine) - 1), position)
            for position, (cost, engine) in self.found.items()
            if cost <= self.least + EQUAL_COST_PROMPTS
        )
        others = [
            (cost, position)
            for position, (cost, _) in self.found.items()
            if position != best
        ]
        next_best = self.found[min(others)[1]][1].ident if others else ''
        return self.found[best][1], next_best
