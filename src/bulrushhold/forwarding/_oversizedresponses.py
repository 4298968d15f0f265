"""Leaves servers alone for a time whose responses exceed a limit."""

import collections.abc as cabc
import time
import typing as t

from bulrushhold import decisions
from bulrushhold import node
from bulrushhold import ports

# Longer than after a lost connection: a server that sends without end costs
# time in the event loop, and requests that can't be repeated.
EJECTION_S: t.Final = 5.0


class OversizedResponses:
    """Ejects, counts and logs servers with oversized responses.

    They aren't recorded as lost: they answer, and nothing shows a crash.
    """

    def __init__(
        self,
        placement: decisions.Placement,
        metrics: ports.Metrics,
        clock: cabc.Callable[[], float] = time.monotonic,
    ) -> None:
        self.placement = placement
        self.metrics = metrics
        self.clock = clock

    def record(self, address: str, byte_count: int, reason: str) -> None:
        """Record that a response was ended.

        :param byte_count: bytes received by then.
        :param reason: what exceeded its limit.
        """
        self.metrics.count('responses.oversized')
        backend = self.placement.backend_at(address)
        if backend is not None:
            backend.ejected_until = self.clock() + EJECTION_S
        node.log_decision(
            'response too large',
            backend=backend.ident if backend is not None else '',
            address=address,
            bytes=byte_count,
            reason=reason,
            ejected_s=EJECTION_S if backend is not None else 0.0,
        )
