"""Lets plain answers of sound servers break off."""

import asyncio
import time

MEAN_INTERVAL_S = 1.0
MIN_BROKEN_S = 1.0
MAX_BROKEN_S = 2.0
MAX_SHARE = 0.6


class BrokenAnswers:
    """Times in which a share of one server's answers breaks off.

    :param servers: those with plain answers only.
    :param record_fault: called with the kind of fault and the server.
    :param start_task: runs such a time beside the others.
    """

    def __init__(self, rng, servers, record_fault, start_task):
        self.rng = rng
        self.servers = servers
        self.record_fault = record_fault
        self.start_task = start_task

    async def make(self, deadline):
        for server in self.servers:
            server.proxy.broken_rng = self.rng
        while time.monotonic() < deadline:
            await asyncio.sleep(self.rng.expovariate(1 / MEAN_INTERVAL_S))
            server = self.rng.choice(self.servers)
            share = MAX_SHARE * self.rng.random()
            self.record_fault(f'break off {share:.2f}', server.ident)
            self.start_task(self._break_off(server, share))

    async def _break_off(self, server, share):
        server.proxy.broken_share = share
        await asyncio.sleep(self.rng.uniform(MIN_BROKEN_S, MAX_BROKEN_S))
        server.proxy.broken_share = 0.0
