"""Retry budget per service, shared by all entries.

While backend servers fail, retries add to the load of the remaining ones.
Each entry may always use its own share: a part of what its own requests and an
equal part of a fixed allowance permit. The other part, the pool, is granted by
the home of the service (:mod:`_retryhome`), so that retries go where they are
needed: with many entries the own shares are too small for the loss of a data
centre. The two parts never overlap, so that their sum stays within the budget
whatever an entry knows of the others.
"""

import collections
import enum
import random
import typing as t

import attrs

from bulrushhold import messages

# Shares of the budget that entries have without asking, and that homes grant.
# Entries without need of a retry leave the first one unused. The rest is for
# retries that reach servers late.
OWN_SHARE: t.Final = 0.2
POOL_SHARE: t.Final = 0.7
# If entries' parts of the allowance are smaller, they are in the pool instead:
# most entries that need a retry couldn't use their part.
MIN_OWN_ALLOWANCE: t.Final = 1.0
# Share of that for requests that were retried often before.
FURTHER_SHARE: t.Final = 0.5
LOAD_REPORT_TTL_S: t.Final = 2.0


class RetryPriority(enum.IntEnum):
    """What a retry is worth; lower values are worth more."""

    # The caller has received events, which would be lost.
    BEGUN = 0
    # Another server may serve it.
    OTHER_SERVER = 1
    # The request was rejected by as many servers as may run it.
    FURTHER = 2


@attrs.frozen
class RetryUsage:
    """The retry budget of a service within the window.

    :param used: retries of all entries, as far as known.
    :param allowed: retries that all entries may make.
    :param own_used: retries of this entry within its own share.
    :param own_allowed: this entry's own share.
    :param granted: retries of this entry that the home granted.
    :param load_age_s: age of what is known of other entries.
    """

    used: int
    allowed: float
    own_used: int
    own_allowed: float
    granted: int
    load_age_s: float


class _Times:
    """Times of events within a sliding window, by service."""

    def __init__(self, window_s: float) -> None:
        self.window_s = window_s
        self.by_service: dict[str, collections.deque[float]] = {}

    def add(self, service: str, now: float) -> None:
        self.by_service.setdefault(service, collections.deque()).append(now)

    def move(self, service: str, at: float, now: float) -> None:
        """Move an event to ``now``, also if it has left the window."""
        times = self.by_service.setdefault(service, collections.deque())
        if at in times:
            times.remove(at)
        times.append(now)

    def count(self, service: str, now: float) -> int:
        times = self.by_service.get(service)
        if times is None:
            return 0
        while times and now - times[0] > self.window_s:
            times.popleft()
        return len(times)


class ServiceRetryBudget:
    """Retries per service in a sliding window.

    :param ratio: retries per request.
    :param allowance: additional retries per window, for all entries together.
    :param window_s: length of the window in seconds.
    :param started_at: when this entry started. Until a window has passed, it
        has no part of the allowance, which it may have spent before.
    :ivar rounding: added to a share of less than one retry. It is random, so
        that of many entries with such shares as many may retry as all these
        shares allow together.
    """

    def __init__(
        self,
        ratio: float,
        allowance: float,
        window_s: float,
        started_at: float = float('-inf'),
    ) -> None:
        self.ratio = ratio
        self.allowance = allowance
        self.window_s = window_s
        self.entries = 1
        self.rounding = random.random()
        self.clear(started_at)

    def clear(self, now: float) -> None:
        """Forget all that was counted, as an entry that starts at ``now``."""
        self.started_at = now
        self.listed: collections.deque[tuple[float, int]] = collections.deque()
        self.reports: collections.deque[
            tuple[float, dict[str, messages.ServiceTraffic]]
        ] = collections.deque()
        self.requests = _Times(self.window_s)
        self.own_retries = _Times(self.window_s)
        self.granted_retries = _Times(self.window_s)

    def update_entries(self, count: int, now: float) -> None:
        """Replace the number of entries; those that left have had a share."""
        self.entries = count
        self.listed.append((now, count))
        self._expire_counts(now)

    def recent_entries(self, now: float) -> int:
        """Return the most entries listed within the window, at least 1."""
        return max(self._recent_counts(now))

    def _expire_counts(self, now: float) -> None:
        # The first one was listed until the second came.
        while len(self.listed) > 1 and now - self.listed[1][0] > self.window_s:
            self.listed.popleft()

    def _recent_counts(self, now: float) -> list[int]:
        """Return the numbers of entries that were listed in the window."""
        self._expire_counts(now)
        return [max(1, self.entries), *(count for _, count in self.listed)]

    def apply_loads(
        self, traffic: dict[str, messages.ServiceTraffic], now: float
    ) -> None:
        """Replace the traffic of all other entries within the window."""
        self.reports.append((now, traffic))
        while now - self.reports[0][0] > LOAD_REPORT_TTL_S:
            self.reports.popleft()

    def count_request(self, service: str, now: float) -> None:
        """Count a request received from a caller."""
        self.requests.add(service, now)

    def count_granted(self, service: str, now: float) -> None:
        """Count a retry that the home of the service granted."""
        self.granted_retries.add(service, now)

    def take(
        self,
        service: str,
        now: float,
        priority: RetryPriority = RetryPriority.OTHER_SERVER,
    ) -> bool:
        """Return whether this entry's share allows a retry; count it if so."""
        share = self._own_share(service, now)
        if priority is RetryPriority.FURTHER:
            share *= FURTHER_SHARE
        if share < 1.0:
            share += self.rounding
        if self.own_retries.count(service, now) + 1 > share:
            return False
        self.own_retries.add(service, now)
        return True

    def record_delay(
        self, service: str, taken_at: float, now: float, *, granted: bool
    ) -> None:
        """Record that a retry is sent only now.

        :param taken_at: when it was counted.
        :param granted: whether the home of the service granted it.
        """
        retries = self.granted_retries if granted else self.own_retries
        retries.move(service, taken_at, now)

    def _own_share(self, service: str, now: float) -> float:
        requests = self.requests.count(service, now)
        share = OWN_SHARE * self.ratio * requests
        allowance = OWN_SHARE * self.allowance / self.recent_entries(now)
        if self._is_settled(now) and allowance >= MIN_OWN_ALLOWANCE:
            share += allowance
        return share

    def _is_settled(self, now: float) -> bool:
        """Whether this entry has known the list of entries for a window."""
        return now - self.started_at > self.window_s

    def pool(self, service: str, now: float) -> float:
        """Return the retries that the home may grant within the window.

        Parts of the allowance are in it once no entry has had one of its own
        for a window.
        """
        pool = POOL_SHARE * self.allowed(service, now)
        fewest = min(self._recent_counts(now))
        part = OWN_SHARE * self.allowance / fewest
        if self._is_settled(now) and part < MIN_OWN_ALLOWANCE:
            pool += OWN_SHARE * self.allowance
        return pool

    def allowed(self, service: str, now: float) -> float:
        """Return the retries that all entries may make within the window.

        Entries that change their control process are counted twice for a
        while, so that the lowest of several sums counts.
        """
        others = min(
            (
                traffic[service].firsts if service in traffic else 0
                for at, traffic in self.reports
                if now - at <= LOAD_REPORT_TTL_S
            ),
            default=0,
        )
        requests = others + self.requests.count(service, now)
        return self.ratio * requests + self.allowance

    def usage(self, service: str, now: float) -> RetryUsage:
        """Return what is used and allowed, for logs and metrics."""
        own_used = self.own_retries.count(service, now)
        granted = self.granted_retries.count(service, now)
        reported_at, traffic = (
            self.reports[-1] if self.reports else (float('-inf'), {})
        )
        others = traffic[service].repeats if service in traffic else 0
        return RetryUsage(
            own_used + granted + others,
            round(self.allowed(service, now), 1),
            own_used,
            round(self._own_share(service, now), 1),
            granted,
            round(now - reported_at, 2),
        )

    def traffic(self, now: float) -> dict[str, messages.ServiceTraffic]:
        """Return this entry's traffic within the window, by service."""
        return {
            service: messages.ServiceTraffic(
                self.requests.count(service, now),
                self.own_retries.count(service, now)
                + self.granted_retries.count(service, now),
            )
            for service in list(self.requests.by_service)
        }
