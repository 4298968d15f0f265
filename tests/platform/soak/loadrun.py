"""Runs of a system under more load than its engines can serve on time."""

import asyncio
import random
import signal

import aiohttp
import attrs

from tests.platform.soak import callers
from tests.platform.soak import fakes
from tests.platform.soak import figures
from tests.platform.soak import routemap
from tests.platform.soak import run
from tests.platform.soak import serial
from tests.platform.soak import system

# The load builds up before outcomes count.
BUILD_UP_S = 3.0
MEAN_PROMPT_TOKENS = (
    callers.MIN_PROMPT_TOKENS + callers.MAX_PROMPT_TOKENS
) / 2
UNSAFE_PER_S = 3
# A killed program is started again after this time.
RESTART_S = 1.5
FAULT_INTERVAL_S = 3.0
PAUSE_S = 2.5
CONTROL_OUTAGE_S = 6.0


@attrs.frozen
class LoadPlan:
    """What callers send, and to what.

    :param load: as a multiple of what the engines can read.
    :param seconds: duration of the load that counts.
    :param speeds: of the engines.
    :param varies: whether the engines' pace changes.
    :param priorities: share of the requests of each priority.
    :param accounts: share of the requests of each client account.
    :param fault: see :meth:`LoadRun.inject_faults`; ``''`` for none.
    """

    load: float = 2.0
    seconds: float = 18.0
    speeds: tuple = (1.0,) * 8
    varies: bool = False
    announces_pace: bool = True
    priorities: dict = attrs.field(factory=lambda: {0: 0.2, 1: 0.5, 2: 0.3})
    accounts: dict = attrs.field(
        factory=lambda: {f'account-{n}': 0.25 for n in range(4)}
    )
    entries: int = 6
    fault: str = ''

    @property
    def count(self):
        """Number of requests, including those before the count begins."""
        prompts_per_s = (
            sum(self.speeds) * serial.TOKENS_PER_S / MEAN_PROMPT_TOKENS
        )
        seconds = BUILD_UP_S + self.seconds
        return round(self.load * prompts_per_s * seconds)


class LoadRun(run.SoakRun):
    """Sends the streams of a plan, beside a few unsafe plain requests.

    :ivar outcomes: of all callers, in the order of their arrival.
    :ivar down: names of the killed programs that aren't ready again.
    :ivar lags: see :func:`figures.measure_lag`.
    """

    def __init__(self, seed, folder, network_number, plan):
        super().__init__(seed, folder, network_number, plan.seconds)
        self.plan = plan
        self.load_rng = random.Random(f'load {seed}')
        self.pace_rng = random.Random(f'pace {seed}')
        self.serial_engines = [
            serial.SerialEngine(
                's-model',
                f'zone-{n % 3}',
                self.observations,
                self.rng,
                speed=speed,
            )
            for n, speed in enumerate(plan.speeds)
        ]
        for engine in self.serial_engines:
            engine.announces_pace = plan.announces_pace
        self.engines = self.serial_engines + [
            fakes.Engine('s-desk', f'zone-{n}', self.observations, self.rng)
            for n in range(run.PLAIN_SERVERS)
        ]
        self.outcomes = []
        self.lags = []
        self.down = set()

    def _make_system(self, *arguments):
        return system.System(*arguments, entry_count=self.plan.entries)

    def _make_route_map(self, version):
        document = super()._make_route_map(version)
        document['routes'] = [
            route for route in document['routes'] if route['name'] != 'r1'
        ] + routemap.make_priority_routes()
        document['services'][0]['engine']['slots'] = 16
        document['tenants'] += routemap.make_accounts(self.plan.accounts)
        return document

    def pick_entry(self):
        """Return the address of a random entry that isn't known to be down."""
        entries = [
            e
            for e in self.system.programs_with_role('entry')
            if e.name not in self.down
        ]
        entry = self.load_rng.choice(entries)
        return f'{entry.ip}:{self.system.ports["front"]}'

    async def _run_with_faults(self):
        plan = self.plan
        arrivals = callers.plan_arrivals(
            random.Random(f'arrivals {self.report.seed}'),
            plan.priorities,
            plan.accounts,
            BUILD_UP_S + plan.seconds,
            plan.count,
        )
        plain = asyncio.ensure_future(self._send_unsafe())
        varied = self.serial_engines if plan.varies else []
        pace = asyncio.ensure_future(serial.vary_pace(varied, self.pace_rng))
        lag = asyncio.ensure_future(figures.measure_lag(self.lags))
        faults = asyncio.ensure_future(self.inject_faults())
        connector = aiohttp.TCPConnector(limit=0)
        async with aiohttp.ClientSession(connector=connector) as session:
            await self._call_all(session, arrivals)
        plain.cancel()
        pace.cancel()
        lag.cancel()
        await faults

    async def _call_all(self, session, arrivals):
        loop = asyncio.get_running_loop()
        started_at = loop.time()
        async with asyncio.TaskGroup() as group:
            for arrival in arrivals:
                await asyncio.sleep(started_at + arrival.at - loop.time())
                caller = callers.Caller(
                    arrival, session, self.observations, self.pick_entry
                )
                caller.outcome.counts = arrival.at >= BUILD_UP_S
                self.outcomes.append(caller.outcome)
                group.create_task(caller.run())

    async def _send_unsafe(self):
        while True:
            self._start_task(self._send_request(fakes.UNSAFE_PATH))
            await asyncio.sleep(self.rng.expovariate(UNSAFE_PER_S))

    async def _check_recovery(self):
        await asyncio.gather(*self.tasks, return_exceptions=True)
        for program in self.system.programs:
            if program.process.poll() is not None:
                self.report.violations.append(f'{program.name} has exited')

    def _check_executions(self):
        super()._check_executions()
        begun, violations = self.observations.begun, self.report.violations
        for outcome in self.outcomes:
            if outcome.fault:
                violations.append(f'{outcome.arrival.ident}: {outcome.fault}')
            for refusal in outcome.refusals:
                if refusal.ident in begun:
                    violations.append(f'refused but begun: {refusal.ident}')

    @property
    def counted(self):
        """Outcomes of the callers that count."""
        return [outcome for outcome in self.outcomes if outcome.counts]

    @property
    def memory_crashes(self):
        return sum(engine.memory_crashes for engine in self.serial_engines)

    @property
    def tokens_in_vain(self):
        return sum(engine.tokens_in_vain for engine in self.serial_engines)

    # Faults

    async def inject_faults(self):
        """Inject the fault of the plan, once the load has built up.

        ``kill_control`` and ``pause_control`` hit one control process after
        the other, so that the scheduling home is among them. ``no_control``
        pauses all of them, ``kill_entry`` and ``lose_engine`` end one.
        """
        if not self.plan.fault:
            return
        await asyncio.sleep(BUILD_UP_S + 1.0)
        await getattr(self, f'_{self.plan.fault}')()

    async def _kill(self, program):
        self._record_fault('kill', program.name)
        self.down.add(program.name)
        self.system.signal(program, signal.SIGKILL)
        await self.system.wait_for_exit(program)
        await asyncio.sleep(RESTART_S)
        self.system.start(program)
        if program.role == 'entry':
            await self.system.wait_until_ready(self.session, entries=[program])
        self.down.discard(program.name)

    async def _pause_all(self, programs, seconds):
        for program in programs:
            self._record_fault('pause', program.name)
            self.system.signal(program, signal.SIGSTOP)
        try:
            await asyncio.sleep(seconds)
        finally:
            for program in programs:
                self.system.signal(program, signal.SIGCONT)

    async def _kill_control(self):
        for program in self.system.programs_with_role('control'):
            await self._kill(program)
            await asyncio.sleep(FAULT_INTERVAL_S)

    async def _pause_control(self):
        for program in self.system.programs_with_role('control'):
            await self._pause_all([program], PAUSE_S)
            await asyncio.sleep(FAULT_INTERVAL_S)

    async def _no_control(self):
        programs = self.system.programs_with_role('control')
        await self._pause_all(programs, CONTROL_OUTAGE_S)

    async def _kill_entry(self):
        entries = self.system.programs_with_role('entry')
        # The first three share their addresses with control processes.
        await self._kill(entries[-1])

    async def _lose_engine(self):
        engine = self.serial_engines[0]
        self._record_fault('lose', engine.ident)
        engine.lose(self.plan.seconds)
