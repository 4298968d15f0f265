"""The soak with priorities, uneven servers, odd lists and broken answers."""

import asyncio
import random
import time

from tests.platform.soak import brokenanswers
from tests.platform.soak import fakes
from tests.platform.soak import hangups
from tests.platform.soak import odditems
from tests.platform.soak import routemap
from tests.platform.soak import run
from tests.platform.soak import serial
from tests.platform.soak import strangers
from tests.platform.soak import system

SPEEDS = (0.55, 1.0, 1.2)
# Settings of instances, of which one per process is drawn.
LIMITS = (
    {},
    {'cpu-share': 0.387, 'memory-mb': 128, 'link-mbps': 3.75},
    {'cpu-share': 1.0, 'cores': 1.38, 'memory-mb': 260, 'link-mbps': 100},
    {'cpu-share': 0.516, 'memory-mb': 160, 'max-fds': 1638},
)


class ContendedSoakRun(run.SoakRun):
    """The same faults, where ordered admission and weights are in force."""

    def __init__(self, seed, folder, network_number, seconds):
        super().__init__(seed, folder, network_number, seconds)
        self.contention_rng = rng = random.Random(f'contention {seed}')
        # Others hold the list.
        self.engines[:] = [
            serial.PacedEngine(
                engine.service,
                engine.zone,
                self.observations,
                self.rng,
                version=engine.version,
                speed=rng.choice(SPEEDS),
            )
            for engine in self.engines
        ]
        for engine in self.engines:
            engine.announces_pace = rng.random() < 0.8

    def _rng(self, name):
        return random.Random(f'{name} {self.report.seed}')

    def _make_list(self):
        self.list_server = fakes.PlatformListServer(
            self.engines,
            self._rng('list'),
            odditems.OddItems(self._rng('odd')),
        )
        return self.list_server

    def _make_system(self, *arguments):
        def draw_limits(program):
            seed = f'limits {self.report.seed} {program.name}'
            return random.Random(seed).choice(LIMITS)

        return system.System(*arguments, limits=draw_limits)

    def _make_route_map(self, version):
        document = super()._make_route_map(version)
        document['routes'] += routemap.make_priority_routes()
        return document

    def _pick_prefix(self, kind, ident):
        priority = self.contention_rng.choice((None, *routemap.TARGETS_MS))
        if kind != fakes.STREAM_PATH or priority is None:
            return kind
        self.observations.priorities[ident] = priority
        return routemap.stream_path(priority)

    async def _run_with_faults(self):
        pace = asyncio.ensure_future(
            serial.vary_pace(self.engines, self.contention_rng)
        )
        deadline = time.monotonic() + self.seconds
        reporting = (self._record_fault, self._start_task)
        listed = strangers.ListedStrangers(
            self._rng('strangers'), self.list_server, *reporting
        )
        plain_servers = [e for e in self.engines if e.service == 's-desk']
        broken = brokenanswers.BrokenAnswers(
            self._rng('broken'), plain_servers, *reporting
        )
        try:
            await asyncio.gather(
                super()._run_with_faults(),
                listed.make(deadline),
                broken.make(deadline),
                hangups.hang_up(self._rng('hangup'), self, deadline),
            )
        finally:
            pace.cancel()
