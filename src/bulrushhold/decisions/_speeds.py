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
HALF_LIFE_S: t.Final = 5.0
# Routes are made for engines that meet the aim with two prompts ahead, and
# whose events come several times within the longest pause wanted.
PROMPTS_PER_AIM: t.Final = 3.0
PAUSES_PER_GAP: t.Final = 5.0
# What routes tell counts as much as so many prompts, and so many events.
PRIOR_WEIGHT_PROMPTS: t.Final = 0.2
PRIOR_WEIGHT_PAUSES: t.Final = 20.0
# Less than this is what is left of a run that was seen long ago.
MIN_RUNS: t.Final = 0.05
# One sample counts for no more than this many times what is usual: a frozen
# entry, or an engine that died unseen, isn't a slow service.
MAX_SAMPLE_RATIO: t.Final = 4.0
NO_SAMPLES: t.Final = messages.EngineSpeed()


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

    long_pause_s: float
    count: int = 0
    seconds: float = 0.0
    squares: float = 0.0

    def add(self, seconds: float) -> None:
        """Take in one pause."""
        seconds = min(seconds, MAX_SAMPLE_RATIO * self.long_pause_s)
        self.count += 1
        self.seconds += seconds
        self.squares += seconds * seconds


@attrs.define
class _LocalSamples:
    speed: messages.EngineSpeed
    updated_at: float


@attrs.define(eq=False)
class Reading:
    """A prompt that an engine reads now.

    :param tokens: of it and of those ahead of it.
    """

    service: str
    engine: str
    tokens: int
    started_at: float


class EngineSpeeds:
    """What this entry and others saw of each service's engines."""

    def __init__(self) -> None:
        self.local: dict[str, _LocalSamples] = {}
        self.remote: dict[str, messages.EngineSpeed] = {}
        self.pending_reads: set[Reading] = set()

    # What is learnt

    def reads(
        self, service: str, engine: str, tokens: int, now: float
    ) -> Reading:
        """Learn that a prompt was sent, with so many tokens to read first."""
        reading = Reading(service, engine, max(1, tokens), now)
        self.pending_reads.add(reading)
        return reading

    def read(self, reading: Reading, wanted: Wanted, now: float) -> None:
        """Learn that the first event came."""
        self.forget(reading)
        token_s = self.token_s(reading.service, wanted, now)
        max_s = MAX_SAMPLE_RATIO * token_s * reading.tokens
        took = min(now - reading.started_at, max_s)
        self._add(
            reading.service,
            messages.EngineSpeed(tokens=reading.tokens, read_s=took),
            now,
        )

    def forget(self, reading: Reading) -> None:
        """Learn that nobody waits for a prompt any more."""
        self.pending_reads.discard(reading)

    def paused(self, service: str, pauses: Pauses, now: float) -> None:
        """Learn how far apart events came from an engine."""
        sample = messages.EngineSpeed(
            pauses=pauses.count,
            pause_s=pauses.seconds,
            pause_sq=pauses.squares,
        )
        self._add(service, sample, now)

    def ran(self, service: str, seconds: float, now: float) -> None:
        """Learn how long an engine took from a prompt to its last event."""
        self._add(service, messages.EngineSpeed(runs=1, run_s=seconds), now)

    def apply_loads(self, remote: dict[str, messages.EngineSpeed]) -> None:
        """Learn what all other entries saw."""
        self.remote = remote

    def snapshot(self, now: float) -> dict[str, messages.EngineSpeed]:
        """Return what this entry saw, for others."""
        return {
            service: self._local_samples(service, now)
            for service in self.local
        }

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
        samples = self._combined_samples(service, now)
        tokens = samples.tokens + PRIOR_WEIGHT_PROMPTS * max(1, wanted.tokens)
        expected_s = wanted.aim_s / PROMPTS_PER_AIM
        seconds = samples.read_s + PRIOR_WEIGHT_PROMPTS * expected_s
        token_s = seconds / tokens
        for reading in self.pending_reads:
            if reading.service != service or reading.engine == but:
                continue
            waited = now - reading.started_at
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
        samples = self._combined_samples(service, now)
        expected = wanted.gap_s / PAUSES_PER_GAP
        count = samples.pauses + PRIOR_WEIGHT_PAUSES
        mean = (samples.pause_s + PRIOR_WEIGHT_PAUSES * expected) / count
        square = (
            samples.pause_sq + PRIOR_WEIGHT_PAUSES * expected * expected
        ) / count
        return mean + deviations * math.sqrt(max(0.0, square - mean * mean))

    def run_s(self, service: str, now: float) -> float | None:
        """Return how long a run takes at an engine; ``None``: unknown."""
        samples = self._combined_samples(service, now)
        return (
            samples.run_s / samples.runs if samples.runs > MIN_RUNS else None
        )

    def _combined_samples(
        self, service: str, now: float
    ) -> messages.EngineSpeed:
        remote = self.remote.get(service, NO_SAMPLES)
        return add(remote, self._local_samples(service, now))

    def _local_samples(self, service: str, now: float) -> messages.EngineSpeed:
        local = self.local.get(service)
        return NO_SAMPLES if local is None else _decayed(local, now)

    def _add(
        self, service: str, sample: messages.EngineSpeed, now: float
    ) -> None:
        local = self.local.setdefault(service, _LocalSamples(NO_SAMPLES, now))
        local.speed = add(_decayed(local, now), sample)
        local.updated_at = now


def _decayed(local: _LocalSamples, now: float) -> messages.EngineSpeed:
    share = 0.5 ** (max(0.0, now - local.updated_at) / HALF_LIFE_S)
    return add(NO_SAMPLES, local.speed, share)


def add(
    total: messages.EngineSpeed,
    added: messages.EngineSpeed,
    weight: float = 1.0,
) -> messages.EngineSpeed:
    """Return the sums of one, and of the other so many times."""
    return messages.EngineSpeed(
        total.tokens + weight * added.tokens,
        total.read_s + weight * added.read_s,
        total.pauses + weight * added.pauses,
        total.pause_s + weight * added.pause_s,
        total.pause_sq + weight * added.pause_sq,
        total.runs + weight * added.runs,
        total.run_s + weight * added.run_s,
    )
