"""Chooses the backend server for an opaque request, and for its backup.

Answers two loads: plain services whose copies differ in speed and fail
in part, and model engines on which one long prompt delays all others.
"""

import heapq
import math
import random
import typing as t

import xxhash

from bulrushhold.decisions import _admissioncontrol
from bulrushhold.decisions import _known
from bulrushhold.decisions import _placed
from bulrushhold.decisions import _speeds

# A request that may run once is lost where it fails, so that a server that
# fails one in ten is as bad as one three times as slow.
AT_MOST_ONCE_FAILURE_WEIGHT: t.Final = 20.0
IDEMPOTENT_FAILURE_WEIGHT: t.Final = 6.0
# What speaks against an engine is counted in prompts of the stream's size:
# what it has to read before, and in place of each of these as much more.
#
# A stream that runs there stretches the reading of a new prompt a little.
RUNNING_STREAM_COST_PROMPTS: t.Final = 0.08
# Engines to choose among, ranked by a hash of the prompt's last part. When a
# data centre dies, all entries place its streams within the 30 ms that news
# takes: the best of all engines would get several prompts, the best of a
# few differs. And a caller that comes back through another entry, since its
# own one was lost, is sent to the engine that has its prompt in memory.
AFFINITY_CANDIDATES: t.Final = 5
# Each rank is put behind the one before by as much as one running stream.
RANK_COST_PROMPTS: t.Final = 0.08
# A copy takes as much memory as its stream, and keeps it if the stream's
# engine is lost; above this new prompts would find no room.
MAX_COPY_MEMORY_SHARE: t.Final = 0.85
# While streams wait for engines, that memory is worth more to them.
MAX_COPY_MEMORY_SHARE_OVERLOADED: t.Final = 0.7
# Two drawn at random level load nearly as well as the best of all does
# (Mitzenmacher, The power of two choices, 2001).
COPY_CHOICES: t.Final = 2
# One that is late anyway goes where all prompts, its own included, are read
# within this share of the aim: the next one is then in time there, too.
IDLE_AIM_SHARE: t.Final = 0.7
# Engines that could show an event in time while one that is late is placed.
HEADROOM_ENGINES: t.Final = 2
# Of the mean time of runs, what even a short one takes.
MIN_RUN_SHARE: t.Final = 0.5
MIN_LATENCY_S: t.Final = 0.005
# Entries that place at the same moment don't see each other's choice. A mean
# head start, drawn for each prompt and engine, keeps them from meeting at the
# idlest one.
JITTER_PROMPTS: t.Final = 0.1
# While streams of a lost data centre are placed, many at once, or while no
# news comes, most of the load of the next prompts isn't known.
STALE_JITTER_PROMPTS: t.Final = 0.8
STALE_AFTER_LOSS_S: t.Final = 0.5
STALE_AFTER_S: t.Final = 0.5


def _exponential_jitter(part: str, ident: str) -> float:
    """Return a draw from the exponential distribution of mean 1.

    The same for each entry, so that a caller that comes back meets the
    engine that has read its prompt.
    """
    draw = xxhash.xxh64_intdigest(f'{ident}/{part}'.encode()) / 2**64
    return -math.log1p(-draw)


class Placement(_known.BackendPool):
    """The choice among all backend servers that are known."""

    def __init__(self, rng: random.Random) -> None:
        super().__init__()
        self.rng = rng

    def choose(
        self, service: str, now: float, *, once: bool, tried: set[str]
    ) -> _placed.Placed | None:
        """Return the server with the least wait for a plain request.

        :param once: the request is lost where it fails.
        :param tried: idents that it has been to.
        """
        weight = (
            AT_MOST_ONCE_FAILURE_WEIGHT if once else IDEMPOTENT_FAILURE_WEIGHT
        )

        def wait(backend: _placed.Placed) -> float:
            load = backend.inflight + backend.remote_requests_now(now) + 1
            # Far below its places a server is as quick as when idle.
            load = max(1.0, load / max(1.0, backend.slots * 0.5))
            latency = max(backend.latency, MIN_LATENCY_S)
            penalty = 1 + weight * backend.failures_now(now)
            noise = 1 + 0.2 * self.rng.random()
            return load * latency * penalty * noise

        return self._best(service, now, tried, wait)

    def choose_engine(
        self,
        service: str,
        now: float,
        *,
        tokens: int,
        part: str,
        tried: set[str],
        avoid_data_centre: str = '',
    ) -> _placed.Placed | None:
        """Return the engine that will show the first event soonest.

        All engines of a service count as equally fast, so that tokens to be
        read stand for time.

        :param tokens: of the prompt.
        :param part: last part of the prompt; an engine that has read it
            needn't read it again.
        :param avoid_data_centre: data centre that just lost this stream.
        """
        cached = self.engine_with_prompt(part, now)
        ranks = self._affinity_ranks(service, part, tried)
        prompt = max(1, tokens)

        def wait(backend: _placed.Placed) -> float:
            rank = ranks.get(backend.ident, AFFINITY_CANDIDATES)
            own = 0 if backend.ident == cached else tokens
            others = self.current_remote_load(backend, now)
            prompts = (backend.reading + others.reading + own) / prompt
            running = backend.inflight + others.running
            prompts += (
                running * RUNNING_STREAM_COST_PROMPTS
                + rank * RANK_COST_PROMPTS
            )
            prompts *= 1 + IDEMPOTENT_FAILURE_WEIGHT * backend.failures_now(
                now
            )
            if backend.data_centre == avoid_data_centre:
                prompts += _known.DATA_CENTRE_PENALTY_PROMPTS
            prompts += self.health_penalty(backend, now)
            return prompts + self.memory_penalty(backend, now, tokens)

        preferred = {*ranks, cached}
        best = self._best(service, now, tried, wait, preferred=preferred)
        if best is None:
            return None
        idle = not best.reading + best.others.reading
        if idle and self.has_room(best, now, tokens, _known.MAX_MEMORY_SHARE):
            return best
        # All of the few are reading or full: an idle engine elsewhere is
        # worth more than what the few are for.
        stale = self._is_load_stale(service, now)
        jitter_prompts = STALE_JITTER_PROMPTS if stale else JITTER_PROMPTS

        def jittered_wait(backend: _placed.Placed) -> float:
            return wait(backend) + jitter_prompts * _exponential_jitter(
                part, backend.ident
            )

        return self._best(service, now, tried, jittered_wait)

    def likely_keepers(
        self, service: str, part: str, now: float
    ) -> list[_placed.Placed]:
        """Return the engines that may have a part of a prompt in memory.

        None where it is known which one has, or where it has no name.
        """
        if not part or self.engine_with_prompt(part, now):
            return []
        return [
            backend
            for ident in self._affinity_ranks(service, part, set())
            if (backend := self.backends[ident]).suspect_until <= now
        ]

    def _is_load_stale(self, service: str, now: float) -> bool:
        """Whether other entries place streams now that aren't known here."""
        old = now - self.last_report_at > STALE_AFTER_S
        if old or self.silent_data_centres:
            return True
        return any(
            now - backend.lost_at < STALE_AFTER_LOSS_S
            for backend in self.services.get(service, ())
        )

    def choose_backup(
        self,
        engine: _placed.Placed,
        now: float,
        tried: set[str],
        tokens: int,
        *,
        overloaded: bool = False,
    ) -> _placed.Placed | None:
        """Return where a copy of a run's memory is safest.

        In another data centre, since engines of one are lost together,
        and where few others are: it has to be able to go on at once.

        :param overloaded: streams wait for engines.
        """

        def cost(backend: _placed.Placed) -> float:
            same = backend.data_centre == engine.data_centre
            others = backend.others
            load = backend.inflight + others.running
            return (
                load
                + (backend.memory + others.memory) / max(1, tokens)
                + 100 * same
                + 10 * self.health_penalty(backend, now)
                + 10 * self.memory_penalty(backend, now, tokens)
                + self.rng.random()
            )

        max_share = (
            MAX_COPY_MEMORY_SHARE_OVERLOADED
            if overloaded
            else MAX_COPY_MEMORY_SHARE
        )
        full = {
            backend.ident
            for backend in self.usable(engine.service)
            if not self.has_room(backend, now, tokens, max_share)
        }
        tried = tried | full | {engine.ident}
        best = self._best(engine.service, now, tried, cost, strict=True)
        if best is None or best.data_centre == engine.data_centre:
            return best
        # Of a few drawn ones: entries that choose at the same moment would
        # all fill the emptiest engine, and some copies find no room there.
        penalty = self.health_penalty(best, now)
        others = [
            backend.ident
            for backend in self.usable(engine.service)
            if backend.ident not in tried
            and backend.data_centre != engine.data_centre
            and self.health_penalty(backend, now) <= penalty
        ]
        preferred = self.rng.sample(others, min(COPY_CHOICES, len(others)))
        return self._best(
            engine.service, now, tried, cost, strict=True, preferred=preferred
        )

    def estimate_capacity(
        self,
        service: str,
        now: float,
        *,
        wanted: _speeds.Wanted,
        memory: int,
        but: str = '',
    ) -> _admissioncontrol.CapacityEstimate:
        """Return what engines could do for one more prompt.

        :param memory: tokens that it will hold in all.
        :param but: engine that the others are to be compared with.
        """
        tokens = wanted.tokens
        token_s = self.speeds.token_s(service, wanted, now, but=but)
        healthy = [
            b
            for b in self.usable(service)
            if b.suspect_until <= now
            and b.ident != but
            and not self.health_penalty(b, now)
        ]
        first_s = float('inf')
        idle = False
        with_room = in_time = 0
        for backend in healthy:
            if not self.has_room(backend, now, memory, 1.0):
                continue
            others = self.current_remote_load(backend, now).reading
            reading = backend.reading + others + tokens
            first_s = min(first_s, reading * token_s)
            with_room += 1
            in_time += reading * token_s <= wanted.aim_s
            nearly_idle = reading * token_s <= IDLE_AIM_SHARE * wanted.aim_s
            idle = idle or nearly_idle or reading == tokens
        per_s = self._completions_per_s(service, now, tokens * token_s, memory)
        run_s = self.speeds.run_s(service, now) or 0.0
        return _admissioncontrol.CapacityEstimate(
            first_s,
            idle,
            len(healthy),
            len(healthy) * per_s,
            max(0.0, MIN_RUN_SHARE * run_s - tokens * token_s),
            in_time >= min(HEADROOM_ENGINES, with_room)
            or 2 * with_room < len(healthy),
            in_time,
        )

    def _completions_per_s(
        self, service: str, now: float, prompt_s: float, memory: int
    ) -> float:
        """Return how many such streams an engine ends in a second.

        It reads one prompt after the other, and its memory holds a few of
        them until they have been written.
        """
        reads = 1 / prompt_s if prompt_s else float('inf')
        run_s = self.speeds.run_s(service, now)
        capacity = self.capacity.get(service, 0)
        if not run_s or not capacity or not memory:
            return reads
        return min(
            reads,
            max(1.0, _known.MAX_MEMORY_SHARE * capacity / memory) / run_s,
        )

    def _best(
        self,
        service: str,
        now: float,
        tried: set[str],
        cost: t.Callable[[_placed.Placed], float],
        *,
        strict: bool = False,
        preferred: t.Container[str] = (),
    ) -> _placed.Placed | None:
        usable = self.usable(service)
        untried = [b for b in usable if b.ident not in tried]
        healthy = [b for b in untried if b.suspect_until <= now]
        if healthy:
            shortlist = [b for b in healthy if b.ident in preferred]
            return min(shortlist or healthy, key=cost)
        if strict or not untried:
            return None
        # All are suspect: the one that was left longest ago may be back.
        return min(untried, key=lambda b: b.suspect_until)

    def _affinity_ranks(
        self, service: str, part: str, tried: set[str]
    ) -> dict[str, int]:
        """Return the first engines for a part (rendezvous hashing)."""
        if not part:
            part = str(self.rng.random())
        idents = [b.ident for b in self.usable(service)]
        first = heapq.nlargest(
            AFFINITY_CANDIDATES,
            (ident for ident in idents if ident not in tried),
            key=lambda ident: xxhash.xxh64_intdigest(
                f'{part}/{ident}'.encode()
            ),
        )
        return {ident: rank for rank, ident in enumerate(first)}
