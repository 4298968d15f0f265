"""Weighted fair queueing of requests by engine tokens.

Implements start-time fair queueing (Goyal, Vin and Cheng, 1996): the start
tag of a request is the finish tag of the previous request of its flow. A
burst in one flow delays only later requests of that flow.
"""

import collections
import collections.abc as cabc
import typing as t

import attrs

# Smoothing gain of the estimated interval between completions.
INTERVAL_GAIN: t.Final = 0.1


@attrs.define
class _Flow:
    """Queue of one row of the limits table.

    :param finish_time: virtual finish time of the last dequeued request.
    """

    weight: float
    finish_time: float = 0.0
    items: collections.deque[tuple[float, t.Any]] = attrs.field(
        factory=collections.deque
    )


class FairQueue:
    """Fair queue of requests for ``capacity`` concurrent slots."""

    def __init__(self, capacity: int) -> None:
        self.capacity = capacity
        self.running = 0
        self.flows: dict[str, _Flow] = {}
        self.virtual_time = 0.0
        self.completion_interval_s = 0.0
        self.last_completion_at: float | None = None

    @property
    def waiting(self) -> int:
        """Number of queued requests."""
        return sum(len(flow.items) for flow in self.flows.values())

    def push(self, name: str, weight: float, cost: float, item: t.Any) -> None:
        """Enqueue a request with ``cost`` expected tokens."""
        flow = self.flows.get(name)
        if flow is None:
            flow = self.flows[name] = _Flow(weight)
        flow.weight = weight
        flow.items.append((cost, item))

    def pop(self, ready: cabc.Callable[[str], bool]) -> t.Any | None:
        """Dequeue the next request that may start, or return ``None``.

        :param ready: returns whether a flow's limits allow another request.
        """
        if self.running >= self.capacity:
            return None
        best = min(
            (
                (max(flow.finish_time, self.virtual_time), name)
                for name, flow in self.flows.items()
                if flow.items and ready(name)
            ),
            default=None,
        )
        if best is None:
            return None
        start, name = best
        flow = self.flows[name]
        cost, item = flow.items.popleft()
        flow.finish_time = start + cost / flow.weight
        self.virtual_time = start
        self.running += 1
        return item

    def remove(self, name: str, item: t.Any) -> bool:
        """Remove a cancelled request; return whether it was queued."""
        flow = self.flows.get(name)
        for entry in flow.items if flow else ():
            if entry[1] is item:
                flow.items.remove(entry)
                return True
        return False

    def done(
        self, name: str, expected: float, actual: float, now: float
    ) -> None:
        """Release a slot and charge the flow for the tokens it used."""
        self.running -= 1
        flow = self.flows.get(name)
        if flow is not None:
            flow.finish_time += (actual - expected) / flow.weight
        if self.last_completion_at is not None:
            interval_s = now - self.last_completion_at
            self.completion_interval_s += INTERVAL_GAIN * (
                interval_s - self.completion_interval_s
            )
        self.last_completion_at = now
        self._drop_idle_flows()

    def expected_wait(self, name: str, weight: float) -> float:
        """Return the estimated wait of a new request of a flow, in seconds.

        Assumes that released slots are shared among the waiting flows in
        proportion to their weights.
        """
        if self.running < self.capacity and not self.waiting:
            return 0.0
        flow = self.flows.get(name)
        queued = len(flow.items) if flow else 0
        other_weight = sum(
            f.weight for n, f in self.flows.items() if f.items and n != name
        )
        return (
            (queued + 1)
            * self.completion_interval_s
            * (weight + other_weight)
            / weight
        )

    def _drop_idle_flows(self) -> None:
        """Drop empty flows whose finish time isn't ahead of virtual time."""
        idle = [
            name
            for name, flow in self.flows.items()
            if not flow.items and flow.finish_time <= self.virtual_time
        ]
        for name in idle:
            del self.flows[name]
