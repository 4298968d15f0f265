"""Lets engines name limits, turn requests away and leave."""

import asyncio
import time

MEAN_DEMAND_INTERVAL_S = 0.7


class EngineDemands:
    """Demands of random engines.

    :param record_fault: called with the kind of demand and the engine.
    :param start_task: runs a demand beside the others.
    """

    def __init__(self, rng, engines, record_fault, start_task):
        self.rng = rng
        self.engines = engines
        self.record_fault = record_fault
        self.start_task = start_task

    async def make(self, deadline):
        while time.monotonic() < deadline:
            demand = self.rng.choice(
                (self._name_limit, self._turn_away, self._leave)
            )
            self.start_task(demand(self.rng.choice(self.engines)))
            await asyncio.sleep(
                self.rng.expovariate(1 / MEAN_DEMAND_INTERVAL_S)
            )

    async def _name_limit(self, engine):
        self.record_fault('limit', engine.ident)
        engine.limit = self.rng.choice((0, 1.5, 8, 'many'))
        await asyncio.sleep(2 * self.rng.random())
        engine.limit = None

    async def _turn_away(self, engine):
        self.record_fault('backoff', engine.ident)
        engine.backoff_s = self.rng.choice((0, 0.5, 1.5, 'later'))
        await asyncio.sleep(self.rng.random())
        engine.backoff_s = None

    async def _leave(self, engine):
        self.record_fault('leave', engine.ident)
        engine.leaving = True
        await asyncio.sleep(self.rng.random())
        engine.crash()
        engine.leaving = False
