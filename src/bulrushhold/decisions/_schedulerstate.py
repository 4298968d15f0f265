"""What a stream scheduler reports to operators."""

import collections
import typing as t

import attrs

from bulrushhold.decisions import _fairshares

# Counters of flows without recent requests are dropped beyond this number.
MAX_IDLE_FLOWS: t.Final = 1000


@attrs.define
class FlowState:
    """Counters of one priority and client account.

    :ivar wait_s: sum of the times from ask to grant.
    """

    queued: int = 0
    granted: int = 0
    refused: int = 0
    wait_s: float = 0.0
    max_wait_s: float = 0.0


@attrs.frozen
class SchedulerState:
    """The state of one service's scheduler.

    :param flows: counters by priority and account.
    :param late: queued streams that can't be on time.
    :param promised: refused callers that were promised a place.
    :param grants: grants that reports don't include yet, by engine.
    :param capacity: work per second, in seconds of a mean engine.
    :param offered: requested work per second.
    """

    flows: dict[_fairshares.Flow, FlowState]
    queued: int
    late: int
    promised: int
    grants: dict[str, int]
    capacity: float
    offered: float


class FlowCounters:
    """Counters by flow; those of idle flows are dropped in the end."""

    def __init__(self) -> None:
        self.flows: dict[_fairshares.Flow, FlowState] = (
            collections.defaultdict(FlowState)
        )

    def prune(self, rates: _fairshares.DemandRates) -> None:
        """Drop counters of flows without recent requests."""
        if len(self.flows) < 2 * len(rates.flows) + MAX_IDLE_FLOWS:
            return
        for flow in [f for f in self.flows if f not in rates.flows]:
            if not self.flows[flow].queued:
                del self.flows[flow]

    def granted(self, flow: _fairshares.Flow, wait_s: float) -> None:
        """Count a grant."""
        state = self.flows[flow]
        state.granted += 1
        state.wait_s += wait_s
        state.max_wait_s = max(state.max_wait_s, wait_s)

    def copy(self) -> dict[_fairshares.Flow, FlowState]:
        """Return an independent copy."""
        return {f: attrs.evolve(state) for f, state in self.flows.items()}
