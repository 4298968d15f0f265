"""Decide from evidence whether the target version of a rollout is bad.

Failures are tested by a cumulative sum of log-likelihood ratios (CUSUM, Page,
1954), which also finds a version that turns bad later. Latencies are compared
by ranks (Mann and Whitney, 1947). Both compare the target with the other
versions on the same route over the same time, so that an overload or a fault
of the platform that hits both versions condemns neither.
"""

import collections
import collections.abc as cabc
import itertools
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
# An engine that ends nothing for this time may be silent.
MIN_SILENCE_S: t.Final = 0.5
# Requests that waited for a silent engine end, and are reported, within this
# time of each other.
BURST_S: t.Final = 0.7
# A sound engine may be silent for so long before the results that are tested.
MAX_SILENCE_S: t.Final = 3.0
# Part of a silence that the longest of them waited. Where all are shorter, the
# engine had nothing to do.
MIN_WAIT_SHARE: t.Final = 0.5

_Key = tuple[str, str]
_Histogram = cabc.Mapping[int, int]
_Samples = cabc.Mapping[_Key, messages.VersionSample]
_HistogramOf = cabc.Callable[[messages.VersionSample], _Histogram]


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
        # By histogram, route and engine.
        self.bursts: dict[tuple[str, str, str], _Burst] = {}

    def update(
        self, evidence: messages.RolloutEvidence, now: float
    ) -> Verdict:
        """Add the evidence collected so far and return the verdict."""
        samples = {(s.route, s.engine): s for s in evidence.samples}
        self._update_alarms(samples)
        self.history.append((now, samples))
        while now - self.history[0][0] > RECENT_S + MAX_SILENCE_S:
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
        newest_at = self.history[-1][0]
        recent_at, recent = next(
            item for item in self.history if newest_at - item[0] <= RECENT_S
        )
        periods: list[tuple[float, _Samples]] = [
            (float('-inf'), {}),
            (recent_at, recent),
        ]
        for name, histogram_of in _HISTOGRAMS.items():
            for route in sorted({route for route, _ in samples}):
                for since_at, since in periods:
                    comparison = _compare(samples, since, route, histogram_of)
                    reason = comparison.find_slowness()
                    if reason and self._is_slow_without_bursts(
                        name, route, comparison, since_at
                    ):
                        return Verdict(
                            True, f'{name} on route {route}: {reason}', 1
                        )
        levels = [
            level for (_, engine), level in self.levels.items() if not engine
        ]
        level = max(levels, default=0.0)
        return Verdict(False, '', level / ALARM_THRESHOLD)

    def _is_slow_without_bursts(
        self,
        name: str,
        route: str,
        comparison: '_Comparison',
        since_at: float,
    ) -> bool:
        """Whether the target is slow without those that waited for silences.

        One silence of each engine is left out: a version that pauses again
        and again is bad.

        :param since_at: when the period of the comparison began. Silences of
            the whole rollout may be older than the history.
        """
        whole = math.isinf(since_at)
        left_out: dict[str, _Histogram] = {}
        for engine in comparison.engines:
            key = (name, route, engine)
            burst = self._largest_burst(key, comparison.slow_bucket, since_at)
            if whole:
                known = self.bursts.get(key, burst)
                if burst.slow_results < known.slow_results:
                    burst = known
                self.bursts[key] = burst
            left_out[engine] = burst.results
        return bool(comparison.without(left_out).find_slowness())

    def _largest_burst(
        self, key: tuple[str, str, str], slow_bucket: float, since_at: float
    ) -> '_Burst':
        """Return the results after a silence of an engine.

        :param key: histogram, route and engine.
        :param since_at: earlier results are not part of it.
        :return: those of the silence after which most results were slow.
        """
        name, route, engine = key
        counts = [
            (
                at,
                _HISTOGRAMS[name](samples[route, engine])
                if (route, engine) in samples
                else {},
            )
            for at, samples in self.history
        ]
        bursts = (
            _Burst(results, _count_slow(results, slow_bucket))
            for results in _bursts_after_silences(counts, since_at)
        )
        return max(
            bursts, key=lambda burst: burst.slow_results, default=_NO_BURST
        )


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


_HISTOGRAMS: t.Final[dict[str, _HistogramOf]] = {
    'latency': lambda sample: sample.latencies,
    'pauses': lambda sample: sample.pauses,
}


@attrs.frozen
class _Burst:
    """Results of an engine that came together.

    :param slow_results: how many of them were slow.
    """

    results: _Histogram
    slow_results: int


_NO_BURST: t.Final = _Burst({}, 0)


@attrs.frozen
class _Comparison:
    """Histograms of the target's engines and of the other versions."""

    engines: dict[str, dict[int, int]]
    others: dict[int, int]

    @property
    def slow_bucket(self) -> float:
        """The bucket from which on a result is slow."""
        return _median(self.others) + math.log(
            BAD_LATENCY_RATIO, _rolloutevidence.BUCKET_FACTOR
        )

    def without(self, results: cabc.Mapping[str, _Histogram]) -> '_Comparison':
        """Return the comparison without some of the target's results."""
        return _Comparison(_subtract(self.engines, results), self.others)

    def find_slowness(self) -> str:
        """Return why the target is slow, or ``''``."""
        target: dict[int, int] = {}
        for counts in self.engines.values():
            target = _rolloutevidence.add_counts(target, counts)
        target_count = sum(target.values())
        other_count = sum(self.others.values())
        enough = (
            target_count >= MIN_TARGET_SAMPLES
            and other_count >= MIN_OTHER_SAMPLES
        )
        if not enough or not self._are_several_slow():
            return ''
        ratio = _rolloutevidence.BUCKET_FACTOR ** (
            _median(target) - _median(self.others)
        )
        deviations = _rank_deviations(target, self.others)
        if ratio < BAD_LATENCY_RATIO or deviations < RANK_THRESHOLD:
            return ''
        return f'{ratio:.1f} times as long, {deviations:.1f} deviations'

    def _are_several_slow(self) -> bool:
        """Whether several engines of the target are slow, or its only one."""
        typical = _median(self.others)
        slow = [c for c in self.engines.values() if _median(c) > typical]
        return len(slow) > 1 or len(self.engines) == 1


def _compare(
    samples: _Samples, since: _Samples, route: str, histogram_of: _HistogramOf
) -> _Comparison:
    """Return the histograms of a route, since earlier samples."""
    others: dict[int, int] = {}
    if (route, '') in samples:
        before = since.get((route, ''))
        others = _difference(
            histogram_of(samples[route, '']),
            histogram_of(before) if before is not None else {},
        )
    return _Comparison(
        _subtract(
            _target_counts(samples, route, histogram_of),
            _target_counts(since, route, histogram_of),
        ),
        others,
    )


def _target_counts(
    samples: _Samples, route: str, histogram_of: _HistogramOf
) -> dict[str, _Histogram]:
    """Return the histograms of the target's engines on a route."""
    return {
        engine: histogram_of(sample)
        for (of_route, engine), sample in samples.items()
        if of_route == route and engine
    }


def _subtract(
    engines: cabc.Mapping[str, _Histogram],
    earlier: cabc.Mapping[str, _Histogram],
) -> dict[str, dict[int, int]]:
    """Return histograms of engines minus earlier ones."""
    return {
        engine: _difference(counts, earlier.get(engine, {}))
        for engine, counts in engines.items()
    }


def _count_slow(results: _Histogram, slow_bucket: float) -> int:
    """Return how many results are in slow buckets."""
    return sum(
        count for bucket, count in results.items() if bucket >= slow_bucket
    )


def _bursts_after_silences(
    counts: list[tuple[float, _Histogram]], since_at: float
) -> cabc.Iterator[_Histogram]:
    """Return the results that came after silences of an engine.

    Its requests waited meanwhile. If they didn't, it was only idle.

    :param counts: times, and the engine's results until then.
    :param since_at: only results after this time are returned.
    """
    silent_since = counts[0][0]
    for (ended_at, before), (at, after) in itertools.pairwise(counts):
        if after == before:
            continue
        silent_s = ended_at - silent_since
        silent_since = at
        if silent_s < MIN_SILENCE_S:
            continue
        window = [c for c in counts if 0.0 <= c[0] - ended_at <= BURST_S]
        waits = _difference(window[-1][1], before)
        longest = max((b for b, count in waits.items() if count), default=0)
        wanted_s = MIN_WAIT_SHARE * silent_s
        if longest >= _rolloutevidence.latency_bucket(wanted_s):
            within = [c for c in window if c[0] >= since_at] or window[-1:]
            yield _difference(window[-1][1], within[0][1])


def _difference(counts: _Histogram, earlier: _Histogram) -> dict[int, int]:
    """Return a histogram minus an earlier one; no count becomes negative.

    Counts fall as an entry ends whose report was part of them.
    """
    return {
        bucket: max(0, count - earlier.get(bucket, 0))
        for bucket, count in counts.items()
    }


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
