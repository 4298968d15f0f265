"""Asks the scheduling home of a service to place streams."""

import abc
import asyncio
import collections.abc as cabc
import contextlib
import itertools
import secrets
import time
import typing as t

import attrs
import loguru

from bulrushhold import decisions
from bulrushhold import errors
from bulrushhold.forwarding import _localscheduling
from bulrushhold import messages
from bulrushhold import ports

REPLY_TIMEOUT_S: t.Final = 0.15
POLL_S: t.Final = 0.2
# Time for which an entry decides locally after its home was silent; the
# cluster view names another home by then.
FALLBACK_S: t.Final = 1.0
# Streams that wait locally leave it to one that arrives in this time to ask
# the home again, since they lose their place.
ARRIVAL_S: t.Final = 0.2
# After a stream wasn't granted an engine at once, this entry asks for all
# streams of the service, so that they don't overtake those that wait.
KEEP_ASKING_S: t.Final = 1.0
# Interval at which a stream looks for a decision of this entry.
LOCAL_POLL_S: t.Final = 0.05
# A caller that gives up earlier can't be served any more.
MIN_REMAINING_S: t.Final = 0.05
# Keeps the prior of engines' speed positive.
MIN_OBJECTIVE_S: t.Final = 0.1

_UNKNOWN: t.Final = messages.StreamDecision(messages.SchedulingStatus.UNKNOWN)


@attrs.frozen
class Scheduled:
    """The decision on a stream.

    :param decision: ``UNKNOWN`` if the home doesn't know the stream, or didn't
        reply.
    :param ticket: identifies the stream in the home's log.
    :param queued_s: how long the stream was queued at the home; ``None`` if
        it wasn't.
    :param unsuitable: the home can't be reached, and this entry owns no engine
        that suits the stream, but others may.
    """

    decision: messages.StreamDecision
    ticket: str = ''
    queued_s: float | None = None
    unsuitable: bool = False


class StreamScheduling(abc.ABC):
    """Decides on streams of services with ordered admission."""

    @abc.abstractmethod
    def decides_locally(self, service: str, memory: int) -> bool:
        """Return whether this entry places a stream by itself now.

        :param memory: tokens of the stream's prompt and output.
        """

    @abc.abstractmethod
    async def request(self, ask: messages.StreamAsk) -> Scheduled:
        """Wait for the decision on a stream.

        :param ask: a ticket is added if it has none. A stream that asks again
            does so with its ticket, so that it isn't counted twice.
        """


class LocalScheduling(StreamScheduling):
    """Leaves all decisions to the entry."""

    def decides_locally(self, service: str, memory: int) -> bool:
        """Return ``True``."""
        return True

    async def request(self, ask: messages.StreamAsk) -> Scheduled:
        """Decide nothing."""
        return Scheduled(_UNKNOWN)


@attrs.define
class _Service:
    """What this entry knows of the scheduling of a service.

    :param ask_until: all streams are asked for until then.
    :param fallback_since: when its home became unreachable, if it is.
    :param fallback_until: when the home is asked again.
    :param probing: a stream is asking the home whether it is back.
    :param token_s: time per prompt token at a mean engine, by the last
        decision of a home that knows it; 0 if none has.
    """

    ask_until: float = float('-inf')
    fallback_since: float | None = None
    fallback_until: float = float('-inf')
    probing: bool = False
    token_s: float = 0.0

    def in_fallback(self, now: float, extra_s: float = 0.0) -> bool:
        """Return whether this entry decides itself.

        :param extra_s: time to add to that until the home is asked again.
        """
        return self.fallback_since is not None and (
            now < self.fallback_until + extra_s or self.probing
        )


class HomeScheduling(StreamScheduling):
    """Asks the control process that is the service's scheduling home.

    :param entry: name of this entry.
    :param nodes: returns the control processes.
    :param local: decides while the home can't be reached.
    """

    def __init__(
        self,
        transport: ports.Transport,
        placement: decisions.Placement,
        admission: decisions.AdmissionController,
        metrics: ports.Metrics,
        entry: str,
        nodes: cabc.Callable[[], list[messages.ControlNode]],
        local: _localscheduling.EngineShareScheduler,
        clock: cabc.Callable[[], float] = time.monotonic,
    ) -> None:
        self.transport = transport
        self.placement = placement
        self.admission = admission
        self.local = local
        self.metrics = metrics
        self.entry = entry
        self.nodes = nodes
        self.clock = clock
        self.services: dict[str, _Service] = {}
        # Distinguishes the tickets of this process from those of earlier ones.
        self.start_id = secrets.token_hex(3)
        self.numbers = itertools.count(1)

    def decides_locally(self, service: str, memory: int) -> bool:
        """Decide; see :meth:`StreamScheduling.decides_locally`."""
        now = self.clock()
        state = self.services.get(service, _Service())
        if state.in_fallback(now):
            return not self.local.can_hold(service, memory)
        if now < state.ask_until or self._streams_wait(service):
            return False
        if not decisions.has_spare_engines(
            self.placement, service, memory, now
        ):
            return False
        # Engines are idle again: there is nothing to decide for a home.
        self._end_fallback(service, state)
        return True

    def _streams_wait(self, service: str) -> bool:
        waiting = self.admission.waiting[service]
        return waiting + self.admission.remote_waiting.get(service, 0) > 0

    async def request(self, ask: messages.StreamAsk) -> Scheduled:
        """Ask the home; see :meth:`StreamScheduling.request`."""
        state = self.services.setdefault(ask.service, _Service())
        in_fallback = state.in_fallback(self.clock())
        ticket = ask.ticket
        if not ticket:
            ticket = f'{self.start_id}-{next(self.numbers):x}'
            if not in_fallback:
                self.local.record(ask, state.token_s)
        ask = attrs.evolve(
            ask,
            entry=self.entry,
            ticket=ticket,
            token_ns=round(1e9 * state.token_s),
        )
        if in_fallback:
            return await self._decide(ask, state)
        state.probing = probes = state.fallback_since is not None
        home = self._home(ask.service)
        self.metrics.count('scheduling.asked')
        queued_at = None
        try:
            decision = await self._exchange(home, ask, REPLY_TIMEOUT_S)
            self._end_fallback(ask.service, state)
            state.token_s = decision.token_ns / 1e9 or state.token_s
            if decision.status is messages.SchedulingStatus.QUEUED:
                queued_at = self.clock()
                decision = await self._wait(home, ask, state)
        except errors.PeerError as error:
            self._cancel(home, ask)
            self._start_fallback(ask.service, state, home, str(error))
            decision = _UNKNOWN
        except BaseException:
            self._cancel(home, ask)
            raise
        finally:
            state.probing = state.probing and not probes
        self._record(decision, state)
        queued_s = None if queued_at is None else self.clock() - queued_at
        return Scheduled(decision, ticket, queued_s)

    async def _wait(
        self, home: str, ask: messages.StreamAsk, state: _Service
    ) -> messages.StreamDecision:
        """Poll the home until it has decided on a queued stream."""
        self.metrics.count('scheduling.queued')
        deadline = self.clock() + ask.remaining_s - MIN_REMAINING_S
        poll = messages.StreamPoll(ask.service, self.entry, ask.ticket, POLL_S)
        with self._count_waiting(ask.service):
            while self.clock() < deadline and home == self._home(ask.service):
                now = self.clock()
                self.admission.record_wait(now)
                state.ask_until = now + KEEP_ASKING_S
                decision = await self._exchange(
                    home, poll, POLL_S + REPLY_TIMEOUT_S
                )
                if decision.status is not messages.SchedulingStatus.QUEUED:
                    return decision
        # Another process is the home now, or the caller gives up.
        self._cancel(home, ask)
        return _UNKNOWN

    async def _exchange(
        self,
        home: str,
        message: messages.StreamAsk | messages.StreamPoll,
        timeout_s: float,
    ) -> messages.StreamDecision:
        if not home:
            raise errors.PeerError('no control process', 'StreamAsk')
        reply = await self.transport.request(home, message, timeout_s)
        assert isinstance(reply, messages.StreamDecision)
        return reply

    @contextlib.contextmanager
    def _count_waiting(self, service: str) -> cabc.Iterator[None]:
        """Count a queued stream in load reports, so that others ask too."""
        self.admission.waiting[service] += 1
        self.placement.on_load_change()
        try:
            yield
        finally:
            self.admission.waiting[service] -= 1

    def _home(self, service: str) -> str:
        return decisions.home_address(service, self.nodes())

    def _cancel(self, home: str, ask: messages.StreamAsk) -> None:
        if home:
            self.transport.send(
                home,
                messages.StreamCancel(ask.service, self.entry, ask.ticket),
            )

    def _record(
        self, decision: messages.StreamDecision, state: _Service
    ) -> None:
        if decision.status is messages.SchedulingStatus.GRANTED:
            self.metrics.count('scheduling.granted')
        elif decision.status is messages.SchedulingStatus.REFUSED:
            self.metrics.count('scheduling.refused')
            state.ask_until = self.clock() + KEEP_ASKING_S

    # Fallback while the home is unreachable

    async def _decide(
        self, ask: messages.StreamAsk, state: _Service
    ) -> Scheduled:
        """Wait for this entry's decision, or until the home is asked again."""
        token_s = state.token_s or self._token_s(ask)
        decision, queued_at = _UNKNOWN, None
        try:
            if self.local.suits(ask, token_s):
                decision = self.local.ask(ask, token_s)
            if decision.status is messages.SchedulingStatus.QUEUED:
                queued_at = self.clock()
                decision = await self._wait_locally(ask, state, token_s)
        except BaseException:
            self.local.cancel(ask.service, ask.ticket)
            raise
        self.metrics.count(f'scheduling.local_{decision.status.label}')
        queued_s = None if queued_at is None else self.clock() - queued_at
        unsuitable = (
            decision.status is messages.SchedulingStatus.UNKNOWN
            and not self.local.suits(ask, token_s)
        )
        return Scheduled(decision, ask.ticket, queued_s, unsuitable)

    async def _wait_locally(
        self, ask: messages.StreamAsk, state: _Service, token_s: float
    ) -> messages.StreamDecision:
        deadline = self.clock() + ask.remaining_s - MIN_REMAINING_S
        with self._count_waiting(ask.service):
            while (now := self.clock()) < deadline and state.in_fallback(
                now, ARRIVAL_S
            ):
                self.admission.record_wait(now)
                await asyncio.sleep(LOCAL_POLL_S)
                if not self.local.suits(ask, token_s):
                    break
                decision = self.local.poll(ask.service, ask.ticket, token_s)
                if decision.status is not messages.SchedulingStatus.QUEUED:
                    return decision
        self.local.cancel(ask.service, ask.ticket)
        return _UNKNOWN

    def _token_s(self, ask: messages.StreamAsk) -> float:
        objective = decisions.LatencyObjective(
            max(1, ask.tokens), max(MIN_OBJECTIVE_S, ask.objective_s), 0.0
        )
        return self.placement.speeds.token_s(
            ask.service, objective, self.clock()
        )

    def _start_fallback(
        self, service: str, state: _Service, home: str, reason: str
    ) -> None:
        now = self.clock()
        state.fallback_until = now + FALLBACK_S
        if state.fallback_since is not None:
            return
        state.fallback_since = now
        self.metrics.count('scheduling.fallback')
        self._update_gauge()
        loguru.logger.bind(service=service, peer=home, error=reason).warning(
            'scheduling home unreachable'
        )

    def _end_fallback(self, service: str, state: _Service) -> None:
        if state.fallback_since is None:
            return
        seconds = round(self.clock() - state.fallback_since, 3)
        state.fallback_since = None
        state.probing = False
        self._update_gauge()
        loguru.logger.bind(service=service, seconds=seconds).info(
            'scheduling fallback ended'
        )

    def _update_gauge(self) -> None:
        active = sum(
            state.fallback_since is not None
            for state in self.services.values()
        )
        self.metrics.gauge('scheduling.fallback_active', active)
