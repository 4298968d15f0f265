"""Counts and logs responses that aren't valid."""

import collections
import collections.abc as cabc
import time
import typing as t

from bulrushhold import node
from bulrushhold import ports

# At most one line an address is logged in this time.
LOG_INTERVAL_S: t.Final = 1.0
MAX_ADDRESSES: t.Final = 1000


class InvalidResponses:
    """Records what was received on connections and is no valid response.

    :ivar logged_at: when each address was last logged.
    :ivar pending: invalid responses of each address since then.
    """

    def __init__(
        self,
        metrics: ports.Metrics,
        clock: cabc.Callable[[], float] = time.monotonic,
    ) -> None:
        self.metrics = metrics
        self.clock = clock
        self.logged_at: dict[str, float] = {}
        self.pending: collections.Counter[str] = collections.Counter()

    def record(self, address: str, reason: str) -> None:
        """Record one response; see :data:`_connections.InvalidListener`."""
        self.metrics.count('responses.invalid')
        self.pending[address] += 1
        now = self.clock()
        logged_at = self.logged_at.get(address)
        if logged_at is not None and now - logged_at < LOG_INTERVAL_S:
            return
        if len(self.logged_at) >= MAX_ADDRESSES:
            self.logged_at.clear()
            self.pending.clear()
            self.pending[address] = 1
        self.logged_at[address] = now
        node.log_decision(
            'invalid response',
            address=address,
            reason=reason,
            count=self.pending.pop(address),
        )
