"""Signals entries while callers keep using their connections."""

import asyncio
import collections
import itertools
import math
import random
import signal
import time

import attrs

from tests.platform.soak import drainattempt
from tests.platform.soak import drainengine
from tests.platform.soak import drainplan
from tests.platform.soak import fakes
from tests.platform.soak import figures
from tests.platform.soak import plannedwork
from tests.platform.soak import routemap
from tests.platform.soak import run
from tests.platform.soak import system

MODEL_ENGINES, DESK_ENGINES = 6, 4
MEAN_PAUSE_S = 0.3
RECONNECT_S = 0.1
DEADLINE_S = {
    fakes.STREAM_PATH: 20.0,
    fakes.SAFE_PATH: 10.0,
    fakes.UNSAFE_PATH: 10.0,
}
SLOW = 2.0
FIRST_SIGNAL_S = 3.0
# Callers send until the last entries that are signalled have exited.
TAIL_S = 8.0
MAX_SERIES = 3
DEFAULT_RETRY_AFTER_S = 0.1
# What a caller waits for a retry, as a share of the time that it has left.
MAX_WAIT_SHARE = 1 / 3


@attrs.define
class Drain:
    """The shutdown of an entry.

    :param at: when it got its first SIGTERM.
    :param killed: whether it was still there at the end of its grace.
    """

    entry: str
    at: float
    exited_at: float = math.inf
    killed: bool = False


class DrainLoad(run.SoakRun):
    """Sends requests on connections that stay open until entries exit.

    :ivar attempts: all first attempts.
    :ivar works: see :class:`drainengine.DrainEngine`.
    """

    def __init__(self, seed, folder, network_number, plan):
        super().__init__(seed, folder, network_number, plan.seconds)
        self.plan = plan
        self.works = collections.defaultdict(list)
        self.streams = {}
        self.engines = [
            *self._make_engines('s-model', MODEL_ENGINES),
            *self._make_engines('s-desk', DESK_ENGINES),
        ]
        self.attempts = []
        self.retries = []
        self.drains = []
        self.leaving = set()
        self.lags = []
        self.numbers = itertools.count(1)

    def _make_engines(self, service, count):
        slow = round(self.plan.slow_share * count)
        return [
            drainengine.DrainEngine(
                service,
                f'zone-{n % 3}',
                self.observations,
                random.Random(f'{service} {n} {self.report.seed}'),
                plan=self.plan,
                slots=self.plan.slots(count),
                slowness=SLOW if n < slow else 1.0,
                works=self.works,
                streams=self.streams,
            )
            for n in range(count)
        ]

    def _make_system(self, *arguments):
        return system.System(
            *arguments,
            entry_count=self.plan.entries,
            grace_s=self.plan.grace_s,
        )

    def _make_route_map(self, version):
        document = super()._make_route_map(version)
        for route in document['routes']:
            route['timeout-ms'] = routemap.CALLER_TIMEOUT_MS
            if route['kind'] == 'streaming':
                route['target-latency-ms'] = self.plan.goal_ms
        return document

    async def _run_with_faults(self):
        self.started_at = time.monotonic()
        for engine in self.engines:
            engine.started_at = self.started_at
        deadline = self.started_at + self.seconds
        entries = self.system.programs_with_role('entry')
        lag = asyncio.ensure_future(figures.measure_lag(self.lags))
        callers = [
            self._use_connections(entry, number, deadline)
            for entry in entries
            for number in range(drainplan.CALLERS_PER_ENTRY)
        ]
        signals = self._signal_entries(entries, deadline)
        beside = [
            plannedwork.WORK[name](self, deadline) for name in self.plan.beside
        ]
        await asyncio.gather(signals, *beside, *callers)
        await asyncio.gather(*self.retries)
        lag.cancel()

    async def _check_recovery(self):
        for program in self.system.programs:
            exited = program.process.poll() is not None
            if program.unexpected_exits or (
                exited and not program.exit_expected
            ):
                self.report.violations.append(f'{program.name} has exited')

    # Signals

    async def _signal_entries(self, entries, deadline):
        rng = random.Random(f'signals {self.report.seed}')
        turns = itertools.cycle(entries)
        drains = []
        await asyncio.sleep(FIRST_SIGNAL_S * rng.random())
        while time.monotonic() < deadline - TAIL_S:
            drains += [
                asyncio.ensure_future(self._shut_down(entry, rng, deadline))
                for entry in self._pick_entries(entries, turns, rng)
            ]
            longest_s = 8.0 if self.plan.overlapping else 4.0
            await asyncio.sleep(rng.uniform(longest_s / 2, longest_s))
        await asyncio.gather(*drains)

    def _pick_entries(self, entries, turns, rng):
        """Return entries that run; one stays, so that callers have one."""
        running = [e for e in entries if e.name not in self.leaving]
        if len(running) < 2:
            return []
        if self.plan.overlapping:
            picked = rng.sample(running, rng.randint(1, len(running) - 1))
        else:
            picked = [next(e for e in turns if e in running)]
        self.leaving.update(e.name for e in picked)
        return picked

    async def _shut_down(self, entry, rng, deadline):
        """Signal an entry, and start it again if callers still send."""
        if self.plan.overlapping:
            await asyncio.sleep(rng.uniform(0.0, 1.5))
        if self.plan.series and rng.random() < 0.5:
            self.system.signal(entry, signal.SIGHUP)
            await asyncio.sleep(rng.choice((0.0, rng.random())))
        drain = Drain(entry.name, time.monotonic())
        self.drains.append(drain)
        self._record_fault('terminate', entry.name)
        self.system.signal(entry, signal.SIGTERM)
        try:
            async with asyncio.timeout(self.plan.grace_s):
                if self.plan.series:
                    await self._signal_again(entry, rng)
                await self.system.wait_for_exit(entry)
        except TimeoutError:
            drain.killed = True
            self.system.signal(entry, signal.SIGKILL)
            await self.system.wait_for_exit(entry)
        drain.exited_at = time.monotonic()
        await asyncio.sleep(rng.uniform(0.0, 0.5))
        if time.monotonic() > deadline:
            return
        self.system.start(entry)
        await self.system.wait_until_ready(self.session, entries=[entry])
        self.leaving.discard(entry.name)

    async def _signal_again(self, entry, rng):
        for _ in range(rng.randint(0, MAX_SERIES)):
            await asyncio.sleep(rng.choice((0.0, rng.uniform(0.0, 3.0))))
            number = rng.choice((signal.SIGHUP, signal.SIGTERM))
            self.system.signal(entry, number)

    # Callers

    async def _use_connections(self, entry, number, deadline):
        rng = random.Random(f'{self.report.seed} {entry.name} {number}')
        while time.monotonic() < deadline:
            try:
                reader, writer = await self._connect(entry)
            except OSError:
                await asyncio.sleep(RECONNECT_S)
                continue
            try:
                await self._use(entry, reader, writer, rng, deadline)
            finally:
                writer.close()

    def _connect(self, entry):
        return asyncio.open_connection(entry.ip, self.system.ports['front'])

    async def _use(self, entry, reader, writer, rng, deadline):
        """Send requests until the connection ends."""
        while time.monotonic() < deadline:
            await asyncio.sleep(rng.expovariate(1 / MEAN_PAUSE_S))
            if reader.at_eof() or reader.exception():
                return
            kind = self._draw_kind(rng)
            attempt = self._make_attempt(
                kind, entry, self._draw_deadline(kind, rng)
            )
            self.attempts.append(attempt)
            await attempt.exchange(reader, writer, rng)
            unserved = attempt.complete and attempt.status != 200
            if unserved and attempt.may_be_retried:
                retry = self._retry(attempt, random.Random(rng.random()))
                self.retries.append(asyncio.ensure_future(retry))
            if not attempt.keeps_connection:
                return

    def _draw_kind(self, rng):
        if rng.random() < self.plan.plain_share:
            return rng.choice((fakes.SAFE_PATH, fakes.UNSAFE_PATH))
        return fakes.STREAM_PATH

    def _draw_deadline(self, kind, rng):
        if not self.plan.min_deadline_s:
            return DEADLINE_S[kind]
        return rng.uniform(self.plan.min_deadline_s, DEADLINE_S[kind])

    def _make_attempt(self, kind, entry, deadline_s):
        return drainattempt.Attempt(
            f'{self.report.seed}-{next(self.numbers)}',
            kind,
            entry.name,
            deadline_s,
            time.monotonic(),
        )

    async def _retry(self, first, rng):
        """Send a request once more, to another entry that accepts it."""
        elapsed_s = time.monotonic() - first.started_at
        longest_s = MAX_WAIT_SHARE * (first.deadline_s - elapsed_s)
        asked_s = float(
            first.headers.get('retry-after', DEFAULT_RETRY_AFTER_S)
        )
        await asyncio.sleep(max(0.0, min(asked_s, longest_s)))
        entries = self.system.programs_with_role('entry')
        others = [e for e in entries if e.name != first.entry]
        for entry in rng.sample(others, len(others)):
            try:
                reader, writer = await self._connect(entry)
            except OSError:
                continue
            elapsed_s = time.monotonic() - first.started_at
            if elapsed_s >= first.deadline_s:
                writer.close()
                return
            first.retry = self._make_attempt(
                first.kind, entry, first.deadline_s - elapsed_s
            )
            try:
                await first.retry.exchange(reader, writer, rng)
            finally:
                writer.close()
            return
