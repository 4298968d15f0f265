"""Entries that are out of step while engines of a new version join.

Streams begin at all other entries, mostly at one that has just started, and
are taken up at the one that is out of step.
"""

import asyncio
import functools
import pathlib
import random
import signal
import time

import click

from tests.platform.soak import fakes
from tests.platform.soak import netfault
from tests.platform.soak import run
from tests.platform.soak import system
from tests.platform.soak import takeups

ENTRIES = 4
ENGINES = 8
EVENT_COUNT = 80
EVENT_INTERVAL_S = 0.03
SETTLE_S = 1.5
# From when engines of the new version join.
PLAY_S = 7.0
STREAMS_PER_S = 10
# Callers of the entry that starts try again after this time.
RETRY_S = 0.02
BEGINNERS = 8
# An entry takes a second or two to start.
MAX_TRIES = 200
# Streams of a version with fewer engines don't count.
MIN_ENGINES = 2
KINDS = (
    'stopped',
    'stopped_series',
    'cut_from_control',
    'slow_list',
    'election',
    'control_silent',
    'three_versions',
    'third_version',
    'cut_then_stopped',
    'control_restarted',
)
VERSIONS = ('v1', 'v1.1', 'v1.2')
# Engines of the third version.
THIRD = 2
# Running entries use a new version after 5 s.
KNOWN_S = 6.5


class OutOfStepRun(run.SoakRun):
    """One entry is out of step; another one is killed and starts again.

    :param kind: one of :data:`KINDS`.
    :param kills: whether the other one is killed.
    """

    def __init__(
        self,
        seed,
        folder,
        network_number,
        kind,
        *,
        kills=True,
        entries=ENTRIES,
    ):
        self.entries = entries
        super().__init__(seed, folder, network_number, 0.0)
        self.kind = kind
        self.kills = kills
        self.moments = random.Random(f'out of step {kind} {seed}')
        self.engines = [
            fakes.Engine(
                's-model',
                f'zone-{number % 3}',
                self.observations,
                self.rng,
                'v1',
            )
            for number in range(ENGINES)
        ]
        for engine in self.engines:
            engine.event_count = EVENT_COUNT
            engine.event_interval_s = EVENT_INTERVAL_S
        self.streams = []

    def _make_system(self, *arguments):
        return system.System(*arguments, entry_count=self.entries)

    def _make_list(self):
        self.platform_list = super()._make_list()
        return self.platform_list

    async def _check_recovery(self):
        # The streams are checked.
        pass

    async def _run_with_faults(self):
        *others, self.late = self.system.programs_with_role('entry')
        self.starting = others[-1]
        await asyncio.sleep(SETTLE_S)
        play_s = PLAY_S
        if self.kind == 'third_version':
            play_s += KNOWN_S
        deadline = time.monotonic() + play_s
        faults = [
            asyncio.ensure_future(coroutine)
            for coroutine in (self._put_out_of_step(), self._release())
        ]
        while time.monotonic() < deadline:
            self._start_task(self._call(lambda: self.rng.choice(others)))
            await asyncio.sleep(self.rng.expovariate(STREAMS_PER_S))
        await asyncio.gather(*faults)
        while self.tasks:
            await asyncio.wait(self.tasks)

    # Faults

    async def _release(self):
        """Replace half of the engines, and kill an entry meanwhile."""
        await asyncio.sleep(0.2 * self.moments.random())
        for engine in self.engines[ENGINES // 2 :]:
            engine.restart('v1.1')
        if self.kind == 'third_version':
            await asyncio.sleep(KNOWN_S)
        if self.kind in ('three_versions', 'third_version'):
            await asyncio.sleep(0.5 * self.moments.random())
            for engine in self.engines[:THIRD]:
                engine.restart('v1.2')
        if not self.kills:
            return
        await asyncio.sleep(0.5 * self.moments.random())
        self.system.signal(self.starting, signal.SIGKILL)
        await self.system.wait_for_exit(self.starting)
        await asyncio.sleep(0.1)
        self.system.start(self.starting)
        for _ in range(BEGINNERS):
            self._start_task(self._call(lambda: self.starting))

    async def _put_out_of_step(self):
        draw = self.moments.uniform
        await asyncio.sleep(0.1 * draw(0, 1))
        if self.kind == 'stopped_series':
            for _ in range(3):
                await self._stop([self.late], draw(0.3, 1.2))
                await asyncio.sleep(draw(0.02, 0.3))
        elif self.kind == 'cut_from_control':
            await self._cut_from_control(draw(1.0, 4.5))
        elif self.kind == 'third_version':
            await asyncio.sleep(KNOWN_S)
            await self._stop([self.late], draw(1.0, 2.8))
        elif self.kind == 'cut_then_stopped':
            await self._cut_from_control(draw(0.5, 2.5))
            await asyncio.sleep(draw(0.0, 0.3))
            await self._stop([self.late], draw(0.3, 2.0))
        elif self.kind == 'control_restarted':
            stopped_s = draw(1.5, 2.8)
            restarts = self._restart_control(stopped_s - draw(0.2, 1.5))
            await asyncio.gather(self._stop([self.late], stopped_s), restarts)
        elif self.kind == 'control_silent':
            control = self.system.programs_with_role('control')
            await asyncio.gather(
                self._stop([self.late], draw(1.0, 2.8)),
                self._stop(control, draw(2.0, 3.0)),
            )
        else:
            if self.kind == 'slow_list':
                self.platform_list.delay_s = draw(0.6, 0.9)
            if self.kind == 'election':
                self._start_task(self._kill_control(draw(0.0, 1.5)))
            await self._stop([self.late], draw(1.0, 2.8))

    async def _stop(self, programs, seconds):
        for program in programs:
            self.system.signal(program, signal.SIGSTOP)
        await asyncio.sleep(seconds)
        for program in programs:
            self.system.signal(program, signal.SIGCONT)

    async def _cut_from_control(self, seconds):
        netfault.cut_from_control(self.late.settings)
        await asyncio.sleep(seconds)
        netfault.reconnect_to_control(self.late.settings)

    async def _kill_control(self, after_s):
        await asyncio.sleep(after_s)
        control = self.system.programs_with_role('control')
        killed = self.moments.choice(control)
        self.system.signal(killed, signal.SIGKILL)
        await self.system.wait_for_exit(killed)
        await asyncio.sleep(1.0)
        self.system.start(killed)

    async def _restart_control(self, after_s):
        """Kill one to all control processes, and start them at once."""
        await asyncio.sleep(after_s)
        control = self.system.programs_with_role('control')
        killed = self.moments.sample(
            control, self.moments.randint(1, len(control))
        )
        for program in killed:
            self.system.signal(program, signal.SIGKILL)
        for program in killed:
            await self.system.wait_for_exit(program)
            self.system.start(program)

    # Callers

    async def _call(self, first_entry):
        self.request_count += 1
        caller = takeups.ResumingCaller(
            f'stream-{self.request_count}',
            functools.partial(
                takeups.post, self.session, self.system, run.API_KEY
            ),
            lambda previous: self.late if stream.versions else first_entry(),
            serves=self._serves,
            break_after=self.rng.randint(2, 10),
            event_count=EVENT_COUNT,
            max_tries=MAX_TRIES,
            pause_s=RETRY_S,
        )
        stream = caller.stream
        self.streams.append(stream)
        await caller.run()

    def _serves(self, version):
        engines = [e for e in self.engines if e.version == version]
        return len(engines) >= MIN_ENGINES

    # Results

    def joined(self):
        """Return the streams that hold events of two versions."""
        return [s.ident for s in self.streams if s.joined]

    def taken_up(self, version):
        """Return whether each stream of a version went on at once."""
        return [
            ok
            for s in self.streams
            if s.versions and s.versions[0] == version
            for ok in s.resumed_tries
        ]


async def play(seed, folder, kind, *, kills=True, entries=ENTRIES):
    """Return a run after its end, and print what became of its streams."""
    with system.LoopbackNetwork() as network:
        out_of_step = OutOfStepRun(
            seed,
            folder,
            network.number,
            kind,
            kills=kills,
            entries=entries,
        )
        report = await out_of_step.execute()
    counts = [
        f'{sum(oks)} of {len(oks)} {version}'
        for version in VERSIONS
        for oks in [out_of_step.taken_up(version)]
        if oks or version in VERSIONS[:2]
    ]
    print(
        f'{kind} seed {seed}, {entries} entries: '
        f'{len(out_of_step.joined())} joined, taken up at once '
        f'{", ".join(counts)}, {report.violations}',
        flush=True,
    )
    return out_of_step


@click.command()
@click.option('--kinds', default=','.join(KINDS))
@click.option('--seeds', default='1')
@click.option('--folder', required=True)
@click.option('--entries', default=ENTRIES)
def main(kinds, seeds, folder, entries):
    """Play each kind with each seed; keep the logs in a folder."""
    joined = 0
    for kind in kinds.split(','):
        for seed in map(int, seeds.split(',')):
            path = pathlib.Path(folder) / f'{kind}-{seed}'
            path.mkdir(parents=True)
            played = asyncio.run(play(seed, path, kind, entries=entries))
            joined += len(played.joined())
            for stream in played.streams:
                if stream.joined or stream.error:
                    print(stream, flush=True)
    raise SystemExit(1 if joined else 0)


if __name__ == '__main__':
    main()
