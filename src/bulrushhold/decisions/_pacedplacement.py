"""Choose among engines by their health, slowness and pace."""

import math
import typing as t

import attrs

from bulrushhold.decisions import _backendpool
from bulrushhold.decisions import _backendserver
from bulrushhold.decisions import _engineslowness
from bulrushhold.decisions import _enginespeeds
from bulrushhold.decisions import _plainplacement

# Cost of an engine in a data centre whose engines fail together.
DATA_CENTRE_PENALTY_PROMPTS: t.Final = 3.0
# Cost of an engine that was lost within ``PROBATION_S``.
PROBATION_PENALTY_PROMPTS: t.Final = 2.5
# Cost of an engine without memory for a prompt.
FULL_PENALTY_PROMPTS: t.Final = 4.0
# Mean of the random cost that keeps entries which choose at the same moment
# from all picking the least loaded engine.
JITTER_PROMPTS: t.Final = 0.1
# The same if engines differ in speed: fewer of them are about equal, and two
# prompts at once on a slow one are late.
PACED_JITTER_PROMPTS: t.Final = 0.3
# Used while load reports are outdated, or streams of a lost engine are being
# placed: most of the current load is then unknown.
STALE_JITTER_PROMPTS: t.Final = 0.8
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

    def memory_penalty(
        self, backend: _backendserver.BackendServer, now: float, tokens: int
    ) -> float:
        fits = self.has_room(
            backend, now, tokens, _backendpool.MAX_MEMORY_SHARE
        )
        return 0.0 if fits else FULL_PENALTY_PROMPTS

    def health_penalty(
        self, backend: _backendserver.BackendServer, now: float
    ) -> float:
        on_probation = now - backend.lost_at < _backendpool.PROBATION_S
        prompts = PROBATION_PENALTY_PROMPTS if on_probation else 0.0
        if not self.data_centre_failures.recent:
            return prompts
        location = (backend.service, backend.data_centre)
        if self.data_centre_failures.is_failing(location, now):
            prompts += DATA_CENTRE_PENALTY_PROMPTS
        return prompts

    def jitter_prompts(self, service: str, *, stale: bool) -> float:
        """Return the mean of the random cost of a service's engines.

        :param stale: much of the other entries' load is unknown.
        """
        if stale:
            return STALE_JITTER_PROMPTS
        if service in self.server_speeds.services:
            return PACED_JITTER_PROMPTS
        return JITTER_PROMPTS

    def slowness(
        self, service: str, now: float, token_s: float | None = None
    ) -> dict[str, float]:
        """Return the slowness of a service's engines; 1.0 for others.

        Empty if the service's servers don't state their pace.

        :param token_s: see :meth:`EngineSpeeds.late_reads`.
        """
        return self.slowness_view(service, now, token_s).all()

    def slowness_view(
        self, service: str, now: float, token_s: float | None = None
    ) -> _engineslowness.SlownessView:
        """Return the same as :meth:`slowness`, computed where needed."""
        if service not in self.server_speeds.services:
            return _engineslowness.NO_SLOWNESS
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
        cost: t.Callable[[_backendserver.BackendServer, float], float],
        preferred: t.Container[str] = (),
    ) -> _backendserver.BackendServer | None:
        """Return the engine of least cost, by pace among nearly equal ones.

        :param cost: its value is exact up to the limit given to it; above, it
            may be lower than the cost, but not below the limit.
        """
        self.engine_choice = None
        untried = [b for b in usable if b.ident not in tried]
        healthy = [b for b in untried if b.ejected_until <= now]
        if not healthy:
            return self._best_of(untried, now, tried, lambda b: 0.0)
        shortlist = [b for b in healthy if b.ident in preferred] or healthy
        if healthy[0].service not in self.server_speeds.services:
            return _cheapest(shortlist, cost)
        return self._by_pace(shortlist, now, cost)

    def _by_pace(
        self,
        engines: list[_backendserver.BackendServer],
        now: float,
        cost: t.Callable[[_backendserver.BackendServer, float], float],
    ) -> _backendserver.BackendServer:
        least = second = math.inf
        costs = []
        for backend in engines:
            limit = max(least + EQUAL_COST_PROMPTS, second)
            prompts = cost(backend, limit)
            if prompts <= limit:
                costs.append((prompts, backend))
                second = min(second, max(least, prompts))
                least = min(least, prompts)
        paces = self.server_speeds.paces
        best = min(
            (c for c in costs if c[0] <= least + EQUAL_COST_PROMPTS),
            key=lambda c: (
                c[0] + PACE_COST_PROMPTS * (paces.pace(c[1].ident, now) - 1)
            ),
        )
        others = [c for c in costs if c is not best]
        next_best = min(others, key=lambda c: c[0], default=None)
        self.engine_choice = EngineChoice(
            best[1].ident, next_best[1].ident if next_best else ''
        )
        return best[1]


def _cheapest(
    engines: list[_backendserver.BackendServer],
    cost: t.Callable[[_backendserver.BackendServer, float], float],
) -> _backendserver.BackendServer:
    """Return the first engine of least cost."""
    best, least = engines[0], math.inf
    for backend in engines:
        prompts = cost(backend, least)
        if prompts < least:
            best, least = backend, prompts
    return best
