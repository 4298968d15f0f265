"""Promised return times of refused callers, with work reserved."""

import heapq
import typing as t

import attrs

from bulrushhold.decisions import _commitments
from bulrushhold.decisions import _fairshares

# Returns may be early by the time that the refusal took to the caller's entry,
# and late by connection setup.
EARLY_RETURN_S: t.Final = 0.3
LATE_RETURN_S: t.Final = 1.0


@attrs.frozen
class PromisedReturn:
    """One caller's promised return.

    :param start_at: latest time to grant an engine.
    :param step: step of the reserved work among the commitments.
    """

    flow: _fairshares.Flow
    work: float
    return_at: float
    start_at: float
    step: int


class PromisedReturns:
    """Promised returns by fingerprint of the request.

    :param commitments: where the work of returns is reserved.
    """

    def __init__(self, commitments: _commitments.Commitments) -> None:
        self.commitments = commitments
        self.returns: dict[str, PromisedReturn] = {}
        self.expiries: list[tuple[float, str]] = []
        self.work = 0.0
        self.flow_work: dict[_fairshares.Flow, float] = {}

    def promise(
        self,
        fingerprint: str,
        flow: _fairshares.Flow,
        work: float,
        return_at: float,
    ) -> None:
        """Reserve work for a caller that returns at ``return_at``."""
        self.take(fingerprint)
        start_at = return_at + LATE_RETURN_S
        step = self.commitments.add(flow[0], start_at, work)
        self.returns[fingerprint] = PromisedReturn(
            flow, work, return_at, start_at, step
        )
        heapq.heappush(self.expiries, (start_at, fingerprint))
        self.work += work
        self.flow_work[flow] = self.flow_work.get(flow, 0.0) + work

    def due(self, fingerprint: str, now: float) -> bool:
        """Return whether a caller returns at the promised time."""
        promised = self.returns.get(fingerprint)
        return (
            promised is not None
            and promised.return_at - EARLY_RETURN_S <= now <= promised.start_at
        )

    def take(self, fingerprint: str) -> PromisedReturn | None:
        """Remove a promised return, and release its reserved work."""
        promised = self.returns.pop(fingerprint, None)
        if promised is not None:
            flow, work = promised.flow, promised.work
            self.commitments.remove(flow[0], promised.step, work)
            self.work -= work
            self.flow_work[flow] -= work
            if self.flow_work[flow] < 1e-9:
                del self.flow_work[flow]
        return promised

    def expire(self, now: float) -> None:
        """Drop the returns of callers that haven't returned in time."""
        while self.expiries and self.expiries[0][0] < now:
            start_at, fingerprint = heapq.heappop(self.expiries)
            promised = self.returns.get(fingerprint)
            if promised is not None and promised.start_at == start_at:
                self.take(fingerprint)
