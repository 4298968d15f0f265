"""One seeded run: faults from outside, promises checked from outside."""

import asyncio
import contextlib
import json
import random
import signal
import time

import aiohttp
import attrs
import yarl

from tests.platform.soak import standins
from tests.platform.soak import system

KEY = 'key-1'
MODEL_ENGINES = 6
DESK_ENGINES = 3
STREAM_S = 12.0
PLAIN_S = 3.0
PUT_EVERY_S = 0.4
FAULT_EVERY_S = 0.5
_BROKEN = (aiohttp.ClientError, OSError, TimeoutError)


@attrs.define
class Report:
    """What a run did and which promises it saw broken."""

    seed: int
    asked: int = 0
    served: int = 0
    faults: list = attrs.field(factory=list)
    broken: list = attrs.field(factory=list)


class Run:
    """One system, its callers, its operator and its faults."""

    def __init__(self, seed, folder, net, seconds):
        self.rng = random.Random(seed)
        self.report = Report(seed)
        self.folder = folder
        self.net = net
        self.seconds = seconds
        self.seen = standins.Seen()
        self.engines = [
            standins.Engine('s-model', f'zone-{n % 3}', self.seen, self.rng)
            for n in range(MODEL_ENGINES)
        ] + [
            standins.Engine('s-desk', f'zone-{n}', self.seen, self.rng)
            for n in range(DESK_ENGINES)
        ]
        self.refused = []
        self.version = 1
        self.acknowledged = 0
        self.numbers = 0
        self.tasks = set()

    async def play(self):
        for engine in self.engines:
            await engine.start()
        listing = standins.PlatformListServer(self.engines)
        await listing.start()
        base = 21000 + self.net * 40
        self.system = system.System(
            self.folder, listing.address, self.net, base
        )
        timeout = aiohttp.ClientTimeout(total=STREAM_S)
        try:
            async with aiohttp.ClientSession(timeout=timeout) as session:
                self.session = session
                self.system.start_all()
                await self._put_until_acknowledged()
                self.system.settle()
                await self.system.ready(session)
                await self._trouble()
                await self._calm()
        finally:
            for task in self.tasks:
                task.cancel()
            await asyncio.gather(*self.tasks, return_exceptions=True)
            self.system.stop_all()
            await listing.stop()
            for engine in self.engines:
                await engine.stop()
        self._check_runs()
        return self.report

    async def _trouble(self):
        end = time.monotonic() + self.seconds
        operator = asyncio.ensure_future(self._operate(end))
        faults = asyncio.ensure_future(self._break_things(end))
        while time.monotonic() < end:
            self._spawn(self._ask())
            await asyncio.sleep(self.rng.expovariate(25))
        await asyncio.gather(operator, faults)

    async def _calm(self):
        """All is mended: everything must be served again within seconds."""
        for engine in self.engines:
            engine.proxy.fault = ''
            engine.grey = 0.0
        for program in self.system.programs:
            self.system.signal(program, signal.SIGCONT)
        await asyncio.gather(*self.tasks, return_exceptions=True)
        self.system.restart_ended()
        try:
            await self.system.ready(self.session)
        except TimeoutError as error:
            self.report.broken.append(f'recover: {error}')
            return
        await asyncio.sleep(2.0)
        before = self.report.served
        await asyncio.gather(*(self._ask() for _ in range(20)))
        if self.report.served - before < 20:
            served = self.report.served - before
            self.report.broken.append(f'recover: {served} of 20 served')
        await self._read_back(final=True)
        for program in self.system.programs:
            if program.own_ends:
                self.report.broken.append(f'{program.name} ended by itself')

    def _spawn(self, work):
        task = asyncio.ensure_future(work)
        self.tasks.add(task)
        task.add_done_callback(self.tasks.discard)

    # Callers

    async def _ask(self):
        self.numbers += 1
        number = self.numbers
        kind = self.rng.choice(
            (standins.STREAM_PATH, standins.ONCE_PATH, standins.READ_PATH)
        )
        ident = f'{self.report.seed}-{number}'
        target = f'{kind}{ident}?q=%2F{number}'
        entry = self.rng.choice(self.system.of('entry'))
        headers = {
            'Host': 'soak.example',
            'Bulrushhold-Request-Id': ident,
            'Bulrushhold-Credential': KEY,
            'Bulrushhold-Deadline-Ms': '10000',
            'Bulrushhold-Hold': 'forged',
            'Bulrushhold-Tenant': 'forged',
        }
        if kind == standins.STREAM_PATH:
            headers['Bulrushhold-Token-Counts'] = '800,40'
            headers['Bulrushhold-Prompt-Prefix'] = f'a:100,b{number}:700'
        self.report.asked += 1
        url = self.system.url(entry, 'front', target)
        body = f'body {number}'.encode()
        with contextlib.suppress(*_BROKEN):
            async with self.session.post(
                yarl.URL(url, encoded=True), data=body, headers=headers
            ) as response:
                data = await response.read()
                self._check(kind, ident, target, body, response, data)

    def _check(self, kind, ident, target, body, response, data):
        status = response.status
        if status in (503, 429, 408, 421):
            self.refused.append(ident)
            return
        if status in (401, 403, 404):
            self.report.broken.append(f'denied: {status} for {target}')
        if status != 200:
            return
        self.report.served += 1
        if response.headers.get('Bulrushhold-Request-Id') != ident:
            self.report.broken.append(f'mixed: {target}: wrong id')
        if kind == standins.STREAM_PATH:
            wanted = b''.join(
                standins.event(target, n)
                for n in range(1, standins.EVENTS + 1)
            )
        else:
            wanted = standins.answer(target, body)
        if data != wanted:
            self.report.broken.append(
                f'mixed: {target}: {len(data)} bytes of {len(wanted)}'
            )

    def _check_runs(self):
        for ident in self.refused:
            if ident in self.seen.once:
                self.report.broken.append(f'refused, but ran: {ident}')
        for ident, runs in self.seen.runs.items():
            if runs > 1 and ident in self.seen.once:
                self.report.broken.append(f'ran {runs} times: {ident}')
        for target, name in self.seen.forged[:5]:
            self.report.broken.append(f'forged {name} at {target}')

    # The operator

    def _document(self, version):
        def route(number, prefix, kind, service, **more):
            return {
                'name': f'r{number}',
                'hostname': 'soak.example',
                'path-prefix': prefix,
                'kind': kind,
                'timeout-ms': 10000,
                'target-latency-ms': 1000,
                'service': service,
                'max-attempts': 5,
                **more,
            }

        return {
            'config-version': version,
            'routes': [
                route(
                    1,
                    standins.STREAM_PATH,
                    'streaming',
                    's-model',
                    resumable=True,
                ),
                route(2, standins.ONCE_PATH, 'unsafe', 's-desk'),
                route(3, standins.READ_PATH, 'safe', 's-desk'),
                route(4, f'/v{version}/', 'safe', 's-desk'),
            ],
            'services': [
                {'name': 's-model', 'engine': {'kv-capacity-tokens': 88000}},
                {'name': 's-desk'},
            ],
            'tenants': [{'name': 'vendors', 'api-keys': [KEY]}],
        }

    async def _put(self, version):
        program = self.rng.choice(self.system.of('control'))
        url = self.system.url(program, 'control', '/bulrushhold/Config.Put')
        timeout = aiohttp.ClientTimeout(total=1.0)
        with contextlib.suppress(*_BROKEN):
            async with self.session.post(
                url, data=json.dumps(self._document(version)), timeout=timeout
            ) as response:
                if response.status == 200:
                    self.acknowledged = max(self.acknowledged, version)
                    return True
                if 400 <= response.status < 500:
                    self.report.broken.append(
                        f'valid map {version}: {response.status}'
                    )
        return False

    async def _put_until_acknowledged(self):
        end = time.monotonic() + 20
        while not await self._put(self.version):
            if time.monotonic() > end:
                raise TimeoutError('no control process takes a route map')
            await asyncio.sleep(0.1)

    async def _operate(self, end):
        while time.monotonic() < end:
            self.version += self.rng.randint(1, 3)
            await self._put(self.version)
            await self._read_back()
            await asyncio.sleep(PUT_EVERY_S * self.rng.random())

    async def _read_back(self, *, final=False):
        floor = self.acknowledged
        read = 0
        for program in self.system.of('control'):
            url = self.system.url(
                program, 'control', '/bulrushhold/Config.Get'
            )
            timeout = aiohttp.ClientTimeout(total=5.0 if final else 0.5)
            with contextlib.suppress(*_BROKEN):
                async with self.session.get(url, timeout=timeout) as response:
                    if response.status != 200:
                        continue
                    document = await response.json()
                    read += 1
                    if document['config-version'] < floor:
                        self.report.broken.append(
                            f'{program.name} shows an old map'
                        )
        if final and not read:
            self.report.broken.append('the route map does not come back')

    # Faults

    async def _break_things(self, end):
        while time.monotonic() < end:
            fault = self.rng.choice(
                (
                    self._kill,
                    self._pause,
                    self._terminate,
                    self._crash_engines,
                    self._harm_connections,
                    self._turn_grey,
                )
            )
            self._spawn(fault())
            await asyncio.sleep(self.rng.expovariate(1 / FAULT_EVERY_S))

    def _one(self):
        return self.rng.choice(self.system.programs)

    def _note(self, what, of):
        self.report.faults.append(f'{what} {of}')

    async def _kill(self):
        program = self._one()
        self._note('kill', program.name)
        self.system.signal(program, signal.SIGKILL)
        await asyncio.sleep(self.rng.random())
        self._restart(program)

    async def _terminate(self):
        program = self._one()
        self._note('terminate', program.name)
        if program.stopped:
            return
        self.system.signal(program, signal.SIGTERM)
        with contextlib.suppress(TimeoutError):
            async with asyncio.timeout(5.0):
                await self.system.ended(program)
                self._restart(program)
                return
        self.system.signal(program, signal.SIGKILL)
        await self.system.ended(program)
        self._restart(program)

    def _restart(self, program):
        if program.process.poll() is not None:
            self.system.start(program)

    async def _pause(self):
        program = self._one()
        self._note('pause', program.name)
        self.system.signal(program, signal.SIGSTOP)
        await asyncio.sleep(0.5 + 2 * self.rng.random())
        self.system.signal(program, signal.SIGCONT)

    async def _crash_engines(self):
        zone = f'zone-{self.rng.randrange(3)}'
        self._note('crash', zone)
        hit = [
            e
            for e in self.engines
            if e.zone == zone and e.service == 's-model'
        ]
        for engine in hit:
            engine.crash()
            engine.proxy.fault = 'refuse'
        await asyncio.sleep(self.rng.random())
        for engine in hit:
            engine.proxy.fault = ''

    async def _harm_connections(self):
        engine = self.rng.choice(self.engines)
        fault = self.rng.choice(('delay', 'silent', 'one_way', 'reset'))
        self._note(fault, engine.ident)
        if fault == 'reset':
            engine.proxy.reset()
            return
        engine.proxy.fault = fault
        await asyncio.sleep(self.rng.random())
        engine.proxy.fault = ''

    async def _turn_grey(self):
        engine = self.rng.choice(self.engines)
        self._note('grey', engine.ident)
        engine.grey = 0.5
        await asyncio.sleep(1.0)
        engine.grey = 0.0
