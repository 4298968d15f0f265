"""What a stream scheduler reports to operators."""

import typing as t

import attrs

from bulrushhold.decisions import _fairshares

# Counters of flows that no stream waits for are dropped beyond this number.
MAX_FLOWS: t.Final = 2000


@attrs.define
class FlowState:
    """Counters of one priority, or of one client account at a priority.

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

    :param priorities: counters by priority.
    :param flows: counters by priority and account; not of all accounts if
        there are thousands.
    :param late: queued streams that can't be on time.
    :param promised: refused callers that were promised a place.
    :param grants: grants that reports don't include yet, by engine.
    :param capacity: work per second, in seconds of a mean engine.
    :param offered: requested work per second.
    """

    priorities: dict[int, FlowState]
    flows: dict[_fairshares.Flow, FlowState]
    queued: int
    late: int
    promised: int
    grants: dict[str, int]
    capacity: float
    offered: float


class FlowCounters:
    """Counters by priority, and by flow for the flows used last."""

    def __init__(self) -> None:
        self.priorities: dict[int, FlowState] = {}
        # In the order of their last change.
        self.flows: dict[_fairshares.Flow, FlowState] = {}

    def queued(self, flow: _fairshares.Flow, change: int) -> None:
        """Count a stream that starts (1) or ends (-1) to wait."""
        for state in self._states(flow):
            state.queued += change

    def granted(self, flow: _fairshares.Flow, wait_s: float) -> None:
        """Count a grant."""
        for state in self._states(flow):
            state.granted += 1
            state.wait_s += wait_s
            state.max_wait_s = max(state.max_wait_s, wait_s)

    def refused(self, flow: _fairshares.Flow) -> None:
        """Count a refusal."""
        for state in self._states(flow):
            state.refused += 1

    def copies(
        self,
    ) -> tuple[dict[int, FlowState], dict[_fairshares.Flow, FlowState]]:
        """Return independent copies of the counters."""
        return (
            {p: attrs.evolve(state) for p, state in self.priorities.items()},
            {f: attrs.evolve(state) for f, state in self.flows.items()},
        )

    def _states(self, flow: _fairshares.Flow) -> tuple[FlowState, FlowState]:
        total = self.priorities.get(flow[0])
        if total is None:
            total = self.priorities[flow[0]] = FlowState()
        state = self.flows.pop(flow, None) or FlowState()
        self.flows[flow] = state
        # Two at a time, so that they become fewer once streams leave.
        for _ in range(2):
            if len(self.flows) > MAX_FLOWS:
                oldest = next(iter(self.flows))
                dropped = self.flows.pop(oldest)
                if dropped.queued:
                    self.flows[oldest] = dropped
        return total, state
