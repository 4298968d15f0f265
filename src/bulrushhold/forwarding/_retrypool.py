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


class NoRetryPool(RetryPool):
    """Grants nothing."""

    async def take(
        self, service: str, priority: decisions.RetryPriority
    ) -> bool:
        """Grant nothing."""
        return False


@attrs.define
class _Batch:
    """Retries of one service that wait for the next ask.

    :param asked: resolves to the home's grant.
    """

    begun: int = 0
    other: int = 0
    asked: 'asyncio.Task[list[int]] | None' = None


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
        self.held_until: dict[str, float] = {}
        self.failed_at: dict[str, float] = {}

    async def take(
        self, service: str, priority: decisions.RetryPriority
    ) -> bool:
        """Ask for a retry; see :meth:`RetryPool.take`."""
        if self.clock() < self.held_until.get(service, float('-inf')):
            return False
        batch = self.batches.setdefault(service, _Batch())
        if batch.asked is None:
            batch.asked = asyncio.ensure_future(self._ask(service, batch))
        kind = int(priority is not decisions.RetryPriority.BEGUN)
        if kind:
            batch.other += 1
        else:
            batch.begun += 1
        # Others of the batch wait for the same ask.
        granted = await asyncio.shield(batch.asked)
        if not granted[kind]:
            return False
        granted[kind] -= 1
        return True

    async def _ask(self, service: str, batch: _Batch) -> list[int]:
        """Return the grants that the requests of a batch may take."""
        async with self.locks.setdefault(service, asyncio.Lock()):
            # Requests that retry in the same moment join the batch.
            await asyncio.sleep(0)
            del self.batches[service]
            now = self.clock()
            if now < self.held_until.get(service, float('-inf')):
                return [0, 0]
            grant = await self._request(service, batch, now)
        late = self.clock() - now > decisions.GRANT_TTL_S
        if grant is None or late:
            return [0, 0]
        if grant.hold_s:
            self.held_until[service] = self.clock() + grant.hold_s
        return [grant.begun, grant.other]

    async def _request(
        self, service: str, batch: _Batch, now: float
    ) -> messages.RetryGrant | None:
        home = decisions.home_address(service, self.nodes())
        failed_s = now - self.failed_at.get(home, float('-inf'))
        if not home or failed_s < HOME_BACKOFF_S:
            return None
        ask = messages.RetryAsk(
            service,
            self.entry,
            batch.begun,
            batch.other,
            self.budget.allowed(service, now),
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
