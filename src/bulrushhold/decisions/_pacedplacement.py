"""Choose among engines by their health, slowness and pace."""

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


@attrs.frozen
class LateCost:
    """The cost of a late first event.

    :param token_s: seconds in which an engine of mean speed reads a token.
    :param aim_s: time to the first event.
    :param prompt_s: seconds in which it reads the prompt.
    """

    token_s: float
    aim_s: float
    prompt_s: float

    def prompts(self, tokens: float) -> float:
        """Return the cost, in prompts, of tokens to be read at mean speed."""
        late_s = LATE_MARGIN * tokens * self.token_s - self.aim_s
        return LATE_COST * max(0.0, late_s) / self.prompt_s

    def line(self) -> tuple[float, float, float]:
        """Return the cost as a line, except for rounding.

        :return: what is subtracted from the cost by tokens; the tokens that
            are read in time; and the cost of each token.
        """
        per_token = LATE_COST * LATE_MARGIN * self.token_s / self.prompt_s
        subtracted = LATE_COST * self.aim_s / self.prompt_s
        return subtracted, subtracted / per_token, per_token


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

    def update_slowness_floors(self) -> None:
        """Set the floors of the engines whose slowness has changed."""
        floors = self.server_speeds.slowness.take_changed_floors()
        for ident, floor in floors.items():
            backend = self.backends.get(ident)
            if backend is not None:
                backend.slowness_floor = floor

    def late_cost(
        self,
        service: str,
        objective: _enginespeeds.LatencyObjective | None,
        now: float,
    ) -> LateCost | None:
        """Return the cost of a first event that may be late, if it matters.

        A slow engine may read short prompts in time, but not long ones.
        """
        if objective is None or service not in self.server_speeds.services:
            return None
        token_s = self.speeds.token_s(service, objective, now)
        if not token_s:
            # Estimated from an aim that is over, without any samples.
            return None
        prompt_s = max(1, objective.tokens) * token_s
        return LateCost(token_s, objective.aim_s, prompt_s)
