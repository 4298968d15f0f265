"""Evidence about a rollout: results of requests by version, and their sums."""

import collections.abc as cabc
import math
import typing as t

from bulrushhold import messages

FIRST_BUCKET_S: t.Final = 0.001
BUCKET_FACTOR: t.Final = 1.25
MAX_BUCKET: t.Final = 63


def latency_bucket(seconds: float) -> int:
    """Return the logarithmic histogram bucket of a duration."""
    if seconds <= FIRST_BUCKET_S:
        return 0
    bucket = math.log(seconds / FIRST_BUCKET_S) / math.log(BUCKET_FACTOR)
    return min(MAX_BUCKET, int(bucket))


def add_evidence(
    total: messages.RolloutEvidence | None, added: messages.RolloutEvidence
) -> messages.RolloutEvidence:
    """Add the evidence of two reports, of the newest rollout only."""
    both = EvidenceTotal()
    both.replace(None, total)
    both.replace(None, added)
    return both.snapshot()


class EvidenceTotal:
    """Sum of the evidence of several reports about one service.

    Adding up all reports anew for each one that arrives would take a control
    process most of its time.
    """

    def __init__(self) -> None:
        self._reset(0)

    def _reset(self, number: int) -> None:
        self.number = number
        self.received = 0
        self.exposed = 0
        self.samples: dict[tuple[str, str], messages.VersionSample] = {}

    def replace(
        self,
        old: messages.RolloutEvidence | None,
        new: messages.RolloutEvidence | None,
    ) -> None:
        """Replace the evidence of one reporter; only changes cost time."""
        if new is not None and new.number > self.number:
            self._reset(new.number)
        old_samples = self._take(old, -1)
        new_samples = self._take(new, 1)
        for key in old_samples.keys() | new_samples.keys():
            before, after = old_samples.get(key), new_samples.get(key)
            if before != after:
                self._add(key, before, -1)
                self._add(key, after, 1)

    def _take(
        self, evidence: messages.RolloutEvidence | None, sign: int
    ) -> dict[tuple[str, str], messages.VersionSample]:
        """Count the requests of a report; return its samples by key."""
        if evidence is None or evidence.number != self.number:
            return {}
        self.received += sign * evidence.received
        self.exposed += sign * evidence.exposed
        return {(s.route, s.engine): s for s in evidence.samples}

    def _add(
        self,
        key: tuple[str, str],
        sample: messages.VersionSample | None,
        sign: int,
    ) -> None:
        if sample is None:
            return
        total = _add_samples(self.samples.get(key), sample, sign)
        if total.requests or total.pauses:
            self.samples[key] = total
        else:
            self.samples.pop(key, None)

    def snapshot(self) -> messages.RolloutEvidence:
        """Return the sum."""
        return messages.RolloutEvidence(
            self.number,
            self.received,
            self.exposed,
            list(self.samples.values()),
        )


def _add_samples(
    total: messages.VersionSample | None,
    added: messages.VersionSample,
    sign: int = 1,
) -> messages.VersionSample:
    if total is None:
        total = messages.VersionSample(added.route, added.engine)
    return messages.VersionSample(
        total.route,
        total.engine,
        total.requests + sign * added.requests,
        total.failures + sign * added.failures,
        add_counts(total.latencies, added.latencies, sign),
        add_counts(total.pauses, added.pauses, sign),
    )


def add_counts(
    total: cabc.Mapping[int, int],
    added: cabc.Mapping[int, int],
    sign: int = 1,
) -> dict[int, int]:
    """Add two histograms, or subtract one if ``sign`` is -1."""
    counts = dict(total)
    for bucket, count in added.items():
        changed = counts.get(bucket, 0) + sign * count
        if changed:
            counts[bucket] = changed
        else:
            counts.pop(bucket, None)
    return counts


class EvidenceRecorder(EvidenceTotal):
    """Collects one entry's evidence about a running rollout."""

    def __init__(self, number: int) -> None:
        self._reset(number)

    def add(
        self, route: str, engine: str, *, failed: bool, latency_s: float
    ) -> None:
        """Add the result of one request.

        :param engine: ident of an engine of the target version, or ``''``.
        """
        latencies = {} if failed else {latency_bucket(latency_s): 1}
        self._add(
            (route, engine),
            messages.VersionSample(route, engine, 1, int(failed), latencies),
            1,
        )

    def add_pause(self, route: str, engine: str, mean_s: float) -> None:
        """Add the mean pause of a stream whose result was added before."""
        pauses = {latency_bucket(mean_s): 1}
        sample = messages.VersionSample(route, engine, pauses=pauses)
        self._add((route, engine), sample, 1)
