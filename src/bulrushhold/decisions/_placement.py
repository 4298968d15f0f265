"""Choose the engine for a stream and for the copy of its state.

On an engine, one long prompt delays all others. Costs of engines are measured
in prompts of the size of the one to be placed.
"""

import collections.abc as cabc
import typing as t

from bulrushhold.decisions import _admissioncontrol
from bulrushhold.decisions import _affinity
from bulrushhold.decisions import _backendpool
from bulrushhold.decisions import _backendserver
from bulrushhold.decisions import _enginesearch
from bulrushhold.decisions import _enginespeeds
from bulrushhold.decisions import _pacedplacement
from bulrushhold.decisions import _promptcosts
from bulrushhold.decisions import _usableservers

# Number of engines preferred for a prompt, chosen by rendezvous hashing of its
# last segment. Spreads the streams of a lost data centre, which all entries
# place before they see each other's choices, and lets a retry through another
# entry reach the engine that has the prompt cached.
AFFINITY_CANDIDATES: t.Final = 5
# The same for an entry that prefers the engines of its data centre.
LOCAL_AFFINITY_CANDIDATES: t.Final = 3
# Fewer healthy engines in its data centre than this and an entry has no
# preference for them.
MIN_LOCAL_ENGINES: t.Final = 3
# A copy occupies as much memory as its stream; above this share of an engine's
# memory, new prompts would find no room.
MAX_COPY_MEMORY_SHARE: t.Final = 0.85
# Applies while streams wait for engines, which need the memory more.
MAX_COPY_MEMORY_SHARE_OVERLOADED: t.Final = 0.7
# The less loaded of two random candidates balances nearly as well as the best
# of all (Mitzenmacher, The power of two choices, 2001).
COPY_CHOICES: t.Final = 2
# An engine counts as idle if it can read all its prompts and the new one
# within this share of the aim.
IDLE_AIM_SHARE: t.Final = 0.7
# Streams that can't meet their aim any more are placed at once only while at
# least this many engines can meet it, so that new streams still find one.
HEADROOM_ENGINES: t.Final = 2
# Lower bound of a run's duration, as a share of the mean.
MIN_RUN_SHARE: t.Final = 0.5
# An idle engine that is slower than this isn't chosen before all others are
# considered: one that is still reading may be sooner.
MAX_IDLE_SLOWNESS: t.Final = 1.1
STALE_AFTER_LOSS_S: t.Final = 0.5
STALE_AFTER_S: t.Final = 0.5


class Placement(_pacedplacement.PacedPlacement):
    """Load balancer over all known backend servers."""

    def choose_engine(
        self,
        service: str,
        now: float,
        *,
        tokens: int,
        segment: str,
        tried: set[str],
        avoid_data_centre: str = '',
        canary: bool = False,
        version: str | None = None,
        objective: _enginespeeds.LatencyObjective | None = None,
    ) -> _backendserver.BackendServer | None:
        """Return the engine expected to produce the first event soonest.

        The number of tokens to read stands for time. On engines that are
        known to be slower or faster than the mean, they count accordingly.

        :param tokens: length of the prompt.
        :param segment: last segment of the prompt; an engine that has it
            cached needn't read the prompt again.
        :param avoid_data_centre: data centre that just lost this stream.
        :param canary: choose among engines of a rollout's target version.
        :param version: choose among engines of this version.
        :param objective: what remains of the stream's; engines of different
            speeds that meet it are preferred.
        """
        ranks = self._affinity_ranks(service, segment, now, tried, version)
        cached_at = self.cached_prompts.engine(segment, now)
        usable = self.usable_servers(
            service, now, canary=canary, version=version
        )
        excluded = tried | self.demands.held(now)
        slowness = self.slowness_view(service, now)
        self.engine_choice = None
        groups = self._healthy_groups(usable, now, excluded)
        if not groups:
            untried = _without(usable.servers, excluded)
            # The one ejected first has most likely recovered.
            return min(untried, key=lambda b: b.ejected_until, default=None)
        stale = self._is_load_stale(service, now)
        costs = _promptcosts.PromptCosts(
            self,
            service,
            _promptcosts.Prompt(
                tokens,
                segment,
                cached_at,
                ranks,
                AFFINITY_CANDIDATES,
                avoid_data_centre,
            ),
            now,
            slowness,
            self.late_cost(service, objective, now),
            stale=stale,
        )
        preferred = [
            self.backends[ident]
            for ident in {*ranks, cached_at}
            if ident in usable.positions
            and ident not in excluded
            and self.backends[ident].ejected_until <= now
        ]
        self.update_slowness_floors()
        best = self._cheapest(
            costs, usable, preferred, [] if preferred else groups
        )
        if self._is_idle(best, costs):
            return best
        # All preferred engines are reading or full: consider all others too.
        jitter_prompts = self.jitter_prompts(service, stale=stale)
        return self._cheapest(costs, usable, preferred, groups, jitter_prompts)

    def _healthy_groups(
        self,
        usable: _usableservers.UsableServers,
        now: float,
        excluded: set[str],
    ) -> list[_enginesearch.EngineGroup]:
        """Return the engines that aren't ejected, those nearby first."""
        lost = self.recently_lost(now)
        unlike = excluded | {backend.ident for backend in lost}
        near, far = usable.servers, []
        if self.data_centre:
            near, far = usable.split(self.data_centre)
        on_probation = [
            backend
            for backend in lost
            if backend.ejected_until <= now
            and backend.ident in usable.positions
            and backend.ident not in excluded
        ]
        groups = [
            _enginesearch.EngineGroup(near, 0.0, unlike),
            _enginesearch.EngineGroup(
                far, _promptcosts.REMOTE_COST_PROMPTS, unlike
            ),
            _enginesearch.EngineGroup(
                on_probation, _pacedplacement.PROBATION_PENALTY_PROMPTS, set()
            ),
        ]
        return [group for group in groups if not group.is_empty()]

    def _cheapest(
        self,
        costs: _promptcosts.PromptCosts,
        usable: _usableservers.UsableServers,
        preferred: list[_backendserver.BackendServer],
        groups: list[_enginesearch.EngineGroup],
        jitter_prompts: float = 0.0,
    ) -> _backendserver.BackendServer:
        """Return the engine of least cost, by pace among nearly equal ones."""
        service = usable.servers[0].service
        paced = service in self.server_speeds.services
        search = _enginesearch.EngineSearch(
            costs,
            usable.positions,
            jitter_prompts,
            self.server_speeds.paces if paced else None,
        )
        for engine in preferred:
            search.add(engine)
        for group in groups:
            search.search(group)
        best, next_best = search.result()
        if paced:
            self.engine_choice = _pacedplacement.EngineChoice(
                best.ident, next_best
            )
        return best

    def _is_idle(
        self,
        engine: _backendserver.BackendServer,
        costs: _promptcosts.PromptCosts,
    ) -> bool:
        """Whether no other engine needs to be considered."""
        return (
            not engine.reading + engine.remote_load.reading
            and costs.slowness.get(engine.ident, 1.0) <= MAX_IDLE_SLOWNESS
            and self.has_room(
                engine,
                costs.now,
                costs.prompt.tokens,
                _backendpool.MAX_MEMORY_SHARE,
            )
        )

    def likely_cache_holders(
        self,
        service: str,
        segment: str,
        now: float,
        version: str | None = None,
    ) -> list[_backendserver.BackendServer]:
        """Return the engines that may have a prompt cached.

        Empty if the engine that has it is known, or without a segment.

        :param version: version of the engines, if it matters.
        """
        usable = self.usable(service, now, version=version)
        cached = self.cached_prompts.engine(segment, now)
        if not segment or any(b.ident == cached for b in usable):
            return []
        if not self.data_centre:
            likely = _affinity.preferred_engines(
                usable, segment, AFFINITY_CANDIDATES
            )
        else:
            # The lost entry may have been in any data centre.
            likely = [
                backend
                for data_centre in sorted({b.data_centre for b in usable})
                for backend in _affinity.preferred_engines(
                    [b for b in usable if b.data_centre == data_centre],
                    segment,
                    LOCAL_AFFINITY_CANDIDATES,
                )
            ]
        return [b for b in likely if b.ejected_until <= now]

    def _is_load_stale(self, service: str, now: float) -> bool:
        """Return whether much of the other entries' load is unknown here."""
        outdated = now - self.last_report_at > STALE_AFTER_S
        if outdated or self.stale_data_centres:
            return True
        return any(
            now - backend.lost_at < STALE_AFTER_LOSS_S
            for backend in self.recently_lost(now)
            if backend.service == service
        )

    def choose_backup(
        self,
        engine: _backendserver.BackendServer,
        now: float,
        tried: set[str],
        tokens: int,
        *,
        overloaded: bool = False,
    ) -> _backendserver.BackendServer | None:
        """Return the engine on which to keep a copy of a run's memory.

        Prefers other data centres, since engines of one tend to fail together,
        and engines with little load, which can resume the run at once. Only
        an engine of the same version can resume it.

        :param overloaded: streams wait for engines.
        """
        slowness = self.slowness(engine.service, now)

        def cost(backend: _backendserver.BackendServer) -> float:
            same_data_centre = backend.data_centre == engine.data_centre
            others = backend.remote_load
            load = backend.inflight + others.running
            return (
                load * slowness.get(backend.ident, 1.0)
                + (backend.memory + others.memory) / max(1, tokens)
                + 100 * same_data_centre
                + 10 * self.health_penalty(backend, now)
                + 10 * self.memory_penalty(backend, now, tokens)
                + self.rng.random()
            )

        max_share = (
            MAX_COPY_MEMORY_SHARE_OVERLOADED
            if overloaded
            else MAX_COPY_MEMORY_SHARE
        )
        holders = self.usable(engine.service, now, version=engine.version)
        full = {
            backend.ident
            for backend in holders
            if not self.has_room(backend, now, tokens, max_share)
        }
        tried = tried | full | {engine.ident}
        best = self._best_of(holders, now, tried, cost, healthy_only=True)
        if best is None or best.data_centre == engine.data_centre:
            return best
        # Choose among a random few: entries that choose at the same moment
        # would otherwise all fill the emptiest engine.
        penalty = self.health_penalty(best, now)
        others = [
            backend.ident
            for backend in holders
            if backend.ident not in tried
            and backend.data_centre != engine.data_centre
            and self.health_penalty(backend, now) <= penalty
        ]
        preferred = self.rng.sample(others, min(COPY_CHOICES, len(others)))
        return self._best_of(
            holders,
            now,
            tried,
            cost,
            healthy_only=True,
            preferred=preferred,
        )

    def estimate_capacity(
        self,
        service: str,
        now: float,
        *,
        objective: _enginespeeds.LatencyObjective,
        memory: int,
        excluding: str = '',
        barred: cabc.Set[str] = frozenset(),
        version: str | None = None,
    ) -> _admissioncontrol.CapacityEstimate:
        """Estimate how soon and how often engines can take one more prompt.

        :param memory: tokens of the prompt and its output.
        :param excluding: engine to leave out, to compare it with the others.
        :param barred: further engines to leave out.
        :param version: version that the engines must have, if it matters.
        """
        tokens = objective.tokens
        token_s = self.speeds.token_s(
            service, objective, now, excluding=excluding
        )
        usable = self.usable(service, now, version=version)
        excluded = {excluding, *barred}
        healthy = self._without_risk(service, usable, now, excluded)
        loads = self.current_loads(healthy, now)
        slowness = self.slowness(service, now, token_s)
        slow = [slowness.get(engine.ident, 1.0) for engine in healthy]
        speed = 0.0
        for value in slow:
            speed += 1 / value
        max_other_memory = self.max_memory(service, 1.0) - memory
        reads_s = [
            (engine.reading + load.reading + tokens) * token_s * value
            for engine, load, value in zip(healthy, loads, slow, strict=True)
            if engine.memory + load.memory <= max_other_memory
        ]
        first_event_s = min(reads_s, default=float('inf'))
        idle = first_event_s <= IDLE_AIM_SHARE * objective.aim_s or any(
            not engine.reading + load.reading
            and engine.memory + load.memory <= max_other_memory
            for engine, load in zip(healthy, loads, strict=True)
        )
        with_room = len(reads_s)
        ready_engines = len([s for s in reads_s if s <= objective.aim_s])
        engine_rate = self._completions_per_s(
            service, now, tokens * token_s, memory
        )
        run_s = self.speeds.run_s(service, now) or 0.0
        return _admissioncontrol.CapacityEstimate(
            first_event_s,
            idle,
            len(healthy),
            speed * engine_rate,
            max(0.0, MIN_RUN_SHARE * run_s - tokens * token_s),
            ready_engines >= min(HEADROOM_ENGINES, with_room)
            or 2 * with_room < len(healthy),
            ready_engines,
        )

    def _without_risk(
        self,
        service: str,
        engines: list[_backendserver.BackendServer],
        now: float,
        excluded: set[str],
    ) -> list[_backendserver.BackendServer]:
        """Return the engines that aren't held, on probation or failing."""
        excluded = excluded | self.demands.held(now)
        excluded.update(lost.ident for lost in self.recently_lost(now))
        failing = self.data_centre_failures.failing(service, now)
        if not failing:
            return _without(engines, excluded)
        return [
            engine
            for engine in engines
            if engine.data_centre not in failing
            and engine.ident not in excluded
        ]

    def _completions_per_s(
        self, service: str, now: float, prompt_s: float, memory: int
    ) -> float:
        """Return the rate at which one engine completes such streams.

        An engine reads one prompt at a time, and its memory holds a limited
        number of streams until they are complete.
        """
        reads_per_s = 1 / prompt_s if prompt_s else float('inf')
        run_s = self.speeds.run_s(service, now)
        capacity = self.capacity.get(service, 0)
        if not run_s or not capacity or not memory:
            return reads_per_s
        return min(
            reads_per_s,
            max(1.0, _backendpool.MAX_MEMORY_SHARE * capacity / memory)
            / run_s,
        )

    def _affinity_ranks(
        self,
        service: str,
        segment: str,
        now: float,
        tried: set[str],
        version: str | None = None,
    ) -> dict[str, int]:
        """Return the ranks of the engines preferred for a prompt.

        They are in this entry's data centre while enough engines there are
        healthy.
        """
        usable = self.usable_servers(service, now, version=version)
        excluded = tried | self.demands.held(now)
        segment = segment or str(self.rng.random())
        local = self._healthy_local(service, usable, now, excluded)
        if len(local) >= MIN_LOCAL_ENGINES:
            preferred = _affinity.preferred_engines(
                local, segment, LOCAL_AFFINITY_CANDIDATES
            )
        else:
            preferred = _affinity.preferred_engines(
                usable.servers, segment, AFFINITY_CANDIDATES, excluded
            )
        return {backend.ident: rank for rank, backend in enumerate(preferred)}

    def _healthy_local(
        self,
        service: str,
        usable: _usableservers.UsableServers,
        now: float,
        excluded: set[str],
    ) -> list[_backendserver.BackendServer]:
        """Return the healthy engines of this entry's data centre, if any."""
        location = (service, self.data_centre)
        if not self.data_centre or self.data_centre_failures.is_failing(
            location, now
        ):
            return []
        local, _ = usable.split(self.data_centre)
        lost = {backend.ident for backend in self.recently_lost(now)}
        return _without(local, excluded | lost)


def _without(
    servers: list[_backendserver.BackendServer], excluded: set[str]
) -> list[_backendserver.BackendServer]:
    if not any(excluded):
        return servers
    return [server for server in servers if server.ident not in excluded]
