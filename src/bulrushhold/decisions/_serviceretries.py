"""Retry budget per service, shared by all entries.

While backend servers fail, retries add to the load of the remaining ones.
Each entry may always use its local budget: a share of its own requests and an
equal part of a fixed allowance.

With many entries the local budgets are too small for the loss of a data
centre, although most of the shared budget is unused. So entries also exchange
their traffic, and may exceed the local budget while the total is well below
the limit.
"""

import collections
import typing as t

import attrs

from bulrushhold import messages

# Allows for clock differences and for requests counted by a failed entry.
LOCAL_SHARE_MARGIN: t.Final = 0.8
# Share of the shared budget up to which an entry may exceed its local one. The
# rest covers retries that other entries haven't reported yet: the loss of a
# data centre makes all entries retry its streams at once.
SHARED_LIMIT: t.Final = 0.7
# Refusing to retry a started stream loses the events that its caller received;
# a stream without events is refused as not run, and its caller can retry it.
SHARED_LIMIT_STARTED: t.Final = 0.9
LOAD_REPORT_TTL_S: t.Final = 2.0


@attrs.frozen
class RetryUsage:
    """The retry budget of a service within the window.

    :param used: retries of all entries, as far as known.
    :param allowed: retries that all entries may make.
    :param own_used: retries of this entry.
    :param own_allowed: retries that this entry may make in any case.
    :param load_age_s: age of what is known of other entries.
    """

    used: int
    allowed: float
    own_used: int
    own_allowed: float
    load_age_s: float


class ServiceRetryBudget:
    """Retries per service in a sliding window.

    :param ratio: retries per request.
    :param allowance: additional retries per window, for all entries together.
    :param window_s: length of the window in seconds.
    """

    def __init__(
        self, ratio: float, allowance: float, window_s: float
    ) -> None:
        self.ratio = ratio
        self.allowance = allowance
        self.window_s = window_s
        self.entries = 1
        self.remote_traffic: dict[str, messages.ServiceTraffic] = {}
        self.last_report_at = float('-inf')
        self.request_times: dict[str, collections.deque[float]] = {}
        self.retry_times: dict[str, collections.deque[float]] = {}

    def count_request(self, service: str, now: float) -> None:
        """Count a request received from a caller."""
        self._recent(self.request_times, service, now).append(now)

    def take(self, service: str, now: float, *, begun: bool = False) -> bool:
        """Return whether a retry is allowed, and count it if so.

        :param begun: the caller has received some events.
        """
        requests = len(self._recent(self.request_times, service, now))
        retries = self._recent(self.retry_times, service, now)
        local_budget = self.ratio * requests + self.allowance / max(
            1, self.entries
        )
        within_local_budget = (
            len(retries) + 1 <= local_budget * LOCAL_SHARE_MARGIN
        )
        limit = SHARED_LIMIT_STARTED if begun else SHARED_LIMIT
        if not within_local_budget and not self._has_shared_headroom(
            service, now, limit
        ):
            return False
        retries.append(now)
        return True

    def _has_shared_headroom(
        self, service: str, now: float, limit: float
    ) -> bool:
        remote_traffic = self.remote_traffic.get(service)
        if (
            remote_traffic is None
            or now - self.last_report_at > LOAD_REPORT_TTL_S
        ):
            return False
        requests = remote_traffic.firsts + len(
            self.request_times.get(service, ())
        )
        retries = remote_traffic.repeats + len(
            self.retry_times.get(service, ())
        )
        return retries < limit * (self.ratio * requests + self.allowance)

    def usage(self, service: str, now: float) -> RetryUsage:
        """Return what is used and allowed, for logs and metrics."""
        remote = self.remote_traffic.get(service)
        requests = len(self._recent(self.request_times, service, now))
        own_used = len(self._recent(self.retry_times, service, now))
        own_allowed = self.ratio * requests + self.allowance / max(
            1, self.entries
        )
        if remote is not None:
            requests += remote.firsts
        return RetryUsage(
            own_used + (remote.repeats if remote is not None else 0),
            round(self.ratio * requests + self.allowance, 1),
            own_used,
            round(own_allowed * LOCAL_SHARE_MARGIN, 1),
            round(now - self.last_report_at, 2),
        )

    def apply_loads(
        self, remote_traffic: dict[str, messages.ServiceTraffic], now: float
    ) -> None:
        """Replace the traffic of all other entries within the window."""
        self.remote_traffic = remote_traffic
        self.last_report_at = now

    def traffic(self, now: float) -> dict[str, messages.ServiceTraffic]:
        """Return this entry's traffic within the window, by service."""
        return {
            service: messages.ServiceTraffic(
                len(self._recent(self.request_times, service, now)),
                len(self._recent(self.retry_times, service, now)),
            )
            for service in list(self.request_times)
        }

    def _recent(
        self,
        times_by_service: dict[str, collections.deque[float]],
        service: str,
        now: float,
    ) -> collections.deque[float]:
        times = times_by_service.setdefault(service, collections.deque())
        while times and now - times[0] > self.window_s:
            times.popleft()
        return times
