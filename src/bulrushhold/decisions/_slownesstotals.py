"""Sums of speed samples at a control process, and the resulting slowness."""

import typing as t

import attrs

from bulrushhold.decisions import _engineslowness
from bulrushhold import messages

# Minimum time between two computations of all values.
REFRESH_S: t.Final = 0.2
# A value is published again once it differs by this much; a smaller step
# would republish values that alternate between two tenths.
MIN_CHANGE: t.Final = 0.1
# A sum is sent again to other processes once its slowness has changed by this
# much, its weight by this share, or after the time below. It decays there
# meanwhile. More frequent sums would add more than a tenth to the exchange.
MIN_SUM_CHANGE: t.Final = 0.3
MIN_WEIGHT_CHANGE: t.Final = 0.5
RESEND_S: t.Final = 20.0
# Upper bound of recorded changes, in steps of the aggregator's number.
MAX_CHANGES: t.Final = 2000


@attrs.define
class _SentSum:
    """A sum as other processes have it.

    :param number: the aggregator's number as it was sent first.
    """

    sum: _engineslowness.SampleSum
    number: int


class SlownessTotals:
    """Slowness of engines by the samples of all entries.

    The samples of this process's entries are added up; other processes send
    their sums, which replace earlier ones, so that each sample counts once
    even if messages are repeated or lost.

    :ivar values: as published, rounded to a tenth, by engine.
    """

    def __init__(self) -> None:
        self.local: _engineslowness.SampleSums = {}
        self.sent: dict[str, _SentSum] = {}
        self.nodes: dict[str, _engineslowness.SampleSums] = {}
        self.values: dict[str, float] = {}
        self.changed: dict[str, int] = {}
        self.refreshed_at = float('-inf')

    def add(
        self, samples: dict[str, messages.SpeedSample], now: float
    ) -> None:
        """Add the samples of an entry of this process."""
        for ident, sample in samples.items():
            _engineslowness.add_to_sums(self.local, ident, sample, now)

    def apply_node(
        self,
        address: str,
        samples: dict[str, messages.SpeedSample],
        now: float,
        *,
        complete: bool,
    ) -> None:
        """Replace another process's sums by newer ones.

        :param complete: it has no others.
        """
        sums = {} if complete else self.nodes.get(address, {})
        for ident, sample in samples.items():
            sums[ident] = _engineslowness.SampleSum(sample, now)
        self.nodes[address] = sums

    def remove_node(self, address: str) -> None:
        """Remove the sums of another process."""
        self.nodes.pop(address, None)

    def refresh(self, number: int, now: float) -> None:
        """Recompute the values if the last time was long enough ago.

        :param number: recorded for the values that change.
        """
        if 0 <= now - self.refreshed_at < REFRESH_S:
            return
        self.refreshed_at = now
        for sums in (self.local, *self.nodes.values()):
            _drop_negligible(sums, now)
        self._update_sent(number, now)
        current = self._current(now)
        for ident, value in current.items():
            published = self.values.get(ident)
            if published is None or abs(value - published) >= MIN_CHANGE:
                rounded = round(value, 1)
                if rounded != published:
                    self.values[ident] = rounded
                    self.changed[ident] = number
        for ident in self.values.keys() - current.keys():
            del self.values[ident]
            self.changed[ident] = number
        self._prune_changes(number)

    def _current(self, now: float) -> dict[str, float]:
        totals: dict[str, messages.SpeedSample] = {}
        for sums in (self.local, *self.nodes.values()):
            for ident, total in sums.items():
                sample = total.now(now)
                known = totals.get(ident)
                if known is not None:
                    sample = _engineslowness.add_samples(known, sample)
                totals[ident] = sample
        return {
            ident: _engineslowness.slowness(sample)
            for ident, sample in totals.items()
        }

    def _update_sent(self, number: int, now: float) -> None:
        for ident, local in self.local.items():
            sent = self.sent.get(ident)
            if sent is not None and not _differs(sent.sum, local, now):
                continue
            copy = _engineslowness.SampleSum(local.sample, local.updated_at)
            self.sent[ident] = _SentSum(copy, number)
        for ident in self.sent.keys() - self.local.keys():
            del self.sent[ident]

    def _prune_changes(self, number: int) -> None:
        self.changed = {
            ident: changed_at
            for ident, changed_at in self.changed.items()
            if ident in self.values or number - changed_at < MAX_CHANGES
        }

    def changed_since(self, number: int) -> dict[str, float]:
        """Return the values that changed; 1.0 for engines without samples.

        :param number: 0 for all values.
        """
        if not number:
            return dict(self.values)
        return {
            ident: self.values.get(ident, 1.0)
            for ident, changed_at in self.changed.items()
            if changed_at > number
        }

    def sums_since(
        self, number: int, now: float
    ) -> dict[str, messages.SpeedSample]:
        """Return this process's sums that changed, for other processes."""
        samples = {}
        for ident, sent in self.sent.items():
            if sent.number > number:
                sample = sent.sum.now(now)
                samples[ident] = messages.SpeedSample(
                    round(sample.expected_s, 3), round(sample.observed_s, 3)
                )
        return samples


def _differs(
    sent: _engineslowness.SampleSum,
    local: _engineslowness.SampleSum,
    now: float,
) -> bool:
    if sent.updated_at == local.updated_at:
        return False
    if now - sent.updated_at >= RESEND_S:
        return True
    before, after = sent.now(now), local.now(now)
    slowness_before = _engineslowness.slowness(before)
    slowness_after = _engineslowness.slowness(after)
    if abs(slowness_after - slowness_before) >= MIN_SUM_CHANGE:
        return True
    weight = before.expected_s + _engineslowness.PRIOR_S
    return abs(after.expected_s - before.expected_s) >= MIN_SUM_CHANGE * weight


def _drop_negligible(sums: _engineslowness.SampleSums, now: float) -> None:
    """Drop engines of which no entry has reported for long."""
    negligible = [
        ident
        for ident, total in sums.items()
        if total.now(now).expected_s < _engineslowness.NEGLIGIBLE_S
    ]
    for ident in negligible:
        del sums[ident]
