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
ONCE_FAILURE_WEIGHT: t.Final = 20.0
REPEATABLE_FAILURE_WEIGHT: t.Final = 6.0
# What speaks against an engine is counted in prompts of the stream's size:
# what it has to read before, and in place of each of these as much more.
#
# A stream that runs there stretches the reading of a new prompt a little.
RUNNING_PROMPTS: t.Final = 0.08
# Engines to choose among, ranked by a hash of the prompt's last part. When a
# data centre dies, all entries place its streams within the 30 ms that news
# takes: the best of all engines would get several prompts, the best of a
# few differs. And a caller that comes back through another entry, since its
# own one was lost, is sent to the engine that has its prompt in memory.
DRAWN: t.Final = 5
# Each rank is put behind the one before by as much as one running stream.
RANK_PROMPTS: t.Final = 0.08
# A copy takes as much memory as its stream, and keeps it if the stream's
# engine is lost; above this new prompts would find no room.
COPIES_FULL: t.Final = 0.85
# While streams wait for engines, that memory is worth more to them.
COPIES_FULL_OVERLOADED: t.Final = 0.7
# Two drawn at random level load nearly as well as the best of all does
# (Mitzenmacher, The power of two choices, 2001).
COPY_CHOICES: t.Final = 2
# One that is late anyway goes where all prompts, its own included, are read
# within this share of the aim: the next one is then in time there, too.
IDLE_SHARE: t.Final = 0.7
# Engines that could show an event in time while one that is late is placed.
HEADROOM_ENGINES: t.Final = 2
# Of the mean time of runs, what even a short one takes.
LEAST_RUN: t.Final = 0.5
LATENCY_FLOOR_S: t.Final = 0.005
# Entries that place at the same moment don't see each other's choice. A mean
# head start, drawn for each prompt and engine, keeps them from meeting at the
# idlest one.
SPREAD_PROMPTS: t.Final = 0.1
# While streams of a lost data centre are placed, many at once, or while no
# news comes, most of the load of the next prompts isn't known.
BLIND_SPREAD_PROMPTS: t.Final = 0.8
BLIND_AFTER_LOSS_S: t.Final = 0.5
BLIND_AFTER_S: t.Final = 0.5


def _share_of(part: str, ident: str) -> float:
    """Return a draw from the exponential distribution of mean 1.

    The same for each entry, so that a caller that comes back meets the
    engine that has read its prompt.
    """
    draw = xxhash.xxh64_intdigest(f'{ident}/{part}'.encode()) / 2**64
    return -math.log1p(-draw)


class Placement(_known.KnownBackends):
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
        weight = ONCE_FAILURE_WEIGHT if once else REPEATABLE_FAILURE_WEIGHT

        def wait(backend: _placed.Placed) -> float:
            load = backend.inflight + backend.foreign_now(now) + 1
            # Far below its places a server is as quick as when idle.
            load = max(1.0, load / max(1.0, backend.slots * 0.5))
            latency = max(backend.latency, LATENCY_FLOOR_S)
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
        cached = self.cached_at(part, now)
        ranks = self._ranks(service, part, tried)
        prompt = max(1, tokens)

        def wait(backend: _placed.Placed) -> float:
            rank = ranks.get(backend.ident, DRAWN)
            own = 0 if backend.ident == cached else tokens
            others = self.seen_by_others(backend, now)
            prompts = (backend.reading + others.reading + own) / prompt
            running = backend.inflight + others.running
            prompts += running * RUNNING_PROMPTS + rank * RANK_PROMPTS
            prompts *= 1 + REPEATABLE_FAILURE_WEIGHT * backend.failures_now(
                now
            )
            if backend.data_centre == avoid_data_centre:
                prompts += _known.DATA_CENTRE_PROMPTS
            prompts += self.penalty(backend, now)
            return prompts + self.full_penalty(backend, now, tokens)

        drawn = {*ranks, cached}
        best = self._best(service, now, tried, wait, drawn=drawn)
        if best is None:
            return None
        idle = not best.reading + best.others.reading
        if idle and self.has_room(best, now, tokens, _known.FULL):
            return best
        # All of the few are reading or full: an idle engine elsewhere is
        # worth more than what the few are for.
        blind = self._is_blind(service, now)
        spread = BLIND_SPREAD_PROMPTS if blind else SPREAD_PROMPTS

        def spread_wait(backend: _placed.Placed) -> float:
            return wait(backend) + spread * _share_of(part, backend.ident)

        return self._best(service, now, tried, spread_wait)

    def likely_keepers(
        self, service: str, part: str, now: float
    ) -> list[_placed.Placed]:
        """Return the engines that may have a part of a prompt in memory.

        None where it is known which one has, or where it has no name.
        """
        if not part or self.cached_at(part, now):
            return []
        return [
            backend
            for ident in self._ranks(service, part, set())
            if (backend := self.backends[ident]).suspect_until <= now
        ]

    def _is_blind(self, service: str, now: float) -> bool:
        """Whether other entries place streams now that aren't known here."""
        old = now - self.last_report_at > BLIND_AFTER_S
        if old or self.silent_data_centres:
            return True
        return any(
            now - backend.lost_at < BLIND_AFTER_LOSS_S
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
                + 10 * self.penalty(backend, now)
                + 10 * self.full_penalty(backend, now, tokens)
                + self.rng.random()
            )

        most = COPIES_FULL_OVERLOADED if overloaded else COPIES_FULL
        full = {
            backend.ident
            for backend in self.usable(engine.service)
            if not self.has_room(backend, now, tokens, most)
        }
        tried = tried | full | {engine.ident}
        best = self._best(engine.service, now, tried, cost, strict=True)
        if best is None or best.data_centre == engine.data_centre:
            return best
        # Of a few drawn ones: entries that choose at the same moment would
        # all fill the emptiest engine, and some copies find no room there.
        penalty = self.penalty(best, now)
        others = [
            backend.ident
            for backend in self.usable(engine.service)
            if backend.ident not in tried
            and backend.data_centre != engine.data_centre
            and self.penalty(backend, now) <= penalty
        ]
        drawn = self.rng.sample(others, min(COPY_CHOICES, len(others)))
        return self._best(
            engine.service, now, tried, cost, strict=True, drawn=drawn
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
        calm = [
            b
            for b in self.usable(service)
            if b.suspect_until <= now
            and b.ident != but
            and not self.penalty(b, now)
        ]
        first_s = float('inf')
        idle = False
        roomy = in_time = 0
        for backend in calm:
            if not self.has_room(backend, now, memory, 1.0):
                continue
            others = self.seen_by_others(backend, now).reading
            reading = backend.reading + others + tokens
            first_s = min(first_s, reading * token_s)
            roomy += 1
            in_time += reading * token_s <= wanted.aim_s
            little = reading * token_s <= IDLE_SHARE * wanted.aim_s
            idle = idle or little or reading == tokens
        per_s = self._finished_per_s(service, now, tokens * token_s, memory)
        run_s = self.speeds.run_s(service, now) or 0.0
        return _admissioncontrol.CapacityEstimate(
            first_s,
            idle,
            len(calm),
            len(calm) * per_s,
            max(0.0, LEAST_RUN * run_s - tokens * token_s),
            in_time >= min(HEADROOM_ENGINES, roomy) or 2 * roomy < len(calm),
            in_time,
        )

    def _finished_per_s(
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
        return min(reads, max(1.0, _known.FULL * capacity / memory) / run_s)

    def _best(
        self,
        service: str,
        now: float,
        tried: set[str],
        cost: t.Callable[[_placed.Placed], float],
        *,
        strict: bool = False,
        drawn: t.Container[str] = (),
    ) -> _placed.Placed | None:
        usable = self.usable(service)
        fresh = [b for b in usable if b.ident not in tried]
        calm = [b for b in fresh if b.suspect_until <= now]
        if calm:
            few = [b for b in calm if b.ident in drawn]
            return min(few or calm, key=cost)
        if strict or not fresh:
            return None
        # All are suspect: the one that was left longest ago may be back.
        return min(fresh, key=lambda b: b.suspect_until)

    def _ranks(
        self, service: str, part: str, tried: set[str]
    ) -> dict[str, int]:
        """Return the first engines for a part (rendezvous hashing)."""
        if not part:
            part = str(self.rng.random())
        idents = [b.ident for b in self.usable(service)]
        first = heapq.nlargest(
            DRAWN,
            (ident for ident in idents if ident not in tried),
            key=lambda ident: xxhash.xxh64_intdigest(
                f'{part}/{ident}'.encode()
            ),
        )
        return {ident: rank for rank, ident in enumerate(first)}
