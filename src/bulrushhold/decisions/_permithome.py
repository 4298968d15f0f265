"""Grants permits to send requests to servers with a request limit.

All entries ask the same control process, the home of the server, for each
request. A limit is often lower than the number of entries, so that a rate
leased to each of them would allow either none or one request each at once.
"""

import random
import typing as t

import attrs

from bulrushhold.decisions import _requestlimits
from bulrushhold import messages

# Share of a limit that the home grants; entries without contact to it divide
# the rest.
HOME_SHARE: t.Final = 1 - _requestlimits.FLOOR_SHARE
# Requests that a limit left unused may be made up for.
BURST_REQUESTS: t.Final = 1
# Entries that ask within this time share a server.
ASKING_TTL_S: t.Final = 2.0
# Longest time for which an entry without a permit asks no further.
MAX_HOLD_S: t.Final = 1.0
# Meters that nobody asks for are dropped after this time.
METER_TTL_S: t.Final = 60.0


@attrs.define
class _Meter:
    """The rate limiter of one server, after the generic cell rate algorithm.

    :param per_s: the newest known limit.
    :param as_of: when it was known to be in force.
    :param next_at: when the next request is due at the granted rate.
    :param asked_at: when each entry last asked, the latest one last.
    """

    per_s: float
    as_of: float
    next_at: float
    asked_at: dict[str, float] = attrs.field(factory=dict)

    def change_rate(self, per_s: float, now: float) -> None:
        """Change the limit; the permits granted ahead count as before."""
        if self.next_at > now:
            self.next_at = now + (self.next_at - now) * self.per_s / per_s
        self.per_s = per_s

    def record_ask(self, entry: str, now: float) -> None:
        """Record that an entry asks, and forget those that no longer do."""
        self.asked_at.pop(entry, None)
        self.asked_at[entry] = now
        while now - next(iter(self.asked_at.values())) > ASKING_TTL_S:
            del self.asked_at[next(iter(self.asked_at))]


class PermitHome:
    """Grants the permits of the servers that have this process as home.

    A new home starts without unused permits, so that a limit is exceeded no
    longer than entries disagree on the home.
    """

    def __init__(self, rng: random.Random) -> None:
        self.rng = rng
        self.meters: dict[str, _Meter] = {}

    def grant(
        self, ask: messages.PermitAsk, now: float
    ) -> messages.PermitGrant:
        """Grant a permit that is due within the time that a request has.

        Permits are granted in the order in which entries ask.
        """
        meter = self._meter(ask, now)
        meter.record_ask(ask.entry, now)
        interval_s = 1 / (HOME_SHARE * meter.per_s)
        earliest_at = meter.next_at - BURST_REQUESTS * interval_s
        wait_s = max(0.0, earliest_at - now)
        if wait_s > ask.max_wait_s:
            hold_s = max(wait_s, self._hold_s(meter))
            return messages.PermitGrant(False, wait_s, hold_s)
        meter.next_at = max(meter.next_at, now) + interval_s
        return messages.PermitGrant(True, wait_s)

    def _meter(self, ask: messages.PermitAsk, now: float) -> _Meter:
        as_of = now - ask.age_s
        meter = self.meters.get(ask.server)
        if meter is None:
            self._drop_unused(now)
            interval_s = 1 / (HOME_SHARE * ask.per_s)
            meter = self.meters[ask.server] = _Meter(
                ask.per_s, as_of, now + BURST_REQUESTS * interval_s
            )
        elif as_of >= meter.as_of:
            meter.change_rate(ask.per_s, now)
            meter.as_of = as_of
        return meter

    def _hold_s(self, meter: _Meter) -> float:
        """Return a random time after which an entry should ask again.

        It grows with the number of entries that ask, whose questions would
        otherwise be far more than the permits.
        """
        turn_s = len(meter.asked_at) / (HOME_SHARE * meter.per_s)
        return self.rng.uniform(0.5, 1.0) * min(MAX_HOLD_S, turn_s)

    def _drop_unused(self, now: float) -> None:
        self.meters = {
            server: meter
            for server, meter in self.meters.items()
            if now - max(meter.asked_at.values(), default=now) < METER_TTL_S
        }
