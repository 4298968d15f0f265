"""Finds out whether this entry can open connections to a service at all."""

import asyncio
import collections.abc as cabc
import time
import typing as t

from bulrushhold import calls
from bulrushhold import decisions
from bulrushhold import node
from bulrushhold import ports

CONNECT_TIMEOUT_S: t.Final = 0.25
# While a service is cut off, it is tried this often.
RECHECK_INTERVAL_S: t.Final = 0.25
# Losses recorded this long before a cut was noticed may be due to it.
SUSPECT_LOSS_S: t.Final = 1.0


class ReachabilityMonitor:
    """Tries a few servers after a failed connection.

    :param client: opens the connections.
    """

    def __init__(
        self,
        client: calls.BackendClient,
        placement: decisions.Placement,
        metrics: ports.Metrics,
        clock: cabc.Callable[[], float] = time.monotonic,
    ) -> None:
        self.client = client
        self.placement = placement
        self.metrics = metrics
        self.clock = clock
        self.checks: dict[str, asyncio.Task[None]] = {}
        self.cut_off = asyncio.Event()

    def is_cut_off(self, service: str) -> bool:
        """Whether no server of a service was reached at the last check."""
        return self.placement.reachability.is_cut_off(service)

    def record_reached(self, service: str) -> None:
        """Record that a connection to a server was opened."""
        cut_off_s = self.placement.reachability.record_reached(
            service, self.clock()
        )
        if cut_off_s is None:
            return
        self._update_gauge()
        node.log_decision(
            'backend servers reachable again',
            service=service,
            seconds=round(cut_off_s, 3),
        )

    async def check(self, service: str, address: str, since: float) -> bool:
        """Return whether the service is cut off, after a failed connection.

        :param address: of the server that was not reached.
        :param since: when the connection was begun.
        """
        reachability = self.placement.reachability
        if not reachability.is_cut_off(service):
            is_listed = service in self.placement.services
            if not is_listed or reachability.was_reached(service, since):
                return False
            await self._try_servers(service, address)
        return reachability.is_cut_off(service)

    async def watch(self) -> None:
        """Try the services that are cut off until they can be reached."""
        while True:
            await self.cut_off.wait()
            await asyncio.sleep(RECHECK_INTERVAL_S)
            for service in list(self.placement.reachability.cut_off):
                await self._try_servers(service)
            if not self.placement.reachability.cut_off:
                self.cut_off.clear()

    async def _try_servers(self, service: str, excluded: str = '') -> None:
        """Try a few servers, once for all requests that ask meanwhile."""
        await asyncio.shield(self._start_check(service, excluded))

    def _start_check(
        self, service: str, excluded: str = ''
    ) -> asyncio.Task[None]:
        check = self.checks.get(service)
        if check is None:
            check = asyncio.ensure_future(self._sample(service, excluded))
            self.checks[service] = check
            check.add_done_callback(lambda _: self.checks.pop(service))
        return check

    async def _sample(self, service: str, excluded: str) -> None:
        addresses = self.placement.reachability.sample(
            self.placement.usable(service), excluded
        )
        connections = {
            asyncio.ensure_future(
                self.client.accepts_connections(address, CONNECT_TIMEOUT_S)
            )
            for address in addresses
        }
        try:
            for connection in asyncio.as_completed(connections):
                if await connection:
                    self.record_reached(service)
                    return
        finally:
            for task in connections:
                task.cancel()
        self._record_unreachable(service, [*addresses, excluded])

    def _record_unreachable(self, service: str, tried: list[str]) -> None:
        now = self.clock()
        if not self.placement.reachability.record_unreachable(service, now):
            return
        self.placement.retract_losses(service, now - SUSPECT_LOSS_S)
        self.cut_off.set()
        self._update_gauge()
        self._check_other_services()
        node.log_decision(
            'backend servers unreachable',
            service=service,
            tried=[address for address in tried if address],
        )

    def _check_other_services(self) -> None:
        """Check services that have no requests now: others rely on it."""
        for service in self.placement.services:
            if not self.is_cut_off(service):
                self._start_check(service)

    def _update_gauge(self) -> None:
        self.metrics.gauge(
            'services.cut_off', len(self.placement.reachability.cut_off)
        )
