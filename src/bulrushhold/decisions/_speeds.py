"""How fast a service's engines read prompts, write events and end runs.

Answers engines that nobody described: another model, other hardware, a
batch that slows each step, a service that turns slow as a whole. Every
entry sees few streams of its own, so that entries add up what they saw.
Until then routes tell what operators expect of their engines.
"""

import math
import typing as t

import attrs

from bulrushhold import messages

# What was seen this long ago counts half: some prompts of every engine, and
# an engine that turns slow is known within as many seconds.
HALF_S: t.Final = 5.0
# Routes are made for engines that meet the aim with two prompts ahead, and
# whose events come several times within the longest pause wanted.
PROMPTS_PER_AIM: t.Final = 3.0
PAUSES_PER_GAP: t.Final = 5.0
# What routes tell counts as much as so many prompts, and so many events.
PRIOR_PROMPTS: t.Final = 0.2
PRIOR_PAUSES: t.Final = 20.0
# Less than this is what is left of a run that was seen long ago.
LEAST_RUNS: t.Final = 0.05
# One sample counts for no more than this many times what is usual: a frozen
# entry, or an engine that died unseen, isn't a slow service.
MOST_TIMES: t.Final = 4.0
NOTHING: t.Final = messages.EngineSpeed()


@attrs.frozen
class Wanted:
    """What a stream's route expects of engines.

    :param tokens: of the stream's prompt.
    :param aim_s: until the first event.
    :param gap_s: longest pause wanted between events.
    """

    tokens: int
    aim_s: float
    gap_s: float


@attrs.define
class Pauses:
    """Pauses between events of one run, until they are learnt.

    :param usual_s: longest pause that is nothing unusual so far.
    """

    usual_s: float
    count: int = 0
    seconds: float = 0.0
    squares: float = 0.0

    def add(self, seconds: float) -> None:
        """Take in one pause."""
        seconds = min(seconds, MOST_TIMES * self.usual_s)
        self.count += 1
        self.seconds += seconds
        self.squares += seconds * seconds


@attrs.define
class _Own:
    speed: messages.EngineSpeed
    at: float


@attrs.define(eq=False)
class Reading:
    """A prompt that an engine reads now.

    :param tokens: of it and of those ahead of it.
    """

    service: str
    engine: str
    tokens: int
    begun: float


class EngineSpeeds:
    """What this entry and others saw of each service's engines."""

    def __init__(self) -> None:
        self.own: dict[str, _Own] = {}
        self.others: dict[str, messages.EngineSpeed] = {}
        self.readings: set[Reading] = set()

    # What is learnt

    def reads(
        self, service: str, engine: str, tokens: int, now: float
    ) -> Reading:
        """Learn that a prompt was sent, with so many tokens to read first."""
        reading = Reading(service, engine, max(1, tokens), now)
        self.readings.add(reading)
        return reading

    def read(self, reading: Reading, wanted: Wanted, now: float) -> None:
        """Learn that the first event came."""
        self.forget(reading)
        token_s = self.token_s(reading.service, wanted, now)
        most = MOST_TIMES * token_s * reading.tokens
        took = min(now - reading.begun, most)
        self._add(
            reading.service,
            messages.EngineSpeed(tokens=reading.tokens, read_s=took),
            now,
        )

    def forget(self, reading: Reading) -> None:
        """Learn that nobody waits for a prompt any more."""
        self.readings.discard(reading)

    def paused(self, service: str, pauses: Pauses, now: float) -> None:
        """Learn how far apart events came from an engine."""
        more = messages.EngineSpeed(
            pauses=pauses.count,
            pause_s=pauses.seconds,
            pause_sq=pauses.squares,
        )
        self._add(service, more, now)

    def ran(self, service: str, seconds: float, now: float) -> None:
        """Learn how long an engine took from a prompt to its last event."""
        self._add(service, messages.EngineSpeed(runs=1, run_s=seconds), now)

    def apply_loads(self, others: dict[str, messages.EngineSpeed]) -> None:
        """Learn what all other entries saw."""
        self.others = others

    def published(self, now: float) -> dict[str, messages.EngineSpeed]:
        """Return what this entry saw, for others."""
        return {service: self._own(service, now) for service in self.own}

    # What follows from it

    def token_s(
        self, service: str, wanted: Wanted, now: float, *, but: str = ''
    ) -> float:
        """Return the seconds that an engine needs to read a token.

        Prompts that wait for longer than that count as they stand now: when
        all engines turn slow, there is nothing to be had elsewhere.

        :param but: engine whose waiting prompts don't count, since it is to
            be compared with the others.
        """
        seen = self._all(service, now)
        tokens = seen.tokens + PRIOR_PROMPTS * max(1, wanted.tokens)
        aimed_s = wanted.aim_s / PROMPTS_PER_AIM
        seconds = seen.read_s + PRIOR_PROMPTS * aimed_s
        token_s = seconds / tokens
        for reading in self.readings:
            if reading.service != service or reading.engine == but:
                continue
            waited = now - reading.begun
            if waited > token_s * reading.tokens:
                tokens += reading.tokens
                seconds += waited
        return seconds / tokens

    def pause_s(
        self, service: str, wanted: Wanted, now: float, deviations: float
    ) -> float:
        """Return a pause between events, as far above their mean as told.

        :param deviations: standard deviations above the mean.
        """
        seen = self._all(service, now)
        expected = wanted.gap_s / PAUSES_PER_GAP
        count = seen.pauses + PRIOR_PAUSES
        mean = (seen.pause_s + PRIOR_PAUSES * expected) / count
        square = (seen.pause_sq + PRIOR_PAUSES * expected * expected) / count
        return mean + deviations * math.sqrt(max(0.0, square - mean * mean))

    def run_s(self, service: str, now: float) -> float | None:
        """Return how long a run takes at an engine; ``None``: unknown."""
        seen = self._all(service, now)
        return seen.run_s / seen.runs if seen.runs > LEAST_RUNS else None

    def _all(self, service: str, now: float) -> messages.EngineSpeed:
        others = self.others.get(service, NOTHING)
        return add(others, self._own(service, now))

    def _own(self, service: str, now: float) -> messages.EngineSpeed:
        own = self.own.get(service)
        return NOTHING if own is None else _faded(own, now)

    def _add(
        self, service: str, more: messages.EngineSpeed, now: float
    ) -> None:
        own = self.own.setdefault(service, _Own(NOTHING, now))
        own.speed = add(_faded(own, now), more)
        own.at = now


def _faded(own: _Own, now: float) -> messages.EngineSpeed:
    share = 0.5 ** (max(0.0, now - own.at) / HALF_S)
    return add(NOTHING, own.speed, share)


def add(
    one: messages.EngineSpeed, other: messages.EngineSpeed, times: float = 1.0
) -> messages.EngineSpeed:
    """Return the sums of one, and of the other so many times."""
    return messages.EngineSpeed(
        one.tokens + times * other.tokens,
        one.read_s + times * other.read_s,
        one.pauses + times * other.pauses,
        one.pause_s + times * other.pause_s,
        one.pause_sq + times * other.pause_sq,
        one.runs + times * other.runs,
        one.run_s + times * other.run_s,
    )
