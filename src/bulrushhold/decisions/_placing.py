"""Chooses the backend server for an opaque request, and for its backup.

Answers two loads: plain services whose copies differ in speed and fail
in part, and model engines on which one long prompt delays all others.
Each entry sees its own requests exactly and those of others only as
servers tell of them, late.
"""

import collections
import heapq
import math
import random
import typing as t

import xxhash

from bulrushhold.decisions import _gate
from bulrushhold.decisions import _placed
from bulrushhold.decisions import _speeds
from bulrushhold import messages

# Weight of the newest sample in the means of latency and failures: ten
# requests, so that a server that turns slow is known within a second.
SMOOTHING: t.Final = 0.1
FAILURE_SMOOTHING: t.Final = 0.2
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
# Engines of one data centre that fail within this time make the whole data
# centre suspect, for as long: it lost power, or is cut off.
DATA_CENTRE_WINDOW_S: t.Final = 1.3
DATA_CENTRE_FAILURES: t.Final = 2
DATA_CENTRE_PROMPTS: t.Final = 3.0
# An engine that was lost looks idle, and would get the next prompts of all
# entries as soon as it is tried again. Mostly it is down, or back under a new
# identity before the list says so; until then it is the last choice.
UNPROVEN_S: t.Final = 6.0
UNPROVEN_PROMPTS: t.Final = 2.5
# A prompt that finds no memory waits until another stream has ended; the rest
# is for what grows and for what others place before their news arrives.
FULL: t.Final = 0.85
FULL_PROMPTS: t.Final = 4.0
# A copy takes as much memory as its stream, and keeps it if the stream's
# engine is lost; above this new prompts would find no room.
COPIES_FULL: t.Final = 0.85
# While streams wait for engines, that memory is worth more to them.
COPIES_FULL_CROWDED: t.Final = 0.7
# One that is late anyway goes where all prompts, its own included, are read
# within this share of the aim: the next one is then in time there, too.
QUIET: t.Final = 0.7
# Engines that could show an event in time while one that is late is placed.
SPARE: t.Final = 2
# Of the mean time of runs, what even a short one takes.
LEAST_RUN: t.Final = 0.5
SUSPECT_S: t.Final = 1.0
LATENCY_FLOOR_S: t.Final = 0.005
# What other entries have running is told within 0.1 s, as long as control is
# there; after this time it says nothing any more.
HEARD_S: t.Final = 2.0
PARTS_KEPT: t.Final = 4000
# A part read longer ago than this has probably been evicted.
PART_KEPT_S: t.Final = 20.0


# Entries that place at the same moment don't see each other's choice. A mean
# head start, drawn for each prompt and engine, keeps them from meeting at the
# idlest one.
SPREAD_PROMPTS: t.Final = 0.1
# While streams of a lost data centre are placed, many at once, or while no
# news comes, most of the load of the next prompts isn't known.
BLIND_SPREAD_PROMPTS: t.Final = 0.8
BLIND_AFTER_LOSS_S: t.Final = 0.5
BLIND_UNHEARD_S: t.Final = 0.5


def _share_of(part: str, ident: str) -> float:
    """Return a draw from the exponential distribution of mean 1.

    The same for each entry, so that a caller that comes back meets the
    engine that has read its prompt.
    """
    draw = xxhash.xxh64_intdigest(f'{ident}/{part}'.encode()) / 2**64
    return -math.log1p(-draw)


def _ignore() -> None:
    """Tell nobody of news."""


class Placement:
    """All backend servers, and the choice among them."""

    def __init__(self, rng: random.Random) -> None:
        self.rng = rng
        self.on_news: t.Callable[[], None] = _ignore
        self.lost: list[str] = []
        self.left: list[str] = []
        self.heard_at = 0.0
        self.capacity: dict[str, int] = {}
        self.speeds = _speeds.EngineSpeeds()
        self.backends: dict[str, _placed.Placed] = {}
        self.services: dict[str, list[_placed.Placed]] = {}
        self.gone: set[str] = set()
        self.data_centre_failures: dict[
            tuple[str, str], collections.deque[tuple[float, str]]
        ] = {}
        self.parts: collections.OrderedDict[str, tuple[str, float]] = (
            collections.OrderedDict()
        )

    def update(self, listed: list[messages.ListedBackend]) -> None:
        """Take the newest list; what is known of those that stay is kept."""
        backends = {}
        for item in listed:
            known = self.backends.get(item.ident)
            if known is None or known.address != item.address:
                known = _placed.Placed(
                    item.ident,
                    item.service,
                    item.address,
                    item.data_centre,
                    item.slots,
                )
            known.leaving = item.leaving
            backends[item.ident] = known
        self.backends = backends
        self.gone &= backends.keys()
        self.services = {}
        for backend in backends.values():
            self.services.setdefault(backend.service, []).append(backend)

    def usable(self, service: str) -> list[_placed.Placed]:
        """Return the servers that may get new requests."""
        return [
            backend
            for backend in self.services.get(service, ())
            if not backend.leaving and backend.ident not in self.gone
        ]

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
        cached = self._cached_at(part, now)
        ranks = self._ranks(service, part, tried)
        prompt = max(1, tokens)

        def wait(backend: _placed.Placed) -> float:
            rank = ranks.get(backend.ident, DRAWN)
            own = 0 if backend.ident == cached else tokens
            others = self._others(backend, now)
            prompts = (backend.reading + others.reading + own) / prompt
            running = backend.inflight + others.running
            prompts += running * RUNNING_PROMPTS + rank * RANK_PROMPTS
            prompts *= 1 + REPEATABLE_FAILURE_WEIGHT * backend.failures_now(
                now
            )
            if backend.data_centre == avoid_data_centre:
                prompts += DATA_CENTRE_PROMPTS
            prompts += self._penalty(backend, now)
            return prompts + self._full_penalty(backend, now, tokens)

        drawn = {*ranks, cached}
        best = self._best(service, now, tried, wait, drawn=drawn)
        if best is None or not best.reading + best.others.reading:
            return best
        # All of the few are reading: an idle engine elsewhere is worth more
        # than what the few are for.
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
        if not part or self._cached_at(part, now):
            return []
        return [
            backend
            for ident in self._ranks(service, part, set())
            if (backend := self.backends[ident]).suspect_until <= now
        ]

    def _is_blind(self, service: str, now: float) -> bool:
        """Whether other entries place streams now that aren't known here."""
        if now - self.heard_at > BLIND_UNHEARD_S:
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
        crowded: bool = False,
    ) -> _placed.Placed | None:
        """Return where a copy of a run's memory is safest.

        In another data centre, since engines of one are lost together,
        and where few others are: it has to be able to go on at once.

        :param crowded: streams wait for engines.
        """

        def cost(backend: _placed.Placed) -> float:
            same = backend.data_centre == engine.data_centre
            others = backend.others
            load = backend.inflight + others.running
            return (
                load
                + (backend.memory + others.memory) / 8000
                + 100 * same
                + 10 * self._penalty(backend, now)
                + 10 * self._full_penalty(backend, now, tokens)
                + self.rng.random()
            )

        most = COPIES_FULL_CROWDED if crowded else COPIES_FULL
        full = {
            backend.ident
            for backend in self.usable(engine.service)
            if not self._has_room(backend, now, tokens, most)
        }
        tried = tried | full | {engine.ident}
        return self._best(engine.service, now, tried, cost, strict=True)

    def outlook(
        self,
        service: str,
        now: float,
        *,
        wanted: _speeds.Wanted,
        memory: int,
        but: str = '',
    ) -> _gate.Outlook:
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
            and not self._penalty(b, now)
        ]
        first_s = float('inf')
        quiet = False
        roomy = in_time = 0
        for backend in calm:
            if not self._has_room(backend, now, memory, 1.0):
                continue
            others = self._others(backend, now).reading
            reading = backend.reading + others + tokens
            first_s = min(first_s, reading * token_s)
            roomy += 1
            in_time += reading * token_s <= wanted.aim_s
            little = reading * token_s <= QUIET * wanted.aim_s
            quiet = quiet or little or reading == tokens
        per_s = self._finished_per_s(service, now, tokens * token_s, memory)
        run_s = self.speeds.run_s(service, now) or 0.0
        return _gate.Outlook(
            first_s,
            quiet,
            len(calm),
            len(calm) * per_s,
            max(0.0, LEAST_RUN * run_s - tokens * token_s),
            in_time >= min(SPARE, roomy) or 2 * roomy < len(calm),
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
        return min(reads, max(1.0, FULL * capacity / memory) / run_s)

    def can_hold(self, service: str, tokens: int) -> bool:
        """Whether a prompt fits into an engine that has nothing else."""
        capacity = self.capacity.get(service, 0)
        return not capacity or tokens <= capacity

    def _has_room(
        self, backend: _placed.Placed, now: float, tokens: int, share: float
    ) -> bool:
        capacity = self.capacity.get(backend.service, 0)
        held = backend.memory + self._others(backend, now).memory + tokens
        return not capacity or held <= capacity * share

    def _others(
        self, backend: _placed.Placed, now: float
    ) -> messages.EngineSeen:
        """Return what others have there, unless that is too old to tell.

        While control is away for long, an engine that was full would seem
        so for good, and streams be held back from idle engines.
        """
        heard = now - self.heard_at < HEARD_S
        return backend.others if heard else _placed.NOTHING

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

    def keeps_copy(self, backend: _placed.Placed, since: float) -> bool:
        """Whether a copy made there at ``since`` can still be there."""
        return (
            backend.ident in self.backends
            and backend.ident not in self.gone
            and not backend.leaving
            and backend.lost_at < since
        )

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

    # What is learnt

    def failed(self, ident: str, now: float, *, gone: bool) -> None:
        """Learn that a request failed there.

        :param gone: the server can't be reached or is silent.
        """
        backend = self.backends.get(ident)
        if backend is None:
            return
        self._sample_failure(backend, 1.0, now)
        if gone:
            if backend.suspect_until <= now:
                self.lost.append(ident)
                self.on_news()
            self._suspect(backend, now)

    def lost_near(self, ident: str, at: float, within: float) -> int:
        """Return how many engines of one data centre were lost about then.

        :param ident: one of them, which is counted.
        :param within: seconds before and after.
        """
        engine = self.backends.get(ident)
        if engine is None:
            return 0
        return sum(
            backend.data_centre == engine.data_centre
            and abs(backend.lost_at - at) <= within
            for backend in self.services[engine.service]
        )

    def _suspect(self, backend: _placed.Placed, now: float) -> None:
        backend.lost_at = now
        backend.suspect_until = now + SUSPECT_S
        place = (backend.service, backend.data_centre)
        recent = self.data_centre_failures.setdefault(
            place, collections.deque(maxlen=8)
        )
        if all(known != backend.ident for _, known in recent):
            recent.append((now, backend.ident))

    def succeeded(self, ident: str, now: float, latency: float | None) -> None:
        """Learn that a request went well, and how long it took."""
        backend = self.backends.get(ident)
        if backend is None:
            return
        self._sample_failure(backend, 0.0, now)
        backend.suspect_until = 0.0
        if latency is not None:
            old = backend.latency or latency
            backend.latency = old + SMOOTHING * (latency - old)

    def reported(
        self, ident: str, running: int, waiting: int, now: float
    ) -> None:
        """Learn what a server told of its load."""
        backend = self.backends.get(ident)
        if backend is not None:
            foreign = running + waiting - backend.inflight
            backend.foreign = max(0.0, foreign)
            backend.foreign_at = now

    def began(self, backend: _placed.Placed, tokens: int) -> None:
        """Learn that a stream went to an engine, with a prompt to read."""
        backend.inflight += 1
        backend.reading += tokens
        self.on_news()

    def has_read(self, backend: _placed.Placed, tokens: int) -> None:
        """Learn that an engine has read a stream's prompt."""
        backend.reading -= tokens
        self.on_news()

    def ended(self, backend: _placed.Placed, tokens: int) -> None:
        """Learn that a stream left an engine, with this unread."""
        backend.inflight -= 1
        backend.reading -= tokens
        self.on_news()

    def sighted(
        self,
        entry: str,
        traffic: dict[str, messages.ServiceTraffic],
        now: float,
    ) -> messages.Sighting:
        """Return what other entries should know; losses only once."""
        lost, self.lost = self.lost, []
        left, self.left = self.left, []
        seen = {
            backend.ident: messages.EngineSeen(
                backend.reading, backend.inflight, backend.memory
            )
            for backend in self.backends.values()
            if backend.inflight or backend.memory
        }
        speeds = self.speeds.told(now)
        return messages.Sighting(
            entry, seen, lost, left, traffic, speeds=speeds
        )

    def heard(self, sightings: messages.Sightings, now: float) -> None:
        """Learn what other entries see."""
        self.heard_at = now
        self.speeds.heard(sightings.speeds)
        for ident, backend in self.backends.items():
            backend.others = sightings.engines.get(ident, _placed.NOTHING)
        for ident in sightings.lost:
            backend = self.backends.get(ident)
            if backend is not None and backend.suspect_until <= now:
                self._suspect(backend, now)
        for ident in sightings.moved:
            self.gone.add(ident)

    def moved(self, ident: str) -> None:
        """Learn that another server has this one's address."""
        if ident not in self.gone:
            self.gone.add(ident)
            self.left.append(ident)
            self.on_news()

    def read(self, part: str, ident: str, now: float) -> None:
        """Learn that an engine has read a part of a prompt."""
        if part:
            self.parts[part] = (ident, now)
            self.parts.move_to_end(part)
            while len(self.parts) > PARTS_KEPT:
                self.parts.popitem(last=False)

    def _cached_at(self, part: str, now: float) -> str:
        ident, at = self.parts.get(part, ('', 0.0))
        return ident if now - at < PART_KEPT_S else ''

    def _sample_failure(
        self, backend: _placed.Placed, sample: float, now: float
    ) -> None:
        old = backend.failures_now(now)
        backend.failures = old + FAILURE_SMOOTHING * (sample - old)
        backend.failed_at = now

    def _full_penalty(
        self, backend: _placed.Placed, now: float, tokens: int
    ) -> float:
        room = self._has_room(backend, now, tokens, FULL)
        return 0.0 if room else FULL_PROMPTS

    def _penalty(self, backend: _placed.Placed, now: float) -> float:
        unproven = now - backend.lost_at < UNPROVEN_S
        penalty = UNPROVEN_PROMPTS if unproven else 0.0
        return penalty + self._data_centre_penalty(backend, now)

    def _data_centre_penalty(
        self, backend: _placed.Placed, now: float
    ) -> float:
        recent = self.data_centre_failures.get(
            (backend.service, backend.data_centre)
        )
        if not recent:
            return 0.0
        while recent and now - recent[0][0] > DATA_CENTRE_WINDOW_S:
            recent.popleft()
        return (
            DATA_CENTRE_PROMPTS if len(recent) >= DATA_CENTRE_FAILURES else 0.0
        )
