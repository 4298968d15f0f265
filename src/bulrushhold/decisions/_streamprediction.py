"""Predicts whether streams can be on time, be late or have to be refused."""

import math
import typing as t

from bulrushhold.decisions import _commitments
from bulrushhold.decisions import _engineroom
from bulrushhold.decisions import _fairshares
from bulrushhold.decisions import _promisedreturns
from bulrushhold.decisions import _streamqueue

# Safety margin of predictions, for pauses and for prompts longer than counted.
MARGIN_S: t.Final = 0.3
# Share of the capacity that predictions rely on.
USABLE_SHARE: t.Final = 0.95
# Share of its budget that a priority fills with streams of accounts which
# request more than their fair level; the rest is for bursts of others.
HEAVY_SHARE: t.Final = 0.9
# Share of the capacity reserved for more urgent streams that others may queue
# for, since more urgent ones can mostly be delayed a little. Without it, 0.97
# instead of 0.99 were on time at 0.9 of the load (eight engines). It decreases
# to 0 at twice the load.
BURST_SHARE: t.Final = 0.6
# An overload is transient while the requested work is below this share of the
# capacity.
TRANSIENT_SHARE: t.Final = 0.95
# Share of the capacity promised to returning callers in a lasting overload.
# They are mostly late, so that each takes the place of one that is on time.
PROMISED_SHARE: t.Final = 0.03
# Callers honour Retry-After up to a third of their remaining time; refusal and
# return take some of it.
HONOURED_SHARE: t.Final = 0.32
MIN_RETRY_AFTER_S: t.Final = 0.5
MAX_RETRY_AFTER_S: t.Final = 60.0
# Added if a return before the caller's limit would be in vain.
BEYOND_LIMIT_S: t.Final = 1.0
SHARES_TTL_S: t.Final = 0.1


class StreamPredictor:
    """Compares streams with the engines and with what is queued."""

    def __init__(
        self,
        ledger: _engineroom.EngineLedger,
        queue: _streamqueue.StreamQueue,
        returns: _promisedreturns.PromisedReturns,
        *,
        partial: bool = False,
    ) -> None:
        self.partial = partial
        self.ledger = ledger
        self.queue = queue
        self.returns = returns
        self.commitments = queue.commitments
        self.rates = _fairshares.DemandRates()
        self.shares: dict[int, _fairshares.PriorityShare] = {}
        self.shares_at = -math.inf
        # By priority, when its minimum share allows the next stream.
        self.minimum_due_at: dict[int, float] = {}

    def start_at(
        self, work: float, objective_s: float, remaining_s: float, now: float
    ) -> float:
        """Return when to start reading a prompt at the latest."""
        prompt_s = work * self.ledger.slowness
        limit_s = min(objective_s, remaining_s) - prompt_s - MARGIN_S
        return now + min(limit_s, _commitments.HORIZON_S)

    def can_be_on_time(
        self, stream: _streamqueue.QueuedStream, now: float
    ) -> bool:
        """Return whether a stream can be on time without delaying others."""
        priority, work = stream.ask.priority, stream.work
        free_at = self.ledger.busy_until(now)
        spare_s = stream.start_at - free_at
        if spare_s < 0:
            return False
        share = self._share(priority, now)
        queued = self._flow_work(stream.flow)
        if queued > 0 and queued > share.level * spare_s:
            return False
        rate, budget = self.rate(), share.budget
        budget += self._burst_share(now) * (rate - budget)
        if self.rates.rate(stream.flow, now) > share.level:
            rate *= HEAVY_SHARE
            budget *= HEAVY_SHARE
        else:
            # The first engine is free before the mean of all, and an account
            # below its fair level comes before the queue of the others.
            free_at = max(now, free_at - work / 2)
        fits = self.commitments.fits
        known = list(self.commitments.work)
        if not self.partial and not fits(
            known, stream.start_at, work, rate, free_at
        ):
            return False
        urgent = [other for other in known if other <= priority]
        if fits(urgent, stream.start_at, work, budget, free_at):
            return True
        return self._has_minimum(stream, spare_s, now) and fits(
            [priority],
            stream.start_at,
            work,
            _fairshares.MIN_PRIORITY_SHARE * rate,
            free_at,
        )

    def can_still_be_on_time(
        self, stream: _streamqueue.QueuedStream, now: float
    ) -> bool:
        """Return whether a stream that was queued fits after a loss."""
        return self.ledger.suits(stream.ask) and self.commitments.fits(
            list(self.commitments.work),
            stream.start_at,
            stream.work,
            self.rate(),
            self.ledger.busy_until(now),
        )

    def can_wait(self, stream: _streamqueue.QueuedStream, now: float) -> bool:
        """Return whether a stream that can't be on time will be served.

        The share kept for such streams suffices for it even if the overload
        turns out to last.
        """
        return not self._overload_lasts(now) and self.has_late_share(
            stream, self.queue.late_work, now
        )

    def has_late_share(
        self,
        stream: _streamqueue.QueuedStream,
        late_work: float,
        now: float,
    ) -> bool:
        """Return whether a late stream is served before its caller gives up.

        :param late_work: work of the late streams before it.
        """
        prompt_s = stream.work * self.ledger.slowness
        start_at = stream.give_up_at - prompt_s - MARGIN_S
        horizon_s = start_at - self.ledger.busy_until(now)
        rate = _streamqueue.LATE_SHARE * self.ledger.capacity
        return late_work + stream.work <= rate * horizon_s

    def count_minimum(
        self, stream: _streamqueue.QueuedStream, now: float
    ) -> None:
        """Count a served stream in its priority's minimum share."""
        rate = _fairshares.MIN_PRIORITY_SHARE * self.rate()
        if not rate:
            return
        priority = stream.ask.priority
        interval_s = stream.work / rate
        due_at = max(now, self.minimum_due_at.get(priority, now))
        # What it got beyond the minimum delays its next turn by one interval.
        due_at = min(due_at, now + interval_s) + interval_s
        self.minimum_due_at[priority] = due_at

    def retry_after_s(
        self, stream: _streamqueue.QueuedStream, now: float
    ) -> float:
        """Return when to retry; reserve the work if the caller can."""
        drain_s = max(MIN_RETRY_AFTER_S, self._drain_s(stream, now))
        limit_s = HONOURED_SHARE * stream.ask.remaining_s
        if drain_s <= limit_s and self._can_promise(stream, drain_s, now):
            self.returns.promise(
                stream.ask.fingerprint,
                stream.flow,
                stream.work,
                now + drain_s,
            )
            return drain_s
        # No return that the caller would still make can be served: with a time
        # within the limit it would come back and be refused again.
        limit_s = min(stream.ask.remaining_s / 3, MAX_RETRY_AFTER_S)
        return max(limit_s + BEYOND_LIMIT_S, min(drain_s, MAX_RETRY_AFTER_S))

    def rate(self) -> float:
        """Return the work per second for streams that can be on time."""
        rate = USABLE_SHARE * self.ledger.capacity
        if self.queue.late_work > 0:
            rate -= _streamqueue.LATE_SHARE * self.ledger.capacity
        return rate

    def deficit(self, spare_s: float, now: float) -> float:
        """Return the work that can't be started with ``spare_s`` to spare."""
        free_at = self.ledger.busy_until(now) + spare_s
        return self.commitments.deficit(self.rate(), free_at)

    def _has_minimum(
        self, stream: _streamqueue.QueuedStream, spare_s: float, now: float
    ) -> bool:
        """Return whether its priority has had less than its minimum share."""
        due_at = self.minimum_due_at.get(stream.ask.priority, -math.inf)
        return len(self.shares) > 1 and now >= due_at - spare_s / 4

    def _flow_work(self, flow: _fairshares.Flow) -> float:
        promised = self.returns.flow_work.get(flow, 0.0)
        return self.queue.flow_work(flow) + promised

    def _drain_s(self, stream: _streamqueue.QueuedStream, now: float) -> float:
        """Return the time until the queue of a stream's flow has drained."""
        share = self._share(stream.ask.priority, now)
        busy_s = self.ledger.busy_until(now) - now
        if not share.budget or not share.level:
            return math.inf
        work = self._flow_work(stream.flow)
        ahead = self.commitments.total(stream.ask.priority)
        ahead += self.queue.late_work
        return busy_s + max(work / share.level, ahead / share.budget)

    def _can_promise(
        self,
        stream: _streamqueue.QueuedStream,
        return_s: float,
        now: float,
    ) -> bool:
        """Return whether a stream that returns will be served."""
        if self.partial or not self.ledger.suits(stream.ask):
            return False
        start_s = return_s + _promisedreturns.LATE_RETURN_S
        prompt_s = stream.work * self.ledger.slowness
        if start_s + prompt_s + MARGIN_S > stream.ask.remaining_s:
            return False
        share = (
            PROMISED_SHARE
            if self._overload_lasts(now)
            else _streamqueue.LATE_SHARE
        )
        promised = self.returns.work + stream.work
        if promised > share * self.ledger.capacity * start_s:
            return False
        return self.commitments.fits(
            list(self.commitments.work),
            now + start_s,
            stream.work,
            self.rate(),
            self.ledger.busy_until(now),
        )

    def _burst_share(self, now: float) -> float:
        excess = self._offered(now) / self.ledger.capacity - 1
        return BURST_SHARE * min(1.0, max(0.0, 1 - excess))

    def _overload_lasts(self, now: float) -> bool:
        return self._offered(now) > TRANSIENT_SHARE * self.ledger.capacity

    def _offered(self, now: float) -> float:
        """Return the requested work per second."""
        return sum(share.demand for share in self._shares(now).values())

    def _shares(self, now: float) -> dict[int, _fairshares.PriorityShare]:
        if now - self.shares_at >= SHARES_TTL_S:
            self.shares_at = now
            self.shares = _fairshares.divide(
                self.rates.demands(now), self.rate()
            )
        return self.shares

    def _share(self, priority: int, now: float) -> _fairshares.PriorityShare:
        share = self._shares(now).get(priority)
        if share is None:
            self.shares_at = -math.inf
            share = self._shares(now).get(priority)
        # Known tickets and returns aren't counted as demand.
        return share or _fairshares.PriorityShare(
            0.0, _fairshares.MIN_PRIORITY_SHARE * self.rate(), math.inf
        )
