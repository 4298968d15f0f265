"""Lets sound servers fall silent for a while and go on."""

import asyncio
import time

MEAN_SILENCE_INTERVAL_S = 1.5
MIN_SILENCE_S = 0.5
MAX_SILENCE_S = 2.0


class ServerSilences:
    """Silences of random shares of the servers; they overlap.

    Connections stay open and no byte is lost.

    :param record_fault: called with the kind of fault and the servers.
    :param start_task: runs a silence beside the others.
    """

    def __init__(self, rng, engines, record_fault, start_task):
        self.rng = rng
        self.engines = engines
        self.record_fault = record_fault
        self.start_task = start_task

    async def make(self, deadline):
        while time.monotonic() < deadline:
            await asyncio.sleep(
                self.rng.expovariate(1 / MEAN_SILENCE_INTERVAL_S)
            )
            count = max(1, round(self.rng.random() * len(self.engines)))
            servers = self.rng.sample(self.engines, count)
            silent_s = self.rng.uniform(MIN_SILENCE_S, MAX_SILENCE_S)
            names = ' '.join(server.ident for server in servers)
            self.record_fault(f'silent {silent_s:.1f} s', names)
            self.start_task(fall_silent(servers, silent_s))


async def fall_silent(servers, seconds):
    """Hold all data of servers back for a time."""
    for server in servers:
        server.proxy.silences += 1
    try:
        await asyncio.sleep(seconds)
    finally:
        for server in servers:
            server.proxy.silences -= 1
