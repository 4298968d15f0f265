"""Distributed rate and concurrency limits with short leases.

The limits of a table row are divided among the entries. A fixed share is
split evenly as a floor that needs no coordination; the rest is granted in
leases by the row's home entry (rendezvous hashing). A lease is never granted
again before it expires, so that the sum over all entries stays within the
row's limits even when a holder is suspended or the home is replaced.
"""

import math
import typing as t

import attrs

from bulrushhold import messages

LEASE_S: t.Final = 2.0
RENEW_S: t.Final = 1.0
# Fraction of each limit that is split evenly without leases.
FLOOR_SHARE: t.Final = 0.1
# Depth of the token bucket, in seconds at the current rate.
BURST_S: t.Final = 1.0
# Headroom for growth until the next renewal.
NEED_FACTOR: t.Final = 1.5


@attrs.define
class _Holder:
    """An entry's lease as recorded by the home.

    :param want: demand that determines the entry's share.
    :param slots: concurrent requests that it may run or is still running.
    """

    want: float
    rate: float = 0.0
    slots: int = 0
    expires_at: float = 0.0


class QuotaHome:
    """Grants leases for the rows that have this entry as their home.

    :param now: monotonic seconds.
    """

    def __init__(self, now: float) -> None:
        self.rows: dict[str, dict[str, _Holder]] = {}
        self.grants_allowed_at = now + LEASE_S

    def homes_changed(self, now: float) -> None:
        """Delay the first grants of rows that may have had another home."""
        self.grants_allowed_at = now + LEASE_S

    def grant(
        self, ask: messages.QuotaAsk, row: messages.Row, now: float
    ) -> messages.QuotaGrant:
        """Grant a lease from the part of the limits that isn't leased.

        A row seen for the first time shortly after the entries changed may
        have leases from its previous home. Nothing is granted for it until
        all of those have expired.
        """
        has_leases = ask.row in self.rows
        holders = self.rows.setdefault(ask.row, {})
        self._expire(holders, now)
        if not has_leases and now < self.grants_allowed_at:
            del self.rows[ask.row]
            return messages.QuotaGrant(0.0, 0, LEASE_S)
        holder = holders.setdefault(ask.holder, _Holder(ask.want))
        others = [h for n, h in holders.items() if n != ask.holder]
        holder.want = ask.want
        share = ask.want / (ask.want + sum(h.want for h in others))
        rate_limit = row.token_rate * (1 - FLOOR_SHARE)
        free_rate = rate_limit - sum(h.rate for h in others)
        holder.rate = max(0.0, min(rate_limit * share, free_rate))
        slot_limit = leased_slots(row, ask.entries)
        free_slots = slot_limit - sum(h.slots for h in others)
        # Slots beyond the holder's need stay available to other holders.
        slots = min(max(1, round(slot_limit * share)), free_slots, ask.need)
        slots = max(0, slots)
        # Running requests count against the limit until they end, although
        # the holder may not replace them.
        holder.slots = max(slots, ask.running)
        holder.expires_at = now + LEASE_S
        return messages.QuotaGrant(holder.rate, slots, LEASE_S)

    def _expire(self, holders: dict[str, _Holder], now: float) -> None:
        for name in [n for n, h in holders.items() if now >= h.expires_at]:
            del holders[name]

    def drop_expired(self, now: float) -> None:
        """Drop expired leases and the rows without any."""
        for key, holders in list(self.rows.items()):
            self._expire(holders, now)
            if not holders:
                del self.rows[key]


def floor_slots(row: messages.Row, entries: int) -> int:
    """Return the concurrent requests that each entry may always run."""
    return math.floor(row.concurrency * FLOOR_SHARE / max(1, entries))


def leased_slots(row: messages.Row, entries: int) -> int:
    """Return the concurrent requests that the home may lease."""
    return row.concurrency - floor_slots(row, entries) * entries


@attrs.define
class QuotaShare:
    """This entry's share of a row's limits: floor plus lease.

    :param lease_start: monotonic seconds at which the lease was requested.
        The lease runs from there, so it ends before the home's record.
    :param tokens: level of the token bucket; negative after a request used
        more than expected.
    """

    row: messages.Row
    entries: int
    rate: float = 0.0
    slots: int = 0
    lease_start: float = -1e9
    running: int = 0
    waiting: int = 0
    tokens: float = 0.0
    refilled_at: float = 0.0
    used_at: float = 0.0

    def apply_grant(self, grant: messages.QuotaGrant, sent: float) -> None:
        """Apply a lease that was requested at ``sent``."""
        self._refill(sent)
        self.rate = grant.rate
        self.slots = grant.slots
        self.lease_start = sent

    def allows(self, now: float) -> bool:
        """Whether another request may start now."""
        self._refill(now)
        if self.row.concurrency and self.running >= self._slot_limit(now):
            return False
        return not self.row.token_rate or self.tokens > 0

    def start(self, expected: float, now: float) -> None:
        """Record the start of a request and deduct its expected tokens."""
        self._refill(now)
        self.running += 1
        self.used_at = now
        self.tokens -= expected

    def finish(self, expected: float, actual: float, now: float) -> None:
        """Record the end of a request and settle its actual tokens."""
        self._refill(now)
        self.running -= 1
        self.used_at = now
        self.tokens += expected - actual

    def retry_after(self, now: float) -> float:
        """Return seconds until tokens are available again."""
        self._refill(now)
        if self.row.token_rate and self.tokens <= 0:
            rate = max(self._rate_limit(now), self.row.token_rate * 0.01)
            return max(1.0, -self.tokens / rate)
        return LEASE_S

    @property
    def need(self) -> int:
        """Concurrent requests that may be needed before the next renewal."""
        return math.ceil(NEED_FACTOR * (self.running + self.waiting)) + 2

    def slots_now(self, now: float) -> int:
        """Return the concurrent requests allowed now."""
        return self._slot_limit(now)

    def has_leased_slots(self, now: float) -> bool:
        """Whether an unexpired lease with slots is held."""
        return self.slots > 0 and self._lease_active(now)

    @property
    def running_on_lease(self) -> int:
        """Concurrent requests beyond the floor."""
        return max(0, self.running - floor_slots(self.row, self.entries))

    @property
    def limited(self) -> bool:
        """Whether the row has any limit."""
        return bool(self.row.concurrency or self.row.token_rate)

    def _lease_active(self, now: float) -> bool:
        return now < self.lease_start + LEASE_S

    def _rate_limit(self, now: float) -> float:
        floor = self.row.token_rate * FLOOR_SHARE / max(1, self.entries)
        return floor + (self.rate if self._lease_active(now) else 0.0)

    def _slot_limit(self, now: float) -> int:
        floor = floor_slots(self.row, self.entries)
        return floor + (self.slots if self._lease_active(now) else 0)

    def _refill(self, now: float) -> None:
        if now <= self.refilled_at:
            return
        rate = self._rate_limit(now)
        refill = rate * min(now - self.refilled_at, BURST_S)
        self.tokens = min(self.tokens + refill, max(1.0, rate * BURST_S))
        self.refilled_at = now
