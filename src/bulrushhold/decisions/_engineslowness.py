"""The slowness of engines: how long they read relative to their service.

Observed and expected times of prompt reads are summed per engine with
exponential decay. The expected time is that of an engine of mean speed for all
prompts queued there, so that only time which the queue doesn't explain counts
as slow. Times are never divided by anything that the engine states of itself.
"""

import collections.abc as cabc
import typing as t

import attrs

from bulrushhold import messages

# A compromise between noise, as paces change within a read, and a quick
# reaction to an engine that becomes slow or recovers.
HALF_LIFE_S: t.Final = 20.0
# Weight of the assumption that an engine is as fast as the mean, in seconds of
# expected reading; one or two typical prompts.
PRIOR_S: t.Final = 1.5
# Weight of the value that control sends, which many samples stand behind.
REMOTE_WEIGHT_S: t.Final = 10.0
# Bounds of a slowness, so that single faulty samples have a limited effect.
MIN_SLOWNESS: t.Final = 0.2
MAX_SLOWNESS: t.Final = 8.0
# Sums with less expected time than this are dropped.
NEGLIGIBLE_S: t.Final = 0.02
# Values are recomputed at this interval, as they change slowly.
CACHE_S: t.Final = 0.05
# Approximate sizes of encoded load reports, in bytes beside idents. Samples
# may add a tenth to reports.
REPORT_BYTES: t.Final = 280
LOAD_BYTES: t.Final = 35
SAMPLE_BYTES: t.Final = 50
MAX_SAMPLE_SHARE: t.Final = 0.09
# Upper bound of the bytes saved up for samples.
MAX_CREDIT_BYTES: t.Final = 600.0


def add_samples(
    first: messages.SpeedSample, second: messages.SpeedSample
) -> messages.SpeedSample:
    """Return the sum of two samples."""
    return messages.SpeedSample(
        first.expected_s + second.expected_s,
        first.observed_s + second.observed_s,
    )


@attrs.define
class SampleSum:
    """A sum of samples with exponential decay."""

    sample: messages.SpeedSample
    updated_at: float

    def now(self, now: float) -> messages.SpeedSample:
        """Return the decayed sum."""
        age_s = max(0.0, now - self.updated_at)
        share = 0.5 ** (age_s / HALF_LIFE_S)
        return messages.SpeedSample(
            self.sample.expected_s * share, self.sample.observed_s * share
        )

    def add(self, sample: messages.SpeedSample, now: float) -> None:
        """Add a sample."""
        self.sample = add_samples(self.now(now), sample)
        self.updated_at = now


SampleSums = dict[str, SampleSum]


def add_to_sums(
    sums: SampleSums, ident: str, sample: messages.SpeedSample, now: float
) -> None:
    """Add an engine's sample to its decayed sum."""
    existing = sums.get(ident)
    if existing is None:
        sums[ident] = SampleSum(sample, now)
    else:
        existing.add(sample, now)


def slowness(
    sample: messages.SpeedSample, prior: float = 1.0, weight_s: float = PRIOR_S
) -> float:
    """Return an engine's slowness by its samples; 1.0 is the mean.

    :param prior: assumption without samples, of weight ``weight_s``.
    """
    observed_s = sample.observed_s + prior * weight_s
    return _bounded(observed_s / (sample.expected_s + weight_s))


def _bounded(value: float) -> float:
    return min(MAX_SLOWNESS, max(MIN_SLOWNESS, value))


@attrs.define
class _SlownessAt:
    """The slowness of engines at one time, each computed when it is needed.

    It is discarded when ``local`` or ``remote`` change.

    :param local: sums of this entry's samples, by engine.
    :param remote: control's values by engine.
    :param remote_share: how much control's values still count, 0 to 1.
    """

    local: SampleSums
    remote: dict[str, float]
    remote_share: float
    at: float
    known: dict[str, float] = attrs.field(factory=dict)
    is_complete: bool = False

    def get(self, ident: str, default: float) -> float:
        """Return an engine's slowness, or ``default`` if nothing is known."""
        value = self.known.get(ident)
        if value is not None:
            return value
        if ident not in self.local and ident not in self.remote:
            return default
        value = self.known[ident] = self.value(ident)
        return value

    def value(
        self, ident: str, pending: messages.SpeedSample | None = None
    ) -> float:
        """Return an engine's slowness by its samples and control's value.

        :param pending: sample of a prompt that it is reading.
        """
        local = self.local.get(ident)
        sample = messages.SpeedSample(0.0, 0.0)
        if local is not None:
            sample = local.now(self.at)
        if pending is not None:
            sample = add_samples(sample, pending)
        remote = self.remote.get(ident)
        if remote is None:
            return slowness(sample)
        prior = 1 + (remote - 1) * self.remote_share
        return slowness(sample, prior, REMOTE_WEIGHT_S)

    def all(self) -> dict[str, float]:
        """Return the slowness of all engines of which something is known."""
        if not self.is_complete:
            self.known = self._all_values()
            self.is_complete = True
        return self.known

    def _all_values(self) -> dict[str, float]:
        """Return :meth:`value` of each engine at ``at``, in one pass.

        The arithmetic is the same, without calls and intermediate samples for
        each of hundreds of engines.
        """
        # Control rounds its values, so that many engines have the same one.
        priors: dict[float | None, tuple[float, float]] = {
            remote: (
                (1 + (remote - 1) * self.remote_share) * REMOTE_WEIGHT_S,
                REMOTE_WEIGHT_S,
            )
            for remote in set(self.remote.values())
        }
        priors[None] = (PRIOR_S, PRIOR_S)
        values = {
            ident: priors[remote][0] / REMOTE_WEIGHT_S
            for ident, remote in self.remote.items()
            if ident not in self.local
        }
        at, remote_value = self.at, self.remote.get
        for ident, total in self.local.items():
            prior_s, weight_s = priors[remote_value(ident)]
            age_s = at - total.updated_at
            share = 0.5 ** (age_s / HALF_LIFE_S) if age_s > 0 else 1.0
            sample = total.sample
            values[ident] = (sample.observed_s * share + prior_s) / (
                sample.expected_s * share + weight_s
            )
        if values and (
            min(values.values()) < MIN_SLOWNESS
            or max(values.values()) > MAX_SLOWNESS
        ):
            return {ident: _bounded(value) for ident, value in values.items()}
        return values


@attrs.frozen
class SlownessView:
    """The slowness of all engines that aren't of mean speed.

    It is valid until the next sample or value is recorded. A choice often
    needs the values of a few engines only.

    :param overrides: values of engines that are reading for too long.
    """

    usual: _SlownessAt
    overrides: dict[str, float]

    def get(self, ident: str, default: float) -> float:
        """Return an engine's slowness, or ``default`` if nothing is known."""
        value = self.overrides.get(ident)
        return self.usual.get(ident, default) if value is None else value

    def all(self) -> dict[str, float]:
        """Return the slowness by engine, at about 0.2 us for each."""
        if not self.overrides:
            return self.usual.all()
        return self.usual.all() | self.overrides


NO_SLOWNESS: t.Final = SlownessView(_SlownessAt({}, {}, 0.0, 0.0), {})


class EngineSlowness:
    """The slowness of engines as one entry knows it.

    Control's values are those of all entries. They change slowly, so that
    they stay in use, with decaying weight, while control is unreachable.

    :ivar unreported: samples since the last load report, by engine.
    :ivar changed: engines of which something new is known since their floors
        were taken.
    """

    def __init__(self) -> None:
        self.local: SampleSums = {}
        self.remote: dict[str, float] = {}
        self.confirmed_at = 0.0
        self.unreported: dict[str, messages.SpeedSample] = {}
        self.credit_bytes = MAX_CREDIT_BYTES
        self.cached: _SlownessAt | None = None
        self.cached_at = float('-inf')
        self.changed: set[str] = set()

    def record(
        self, ident: str, sample: messages.SpeedSample, now: float
    ) -> None:
        """Record a prompt read by an engine."""
        add_to_sums(self.local, ident, sample, now)
        unreported = self.unreported.get(ident)
        self.unreported[ident] = (
            sample if unreported is None else add_samples(unreported, sample)
        )
        self.cached_at = float('-inf')
        self.changed.add(ident)

    def apply_remote(
        self, values: dict[str, float], now: float, *, complete: bool
    ) -> None:
        """Apply control's values of the engines that have changed.

        :param complete: they are the values of all engines.
        """
        self.changed.update(values)
        if complete:
            self.changed.update(self.remote)
            self.remote = dict(values)
        else:
            self.remote.update(values)
        self.confirm(now)
        if values:
            self.cached_at = float('-inf')

    def confirm(self, now: float) -> None:
        """Record that control's values are up to date."""
        self.confirmed_at = now

    def current(
        self,
        now: float,
        late: cabc.Iterable[tuple[str, messages.SpeedSample]] = (),
    ) -> SlownessView:
        """Return the slowness of all engines that aren't of mean speed.

        :param late: reads that go on for longer than expected, by engine.
        """
        usual = self.cached
        if usual is None or not 0 <= now - self.cached_at < CACHE_S:
            usual = self.cached = self._at(now)
            self.cached_at = now
        pending: dict[str, messages.SpeedSample] = {}
        for ident, sample in late:
            known = pending.get(ident)
            pending[ident] = (
                sample
                if known is None
                else max(known, sample, key=lambda s: s.observed_s)
            )
        if not pending:
            return SlownessView(usual, {})
        current = self._at(now)
        overrides = {
            ident: max(current.value(ident, sample), usual.get(ident, 0.0))
            for ident, sample in pending.items()
        }
        return SlownessView(usual, overrides)

    def _at(self, now: float) -> _SlownessAt:
        share = 0.5 ** (max(0.0, now - self.confirmed_at) / HALF_LIFE_S)
        return _SlownessAt(self.local, self.remote, share, now)

    def take_unreported(
        self, reported: cabc.Iterable[str]
    ) -> dict[str, messages.SpeedSample]:
        """Return the samples for the next load report, and forget them.

        As they may add only a tenth to the reports, some wait for a later
        report, in which their sum takes no more room.

        :param reported: engines whose load the report holds.
        """
        load_bytes = sum(LOAD_BYTES + len(ident) for ident in reported)
        self.credit_bytes = min(
            MAX_CREDIT_BYTES,
            self.credit_bytes + MAX_SAMPLE_SHARE * (REPORT_BYTES + load_bytes),
        )
        taken = {}
        for ident, sample in list(self.unreported.items()):
            cost = SAMPLE_BYTES + len(ident)
            if cost > self.credit_bytes:
                break
            self.credit_bytes -= cost
            del self.unreported[ident]
            taken[ident] = messages.SpeedSample(
                round(sample.expected_s, 3), round(sample.observed_s, 3)
            )
        return taken

    def retain(self, idents: cabc.Set[str]) -> None:
        """Forget the local samples of all engines but these."""
        self.local = {i: s for i, s in self.local.items() if i in idents}
        self.unreported = {
            i: s for i, s in self.unreported.items() if i in idents
        }
        self.cached_at = float('-inf')
        self.changed.update(self.local, self.remote)

    def take_changed_floors(self) -> dict[str, float]:
        """Return the floors of the engines that have changed since.

        An engine's slowness doesn't fall below its floor until there is
        another sample or value of it.
        """
        changed, self.changed = self.changed, set()
        return {ident: self._floor(ident) for ident in changed}

    def _floor(self, ident: str) -> float:
        """Return the least slowness of an engine over time.

        With time, the weight of its samples falls, and control's value counts
        less, so that the slowness tends to 1 by way of values in between.
        """
        prior, weight_s = min(1.0, self.remote.get(ident, 1.0)), PRIOR_S
        if ident in self.remote:
            weight_s = REMOTE_WEIGHT_S
        total = self.local.get(ident)
        if total is None:
            return _bounded(prior)
        return min(_bounded(prior), slowness(total.sample, prior, weight_s))
