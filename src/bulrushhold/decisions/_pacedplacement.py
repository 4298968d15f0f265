"""Choose among engines by their slowness and pace."""

import math
import typing as t

import attrs

from bulrushhold.decisions import _backendserver
from bulrushhold.decisions import _enginespeeds
from bulrushhold.decisions import _plainplacement

# Engines whose costs differ by less are chosen by their pace, of which a part
# is over before the prompt is read.
EQUAL_COST_PROMPTS: t.Final = 0.3
# Cost of a pace that is higher than usual by 1: of the 0.6 s that it lasts on
# average, about a quarter of a typical prompt's reading is lost.
PACE_COST_PROMPTS: t.Final = 0.25
# Safety margin on the expected time to the first event, which is a mean.
LATE_MARGIN: t.Final = 1.3
# Cost of a late first event, relative to the time by which it is late.
LATE_COST: t.Final = 3.0


@attrs.frozen
class EngineChoice:
    """The last choice of an engine, for its log line.

    :param next_best: engine that would have been chosen instead.
    """

    engine: str
    next_best: str


class PacedPlacement(_plainplacement.PlainPlacement):
    """Part of the load balancer for engines of different speeds.

    :ivar engine_choice: set if the service's servers state their pace.
    """

    engine_choice: EngineChoice | None = None

    def slowness(
        self, service: str, now: float, token_s: float | None = None
    ) -> dict[str, float]:
        """Return the slowness of a service's engines; 1.0 for others.

        Empty if the service's servers don't state their pace.

        :param token_s: see :meth:`EngineSpeeds.late_reads`.
        """
        if service not in self.server_speeds.services:
            return {}
        late = self.speeds.late_reads(service, now, token_s)
        return self.server_speeds.slowness.current(now, late)

    def late_cost(
        self,
        service: str,
        objective: _enginespeeds.LatencyObjective | None,
        now: float,
    ) -> t.Callable[[float], float]:
        """Return the cost, in prompts, of a first event that may be late.

        It is a function of the tokens to be read at mean speed. A slow engine
        may read short prompts in time, but not long ones.
        """
        if objective is None or service not in self.server_speeds.services:
            return lambda tokens: 0.0
        token_s = self.speeds.token_s(service, objective, now)
        prompt_s = max(1, objective.tokens) * token_s

        def cost(tokens: float) -> float:
            late_s = LATE_MARGIN * tokens * token_s - objective.aim_s
            return LATE_COST * max(0.0, late_s) / prompt_s

        return cost

    def best_engine(
        self,
        usable: list[_backendserver.BackendServer],
        now: float,
        tried: set[str],
        cost: t.Callable[[_backendserver.BackendServer], float],
        preferred: t.Container[str] = (),
    ) -> _backendserver.BackendServer | None:
        """Return the engine of least cost, by pace among nearly equal ones."""
        costs: dict[str, float] = {}

        def recorded_cost(backend: _backendserver.BackendServer) -> float:
            costs[backend.ident] = cost(backend)
            return costs[backend.ident]

        best = self._best_of(
            usable, now, tried, recorded_cost, preferred=preferred
        )
        self.engine_choice = None
        if best is None or best.ident not in costs:
            return best
        if best.service not in self.server_speeds.services:
            return best
        limit = costs[best.ident] + EQUAL_COST_PROMPTS
        paces = self.server_speeds.paces
        best = min(
            (b for b in usable if costs.get(b.ident, math.inf) <= limit),
            key=lambda b: (
                costs[b.ident]
                + PACE_COST_PROMPTS * (paces.pace(b.ident, now) - 1)
            ),
        )
        others = [ident for ident in costs if ident != best.ident]
        next_best = min(others, key=costs.__getitem__, default='')
        self.engine_choice = EngineChoice(best.ident, next_best)
        return best
