"""Streams that wait for an engine, and the order in which they get one.

More urgent priorities come first, except for a minimum share of each other
one. Accounts of one priority alternate by start-time fair queueing (Goyal, Vin
and Cheng, 1996). Streams that can't be on time any more come last.
"""

import collections.abc as cabc
import heapq
import itertools
import typing as t

import attrs

from bulrushhold.decisions import _commitments
from bulrushhold.decisions import _fairshares
from bulrushhold import messages

# Share of the capacity for streams that can't be on time any more, so that
# those that were queued are served although an overload persists.
LATE_SHARE: t.Final = 0.1
# Flows of one priority that are tried if the engines that are free don't suit
# the first one, e.g. because of its version.
TRIED_FLOWS: t.Final = 3
# Idle flows are dropped once there are twice as many flows as after the last
# time, and at least this many.
MIN_DROP_FLOWS: t.Final = 200
# Entries of streams that have left the queue are dropped beyond this number.
MIN_STALE_ENTRIES: t.Final = 100


@attrs.define(eq=False)
class QueuedStream:
    """One stream and what was decided on it.

    :ivar work: time that a mean engine needs to read its prompt.
    :ivar start_at: latest time to start reading.
    :ivar due_at: when its first event is late.
    :ivar give_up_at: when its caller gives up.
    :ivar promised: its caller returned at the promised time.
    :ivar step: step of its work among the commitments; ``None`` if it isn't
        queued or can't be on time.
    """

    ask: messages.StreamAsk
    arrived_at: float
    work: float
    start_at: float
    due_at: float
    give_up_at: float
    promised: bool = False
    step: int | None = None
    late: bool = False
    decision: messages.StreamDecision = messages.StreamDecision(
        messages.SchedulingStatus.QUEUED
    )

    @property
    def flow(self) -> _fairshares.Flow:
        """Its priority and account."""
        return self.ask.priority, self.ask.account

    @property
    def queued(self) -> bool:
        """Whether no decision has been taken yet."""
        return self.decision.status is messages.SchedulingStatus.QUEUED


@attrs.define(eq=False)
class _FlowQueue:
    """The waiting streams of one account at one priority.

    :ivar tag: virtual start time of the first stream.
    :ivar finish: virtual finish time of the last stream that was taken.
    :ivar entry: number of its valid entry in the heap.
    """

    tag: float = 0.0
    finish: float = 0.0
    work: float = 0.0
    entry: int = -1
    # A deque would take 0.7 KB for each of thousands of accounts.
    streams: list[QueuedStream] = attrs.field(factory=list)


class _PriorityQueue:
    """The waiting streams of one priority.

    :ivar credit: work that is due to it although more urgent ones wait.
    """

    def __init__(self) -> None:
        self.credit = 0.0
        self.virtual_time = 0.0
        self.waiting = 0
        self.flows: dict[str, _FlowQueue] = {}
        self.drop_at_flows = MIN_DROP_FLOWS
        self.heap: list[tuple[float, int, _FlowQueue]] = []
        self.numbers = itertools.count()

    def push(self, stream: QueuedStream) -> None:
        flow = self.flows.get(stream.ask.account)
        if flow is None:
            self._drop_idle_flows()
            flow = self.flows[stream.ask.account] = _FlowQueue()
        if stream.promised:
            flow.streams.insert(0, stream)
        else:
            flow.streams.append(stream)
        flow.work += stream.work
        self.waiting += 1
        if len(flow.streams) == 1:
            self._schedule(flow, max(self.virtual_time, flow.finish))

    def remove(self, stream: QueuedStream) -> _FlowQueue:
        flow = self.flows[stream.ask.account]
        flow.streams.remove(stream)
        flow.work -= stream.work
        self.waiting -= 1
        if not flow.streams:
            flow.work = 0.0
            flow.entry = -1
        return flow

    def take(self, stream: QueuedStream) -> None:
        """Remove a stream that is granted an engine."""
        first = self._first()
        flow = self.remove(stream)
        if flow is first:
            self.virtual_time = flow.tag
        flow.finish = flow.tag + stream.work
        if flow.streams:
            self._schedule(flow, flow.finish)

    def heads(self) -> cabc.Iterator[QueuedStream]:
        """Return the first streams of the flows that are next."""
        first = self._first()
        if first is None:
            return
        yield first.streams[0]
        others = heapq.nsmallest(
            TRIED_FLOWS, (e for e in self.heap if e[1] == e[2].entry)
        )
        yield from (flow.streams[0] for _, _, flow in others[1:])

    def flow_work(self, account: str) -> float:
        flow = self.flows.get(account)
        return flow.work if flow else 0.0

    def _schedule(self, flow: _FlowQueue, tag: float) -> None:
        flow.tag = tag
        flow.entry = next(self.numbers)
        heapq.heappush(self.heap, (tag, flow.entry, flow))

    def _first(self) -> _FlowQueue | None:
        while self.heap and self.heap[0][1] != self.heap[0][2].entry:
            heapq.heappop(self.heap)
        return self.heap[0][2] if self.heap else None

    def _drop_idle_flows(self) -> None:
        if len(self.flows) < self.drop_at_flows:
            return
        self.flows = {
            account: flow
            for account, flow in self.flows.items()
            if flow.streams or flow.finish > self.virtual_time
        }
        self.drop_at_flows = max(MIN_DROP_FLOWS, 2 * len(self.flows))


class StreamQueue:
    """All waiting streams of one service.

    :param commitments: where the work of streams that can be on time is
        entered.
    """

    def __init__(self, commitments: _commitments.Commitments) -> None:
        self.commitments = commitments
        self.priorities: dict[int, _PriorityQueue] = {}
        self.numbers = itertools.count()
        self.by_start: list[tuple[float, int, QueuedStream]] = []
        # In order of priority and arrival.
        self.late: list[tuple[int, float, int, QueuedStream]] = []
        self.late_work = 0.0
        self.late_credit = 0.0
        self.waiting = 0

    def push(self, stream: QueuedStream) -> None:
        """Add a stream that can be on time, or that returned as promised."""
        priority = stream.ask.priority
        stream.late = False
        stream.step = self.commitments.add(
            priority, stream.start_at, stream.work
        )
        self.priorities.setdefault(priority, _PriorityQueue()).push(stream)
        entry = (stream.start_at, next(self.numbers), stream)
        heapq.heappush(self.by_start, entry)
        self.waiting += 1
        if len(self.by_start) > 2 * self.waiting + MIN_STALE_ENTRIES:
            self.by_start = [e for e in self.by_start if e[2].step is not None]
            heapq.heapify(self.by_start)

    def push_late(self, stream: QueuedStream) -> None:
        """Add a stream that can't be on time."""
        stream.late = True
        entry = (
            stream.ask.priority,
            stream.arrived_at,
            next(self.numbers),
            stream,
        )
        heapq.heappush(self.late, entry)
        self.late_work += stream.work
        self.waiting += 1

    def remove(self, stream: QueuedStream) -> None:
        """Remove a stream that isn't served."""
        if not stream.late:
            self.priorities[stream.ask.priority].remove(stream)
        self._forget(stream)

    def take(self, stream: QueuedStream) -> None:
        """Remove a stream that is granted an engine."""
        late, priority = stream.late, stream.ask.priority
        if late:
            self.late_credit = max(0.0, self.late_credit - stream.work)
        else:
            queue = self.priorities[priority]
            queue.credit = max(0.0, queue.credit - stream.work)
            queue.take(stream)
        self._forget(stream)
        if late:
            return
        for other, queue in self.priorities.items():
            if other > priority and queue.waiting:
                queue.credit += _fairshares.MIN_PRIORITY_SHARE * stream.work
        if self.late:
            self.late_credit += LATE_SHARE * stream.work

    def candidates(self, urgent: bool) -> cabc.Iterator[QueuedStream]:
        """Return streams in the order in which they should get an engine.

        :param urgent: start times would be missed in the order of priority.
        """
        if urgent and (stream := self.earliest()) is not None:
            yield stream
        ordered = sorted(self.priorities.items())
        for _, queue in ordered:
            stream = next(queue.heads(), None)
            if stream is not None and queue.credit >= stream.work:
                yield stream
        late = self.first_late()
        if late is not None and self.late_credit >= late.work:
            yield late
        for _, queue in ordered:
            yield from queue.heads()
        if late is not None:
            yield late

    def earliest(self) -> QueuedStream | None:
        """Return the stream with the earliest latest start time."""
        while self.by_start:
            stream = self.by_start[0][2]
            if stream.step is not None:
                return stream
            heapq.heappop(self.by_start)
        return None

    def first_late(self) -> QueuedStream | None:
        """Return the next of the streams that can't be on time."""
        while self.late:
            stream = self.late[0][3]
            if stream.late:
                return stream
            heapq.heappop(self.late)
        return None

    def flow_work(self, flow: _fairshares.Flow) -> float:
        """Return the work of a flow's streams that can be on time."""
        queue = self.priorities.get(flow[0])
        return queue.flow_work(flow[1]) if queue else 0.0

    def _forget(self, stream: QueuedStream) -> None:
        self.waiting -= 1
        if stream.late:
            stream.late = False
            self.late_work -= stream.work
            return
        priority = stream.ask.priority
        assert stream.step is not None
        self.commitments.remove(priority, stream.step, stream.work)
        stream.step = None
        if not self.priorities[priority].waiting:
            del self.priorities[priority]
