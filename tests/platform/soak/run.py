"""One run of the soak test: workload, faults and checks from a seed."""

import asyncio
import contextlib
import json
import random
import signal
import time

import aiohttp
import attrs
import yarl

from tests.platform.soak import badinput
from tests.platform.soak import brokenanswers
from tests.platform.soak import demands
from tests.platform.soak import fakes
from tests.platform.soak import isolation
from tests.platform.soak import losses
from tests.platform.soak import poison
from tests.platform.soak import routemap
from tests.platform.soak import silences
from tests.platform.soak import strangecrowds
from tests.platform.soak import system
from tests.platform.soak import takeups

API_KEY = routemap.API_KEY
MODEL_ENGINES = 6
# They differ in punctuation only.
VERSIONS = (fakes.DEFAULT_VERSION, 'v1.1')
PLAIN_SERVERS = 3
REQUEST_TIMEOUT_S = 12.0
PLAIN_TIMEOUT_S = 3.0
MAX_EDIT_INTERVAL_S = 0.4
MEAN_FAULT_INTERVAL_S = 0.5
_CONNECTION_ERRORS = fakes.CONNECTION_ERRORS


@attrs.define
class Report:
    """Requests, injected faults and violated guarantees of a run.

    :param poison_crashes: engines that crashed under each poison request.
    """

    seed: int
    sent: int = 0
    served: int = 0
    faults: list = attrs.field(factory=list)
    violations: list = attrs.field(factory=list)
    poison_crashes: dict = attrs.field(factory=dict)


class SoakRun:
    """Runs a system with callers, an operator and injected faults.

    :param network_number: number of the run's :class:`system.LoopbackNetwork`.
    :param seconds: how long faults are injected.
    """

    PUT_TIMEOUT_S = 1.0

    def __init__(self, seed, folder, network_number, seconds):
        self.rng = random.Random(seed)
        self.cut_rng = random.Random(f'cut {seed}')
        self.version_rng = random.Random(f'version {seed}')
        self.report = Report(seed)
        self.folder = folder
        self.network_number = network_number
        self.seconds = seconds
        self.observations = fakes.Observations()
        self.engines = [
            fakes.Engine(
                's-model',
                f'zone-{n % 3}',
                self.observations,
                self.rng,
                VERSIONS[n % 2],
            )
            for n in range(MODEL_ENGINES)
        ] + [
            fakes.Engine('s-desk', f'zone-{n}', self.observations, self.rng)
            for n in range(PLAIN_SERVERS)
        ]
        self.refused = []
        self.version = 1
        self.acknowledged = 0
        self.request_count = 0
        self.tasks = set()
        self.demands = demands.EngineDemands(
            random.Random(-1 - seed),
            self.engines,
            self._record_fault,
            self._start_task,
        )
        self.silences = silences.ServerSilences(
            random.Random(f'silences {seed}'),
            self.engines,
            self._record_fault,
            self._start_task,
        )

    async def execute(self):
        for engine in self.engines:
            await engine.start()
        platform_list = self._make_list()
        await platform_list.start()
        self.system = self._make_system(
            self.folder, platform_list.address, self.network_number
        )
        self.cuts = isolation.EntryCuts(self.system, self.engines)
        try:
            async with self._make_session() as session:
                self.session = session
                self.system.start_all()
                await self._put_until_acknowledged()
                self.system.disable_bootstrap()
                await self.system.wait_until_ready(session)
                await self._run_with_faults()
                await self._check_recovery()
        finally:
            for task in self.tasks:
                task.cancel()
            await asyncio.gather(*self.tasks, return_exceptions=True)
            self.system.stop_all()
            await platform_list.stop()
            for engine in self.engines:
                await engine.stop()
        self._check_executions()
        self.report.poison_crashes = {
            path: len(crashed_at)
            for path, crashed_at in self.observations.poison_crashes.items()
        }
        return self.report

    def _make_list(self):
        rng = random.Random(f'list {self.report.seed}')
        return fakes.PlatformListServer(self.engines, rng)

    def _make_system(self, *arguments):
        return system.System(*arguments)

    def _make_session(self, **options):
        timeout = aiohttp.ClientTimeout(total=REQUEST_TIMEOUT_S)
        return aiohttp.ClientSession(timeout=timeout, **options)

    async def _run_with_faults(self):
        deadline = time.monotonic() + self.seconds
        operator = asyncio.ensure_future(self._edit_route_map(deadline))
        faults = asyncio.ensure_future(self._inject_faults(deadline))
        demanding = asyncio.ensure_future(self.demands.make(deadline))
        cuts = asyncio.ensure_future(
            self.cuts.make(
                self.cut_rng, deadline, self._record_fault, self._start_task
            )
        )
        silent = asyncio.ensure_future(self.silences.make(deadline))
        poison_callers = poison.PoisonCallers(
            random.Random(f'poison {self.report.seed}'), self, API_KEY
        )
        poisoners = asyncio.ensure_future(
            poison_callers.run(deadline, self._record_fault, self._start_task)
        )
        resuming_callers = takeups.ResumingCallers(
            self.version_rng, self.session, self.system, API_KEY, self.report
        )
        resumers = asyncio.ensure_future(resuming_callers.run(deadline))
        loss = asyncio.ensure_future(
            losses.lose_all(random.Random(f'loss {self.report.seed}'), self)
        )
        bad_callers = asyncio.gather(
            badinput.send_bad_requests(self, API_KEY, deadline),
            strangecrowds.play(self, API_KEY, deadline),
        )
        while time.monotonic() < deadline:
            self._start_task(self._send_request())
            await asyncio.sleep(self.rng.expovariate(25))
        await asyncio.gather(
            operator,
            faults,
            demanding,
            cuts,
            silent,
            poisoners,
            resumers,
            loss,
            bad_callers,
        )

    async def _check_recovery(self):
        """Check that all requests are served after the faults have ended."""
        for engine in self.engines:
            engine.proxy.fault = ''
            engine.error_rate = 0.0
            engine.limit = engine.backoff_s = None
        for program in self.system.programs:
            self.system.signal(program, signal.SIGCONT)
        await asyncio.gather(*self.tasks, return_exceptions=True)
        self.system.restart_exited()
        try:
            await self.system.wait_until_ready(self.session)
        except TimeoutError as error:
            self.report.violations.append(f'not recovered: {error}')
            return
        await asyncio.sleep(2.0)
        before = self.report.served
        await asyncio.gather(*(self._send_request() for _ in range(20)))
        if self.report.served - before < 20:
            served = self.report.served - before
            self.report.violations.append(
                f'not recovered: {served} of 20 served'
            )
        await self._check_route_maps(final=True)
        for program in self.system.programs:
            if program.unexpected_exits:
                self.report.violations.append(
                    f'{program.name} exited unexpectedly: '
                    f'{program.unexpected_exits}'
                )

    def _start_task(self, coroutine):
        task = asyncio.ensure_future(coroutine)
        self.tasks.add(task)
        task.add_done_callback(self.tasks.discard)

    # Callers

    async def _send_request(self, kind=None):
        self.request_count += 1
        number = self.request_count
        kind = kind or self.rng.choice(
            (fakes.STREAM_PATH, fakes.UNSAFE_PATH, fakes.SAFE_PATH)
        )
        ident = f'{self.report.seed}-{number}'
        target = f'{self._pick_prefix(kind, ident)}{ident}?q=%2F{number}'
        entry = self.rng.choice(self.system.programs_with_role('entry'))
        headers = {
            'Host': 'soak.example',
            'Bulrushhold-Request-Id': ident,
            'Bulrushhold-Credential': API_KEY,
            'Bulrushhold-Deadline-Ms': '10000',
            'Bulrushhold-Hold': 'forged',
            'Bulrushhold-Tenant': 'forged',
        }
        if kind == fakes.STREAM_PATH:
            headers['Bulrushhold-Token-Counts'] = '800,40'
            headers['Bulrushhold-Prompt-Prefix'] = f'a:100,b{number}:700'
        self.report.sent += 1
        url = self.system.url(entry, 'front', target)
        body = f'body {number}'.encode()
        with contextlib.suppress(*_CONNECTION_ERRORS):
            try:
                async with self.session.post(
                    yarl.URL(url, encoded=True), data=body, headers=headers
                ) as response:
                    self._check_head(target, response)
                    data = await response.read()
            except aiohttp.ClientResponseError as error:
                self._check_head(target, error)
                return
            self._check_response(kind, ident, target, body, response, data)

    def _check_head(self, target, response):
        fault = brokenanswers.find_fault(response)
        if fault:
            self.report.violations.append(f'invalid: {target}: {fault}')

    def _pick_prefix(self, kind, ident):
        """Return the prefix of a route of a kind for a request."""
        del ident
        return kind

    def _check_response(self, kind, ident, target, body, response, data):
        status = response.status
        if status in (503, 429, 408, 421):
            self.refused.append(ident)
            return
        if status in (401, 403, 404):
            self.report.violations.append(f'denied: {status} for {target}')
        if status != 200:
            return
        self.report.served += 1
        if response.headers.get('Bulrushhold-Request-Id') != ident:
            self.report.violations.append(
                f'wrong response: {target}: request ID'
            )
        if kind == fakes.STREAM_PATH:
            expected = [
                b''.join(
                    fakes.encode_event(target, n, version)
                    for n in range(1, fakes.EVENT_COUNT + 1)
                )
                for version in VERSIONS
            ]
        else:
            expected = [fakes.make_body(target, body)]
        if data not in expected:
            self.report.violations.append(
                f'wrong response: {target}: '
                f'{len(data)} bytes of {len(expected[0])}'
            )

    def _check_executions(self):
        for ident in self.refused:
            if ident in self.observations.unsafe_executed:
                self.report.violations.append(f'refused but executed: {ident}')
        for ident, runs in self.observations.runs.items():
            if runs > 1 and ident in self.observations.unsafe_executed:
                self.report.violations.append(
                    f'executed {runs} times: {ident}'
                )
        for target, name in self.observations.forged[:5]:
            self.report.violations.append(f'forged {name} at {target}')

    # The operator

    def _make_route_map(self, version):
        return routemap.make_route_map(version)

    async def _put_route_map(self, version):
        program = self.rng.choice(self.system.programs_with_role('control'))
        url = self.system.url(program, 'control', '/bulrushhold/Config.Put')
        timeout = aiohttp.ClientTimeout(total=self.PUT_TIMEOUT_S)
        with contextlib.suppress(*_CONNECTION_ERRORS):
            async with self.session.post(
                url,
                data=json.dumps(self._make_route_map(version)),
                timeout=timeout,
            ) as response:
                if response.status == 200:
                    self.acknowledged = max(self.acknowledged, version)
                    return True
                if 400 <= response.status < 500:
                    self.report.violations.append(
                        f'valid route map {version}: {response.status}'
                    )
        return False

    async def _put_until_acknowledged(self):
        deadline = time.monotonic() + 20
        while not await self._put_route_map(self.version):
            if time.monotonic() > deadline:
                raise TimeoutError('no control process accepted the route map')
            await asyncio.sleep(0.1)

    async def _edit_route_map(self, deadline):
        while time.monotonic() < deadline:
            self.version += self.rng.randint(1, 3)
            await self._put_route_map(self.version)
            await self._check_route_maps()
            await asyncio.sleep(MAX_EDIT_INTERVAL_S * self.rng.random())

    async def _check_route_maps(self, *, final=False):
        min_version = self.acknowledged
        maps_read = 0
        for program in self.system.programs_with_role('control'):
            url = self.system.url(
                program, 'control', '/bulrushhold/Config.Get'
            )
            timeout = aiohttp.ClientTimeout(total=5.0 if final else 0.5)
            with contextlib.suppress(*_CONNECTION_ERRORS):
                async with self.session.get(url, timeout=timeout) as response:
                    if response.status != 200:
                        continue
                    document = await response.json()
                    maps_read += 1
                    if document['config-version'] < min_version:
                        self.report.violations.append(
                            f'{program.name} returned an outdated route map'
                        )
        if final and not maps_read:
            self.report.violations.append(
                'no control process returned the route map'
            )

    # Faults

    async def _inject_faults(self, deadline):
        while time.monotonic() < deadline:
            fault = self.rng.choice(
                (
                    self._kill,
                    self._pause,
                    self._terminate,
                    self._crash_engines,
                    self._disturb_connections,
                    self._return_errors,
                )
            )
            self._start_task(fault())
            await asyncio.sleep(
                self.rng.expovariate(1 / MEAN_FAULT_INTERVAL_S)
            )

    def _pick_program(self):
        return self.rng.choice(self.system.programs)

    def _record_fault(self, kind, target):
        self.report.faults.append(f'{kind} {target}')

    async def _kill(self):
        program = self._pick_program()
        self._record_fault('kill', program.name)
        self.system.signal(program, signal.SIGKILL)
        await asyncio.sleep(self.rng.random())
        self._restart(program)

    async def _terminate(self):
        program = self._pick_program()
        self._record_fault('terminate', program.name)
        if program.paused:
            return
        self.system.signal(program, signal.SIGTERM)
        with contextlib.suppress(TimeoutError):
            async with asyncio.timeout(5.0):
                await self.system.wait_for_exit(program)
                self._restart(program)
                return
        self.system.signal(program, signal.SIGKILL)
        await self.system.wait_for_exit(program)
        self._restart(program)

    def _restart(self, program):
        if program.process.poll() is not None:
            self.system.start(program)

    async def _pause(self):
        program = self._pick_program()
        self._record_fault('pause', program.name)
        self.system.signal(program, signal.SIGSTOP)
        await asyncio.sleep(0.5 + 2 * self.rng.random())
        self.system.signal(program, signal.SIGCONT)

    async def _crash_engines(self):
        zone = f'zone-{self.rng.randrange(3)}'
        self._record_fault('crash', zone)
        crashed = [
            e
            for e in self.engines
            if e.zone == zone and e.service == 's-model'
        ]
        for engine in crashed:
            version = self.version_rng.choice(VERSIONS)
            if self.version_rng.random() < 0.5:
                engine.upgrade_in_place(version)
            else:
                engine.restart(version)
            engine.proxy.fault = 'refuse'
        await asyncio.sleep(self.rng.random())
        for engine in crashed:
            engine.proxy.fault = ''

    async def _disturb_connections(self):
        engine = self.rng.choice(self.engines)
        fault = self.rng.choice(('delay', 'silent', 'one_way', 'reset'))
        self._record_fault(fault, engine.ident)
        if fault == 'reset':
            engine.proxy.reset()
            return
        engine.proxy.fault = fault
        await asyncio.sleep(self.rng.random())
        engine.proxy.fault = ''

    async def _return_errors(self):
        engine = self.rng.choice(self.engines)
        self._record_fault('errors', engine.ident)
        engine.error_rate = 0.5
        await asyncio.sleep(1.0)
        engine.error_rate = 0.0
