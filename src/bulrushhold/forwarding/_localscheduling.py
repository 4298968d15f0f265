"""Schedules streams on an entry's own share of the engines."""

import collections.abc as cabc
import math
import random
import typing as t

import attrs

from bulrushhold import decisions
from bulrushhold import messages

# The same as at the scheduling home.
UPDATE_INTERVAL_S: t.Final = 0.1


@attrs.define
class _Service:
    """The scheduler of a service.

    :param shares: of engines, by ident.
    """

    scheduler: decisions.StreamScheduler
    updated_at: float = float('-inf')
    shares_at: float = float('-inf')
    shares: dict[str, float] = attrs.field(factory=dict)


class EngineShareScheduler:
    """Takes a scheduling home's decisions while it can't be reached.

    :param own: returns this entry as it is listed.
    :param entries: returns all entries.
    """

    def __init__(
        self,
        placement: decisions.Placement,
        own: cabc.Callable[[], messages.ListedEntry],
        entries: cabc.Callable[[], list[messages.ListedEntry]],
        clock: cabc.Callable[[], float],
    ) -> None:
        self.placement = placement
        self.own = own
        self.entries = entries
        self.clock = clock
        self.services: dict[str, _Service] = {}

    def can_hold(self, service: str, memory: int) -> bool:
        """Return whether this entry's share of any engine holds a stream.

        :param memory: tokens of the stream's prompt and output.
        """
        limit = self.placement.capacity.get(service, 0)
        shares = self._shares(service).values()
        return any(share * limit >= memory or not limit for share in shares)

    def suits(self, ask: messages.StreamAsk, token_s: float) -> bool:
        """Return whether this entry owns enough of an engine for a stream.

        Unlike :meth:`can_hold`, it compares the engines that can be used now
        with the stream's version and excluded engines.

        :param token_s: see :meth:`ask`.
        """
        ledger = self._updated(ask.service, token_s).scheduler.ledger
        return any(
            ask.version in (None, engine.room.version)
            and ident not in ask.excluded
            and ask.memory <= (engine.room.memory_limit or math.inf)
            for ident, engine in ledger.engines.items()
        )

    def ask(
        self, ask: messages.StreamAsk, token_s: float
    ) -> messages.StreamDecision:
        """Decide on a stream that has arrived, or that a home had queued.

        :param token_s: time that a mean engine needs for a prompt token.
        """
        scheduler = self._updated(ask.service, token_s).scheduler
        return scheduler.ask(ask, self.clock())

    def record(self, ask: messages.StreamAsk, token_s: float) -> None:
        """Count a stream that a home decides on, as demand to expect."""
        scheduler = self._service(ask.service).scheduler
        flow = (ask.priority, ask.account)
        scheduler.rates.add(flow, ask.tokens * token_s, self.clock())

    def poll(
        self, name: str, ticket: str, token_s: float
    ) -> messages.StreamDecision:
        """Return the decision on a stream; see :meth:`ask`."""
        scheduler, now = self._updated(name, token_s).scheduler, self.clock()
        scheduler.advance(now)
        return scheduler.poll(ticket, now)

    def cancel(self, name: str, ticket: str) -> None:
        """Forget a stream, and release the engine granted to it."""
        if name in self.services:
            self.services[name].scheduler.cancel(ticket, self.clock())

    def _service(self, name: str) -> _Service:
        service = self.services.get(name)
        if service is None:
            service = _Service(
                decisions.StreamScheduler(random.Random(), partial=True)
            )
            self.services[name] = service
        return service

    def _updated(self, name: str, token_s: float) -> _Service:
        """Return a service's scheduler with the present load of engines."""
        now, service = self.clock(), self._service(name)
        if now - service.updated_at >= UPDATE_INTERVAL_S:
            service.updated_at = now
            rooms = decisions.owned_rooms(
                self.placement, name, self._shares(name), now
            )
            service.scheduler.update(rooms, token_s, now)
        return service

    def _shares(self, name: str) -> dict[str, float]:
        now, service = self.clock(), self._service(name)
        if now - service.shares_at >= UPDATE_INTERVAL_S:
            service.shares_at = now
            engines = self.placement.services.get(name, ())
            service.shares = decisions.engine_shares(
                self.own(), self.entries(), [e.ident for e in engines]
            )
        return service.shares
