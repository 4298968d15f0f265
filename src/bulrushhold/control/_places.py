"""Grants places at brittle servers to entries."""

import asyncio
import collections.abc as cabc
import typing as t

from bulrushhold import decisions
from bulrushhold import messages
from bulrushhold import ports

# Waiting requests are looked at this often if no entry reports anything.
ADVANCE_INTERVAL_S: t.Final = 0.05


class PlaceServer:
    """Answers the entries that have this process as a server's home."""

    def __init__(
        self, transport: ports.Transport, clock: cabc.Callable[[], float]
    ) -> None:
        self.clock = clock
        self.home = decisions.PlaceHome()
        transport.handle(messages.PlaceAsk, self._on_ask)
        transport.handle(messages.PlaceReport, self._on_report)

    async def _on_ask(self, ask: messages.PlaceAsk) -> messages.PlaceGrant:
        granted = asyncio.Event()
        if self.home.ask(ask, self.clock(), granted.set):
            return messages.PlaceGrant(True)
        deadline = self.clock() + ask.max_wait_s
        while not granted.is_set() and self.clock() < deadline:
            try:
                async with asyncio.timeout(ADVANCE_INTERVAL_S):
                    await granted.wait()
            except TimeoutError:
                self.home.advance(ask.report.server, self.clock())
        return messages.PlaceGrant(granted.is_set())

    async def _on_report(self, report: messages.PlaceReport) -> None:
        self.home.report(report, self.clock())
