"""When the engines of one service can take another prompt.

An engine reads one prompt at a time. Reports arrive with a delay and give
only the sum of the prompts that it hasn't finished, so that the time at which
it will be done is computed from grants and kept within what reports allow.
"""

import bisect
import collections
import collections.abc as cabc
import math
import random
import typing as t

import attrs

from bulrushhold.decisions import _backendpool
from bulrushhold import messages

# Time until reports include a grant.
GRANT_REPORT_S: t.Final = 0.3
# A report's increase within this time after a grant is taken for the grant.
# Counting it as another prompt would leave the engine idle.
LATE_REPORT_S: t.Final = 1.0
# Bounds of the age of the load that a report gives.
MIN_REPORT_LAG_S: t.Final = 0.1
REPORT_LAG_S: t.Final = 0.2
# Part of a prompt assumed pending if it should have been finished already.
OVERDUE_SHARE: t.Final = 0.25
# The time to the first event is predicted for all but the slowest tenth of
# the engines.
SLOWNESS_QUANTILE: t.Final = 0.9
# Number of idle engines compared by memory.
IDLE_CHOICES: t.Final = 4
# Memory or slots limit the capacity if they are filled to this share.
FULL_SHARE: t.Final = 0.8
# Half-life of the granted work that the capacity is computed from if so, and
# the shortest time to count it for.
GRANT_RATE_HALF_LIFE_S: t.Final = 10.0
MIN_GRANT_RATE_S: t.Final = 5.0
# After a longer pause of updates the count begins anew: streams have been
# placed without it.
GRANT_RATE_GAP_S: t.Final = 5.0
# Gain of the moving average of prompt length.
PROMPT_GAIN: t.Final = 0.05
UNKNOWN: t.Final = -1


@attrs.frozen
class EngineRoom:
    """The load of one engine, as reported.

    :param reading: prompt tokens not read yet; negative if there is no
        recent report.
    :param running: number of running streams.
    :param memory: tokens held.
    :param slots: maximum number of running streams; 0 for no limit.
    :param memory_limit: in tokens; 0 for no limit.
    :param slowness: time for a prompt relative to the mean engine.
    :param share: part of the engine's time that may be used; slots and memory
        are those of this part.
    """

    ident: str
    reading: int
    running: int
    memory: int
    slots: int
    memory_limit: int
    slowness: float = 1.0
    version: str = ''
    share: float = 1.0


@attrs.define(eq=False)
class Engine:
    """An engine with the grants that reports may not include yet.

    :ivar free_at: when it will have read its prompts.
    :ivar granted_memory: tokens of memory granted recently.
    :ivar granted_tokens: prompt tokens granted recently.
    :ivar unreported: granted tokens not seen in a report yet.
    :ivar paced_until: until then, recent grants use up the engine's share.
    :ivar place: its place in the order of engines.
    """

    room: EngineRoom
    free_at: float
    granted_memory: int = 0
    granted_tokens: int = 0
    unreported: int = 0
    paced_until: float = -math.inf
    grants: dict[str, messages.StreamAsk] = attrs.field(factory=dict)
    place: tuple[float, float, str] | None = None

    def add_grant(self, ticket: str, ask: messages.StreamAsk) -> None:
        """Count a grant until reports include it."""
        self.grants[ticket] = ask
        self.granted_memory += ask.memory
        self.granted_tokens += ask.tokens
        self.unreported += ask.tokens

    def drop_grant(self, ticket: str) -> messages.StreamAsk | None:
        """Stop counting a grant; return it if it still counted."""
        ask = self.grants.pop(ticket, None)
        if ask is not None:
            self.granted_memory -= ask.memory
            self.granted_tokens -= ask.tokens
        return ask

    def has_room(self, ask: messages.StreamAsk) -> bool:
        """Return whether memory and slots allow another stream."""
        room = self.room
        if room.slots and room.running + len(self.grants) >= room.slots:
            return False
        held = room.memory + self.granted_memory
        limit = _backendpool.MAX_MEMORY_SHARE * room.memory_limit
        if not limit or held + ask.memory <= limit:
            return True
        # A stream that exceeds the share on any engine gets an empty one.
        return not held and ask.memory <= room.memory_limit

    def expected_s(
        self, ask: messages.StreamAsk, token_s: float, now: float
    ) -> float:
        """Return the time to a stream's first event, in seconds."""
        prompt_s = ask.tokens * token_s * self.room.slowness
        return max(0.0, self.free_at - now) + prompt_s


class _GrantRate:
    """Granted work per second, as a decayed sum."""

    def __init__(self) -> None:
        self.started_at = math.inf
        self.total = 0.0
        self.at = 0.0

    def add(self, work: float, now: float) -> None:
        self.started_at = min(self.started_at, now)
        self.total = self._decayed(now) + work
        self.at = now

    def per_s(self, now: float) -> float:
        """Return the rate, or 0 if it isn't known yet."""
        observed_s = now - self.started_at
        if observed_s < MIN_GRANT_RATE_S:
            return 0.0
        observed = 1 - 2 ** (-observed_s / GRANT_RATE_HALF_LIFE_S)
        rate = math.log(2) / GRANT_RATE_HALF_LIFE_S / observed
        return self._decayed(now) * rate

    def _decayed(self, now: float) -> float:
        return self.total * 2 ** ((self.at - now) / GRANT_RATE_HALF_LIFE_S)


class EngineLedger:
    """The engines of one service, ordered by when they can read a prompt.

    :ivar speed: work of a mean engine that all can read per second.
    :ivar capacity: the same, if memory and slots allow less.
    :ivar slowness: slowness that most engines don't exceed.
    """

    def __init__(self, rng: random.Random) -> None:
        self.rng = rng
        self.engines: dict[str, Engine] = {}
        self.token_s = 0.0
        self.speed = 0.0
        self.capacity = 0.0
        self.slowness = 1.0
        self.grant_rate = _GrantRate()
        self.prompt_tokens = 0.0
        self.granted: collections.deque[tuple[float, str, str]] = (
            collections.deque()
        )
        # Prompt tokens granted, until the latest report that may show them.
        self.unseen: collections.deque[tuple[float, str, int]] = (
            collections.deque()
        )
        # By slowness and version, engines ordered by the time they are free.
        self.order: dict[
            tuple[float, str], list[tuple[float, float, str]]
        ] = {}
        self.pending_work = 0.0
        self.pending_at = 0.0

    def update(
        self, rooms: cabc.Iterable[EngineRoom], token_s: float, now: float
    ) -> bool:
        """Replace the engines; return whether any were lost."""
        self.expire(now)
        if now - self.pending_at > GRANT_RATE_GAP_S:
            self.grant_rate = _GrantRate()
        self.token_s = token_s
        previous = self.engines
        self.engines = {}
        for room in rooms:
            engine = previous.get(room.ident)
            if engine is None:
                engine = self._add(room, now)
            else:
                self._reconcile(engine, room, now)
            self.engines[room.ident] = engine
        self._arrange(now)
        return any(ident not in self.engines for ident in previous)

    def busy_until(self, now: float) -> float:
        """Return the mean time at which engines are done with their prompts.

        :return: ``now`` without engines.
        """
        if not self.speed:
            return now
        done = self.speed * (now - self.pending_at)
        return now + max(0.0, self.pending_work - done) / self.speed

    def best(
        self, ask: messages.StreamAsk, within_s: float, now: float
    ) -> Engine | None:
        """Return the engine that gives the first event soonest.

        :param within_s: it must be done with its other prompts by then.
        """
        best, best_s = None, math.inf
        for key in self.order:
            if ask.version is not None and ask.version != key[1]:
                continue
            engine = self._best_of(key, ask, now + within_s, now)
            if engine is None:
                continue
            expected_s = engine.expected_s(ask, self.token_s, now)
            if expected_s < best_s:
                best, best_s = engine, expected_s
        return best

    def free_within(self, within_s: float, now: float) -> bool:
        """Return whether any engine will be done with its prompts by then."""
        return any(
            places and places[0][0] <= now + within_s
            for places in self.order.values()
        )

    def suits(self, ask: messages.StreamAsk) -> bool:
        """Return whether any engine has the version and isn't excluded."""
        if ask.version is None and not ask.excluded:
            return bool(self.engines)
        return any(
            ask.version in (None, engine.room.version)
            and ident not in ask.excluded
            for ident, engine in self.engines.items()
        )

    def grant(
        self,
        engine: Engine,
        ticket: str,
        ask: messages.StreamAsk,
        now: float,
    ) -> None:
        """Assign a stream to an engine."""
        room = engine.room
        work = ask.tokens * self.token_s
        engine.free_at = max(engine.free_at, now) + work * room.slowness
        if room.share < 1:
            engine.paced_until = max(engine.paced_until, now)
            engine.paced_until += work * room.slowness / room.share
            engine.free_at = max(engine.free_at, engine.paced_until)
        engine.add_grant(ticket, ask)
        self.granted.append((now, room.ident, ticket))
        self.unseen.append((now, room.ident, ask.tokens))
        self.pending_work = (self.busy_until(now) - now) * self.speed + work
        self.pending_at = now
        self.grant_rate.add(work, now)
        gain = PROMPT_GAIN if self.prompt_tokens else 1.0
        self.prompt_tokens += gain * (ask.tokens - self.prompt_tokens)
        self._place(engine)

    def release(self, ident: str, ticket: str, now: float) -> None:
        """Take back a grant that isn't used."""
        engine = self.engines.get(ident)
        ask = engine.drop_grant(ticket) if engine else None
        if engine is None or ask is None:
            return
        engine.unreported = max(0, engine.unreported - ask.tokens)
        unused_s = ask.tokens * self.token_s * engine.room.slowness
        if engine.paced_until > now:
            paced = engine.free_at <= engine.paced_until
            engine.paced_until -= unused_s / engine.room.share
            if paced:
                # The next update adds what the engine has yet to read.
                unused_s /= engine.room.share
        engine.free_at = max(now, engine.free_at - unused_s)
        self._place(engine)

    def expire(self, now: float) -> None:
        """Stop counting the grants that reports include by now."""
        while self.granted and now - self.granted[0][0] > GRANT_REPORT_S:
            _, ident, ticket = self.granted.popleft()
            engine = self.engines.get(ident)
            if engine is not None:
                engine.drop_grant(ticket)
        while self.unseen and now - self.unseen[0][0] > LATE_REPORT_S:
            _, ident, tokens = self.unseen.popleft()
            engine = self.engines.get(ident)
            if engine is not None:
                engine.unreported = max(0, engine.unreported - tokens)

    def _add(self, room: EngineRoom, now: float) -> Engine:
        prompt = min(room.reading, self.prompt_tokens or room.reading)
        # On average, half of the prompt being read is left.
        pending = max(0.0, room.reading - prompt / 2)
        return Engine(room, now + pending * self.token_s * room.slowness)

    def _reconcile(self, engine: Engine, room: EngineRoom, now: float) -> None:
        if room.reading < 0:
            engine.room = attrs.evolve(
                room,
                reading=max(0, engine.room.reading),
                running=engine.room.running,
                memory=engine.room.memory,
            )
            return
        token_s = self.token_s * room.slowness
        reading = room.reading
        added = reading - engine.room.reading
        engine.room = room
        if added > 0:
            covered = min(added, engine.unreported)
            engine.unreported -= covered
            if added > covered:
                # Prompts that entries placed without asking.
                engine.free_at = max(engine.free_at, now)
                engine.free_at += (added - covered) * token_s
        if reading:
            prompt = min(reading, self.prompt_tokens or reading)
            pending = reading - (1 - OVERDUE_SHARE) * prompt
            least_at = now + pending * token_s - REPORT_LAG_S
            engine.free_at = max(engine.free_at, least_at)
        pending_s = max(0.0, reading * token_s - MIN_REPORT_LAG_S)
        most_at = now + pending_s + engine.granted_tokens * token_s
        most_at = max(most_at, engine.paced_until)
        if engine.free_at > most_at:
            engine.free_at = most_at

    def _arrange(self, now: float) -> None:
        self.order = {}
        self.speed = self.pending_work = 0.0
        self.pending_at = now
        slownesses = []
        for engine in self.engines.values():
            slowness, share = engine.room.slowness, engine.room.share
            slownesses.append(slowness)
            self.speed += share / slowness
            if engine.free_at > now:
                self.pending_work += (engine.free_at - now) * share / slowness
            if engine.place is None or engine.place[0] != engine.free_at:
                engine.place = self._new_place(engine)
            key = (round(slowness, 1), engine.room.version)
            if key in self.order:
                self.order[key].append(engine.place)
            else:
                self.order[key] = [engine.place]
        for places in self.order.values():
            places.sort()
        if slownesses:
            slownesses.sort()
            index = int(SLOWNESS_QUANTILE * (len(slownesses) - 1))
            self.slowness = slownesses[index]
        self.capacity = min(self.speed, self._memory_capacity(now))

    def _memory_capacity(self, now: float) -> float:
        """Return the work per second that memory and slots allow.

        By Little's law, streams hold memory for what is held divided by the
        rate of grants, so that full memory allows that rate divided by the
        share that is filled.
        """
        limit = slots = held = running = 0
        for engine in self.engines.values():
            room = engine.room
            limit += room.memory_limit
            slots += room.slots
            held += room.memory + engine.granted_memory
            running += room.running + len(engine.grants)
        limit_share = _backendpool.MAX_MEMORY_SHARE * limit
        filled = max(
            held / limit_share if limit else 0.0,
            running / slots if slots else 0.0,
        )
        rate = self.grant_rate.per_s(now)
        if filled < FULL_SHARE or not rate:
            return math.inf
        return rate / filled

    def _new_place(self, engine: Engine) -> tuple[float, float, str]:
        return (engine.free_at, self.rng.random(), engine.room.ident)

    def _place(self, engine: Engine) -> None:
        """Move an engine to its place; engines set aside stay so."""
        key = (round(engine.room.slowness, 1), engine.room.version)
        places = self.order[key]
        if engine.place is None:
            return
        index = bisect.bisect_left(places, engine.place)
        del places[index]
        engine.place = self._new_place(engine)
        bisect.insort(places, engine.place)

    def _best_of(
        self,
        key: tuple[float, str],
        ask: messages.StreamAsk,
        free_by: float,
        now: float,
    ) -> Engine | None:
        """Return the best of the engines of one slowness and version.

        Engines without room for this stream are set aside until the next
        update, so that they aren't looked at for each of the next streams.
        """
        idle: list[Engine] = []
        full = 0
        places = self.order[key]
        index = 0
        while index < len(places) and places[index][0] <= free_by:
            engine = self.engines[places[index][2]]
            if engine.room.ident in ask.excluded:
                index += 1
            elif not engine.has_room(ask):
                engine.place = None
                del places[index]
                full += 1
            elif engine.free_at > now:
                return min(idle, key=_memory_share) if idle else engine
            else:
                idle.append(engine)
                index += 1
                if len(idle) == IDLE_CHOICES:
                    break
        return min(idle, key=_memory_share, default=None)


def _memory_share(engine: Engine) -> float:
    room = engine.room
    held = room.memory + engine.granted_memory
    return held / room.memory_limit if room.memory_limit else 0.0
