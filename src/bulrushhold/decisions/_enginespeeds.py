"""Estimate how fast engines read prompts, produce events and complete runs.

The estimates adapt to any model, hardware, batch size and slowdown. One entry
sees only few streams, so the samples of all entries are summed per service.
Until there are enough, the latency objectives of the routes serve as a prior.
"""

import math
import typing as t

import attrs

from bulrushhold import messages

# Half-life of samples: a compromise between noise and a quick reaction to
# engines that become slow.
HALF_LIFE_S: t.Final = 5.0
# Prior assumptions: an engine reads this many prompts within the aim, and this
# many pauses fit into the longest pause allowed.
PROMPTS_PER_AIM: t.Final = 3.0
PAUSES_PER_GAP: t.Final = 5.0
# Weights of the prior, in prompts and in pauses.
PRIOR_WEIGHT_PROMPTS: t.Final = 0.2
PRIOR_WEIGHT_PAUSES: t.Final = 20.0
# Below this decayed number of runs the mean is unreliable.
MIN_RUNS: t.Final = 0.05
# Upper bound of a sample relative to the current estimate, so that a paused
# entry or an undetected engine crash doesn't look like a slow service.
MAX_SAMPLE_RATIO: t.Final = 4.0
NO_SAMPLES: t.Final = messages.EngineSpeed()


@attrs.frozen
class LatencyObjective:
    """Latency objective of a stream, as its route defines it.

    :param tokens: length of the stream's prompt.
    :param aim_s: time to the first event.
    :param gap_s: longest pause between events.
    """

    tokens: int
    aim_s: float
    gap_s: float


@attrs.define
class PauseSamples:
    """Sums of the pauses between events of one run.

    :param long_pause_s: upper end of nearly all pauses; bounds the samples.
    """

    long_pause_s: float
    count: int = 0
    seconds: float = 0.0
    squares: float = 0.0

    def add(self, seconds: float) -> None:
        """Add one pause."""
        seconds = min(seconds, MAX_SAMPLE_RATIO * self.long_pause_s)
        self.count += 1
        self.seconds += seconds
        self.squares += seconds * seconds


@attrs.define
class _LocalSamples:
    speed: messages.EngineSpeed
    updated_at: float


@attrs.define(eq=False)
class PromptRead:
    """A prompt that an engine is reading.

    :param tokens: of this prompt and of those queued before it.
    :param expected_s: time that an engine of mean speed needs for them, as
        estimated at the start.
    """

    service: str
    engine: str
    tokens: int
    started_at: float
    expected_s: float = 0.0

    def late_sample(
        self, now: float, token_s: float | None = None
    ) -> messages.SpeedSample | None:
        """Return a sample if the read takes longer than expected.

        :param token_s: seconds per token of an engine of mean speed; ``None``
            for the estimate at the start.
        """
        expected_s = (
            self.expected_s if token_s is None else token_s * self.tokens
        )
        waited_s = now - self.started_at
        if not 0 < expected_s < waited_s:
            return None
        max_s = MAX_SAMPLE_RATIO * expected_s
        return messages.SpeedSample(expected_s, min(waited_s, max_s))


class EngineSpeeds:
    """Speed estimates per service, from local and remote samples."""

    def __init__(self) -> None:
        self.local: dict[str, _LocalSamples] = {}
        self.remote: dict[str, messages.EngineSpeed] = {}
        # A dict keeps their order: sums over them are rounded, and would
        # otherwise differ between runs with equal seeds.
        self.pending_reads: dict[PromptRead, None] = {}

    # Recording samples

    def start_read(
        self, service: str, engine: str, tokens: int, now: float
    ) -> PromptRead:
        """Record that a prompt was sent, with ``tokens`` to be read."""
        reading = PromptRead(service, engine, max(1, tokens), now)
        self.pending_reads[reading] = None
        return reading

    def record_read(
        self, reading: PromptRead, objective: LatencyObjective, now: float
    ) -> messages.SpeedSample:
        """Record that a prompt was read: its first event has arrived.

        Return how long it took compared to an engine of mean speed.
        """
        self.cancel_read(reading)
        token_s = self.token_s(reading.service, objective, now)
        max_s = MAX_SAMPLE_RATIO * token_s * reading.tokens
        read_s = min(now - reading.started_at, max_s)
        self._add(
            reading.service,
            messages.EngineSpeed(tokens=reading.tokens, read_s=read_s),
            now,
        )
        return messages.SpeedSample(token_s * reading.tokens, read_s)

    def late_reads(
        self, service: str, now: float, token_s: float | None = None
    ) -> list[tuple[str, messages.SpeedSample]]:
        """Return the pending reads that take longer than expected, by engine.

        :param token_s: see :meth:`PromptRead.late_sample`.
        """
        samples = [
            (reading.engine, reading.late_sample(now, token_s))
            for reading in self.pending_reads
            if reading.service == service
        ]
        return [(ident, s) for ident, s in samples if s is not None]

    def cancel_read(self, reading: PromptRead) -> None:
        """Discard a pending read whose result is no longer awaited."""
        self.pending_reads.pop(reading, None)

    def record_prompt(self, service: str, tokens: int, now: float) -> None:
        """Count the tokens of a prompt that was read."""
        self._add(service, messages.EngineSpeed(prompt_tokens=tokens), now)

    def record_pauses(
        self, service: str, pauses: PauseSamples, now: float
    ) -> None:
        """Record the pauses between events of a run."""
        sample = messages.EngineSpeed(
            pauses=pauses.count,
            pause_s=pauses.seconds,
            pause_sq=pauses.squares,
        )
        self._add(service, sample, now)

    def record_run(self, service: str, seconds: float, now: float) -> None:
        """Record the time from sending a prompt to the last event."""
        self._add(service, messages.EngineSpeed(runs=1, run_s=seconds), now)

    def apply_remote_samples(
        self, remote: dict[str, messages.EngineSpeed]
    ) -> None:
        """Replace the samples of all other entries."""
        self.remote = remote

    def snapshot(self, now: float) -> dict[str, messages.EngineSpeed]:
        """Return the decayed samples of this entry by service."""
        return {
            service: self._local_samples(service, now)
            for service in self.local
        }

    # Estimates

    def token_s(
        self,
        service: str,
        objective: LatencyObjective,
        now: float,
        *,
        excluding: str = '',
    ) -> float:
        """Return the seconds that an engine needs to read a token.

        Pending reads that already take longer than estimated are included, so
        that a slowdown of all engines shows before any read completes.

        :param excluding: engine whose pending reads are left out, to compare
            it with the others.
        """
        samples = self._combined_samples(service, now)
        tokens = samples.tokens + PRIOR_WEIGHT_PROMPTS * max(
            1, objective.tokens
        )
        expected_s = objective.aim_s / PROMPTS_PER_AIM
        seconds = samples.read_s + PRIOR_WEIGHT_PROMPTS * expected_s
        token_s = seconds / tokens
        for reading in self.pending_reads:
            if reading.service != service or reading.engine == excluding:
                continue
            waited = now - reading.started_at
            if waited > token_s * reading.tokens:
                tokens += reading.tokens
                seconds += waited
        return seconds / tokens

    def pause_s(
        self,
        service: str,
        objective: LatencyObjective,
        now: float,
        deviations: float,
    ) -> float:
        """Return the mean pause between events plus some deviations.

        :param deviations: standard deviations above the mean.
        """
        samples = self._combined_samples(service, now)
        expected = objective.gap_s / PAUSES_PER_GAP
        count = samples.pauses + PRIOR_WEIGHT_PAUSES
        mean = (samples.pause_s + PRIOR_WEIGHT_PAUSES * expected) / count
        square = (
            samples.pause_sq + PRIOR_WEIGHT_PAUSES * expected * expected
        ) / count
        return mean + deviations * math.sqrt(max(0.0, square - mean * mean))

    def run_s(self, service: str, now: float) -> float | None:
        """Return the mean duration of a run, or ``None`` if unknown."""
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
    """Return the sum of two sets of samples, the second one weighted."""
    return messages.EngineSpeed(
        total.tokens + weight * added.tokens,
        total.read_s + weight * added.read_s,
        total.pauses + weight * added.pauses,
        total.pause_s + weight * added.pause_s,
        total.pause_sq + weight * added.pause_sq,
        total.runs + weight * added.runs,
        total.run_s + weight * added.run_s,
        total.prompt_tokens + weight * added.prompt_tokens,
    )
