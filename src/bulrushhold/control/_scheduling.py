"""Schedules the streams of services that have this process as their home."""

import asyncio
import collections
import collections.abc as cabc
import contextlib
import random
import typing as t

import attrs

from bulrushhold.control import _clusterview
from bulrushhold.control import _enginerooms
from bulrushhold.control import _promises
from bulrushhold import decisions
from bulrushhold import errors
from bulrushhold import messages
from bulrushhold import node
from bulrushhold import ports

# Interval at which engines that are about to be free are granted.
ADVANCE_INTERVAL_S: t.Final = 0.05
# Load reports don't change the engines' load more often.
UPDATE_INTERVAL_S: t.Final = 0.1
# A scheduler is advanced for this long after its last ask.
ACTIVE_S: t.Final = 3.0
# Keeps the prior of engines' speed positive.
MIN_OBJECTIVE_S: t.Final = 0.1
IDLE_CHECK_S: t.Final = 1.0
# Longer than any Retry-After.
IDLE_TTL_S: t.Final = 60.0
# A queued stream that isn't polled for this long has been dropped.
POLL_TTL_S: t.Final = 1.0
MAX_LONG_POLL_S: t.Final = 1.0
# Window of the numbers of grants that log lines give.
SERVED_WINDOW_S: t.Final = 5.0
# Interval of a service's summary in the log.
SUMMARY_INTERVAL_S: t.Final = 5.0

_UNKNOWN: t.Final = messages.StreamDecision(messages.SchedulingStatus.UNKNOWN)
# Until a stream asks.
_NO_OBJECTIVE: t.Final = decisions.LatencyObjective(1, MIN_OBJECTIVE_S, 0.0)


@attrs.define
class _Queued:
    """A stream that waits for a decision.

    :param decided: wakes its poll.
    """

    ask: messages.StreamAsk
    asked_at: float
    polled_at: float
    decided: asyncio.Event = attrs.field(factory=asyncio.Event)


@attrs.define
class _Service:
    """The scheduling of one service.

    :param objective: of a recent stream, as the prior of engines' speed.
    :param reported_s: time per prompt token that another home has measured;
        0 if it isn't known.
    :param engines: number of engines that can be used.
    :param token_s: time that a mean engine needs for a prompt token.
    :param queued: by ticket.
    :param served: times and priorities of recent grants.
    :param read_rate: of its engines while it is active.
    """

    scheduler: decisions.StreamScheduler
    objective: decisions.LatencyObjective
    asked_at: float
    reported_s: float = 0.0
    updated_at: float = float('-inf')
    summarized_at: float = float('-inf')
    engines: int = 0
    token_s: float = 0.0
    queued: dict[str, _Queued] = attrs.field(factory=dict)
    served: collections.deque[tuple[float, int]] = attrs.field(
        factory=collections.deque
    )
    read_rate: decisions.ReadRate = attrs.field(factory=decisions.ReadRate)

    def is_active(self, now: float) -> bool:
        """Return whether streams wait, or have recently asked."""
        return bool(self.queued) or now - self.asked_at < ACTIVE_S

    @property
    def known_token_ns(self) -> int:
        """Time per prompt token if it has been measured, or else 0."""
        return round(1e9 * self.token_s) if self.read_rate.is_known else 0

    def record_served(self, priority: int, now: float) -> None:
        """Record a grant."""
        self.served.append((now, priority))
        while now - self.served[0][0] > SERVED_WINDOW_S:
            self.served.popleft()

    def log_fields(self, now: float) -> dict[str, t.Any]:
        """Return the engines, and streams served and waiting by priority."""
        served = collections.Counter(
            priority
            for at, priority in self.served
            if now - at <= SERVED_WINDOW_S
        )
        queued = collections.Counter(
            stream.ask.priority for stream in self.queued.values()
        )
        return {
            'served': dict(sorted(served.items())),
            'queued': dict(sorted(queued.items())),
            'engines': self.engines,
            'token_ms': round(1000 * self.token_s, 4),
        }


class SchedulingServer:
    """Answers the entries that have this process as a service's home.

    :param local_address: of this process.
    :param loads: load reports of all entries.
    :param make_scheduler: returns the scheduler of another service.
    """

    def __init__(
        self,
        transport: ports.Transport,
        local_address: str,
        view: _clusterview.ClusterView,
        loads: decisions.LoadAggregator,
        clock: cabc.Callable[[], float],
        make_scheduler: cabc.Callable[
            [], decisions.StreamScheduler
        ] = lambda: decisions.StreamScheduler(random.Random()),
    ) -> None:
        self.transport = transport
        self.promises = _promises.PromiseCopies(local_address, view)
        self.clock = clock
        self.make_scheduler = make_scheduler
        self.rooms = _enginerooms.EngineRooms(view, loads)
        self.services: dict[str, _Service] = {}
        self.asked = asyncio.Event()
        transport.handle(messages.StreamAsk, self._on_ask)
        transport.handle(messages.StreamPoll, self._on_poll)
        transport.handle(messages.StreamCancel, self._on_cancel)
        transport.handle(messages.PromisedReturn, self._on_promised_return)

    async def run(self) -> None:
        """Grant engines to queued streams until cancelled.

        Does nothing while no service has asks.
        """
        while True:
            now = self.clock()
            if self.promises.copies or any(
                s.is_active(now) for s in self.services.values()
            ):
                await asyncio.sleep(ADVANCE_INTERVAL_S)
            else:
                await self._wait_for_asks()
            self.advance()

    async def _wait_for_asks(self) -> None:
        self.asked.clear()
        with contextlib.suppress(TimeoutError):
            async with asyncio.timeout(
                IDLE_CHECK_S if self.services else None
            ):
                await self.asked.wait()

    def advance(self) -> None:
        """Grant engines that are about to be free, and drop idle services."""
        now = self.clock()
        for address, promised in self.promises.take_due(now):
            self.transport.send(address, promised)
        for name, service in list(self.services.items()):
            if service.is_active(now):
                self._advance(name, service, now)
            elif now - service.asked_at > IDLE_TTL_S:
                del self.services[name]

    def _advance(self, name: str, service: _Service, now: float) -> None:
        self._update(name, service, now)
        for ticket, decision in service.scheduler.advance(now):
            self._record_decision(service, ticket, decision, now)
        for ticket, stream in list(service.queued.items()):
            if now - stream.polled_at > POLL_TTL_S:
                del service.queued[ticket]
        if now - service.summarized_at > SUMMARY_INTERVAL_S:
            service.summarized_at = now
            _log_summary(name, service, now)

    def _update(self, name: str, service: _Service, now: float) -> None:
        if now - service.updated_at < UPDATE_INTERVAL_S:
            return
        service.updated_at = now
        rooms = self.rooms.usable(name, now)
        service.engines = len(rooms)
        service.read_rate.update(
            rooms, self.rooms.prompt_tokens(name), now, self.rooms.reporters()
        )
        if service.reported_s and not service.read_rate.is_known:
            service.read_rate.assume(service.reported_s)
        service.token_s = service.read_rate.token_s(
            self.rooms.token_s(name, service.objective, now)
        )
        service.scheduler.update(rooms, service.token_s, now)

    # Messages

    async def _on_ask(
        self, ask: messages.StreamAsk
    ) -> messages.StreamDecision:
        now = self.clock()
        service = self._service(ask, now)
        self._update(ask.service, service, now)
        if not service.engines:
            # The entry decides by itself: its list may be newer, and a lost
            # engine may be back sooner than a refused caller.
            raise errors.PeerError('no engine can be used', 'StreamAsk')
        ticket = _ticket(ask)
        service.queued.pop(ticket, None)
        decision = service.scheduler.ask(attrs.evolve(ask, ticket=ticket), now)
        match decision.status:
            case messages.SchedulingStatus.QUEUED:
                service.queued[ticket] = _Queued(ask, now, now)
            case messages.SchedulingStatus.REFUSED:
                _log_refusal('stream refused', ask, service, decision, now)
                self._send_promise(ask, service, now)
            case messages.SchedulingStatus.GRANTED:
                service.record_served(ask.priority, now)
        return attrs.evolve(decision, token_ns=service.known_token_ns)

    def _send_promise(
        self, ask: messages.StreamAsk, service: _Service, now: float
    ) -> None:
        """Tell the next home of a caller's return, if one was promised."""
        promised = service.scheduler.returns.returns.get(ask.fingerprint)
        if promised is None:
            return
        message = messages.PromisedReturn(
            ask.service,
            ask.fingerprint,
            ask.priority,
            ask.account,
            promised.work,
            promised.return_at - now,
        )
        self.promises.add(message, now)
        address = self.promises.next_home(ask.service)
        if address:
            self.transport.send(address, message)

    async def _on_promised_return(
        self, promised: messages.PromisedReturn
    ) -> None:
        now = self.clock()
        is_new = self.promises.receive(promised, now)
        self.asked.set()
        service = self.services.get(promised.service)
        if service is None:
            service = _Service(self.make_scheduler(), _NO_OBJECTIVE, now)
            self.services[promised.service] = service
        elif not is_new:
            return
        service.scheduler.returns.promise(
            promised.fingerprint,
            (promised.priority, promised.account),
            promised.work_s,
            now + promised.return_s,
        )

    def _service(self, ask: messages.StreamAsk, now: float) -> _Service:
        service = self.services.get(ask.service)
        if service is None:
            service = _Service(self.make_scheduler(), _objective(ask), now)
            self.services[ask.service] = service
        elif ask.objective_s > 0 or service.objective is _NO_OBJECTIVE:
            service.objective = _objective(ask)
        service.reported_s = ask.token_ns / 1e9
        service.asked_at = now
        self.asked.set()
        return service

    async def _on_poll(
        self, poll: messages.StreamPoll
    ) -> messages.StreamDecision:
        service = self.services.get(poll.service)
        if service is None:
            return _UNKNOWN
        ticket = _ticket(poll)
        decision = service.scheduler.poll(ticket, self.clock())
        stream = service.queued.get(ticket)
        if (
            decision.status is messages.SchedulingStatus.QUEUED
            and stream is not None
        ):
            stream.polled_at = self.clock()
            with contextlib.suppress(TimeoutError):
                async with asyncio.timeout(min(poll.hold_s, MAX_LONG_POLL_S)):
                    await stream.decided.wait()
            decision = service.scheduler.poll(ticket, self.clock())
            stream.polled_at = self.clock()
        return decision

    async def _on_cancel(self, cancel: messages.StreamCancel) -> None:
        service = self.services.get(cancel.service)
        if service is not None:
            ticket = _ticket(cancel)
            service.queued.pop(ticket, None)
            service.scheduler.cancel(ticket, self.clock())

    def _record_decision(
        self,
        service: _Service,
        ticket: str,
        decision: messages.StreamDecision,
        now: float,
    ) -> None:
        stream = service.queued.pop(ticket, None)
        if stream is None:
            return
        stream.decided.set()
        if decision.status is messages.SchedulingStatus.GRANTED:
            service.record_served(stream.ask.priority, now)
        elif decision.status is messages.SchedulingStatus.REFUSED:
            _log_refusal(
                'stream refused after queueing',
                stream.ask,
                service,
                decision,
                now,
                waited_s=round(now - stream.asked_at, 3),
            )
            self._send_promise(stream.ask, service, now)


def _objective(ask: messages.StreamAsk) -> decisions.LatencyObjective:
    seconds = ask.objective_s if ask.objective_s > 0 else ask.remaining_s
    return decisions.LatencyObjective(
        max(1, ask.tokens), max(MIN_OBJECTIVE_S, seconds), 0.0
    )


def _ticket(
    message: messages.StreamAsk | messages.StreamPoll | messages.StreamCancel,
) -> str:
    """Return a ticket that is unique among all entries."""
    return f'{message.entry}/{message.ticket}'


def _log_refusal(
    text: str,
    ask: messages.StreamAsk,
    service: _Service,
    decision: messages.StreamDecision,
    now: float,
    **fields: t.Any,
) -> None:
    node.log_decision(
        text,
        service=ask.service,
        entry=ask.entry,
        ticket=ask.ticket,
        fingerprint=ask.fingerprint,
        priority=ask.priority,
        account=ask.account,
        tokens=ask.tokens,
        objective_s=ask.objective_s,
        excluded=len(ask.excluded),
        retry_after_s=round(decision.retry_after_s, 3),
        **service.log_fields(now),
        **fields,
    )


def _log_summary(name: str, service: _Service, now: float) -> None:
    state = service.scheduler.snapshot(now)
    refused: collections.Counter[int] = collections.Counter()
    longest_wait_s: dict[int, float] = {}
    for (priority, _), flow in state.flows.items():
        refused[priority] += flow.refused
        longest_wait_s[priority] = round(
            max(longest_wait_s.get(priority, 0.0), flow.max_wait_s), 3
        )
    node.log_decision(
        'streams scheduled',
        service=name,
        **service.log_fields(now),
        refused=dict(sorted(refused.items())),
        longest_wait_s=dict(sorted(longest_wait_s.items())),
        late=state.late,
        promised=state.promised,
        grants=sum(state.grants.values()),
        capacity=round(state.capacity, 2),
        offered=round(state.offered, 2),
    )
