"""Sums of attempts at plain servers at a control process."""

import typing as t

import attrs

from bulrushhold.decisions import _serverfailures
from bulrushhold import messages

# Minimum time between two computations of all sums.
REFRESH_S: t.Final = 0.1
# A server's counts are sent again once its share of failures differs by this
# much and by a tenth of it, compared to what the earlier counts have decayed
# to. A change of 0.01 adds a fifth to the cost of a request that can't be
# repeated.
MIN_CHANGE: t.Final = 0.01
MIN_RELATIVE_CHANGE: t.Final = 0.1
# They are also sent if their weight has changed by this share; it no longer
# matters above the bound.
MIN_WEIGHT_CHANGE: t.Final = 0.5
MAX_WEIGHT_ATTEMPTS: t.Final = 50.0
# An entry's part of the sums is dropped below this number of attempts, which
# would then count as another entry's; checked at this interval.
MIN_OWN_ATTEMPTS: t.Final = 0.001
PRUNE_S: t.Final = 5.0


@attrs.frozen
class _Sent:
    """A sum as it was last sent.

    :param number: the aggregator's number as it was sent first.
    """

    sum: _serverfailures.FailureSum
    number: int


class FailureTotals:
    """Attempts at plain servers by all entries.

    The samples of this process's entries are added up; other processes send
    their sums, which replace earlier ones, so that each sample counts once
    even if messages are repeated or lost.

    :ivar local: sums of all entries of this process, by server.
    :ivar entries: their parts, by entry and server. They decay like the sums,
        and are kept for as long if the entry leaves.
    :ivar published: sums of all entries as last sent to entries.
    :ivar sent: local sums as last sent to other processes.
    """

    def __init__(self) -> None:
        self.local: _serverfailures.FailureSums = {}
        self.entries: dict[str, _serverfailures.FailureSums] = {}
        self.nodes: dict[str, _serverfailures.FailureSums] = {}
        self.published: dict[str, _Sent] = {}
        self.sent: dict[str, _Sent] = {}
        self.refreshed_at = float('-inf')
        self.pruned_at = float('-inf')

    def add(
        self,
        entry: str,
        samples: dict[str, messages.FailureSample],
        now: float,
    ) -> None:
        """Add the samples of an entry of this process."""
        if not samples:
            return
        own = self.entries.setdefault(entry, {})
        for ident, sample in samples.items():
            added = _serverfailures.received_sum(sample, now)
            _serverfailures.add_to_sums(self.local, ident, added)
            _serverfailures.add_to_sums(own, ident, added)

    def apply_node(
        self,
        address: str,
        samples: dict[str, messages.FailureSample],
        now: float,
        *,
        complete: bool,
    ) -> None:
        """Replace another process's sums by newer ones.

        :param complete: it has no others.
        """
        sums = {} if complete else self.nodes.get(address, {})
        for ident, sample in samples.items():
            sums[ident] = _serverfailures.received_sum(sample, now)
        self.nodes[address] = sums

    def remove_node(self, address: str) -> None:
        """Remove the sums of another process."""
        self.nodes.pop(address, None)

    def refresh(self, number: int, now: float) -> None:
        """Note which sums have changed if the last time was long enough ago.

        :param number: recorded for the sums that have changed.
        """
        if 0 <= now - self.refreshed_at < REFRESH_S:
            return
        self.refreshed_at = now
        _drop_negligible(self.local, now)
        for sums in self.nodes.values():
            _drop_negligible(sums, now)
        self._prune_entries(now)
        _update_sent(self.sent, self.local, number, now)
        current = {
            ident: self._total(ident)
            for ident in self.local.keys() | _idents(self.nodes)
        }
        _update_sent(self.published, current, number, now)

    def _total(self, ident: str) -> _serverfailures.FailureSum:
        total = _serverfailures.FailureSum(0.0, 0.0, float('-inf'))
        for sums in (self.local, *self.nodes.values()):
            if ident in sums:
                total = total.plus(sums[ident])
        return total

    def _prune_entries(self, now: float) -> None:
        if 0 <= now - self.pruned_at < PRUNE_S:
            return
        self.pruned_at = now
        for entry, sums in list(self.entries.items()):
            _drop_negligible(sums, now, MIN_OWN_ATTEMPTS)
            if not sums:
                del self.entries[entry]

    def others_since(
        self, entry: str, number: int, now: float
    ) -> dict[str, messages.FailureSample]:
        """Return the changed sums of all entries but one.

        What the entry knows of other servers has decayed likewise.

        :param number: 0 for all sums.
        """
        own = self.entries.get(entry, {})
        samples = {}
        for ident, published in self.published.items():
            if published.number <= number:
                continue
            others = self._total(ident)
            if ident in own:
                others = others.minus(own[ident])
            if others.attempts >= _serverfailures.NEGLIGIBLE_ATTEMPTS:
                samples[ident] = others.sample(now)
        return samples

    def sums_since(
        self, number: int, now: float
    ) -> dict[str, messages.FailureSample]:
        """Return this process's sums that changed, for other processes."""
        return {
            ident: sent.sum.sample(now)
            for ident, sent in self.sent.items()
            if sent.number > number
        }


def _idents(nodes: dict[str, _serverfailures.FailureSums]) -> set[str]:
    return {ident for sums in nodes.values() for ident in sums}


def _update_sent(
    sent: dict[str, _Sent],
    current: _serverfailures.FailureSums,
    number: int,
    now: float,
) -> None:
    """Replace the sent sums that differ from the current ones."""
    for ident, total in current.items():
        earlier = sent.get(ident)
        if earlier is None or _differs(earlier.sum, total, now):
            sent[ident] = _Sent(total, number)
    for ident in sent.keys() - current.keys():
        # Others' copies have decayed likewise.
        del sent[ident]


def _differs(
    earlier: _serverfailures.FailureSum,
    total: _serverfailures.FailureSum,
    now: float,
) -> bool:
    before, after = earlier.share(now), total.share(now)
    change = max(MIN_CHANGE, MIN_RELATIVE_CHANGE * before)
    if abs(after - before) >= change:
        return True
    weight_before = min(MAX_WEIGHT_ATTEMPTS, earlier.attempts_now(now))
    weight_after = min(MAX_WEIGHT_ATTEMPTS, total.attempts_now(now))
    weight = weight_before + _serverfailures.PRIOR_ATTEMPTS
    return abs(weight_after - weight_before) >= MIN_WEIGHT_CHANGE * weight


def _drop_negligible(
    sums: _serverfailures.FailureSums,
    now: float,
    attempts: float = _serverfailures.NEGLIGIBLE_ATTEMPTS,
) -> None:
    """Drop servers that haven't been used for long."""
    negligible = [
        ident
        for ident, total in sums.items()
        if total.attempts_now(now) < attempts
    ]
    for ident in negligible:
        del sums[ident]
