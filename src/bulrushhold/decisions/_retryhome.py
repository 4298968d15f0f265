"""Grants retries from the part of each retry budget that entries share.

One control process, the home of the service, counts what it grants. Sums of
reports would allow all entries to spend the same remainder until the next
report.
"""

import collections
import collections.abc as cabc
import random
import typing as t

import attrs

from bulrushhold.decisions import _homes
from bulrushhold import messages

# Share of the pool for requests without events: they are refused as not run,
# while a stream that has begun would lose what its caller received.
OTHER_SHARE: t.Final = 0.8
# An entry uses a grant within this time after it was made.
GRANT_TTL_S: t.Final = 0.25
# Grants are counted by intervals of this length.
INTERVAL_S: t.Final = 0.25
# Entries and processes agree on a new home within this time.
TAKEOVER_S: t.Final = 1.0
# A copy that is older may lack grants. Homes send one more often.
COPY_TTL_S: t.Final = 2.5
MIN_HOLD_S: t.Final = 0.1
MAX_HOLD_S: t.Final = 2.0
# Until an entry names the window of a budget.
DEFAULT_WINDOW_S: t.Final = 10.0
# Asks that a home answers without retries to grant.
EMPTY_ASKS_PER_S: t.Final = 150.0
# Entries that ask within this time share these asks.
ASKING_TTL_S: t.Final = 2.0
# Interval of the summaries in the log.
SUMMARY_S: t.Final = 5.0
# Entries that a summary names.
NAMED_ENTRIES: t.Final = 5


@attrs.frozen
class RetryGrants:
    """What the home of a service has granted, for logs.

    :param granted: within the window.
    :param pool: what may be granted within the window.
    :param complete: whether all grants are known; else it grants nothing.
    :param entries: number of entries that have asked lately.
    :param most: entries that were granted most since the last summary.
    """

    service: str
    granted: int
    pool: float
    complete: bool
    entries: int
    most: dict[str, int]


@attrs.define
class _Pool:
    """What has been granted for one service.

    :param size: what may be granted within the window.
    :param grants: end of each interval and number of grants in it.
    :param complete_at: when the record was last known to hold all grants.
    :param asked_at: when each entry last asked, the latest one last.
    :param by_entry: grants since the last summary.
    """

    window_s: float = DEFAULT_WINDOW_S
    grants: collections.deque[tuple[float, int]] = attrs.field(
        factory=collections.deque
    )
    total: int = 0
    complete_at: float = float('-inf')
    asked_at: dict[str, float] = attrs.field(factory=dict)
    size: float = 0.0
    by_entry: collections.Counter[str] = attrs.field(
        factory=collections.Counter
    )

    def expire(self, now: float) -> None:
        """Drop grants whose retries have left every window."""
        kept_s = self.window_s + GRANT_TTL_S
        while self.grants and now - self.grants[0][0] > kept_s:
            self.total -= self.grants.popleft()[1]

    def add(self, count: int, now: float) -> None:
        """Count grants as of the end of their interval."""
        if self.grants and now < self.grants[-1][0]:
            end, before = self.grants.pop()
            self.grants.append((end, before + count))
        else:
            self.grants.append((now + INTERVAL_S, count))
        self.total += count

    def delay(self, count: int, now: float) -> None:
        """Count grants as of now instead, the oldest ones.

        Which ones they were isn't known; the others then count for longer
        than they need to.
        """
        missing = count
        while self.grants and missing:
            end, before = self.grants.popleft()
            self.total -= before
            kept = max(0, before - missing)
            missing -= before - kept
            if kept:
                self.grants.appendleft((end, kept))
                self.total += kept
        self.add(count, now)

    def merge(self, copy: messages.RetryPoolCopy, now: float) -> None:
        """Count as many grants since any time as either record does."""
        other = [(now - age_s, count) for age_s, count in copy.grants]
        ends = sorted({end for end, _ in (*self.grants, *other)})
        merged: collections.deque[tuple[float, int]] = collections.deque()
        total = 0
        for end in reversed(ends):
            since = max(_count_since(g, end) for g in (self.grants, other))
            if since > total:
                merged.appendleft((end, since - total))
                total = since
        self.grants, self.total = merged, total

    def record_ask(self, entry: str, now: float) -> None:
        """Record that an entry asks, and forget those that no longer do."""
        self.asked_at.pop(entry, None)
        self.asked_at[entry] = now
        while now - next(iter(self.asked_at.values())) > ASKING_TTL_S:
            del self.asked_at[next(iter(self.asked_at))]


class RetryHome:
    """Grants retries for the services that have this process as home.

    A process that hasn't been the home for a whole window grants nothing,
    unless another process has handed it the record of the home before.

    :param address: of this process.
    :param now: time of its start.
    :param first_start: the whole system starts for the first time, so that
        nothing can have been granted before.
    """

    def __init__(
        self,
        address: str,
        rng: random.Random,
        now: float,
        *,
        first_start: bool = False,
    ) -> None:
        self.address = address
        self.rng = rng
        self.pools: dict[str, _Pool] = {}
        self.initially_complete_at = now if first_start else float('-inf')
        # Lists of control processes, and since when each was known.
        self.node_lists: collections.deque[
            tuple[float, list[messages.ControlNode]]
        ] = collections.deque([(now, [])])

    def update_nodes(
        self, nodes: list[messages.ControlNode], now: float
    ) -> None:
        """Replace the list of control processes."""
        self.node_lists.append((now, nodes))

    def record_isolation(self, now: float) -> None:
        """Forget who was the home: this process has missed lists."""
        nodes = self.node_lists[-1][1]
        self.node_lists = collections.deque([(now, []), (now, nodes)])

    def home(self, service: str) -> str:
        """Return the address of a service's home; ``''`` if there is none."""
        return _homes.home_address(service, self.node_lists[-1][1])

    def _home_since(self, service: str, window_s: float, now: float) -> float:
        """Return since when this process has been a service's home."""
        while (
            len(self.node_lists) > 1
            and now - self.node_lists[1][0] > window_s + GRANT_TTL_S
        ):
            self.node_lists.popleft()
        since = now
        for at, nodes in reversed(self.node_lists):
            if _homes.home_address(service, nodes) != self.address:
                break
            since = at
        return since

    def _is_complete(self, service: str, pool: _Pool, now: float) -> bool:
        """Whether all grants of the window are in the record."""
        if self.home(service) != self.address:
            return now - pool.complete_at <= COPY_TTL_S
        since = self._home_since(service, pool.window_s, now)
        was_handed_over = pool.complete_at >= since - COPY_TTL_S
        if now - since > pool.window_s + GRANT_TTL_S or (
            was_handed_over and now - since >= TAKEOVER_S
        ):
            pool.complete_at = now
            return True
        return False

    def grant(self, ask: messages.RetryAsk, now: float) -> messages.RetryGrant:
        """Grant what is left of the pool, streams that have begun first."""
        if self.home(ask.service) != self.address:
            return messages.RetryGrant(0, 0, MIN_HOLD_S)
        pool = self._pool(ask.service)
        pool.window_s = ask.window_s
        pool.record_ask(ask.entry, now)
        pool.expire(now)
        if not self._is_complete(ask.service, pool, now):
            return messages.RetryGrant(0, 0, self._hold_s(pool, now))
        size = pool.size = ask.pool
        begun = _part(ask.begun, size - pool.total)
        other = _part(ask.other, OTHER_SHARE * size - pool.total - begun)
        if begun or other:
            pool.add(begun + other, now)
            pool.by_entry[ask.entry] += begun + other
        hold_s = 0.0
        if (begun, other) != (ask.begun, ask.other):
            hold_s = self._hold_s(pool, now)
        return messages.RetryGrant(begun, other, hold_s)

    def _pool(self, service: str) -> _Pool:
        if service not in self.pools:
            self.pools[service] = _Pool(complete_at=self.initially_complete_at)
        return self.pools[service]

    def _hold_s(self, pool: _Pool, now: float) -> float:
        """Return a random time after which an entry should ask again."""
        turn_s = len(pool.asked_at) / EMPTY_ASKS_PER_S
        hold_s = min(MAX_HOLD_S, max(MIN_HOLD_S, turn_s))
        return self.rng.uniform(0.5, 1.0) * hold_s

    def take_summaries(self, now: float) -> list[RetryGrants]:
        """Return what was granted for each service that entries ask for."""
        summaries = []
        for service, pool in self.pools.items():
            recent = [a for a in pool.asked_at.values() if now - a < SUMMARY_S]
            if not recent or self.home(service) != self.address:
                continue
            pool.expire(now)
            summaries.append(
                RetryGrants(
                    service,
                    pool.total,
                    round(pool.size, 1),
                    self._is_complete(service, pool, now),
                    len(recent),
                    dict(pool.by_entry.most_common(NAMED_ENTRIES)),
                )
            )
            pool.by_entry.clear()
        return summaries

    # Copies, for the loss of this process or of another home

    def receive(self, copy: messages.RetryPoolCopy, now: float) -> None:
        """Add what the record of another process holds beyond this one."""
        pool = self._pool(copy.service)
        pool.window_s = copy.window_s
        pool.expire(now)
        pool.complete_at = now
        pool.merge(copy, now)

    def next_home(self, service: str) -> str:
        """Return the address of the home after the loss of this process."""
        return _homes.next_home_address(
            service, self.node_lists[-1][1], self.address
        )

    def record_granted(self, service: str, count: int, now: float) -> None:
        """Count what another process has granted as the home of a service."""
        self._pool(service).add(count, now)

    def record_delay(self, service: str, count: int, now: float) -> None:
        """Count retries as of now that were granted before."""
        if self.home(service) == self.address:
            self._pool(service).delay(count, now)

    def copies(
        self, services: cabc.Iterable[str], now: float
    ) -> list[tuple[str, messages.RetryPoolCopy]]:
        """Return the records that other processes should have.

        :param services: the services that have a home.
        :return: pairs of an address and a message: the home of the service,
            or the next one if this process is the home.
        """
        copies = []
        for service in services:
            pool = self._pool(service)
            pool.expire(now)
            address = self.home(service)
            if address == self.address:
                address = self.next_home(service)
            if address and self._is_complete(service, pool, now):
                grants = [
                    (round(now - at, 3), count) for at, count in pool.grants
                ]
                copies.append(
                    (
                        address,
                        messages.RetryPoolCopy(service, pool.window_s, grants),
                    )
                )
        return copies


def _count_since(
    grants: cabc.Iterable[tuple[float, int]], since: float
) -> int:
    return sum(count for end, count in grants if end >= since)


def _part(count: int, free: float) -> int:
    return max(0, min(count, int(free)))
