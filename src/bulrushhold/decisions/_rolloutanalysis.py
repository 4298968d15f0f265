"""Decide from evidence whether the target version of a rollout is bad.

Failures are tested by a cumulative sum of log-likelihood ratios (CUSUM, Page,
1954), which also finds a version that turns bad later. Latencies are compared
by ranks (Mann and Whitney, 1947). Both compare the target with the other
versions on the same route over the same time, so that an overload or a fault
of the platform that hits both versions condemns neither.
"""

import collections
import collections.abc as cabc
import math
import typing as t

import attrs

from bulrushhold.decisions import _rolloutevidence
from bulrushhold import messages

# Increase in the share of failures that makes a version bad.
BAD_FAILURE_INCREASE: t.Final = 0.1
# Failures expected of any version, which bounds the weight of the first ones.
MIN_FAILURE_SHARE: t.Final = 0.005
# About 1 in 100,000 good requests raises a false alarm at this threshold.
ALARM_THRESHOLD: t.Final = 12.0
# Required without the engine that failed most, which may be the only one at
# fault.
OTHER_ENGINES_THRESHOLD: t.Final = 3.0
# Increase in the median latency that makes a version bad.
BAD_LATENCY_RATIO: t.Final = 1.8
# Standard deviations of the rank sum.
RANK_THRESHOLD: t.Final = 4.0
MIN_TARGET_SAMPLES: t.Final = 8
MIN_OTHER_SAMPLES: t.Final = 20
# Latencies are tested over this recent time as well as over the whole rollout.
RECENT_S: t.Final = 4.0

_Key = tuple[str, str]
_Histogram = cabc.Mapping[int, int]


@attrs.frozen
class Verdict:
    """Result of the analysis.

    :param bad: whether the target version must be rolled back.
    :param reason: the evidence, for the log.
    :param suspicion: largest alarm level of any route, relative to the
        threshold.
    """

    bad: bool
    reason: str
    suspicion: float = 0.0


class RolloutAnalysis:
    """Analysis of one rollout, fed with cumulative evidence."""

    def __init__(self) -> None:
        self.previous: dict[_Key, messages.VersionSample] = {}
        self.alarms: dict[_Key, float] = collections.defaultdict(float)
        self.levels: dict[_Key, float] = {}
        self.history: collections.deque[
            tuple[float, dict[_Key, messages.VersionSample]]
        ] = collections.deque()

    def update(
        self, evidence: messages.RolloutEvidence, now: float
    ) -> Verdict:
        """Add the evidence collected so far and return the verdict."""
        samples = {(s.route, s.engine): s for s in evidence.samples}
        self._update_alarms(samples)
        self.history.append((now, samples))
        while now - self.history[0][0] > RECENT_S:
            self.history.popleft()
        return self._failure_verdict() or self._latency_verdict(samples)

    # Failures

    def _update_alarms(
        self, samples: dict[_Key, messages.VersionSample]
    ) -> None:
        """Update the alarm levels of all routes, engines and both together.

        A level is the larger of the cumulative sum and of the likelihood
        ratio of the whole rollout, whose usual share of failures is known
        better than when its first failures came.
        """
        whole: dict[_Key, float] = collections.defaultdict(float)
        for key, sample in samples.items():
            route, engine = key
            if not engine:
                continue
            before = self.previous.get(key)
            others = samples.get((route, ''))
            if others is None or others.requests < MIN_OTHER_SAMPLES:
                # Counted later, once the usual share of failures is known.
                continue
            self.previous[key] = sample
            expected = _expected_failure_share(others)
            scopes = (key, (route, ''), ('', engine), ('', ''))
            for scope in scopes:
                whole[scope] += _log_likelihood_ratio(
                    sample.requests, sample.failures, expected
                )
            requests = sample.requests - (before.requests if before else 0)
            failures = sample.failures - (before.failures if before else 0)
            if requests <= 0 or failures < 0:
                # The counts of an entry that has ended are missing.
                continue
            change = _log_likelihood_ratio(requests, failures, expected)
            for scope in scopes:
                self.alarms[scope] = max(0.0, self.alarms[scope] + change)
        self.levels = {
            scope: max(level, whole[scope])
            for scope, level in self.alarms.items()
        }

    def _failure_verdict(self) -> Verdict | None:
        for route in sorted({route for route, _ in self.levels}):
            level = self.levels[route, '']
            if level < ALARM_THRESHOLD:
                continue
            levels = sorted(
                value
                for (r, engine), value in self.levels.items()
                if r == route and engine
            )
            if len(levels) > 1 and sum(levels[:-1]) < OTHER_ENGINES_THRESHOLD:
                continue
            scope = f'route {route}' if route else 'all routes'
            return Verdict(True, f'failures on {scope}, level {level:.1f}', 1)
        return None

    # Latencies

    def _latency_verdict(
        self, samples: dict[_Key, messages.VersionSample]
    ) -> Verdict:
        oldest = self.history[0][1]
        for name, histogram_of in _HISTOGRAMS.items():
            for route in sorted({route for route, _ in samples}):
                for since in ({}, oldest):
                    reason = _find_slowness(
                        *_histograms(samples, since, route, histogram_of)
                    )
                    if reason:
                        return Verdict(
                            True, f'{name} on route {route}: {reason}', 1
                        )
        levels = [
            level for (_, engine), level in self.levels.items() if not engine
        ]
        level = max(levels, default=0.0)
        return Verdict(False, '', level / ALARM_THRESHOLD)


def _expected_failure_share(others: messages.VersionSample) -> float:
    """Return the usual share of failures, plus half its standard error."""
    share = others.failures / others.requests
    error = math.sqrt(share * (1 - share) / others.requests)
    return max(MIN_FAILURE_SHARE, share + error / 2)


def _log_likelihood_ratio(
    requests: int, failures: int, expected: float
) -> float:
    """Return how much more likely the failures are of a bad version."""
    bad = min(0.95, expected + BAD_FAILURE_INCREASE)
    successes = requests - failures
    return failures * math.log(bad / expected) + successes * math.log(
        (1 - bad) / (1 - expected)
    )


_HISTOGRAMS: t.Final[
    dict[str, cabc.Callable[[messages.VersionSample], _Histogram]]
] = {
    'latency': lambda sample: sample.latencies,
    'pauses': lambda sample: sample.pauses,
}


def _histograms(
    samples: dict[_Key, messages.VersionSample],
    since: dict[_Key, messages.VersionSample],
    route: str,
    histogram_of: cabc.Callable[[messages.VersionSample], _Histogram],
) -> tuple[dict[int, int], dict[int, int], bool]:
    """Return the histograms of target and others, since earlier samples.

    The third value tells whether more than one engine of the target is slow
    compared to the others, or it has only one.
    """
    target: dict[int, int] = {}
    others: dict[int, int] = {}
    by_engine = []
    for key, sample in samples.items():
        if key[0] != route:
            continue
        counts = dict(histogram_of(sample))
        if key in since:
            for bucket, count in histogram_of(since[key]).items():
                counts[bucket] = max(0, counts.get(bucket, 0) - count)
        if key[1]:
            target = _rolloutevidence.add_counts(target, counts)
            by_engine.append(counts)
        else:
            others = counts
    typical = _median(others)
    slow = [c for c in by_engine if _median(c) > typical]
    return target, others, len(slow) > 1 or len(by_engine) == 1


def _find_slowness(
    target: _Histogram, others: _Histogram, several_slow: bool
) -> str:
    """Return why the target is slow, or ``''``."""
    target_count, other_count = sum(target.values()), sum(others.values())
    enough = (
        target_count >= MIN_TARGET_SAMPLES and other_count >= MIN_OTHER_SAMPLES
    )
    if not enough or not several_slow:
        return ''
    ratio = _rolloutevidence.BUCKET_FACTOR ** (
        _median(target) - _median(others)
    )
    deviations = _rank_deviations(target, others)
    if ratio < BAD_LATENCY_RATIO or deviations < RANK_THRESHOLD:
        return ''
    return f'{ratio:.1f} times as long, {deviations:.1f} deviations'


def _median(histogram: _Histogram) -> float:
    remaining = sum(histogram.values()) / 2
    for bucket in sorted(histogram):
        remaining -= histogram[bucket]
        if remaining <= 0:
            return bucket
    return 0.0


def _rank_deviations(target: _Histogram, others: _Histogram) -> float:
    """Return the Mann-Whitney statistic in standard deviations."""
    below = 0
    wins = 0.0
    ties = 0.0
    target_count, other_count = sum(target.values()), sum(others.values())
    for bucket in sorted({*target, *others}):
        x, y = target.get(bucket, 0), others.get(bucket, 0)
        wins += x * (below + y / 2)
        below += y
        ties += (x + y) ** 3 - (x + y)
    count = target_count + other_count
    variance = (
        target_count
        * other_count
        / 12
        * ((count + 1) - ties / (count * (count - 1)))
    )
    mean = target_count * other_count / 2
    return (wins - mean) / math.sqrt(variance) if variance > 0 else 0.0
