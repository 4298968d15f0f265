"""A budget of repeated requests, shared by all entries.

While backend servers fail, each repeat adds to the load of those that
are left. Each entry may always use its own part of what all may send: a
share of its own requests, which add up over entries by themselves, and an
equal part of a fixed allowance.

That part is small where there are many entries: with 67 of them, four
repeats in ten seconds, too few for the streams of one lost data centre
though all together use a fifth of the budget. So entries also hear of each
other's traffic, and while all together are far from the bound, each may
go beyond its part.
"""

import collections
import typing as t

from bulrushhold import messages

# Clocks and windows of entries differ a little, and requests that clients
# send to an entry that is just being lost count nowhere.
LOCAL_SHARE_MARGIN: t.Final = 0.8
# What others sent is known 0.1 s late. A data centre's loss makes all entries
# repeat at once what ran there: at 90 engines and 200 streams some 70 repeats,
# a fifth of the budget, before their news arrives.
SHARED_LIMIT: t.Final = 0.7
# A stream that was lost midway can't be refused any more: its caller would
# have to ask for it all again. One that has shown nothing is refused as not
# run instead, and comes back as a request of its own.
SHARED_LIMIT_STARTED: t.Final = 0.9
LOAD_REPORT_TTL_S: t.Final = 2.0


class RepeatBudget:
    """Repeats per service over a sliding window.

    :param ratio: repeats for each first sending.
    :param allowance: repeats in a window besides, of all entries.
    :param window_s: seconds.
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
        self.firsts: dict[str, collections.deque[float]] = {}
        self.repeats: dict[str, collections.deque[float]] = {}

    def first(self, service: str, now: float) -> None:
        """Count a request that a caller sent for the service."""
        self._recent(self.firsts, service, now).append(now)

    def take(self, service: str, now: float, *, begun: bool = False) -> bool:
        """Whether one more repeat may be sent; it is then counted.

        :param begun: the caller has a part of the answer.
        """
        firsts = len(self._recent(self.firsts, service, now))
        repeats = self._recent(self.repeats, service, now)
        local_budget = self.ratio * firsts + self.allowance / max(
            1, self.entries
        )
        within_local_budget = (
            len(repeats) + 1 <= local_budget * LOCAL_SHARE_MARGIN
        )
        limit = SHARED_LIMIT_STARTED if begun else SHARED_LIMIT
        if not within_local_budget and not self._has_shared_headroom(
            service, now, limit
        ):
            return False
        repeats.append(now)
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
        firsts = remote_traffic.firsts + len(self.firsts.get(service, ()))
        repeats = remote_traffic.repeats + len(self.repeats.get(service, ()))
        return repeats < limit * (self.ratio * firsts + self.allowance)

    def apply_loads(
        self, remote_traffic: dict[str, messages.ServiceTraffic], now: float
    ) -> None:
        """Learn what all other entries sent within the window."""
        self.remote_traffic = remote_traffic
        self.last_report_at = now

    def traffic(self, now: float) -> dict[str, messages.ServiceTraffic]:
        """Return what this entry sent within the window, by service."""
        return {
            service: messages.ServiceTraffic(
                len(self._recent(self.firsts, service, now)),
                len(self._recent(self.repeats, service, now)),
            )
            for service in list(self.firsts)
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
