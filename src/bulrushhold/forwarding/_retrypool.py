"""Asks for retries beyond an entry's own share of a budget."""

import abc
import asyncio
import collections.abc as cabc
import time
import typing as t

import attrs
import loguru

from bulrushhold import decisions
from bulrushhold import errors
from bulrushhold import messages
from bulrushhold import ports

ASK_TIMEOUT_S: t.Final = 0.15
# An unreachable home is not asked again for this time; the cluster view names
# another one by then.
HOME_BACKOFF_S: t.Final = 1.0


class RetryPool(abc.ABC):
    """Grants retries beyond an entry's own share of a budget."""

    @abc.abstractmethod
    async def take(
        self, service: str, priority: decisions.RetryPriority
    ) -> bool:
        """Return whether the home of the service grants a retry now."""

    @abc.abstractmethod
    def record_delay(self, service: str) -> None:
        """Record that a granted retry is sent only now."""


class NoRetryPool(RetryPool):
    """Grants nothing."""

    async def take(
        self, service: str, priority: decisions.RetryPriority
    ) -> bool:
        """Grant nothing."""
        return False

    def record_delay(self, service: str) -> None:
        """Do nothing: nothing is granted."""


@attrs.define
class _Counts:
    """Numbers of retries, of streams that have begun and of others."""

    begun: int = 0
    other: int = 0

    def change(self, priority: decisions.RetryPriority, by: int) -> None:
        """Add to the number that a priority counts in."""
        if priority is decisions.RetryPriority.BEGUN:
            self.begun += by
        else:
            self.other += by

    def of(self, priority: decisions.RetryPriority) -> int:
        """Return the number that a priority counts in."""
        is_begun = priority is decisions.RetryPriority.BEGUN
        return self.begun if is_begun else self.other


@attrs.define
class _Batch:
    """Retries of one service that wait for the next ask.

    :param asked: resolves to what is left of the home's grant.
    """

    wanted: _Counts = attrs.field(factory=_Counts)
    asked: 'asyncio.Task[_Counts] | None' = None


class ControlRetryPool(RetryPool):
    """Asks the control process that is the home of the service.

    There is one ask for a service at a time; what comes meanwhile is asked
    for together.

    :param entry: name of this entry.
    :param nodes: returns the control processes.
    """

    def __init__(
        self,
        budget: decisions.ServiceRetryBudget,
        transport: ports.Transport,
        entry: str,
        nodes: cabc.Callable[[], list[messages.ControlNode]],
        clock: cabc.Callable[[], float] = time.monotonic,
    ) -> None:
        self.budget = budget
        self.transport = transport
        self.entry = entry
        self.nodes = nodes
        self.clock = clock
        self.batches: dict[str, _Batch] = {}
        self.locks: dict[str, asyncio.Lock] = {}
        self.begun_held_until: dict[str, float] = {}
        self.other_held_until: dict[str, float] = {}
        self.failed_at: dict[str, float] = {}

    async def take(
        self, service: str, priority: decisions.RetryPriority
    ) -> bool:
        """Ask for a retry; see :meth:`RetryPool.take`."""
        if self._is_held(service, priority):
            return False
        batch = self.batches.setdefault(service, _Batch())
        if batch.asked is None:
            batch.asked = asyncio.ensure_future(self._ask(service, batch))
        batch.wanted.change(priority, 1)
        # Others of the batch wait for the same ask.
        granted = await asyncio.shield(batch.asked)
        if not granted.of(priority):
            return False
        granted.change(priority, -1)
        return True

    def record_delay(self, service: str) -> None:
        """Tell the home; see :meth:`RetryPool.record_delay`."""
        home = decisions.home_address(service, self.nodes())
        if home:
            self.transport.send(home, messages.RetryDelay(service, 1))

    def _is_held(
        self, service: str, priority: decisions.RetryPriority
    ) -> bool:
        is_begun = priority is decisions.RetryPriority.BEGUN
        held = self.begun_held_until if is_begun else self.other_held_until
        return self.clock() < held.get(service, float('-inf'))

    async def _ask(self, service: str, batch: _Batch) -> _Counts:
        """Return the grants that the requests of a batch may take."""
        async with self.locks.setdefault(service, asyncio.Lock()):
            # Requests that retry in the same moment join the batch.
            await asyncio.sleep(0)
            del self.batches[service]
            wanted = batch.wanted
            # The ask before may have met an empty pool.
            if self._is_held(service, decisions.RetryPriority.OTHER_SERVER):
                wanted.other = 0
            if self._is_held(service, decisions.RetryPriority.BEGUN):
                wanted.begun = 0
            if not (wanted.begun or wanted.other):
                return _Counts()
            asked_at = self.clock()
            grant = await self._request(service, wanted, asked_at)
            now = self.clock()
            if grant is None or now - asked_at > decisions.GRANT_TTL_S:
                return _Counts()
            if grant.begun < wanted.begun:
                self.begun_held_until[service] = now + grant.hold_s
            if grant.other < wanted.other:
                self.other_held_until[service] = now + grant.hold_s
            return _Counts(grant.begun, grant.other)

    async def _request(
        self, service: str, wanted: _Counts, now: float
    ) -> messages.RetryGrant | None:
        home = decisions.home_address(service, self.nodes())
        failed_s = now - self.failed_at.get(home, float('-inf'))
        if not home or failed_s < HOME_BACKOFF_S:
            return None
        ask = messages.RetryAsk(
            service,
            self.entry,
            wanted.begun,
            wanted.other,
            self.budget.pool(service, now),
            self.budget.window_s,
        )
        try:
            grant = await self.transport.request(home, ask, ASK_TIMEOUT_S)
        except errors.PeerError as error:
            self.failed_at[home] = self.clock()
            loguru.logger.bind(peer=home, error=str(error)).warning(
                'home of retries unreachable'
            )
            return None
        assert isinstance(grant, messages.RetryGrant)
        return grant
