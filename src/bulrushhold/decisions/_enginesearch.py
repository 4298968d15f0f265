"""Find the engine of least cost without computing the costs of all."""

import heapq
import math
import typing as t

import attrs

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
# Engines of a group that are compared before the others.
SAMPLED_ENGINES: t.Final = 64


@attrs.frozen
class EngineGroup:
    """Engines that have a part of the cost in common.

    :param fixed_prompts: that part.
    :param excluded: idents of engines that aren't considered.
    """

    engines: list[_backendserver.BackendServer]
    fixed_prompts: float
    excluded: set[str]

    def is_empty(self) -> bool:
        """Whether all engines are excluded."""
        return all(engine.ident in self.excluded for engine in self.engines)


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

    def search(self, group: EngineGroup) -> None:
        """Add those engines of a group that can be the best or next best."""
        # The costs of a few exclude most others at the first bound.
        for begin, end in ((0, SAMPLED_ENGINES), (SAMPLED_ENGINES, None)):
            engines = group.engines[begin:end]
            max_cost = self._max_cost()
            bounds = self.costs.lower_bounds(
                engines, group.fixed_prompts, max_cost
            )
            if group.excluded:
                bounds = [
                    (bound, index)
                    for bound, index in bounds
                    if engines[index].ident not in group.excluded
                ]
            bounds = self.costs.with_jitter(
                engines, bounds, self.jitter_prompts, max_cost
            )
            bounds = self.costs.with_penalties(engines, bounds)
            self._add_cheapest(engines, bounds)
            if self.paces is not None:
                self._add_paced(engines, bounds)

    def _add_cheapest(
        self,
        engines: list[_backendserver.BackendServer],
        bounds: list[tuple[float, int]],
    ) -> None:
        """Add the engines that may be best or next best at usual pace."""
        for _, index in heapq.nsmallest(FIRST_ENGINES, bounds):
            self.add(engines[index])
        max_cost = self._max_usual_cost()
        for bound, index in sorted(b for b in bounds if b[0] <= max_cost):
            if bound > self._max_usual_cost():
                break
            self.add(engines[index])

    def _add_paced(
        self,
        engines: list[_backendserver.BackendServer],
        bounds: list[tuple[float, int]],
    ) -> None:
        """Add the engines that may be best by a pace that isn't usual."""
        max_cost = self._max_cost()
        for bound, index in bounds:
            if bound <= max_cost and self._pace(engines[index]) != 1.0:
                self.add(engines[index])

    def _max_cost(self) -> float:
        """Return the cost above which no engine is best or next best."""
        if self.paces is None:
            return self.least * ROUNDING
        return max(self.least + EQUAL_COST_PROMPTS, self.second) * ROUNDING

    def _max_usual_cost(self) -> float:
        """Return the same for engines of usual pace.

        Of these, the one of least cost is better than all others.
        """
        if self.paces is None:
            return self.least * ROUNDING
        return min(
            self._max_cost(), max(self.second, self.least_usual) * ROUNDING
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
