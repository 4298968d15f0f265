"""Finds out whether listed servers are backend servers, before they run calls.

A request that may run only once is lost if what listens at a listed address
isn't one.
"""

import asyncio
import collections.abc as cabc
import random
import time
import typing as t

from bulrushhold import calls
from bulrushhold import decisions
from bulrushhold.forwarding import _liveness
from bulrushhold import node

INTERVAL_S: t.Final = 0.2
# Servers checked at a time.
BATCH: t.Final = 16
FIRST_RETRY_S: t.Final = 0.5
MAX_RETRY_S: t.Final = 10.0


class ServerChecks:
    """Checks servers as they are listed, until they are verified.

    :ivar pauses: time until the next check, in seconds, by ident.
    :ivar check_at: when a server is checked again, by ident.
    """

    def __init__(
        self,
        client: calls.BackendClient,
        placement: decisions.Placement,
        clock: cabc.Callable[[], float] = time.monotonic,
    ) -> None:
        self.client = client
        self.placement = placement
        self.clock = clock
        self.rng = random.Random()
        self.pauses: dict[str, float] = {}
        self.check_at: dict[str, float] = {}

    async def watch(
        self, list_services: cabc.Callable[[], cabc.Iterable[str]]
    ) -> None:
        """Check the servers of services, forever.

        :param list_services: returns the services that run requests which
            must not be repeated.
        """
        while True:
            await asyncio.sleep(INTERVAL_S)
            due = self._due(list_services())
            # In any order: those that are never identified come again.
            batch = self.rng.sample(due, min(BATCH, len(due)))
            await asyncio.gather(*map(self._check, batch))
            listed = self.placement.backends.keys()
            for known in (self.pauses, self.check_at):
                for ident in known.keys() - listed:
                    del known[ident]

    def _due(
        self, services: cabc.Iterable[str]
    ) -> list[decisions.BackendServer]:
        now, verified = self.clock(), self.placement.verification.verified
        return [
            server
            for service in services
            for server in self.placement.services.get(service, ())
            if server.ident not in verified
            and self.check_at.get(server.ident, now) <= now
        ]

    async def _check(self, server: decisions.BackendServer) -> None:
        is_server = await self.client.identify(
            server.address, _liveness.PROBE_TIMEOUT_S, server.ident
        )
        verification = self.placement.verification
        if is_server:
            verification.record_answer(server.ident)
            return
        is_again = server.ident in self.pauses
        pause_s = self.pauses.get(server.ident, FIRST_RETRY_S)
        # It may have been silent for a moment.
        if is_server is not None or is_again:
            verification.record_stranger(server.ident)
            node.log_decision(
                'listed server not identified',
                backend=server.ident,
                peer=server.address,
            )
        self.pauses[server.ident] = min(MAX_RETRY_S, 2 * pause_s)
        self.check_at[server.ident] = self.clock() + pause_s
