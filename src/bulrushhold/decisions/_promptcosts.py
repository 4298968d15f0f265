"""Costs of engines for one prompt, measured in prompts of its size."""

import typing as t

import attrs
import xxhash

from bulrushhold.decisions import _affinity
from bulrushhold.decisions import _backendpool
from bulrushhold.decisions import _backendserver
from bulrushhold.decisions import _engineslowness
from bulrushhold.decisions import _pacedplacement
from bulrushhold.decisions import _plainplacement

# A prompt slows all streams that its engine is running while it is read.
RUNNING_STREAM_COST_PROMPTS: t.Final = 0.3
# The same while much of the load is unknown: all entries would otherwise place
# the streams of a lost data centre on the few idle engines.
STALE_RUNNING_STREAM_COST_PROMPTS: t.Final = 0.08
# Cost of an engine in another data centre. Links between data centres may lose
# packets, which delays events by retransmissions.
REMOTE_COST_PROMPTS: t.Final = 0.5
# Added for each rank in the rendezvous order.
RANK_COST_PROMPTS: t.Final = 0.08
# Subtracted from the memory of a full engine in a bound, in tokens: it is
# computed in another order than the exact value.
MEMORY_MARGIN_TOKENS: t.Final = 0.01


@attrs.frozen
class Prompt:
    """A prompt to be placed.

    :param tokens: its length.
    :param segment: its last segment.
    :param cached_at: ident of the engine that has it cached, or ``''``.
    :param ranks: by ident, the ranks of the engines preferred for it.
    :param other_rank: rank of all other engines.
    :param avoid_data_centre: data centre that just lost its stream.
    """

    tokens: int
    segment: str
    cached_at: str
    ranks: dict[str, int]
    other_rank: int
    avoid_data_centre: str


class PromptCosts:
    """Costs of a service's engines for a prompt at one time.

    :param stale: much of the other entries' load is unknown.
    """

    def __init__(
        self,
        placement: _pacedplacement.PacedPlacement,
        service: str,
        prompt: Prompt,
        now: float,
        slowness: _engineslowness.SlownessView,
        late_cost: _pacedplacement.LateCost | None,
        *,
        stale: bool,
    ) -> None:
        self.placement = placement
        self.prompt = prompt
        self.now = now
        self.slowness = slowness
        self.late_cost = late_cost
        self.has_current_loads = placement.has_current_loads(now)
        self.max_memory = placement.max_memory(
            service, _backendpool.MAX_MEMORY_SHARE
        )
        self.running_cost = (
            STALE_RUNNING_STREAM_COST_PROMPTS
            if stale
            else RUNNING_STREAM_COST_PROMPTS
        )
        self.known: dict[str, float] = {}

    def cost(
        self,
        backend: _backendserver.BackendServer,
        jitter_prompts: float = 0.0,
    ) -> float:
        """Return the cost of an engine.

        :param jitter_prompts: mean of its random part.
        """
        ident = backend.ident
        prompts = self.known.get(ident)
        if prompts is None:
            prompts = self.known[ident] = self._cost(backend)
        if not jitter_prompts:
            return prompts
        return prompts + jitter_prompts * _affinity.exponential_jitter(
            self.prompt.segment, ident
        )

    def _cost(self, backend: _backendserver.BackendServer) -> float:
        placement, prompt, now = self.placement, self.prompt, self.now
        ident = backend.ident
        others = (
            backend.remote_load
            if self.has_current_loads
            else _backendserver.NO_LOAD
        )
        slow = self.slowness.get(ident, 1.0)
        unread_tokens = backend.reading + others.reading
        if ident != prompt.cached_at:
            unread_tokens += prompt.tokens
        prompts = unread_tokens / max(1, prompt.tokens) * slow
        running = backend.inflight + others.running
        rank = prompt.ranks.get(ident, prompt.other_rank)
        prompts += (
            running * self.running_cost * slow + rank * RANK_COST_PROMPTS
        )
        if backend.failures:
            prompts *= (
                1
                + _plainplacement.IDEMPOTENT_FAILURE_WEIGHT
                * backend.failures_now(now)
            )
        if backend.data_centre == prompt.avoid_data_centre:
            prompts += _pacedplacement.DATA_CENTRE_PENALTY_PROMPTS
        if placement.is_remote(backend):
            prompts += REMOTE_COST_PROMPTS
        prompts += placement.health_penalty(backend, now)
        if self.late_cost is not None:
            prompts += self.late_cost.prompts(unread_tokens * slow)
        if backend.memory + others.memory + prompt.tokens > self.max_memory:
            prompts += _pacedplacement.FULL_PENALTY_PROMPTS
        return prompts

    def lower_bounds(
        self,
        engines: list[_backendserver.BackendServer],
        fixed: float,
        max_cost: float,
    ) -> list[tuple[float, int]]:
        """Return lower bounds of the costs of engines, with their indices.

        They hold for engines that aren't preferred, and exceed the exact
        values by rounding errors at most.

        :param fixed: part of the cost that is the same for all of them.
        :param max_cost: engines with a greater bound are left out.
        """
        tokens = self.prompt.tokens
        prompt_tokens = max(1, tokens)
        running_tokens = self.running_cost * prompt_tokens
        fixed += self.prompt.other_rank * RANK_COST_PROMPTS
        max_tokens = (max_cost - fixed) * prompt_tokens
        loads = self.placement.current_loads(engines, self.now)
        return [
            (fixed + bound / prompt_tokens, index)
            for index, (engine, load) in enumerate(
                zip(engines, loads, strict=True)
            )
            if (
                bound := (
                    engine.reading
                    + load.reading
                    + tokens
                    + (engine.inflight + load.running) * running_tokens
                )
                * engine.slowness_floor
            )
            <= max_tokens
        ]

    def with_jitter(
        self,
        engines: list[_backendserver.BackendServer],
        bounds: list[tuple[float, int]],
        jitter_prompts: float,
        max_cost: float,
    ) -> list[tuple[float, int]]:
        """Add to bounds what the random part of a cost is at least.

        The exponential jitter of a draw is at least the draw itself.

        :param jitter_prompts: mean of the random part.
        :param max_cost: engines with a greater bound are left out.
        """
        if not jitter_prompts:
            return bounds
        digest = xxhash.xxh64_intdigest
        suffix = f'/{self.prompt.segment}'.encode()
        scale = jitter_prompts / 2**64
        return [
            (closer, index)
            for bound, index in bounds
            if (
                closer := bound
                + scale * digest(engines[index].encoded_ident + suffix)
            )
            <= max_cost
        ]

    def with_penalties(
        self,
        engines: list[_backendserver.BackendServer],
        bounds: list[tuple[float, int]],
    ) -> list[tuple[float, int]]:
        """Add to bounds what full memory and a late event cost at least."""
        if not bounds:
            return []
        tokens = self.prompt.tokens
        max_other_memory = self.max_memory - tokens + MEMORY_MARGIN_TOKENS
        late = (0.0, float('inf'), 0.0)
        if self.late_cost is not None:
            late = self.late_cost.line()
        subtracted, in_time, per_token = late
        closer = []
        for bound, index in bounds:
            engine = engines[index]
            load = (
                engine.remote_load
                if self.has_current_loads
                else _backendserver.NO_LOAD
            )
            if engine.memory + load.memory > max_other_memory:
                bound += _pacedplacement.FULL_PENALTY_PROMPTS
            pending = engine.reading + load.reading + tokens
            pending *= engine.slowness_floor
            if pending > in_time:
                bound += pending * per_token - subtracted
            closer.append((bound, index))
        return closer
