"""The soak with large route maps, and kills of control in their writes."""

import asyncio
import contextlib
import signal
import time

import aiohttp

from bulrushhold.node import _records
from tests.platform.soak import contended
from tests.platform.soak import fakes
from tests.platform.soak import routemap

MOVED_ROUTES = 20
PUT_TIMEOUT_S = 5.0
MAX_WRITE_S = 0.4
MAX_DOWN_S = 0.9
MEAN_CORE_KILL_INTERVAL_S = 2.0
# The operators' bound, after all processes of control have been killed.
RECOVERY_S = 12.0
TORN_BYTES = 2_600_000


def draw_torn_record(rng):
    """Return what a disk holds of a record whose write was cut."""
    record = _records.encode_record(
        b'\x83\xa7entries' + rng.randbytes(TORN_BYTES)
    )
    kept = record[: int(len(record) * rng.choice((0.1, 0.5, 0.99)))]
    middle = len(kept) // 2
    return rng.choice(
        (
            b'',
            kept,
            kept + bytes(len(record) - len(kept)),
            bytes(middle) + kept[middle:],
            bytes(len(record)),
        )
    )


class LargeMapSoakRun(contended.ContendedSoakRun):
    """The same faults, and kills of all control processes as they write.

    :param accounts: number of client accounts of the route map.
    :param routes: number of its routes of streams.
    """

    PUT_TIMEOUT_S = PUT_TIMEOUT_S

    def __init__(
        self, seed, folder, network_number, seconds, accounts=4_000, routes=200
    ):
        super().__init__(seed, folder, network_number, seconds)
        self.core_rng = self._rng('core')
        self.route_count = routes
        names = [
            f'{self.core_rng.getrandbits(64):016x}' for _ in range(accounts)
        ]
        self.accounts = [
            {**account, 'priority': number % 3}
            for number, account in enumerate(routemap.make_accounts(names))
        ]

    def _make_route_map(self, version):
        document = super()._make_route_map(version)
        document['tenants'] += self.accounts
        document['services'].append({'name': 's-other'})
        document['routes'] += routemap.make_many_routes(
            self.route_count, version * MOVED_ROUTES, MOVED_ROUTES
        )
        return document

    async def _run_with_faults(self):
        deadline = time.monotonic() + self.seconds
        await asyncio.gather(
            super()._run_with_faults(), self._kill_core_until(deadline)
        )

    async def _kill_core_until(self, deadline):
        while time.monotonic() < deadline:
            await self._kill_core()
            await asyncio.sleep(
                self.core_rng.expovariate(1 / MEAN_CORE_KILL_INTERVAL_S)
            )

    async def _kill_core(self):
        """Kill all control processes at a moment of a write."""
        self.version += 1
        self._start_task(self._put_route_map(self.version))
        await asyncio.sleep(MAX_WRITE_S * self.core_rng.random())
        programs = self.system.programs_with_role('control')
        for program in programs:
            self.system.signal(program, signal.SIGKILL)
        killed = [program.process for program in programs]
        while any(process.poll() is None for process in killed):
            await asyncio.sleep(0.01)
        for program in programs:
            self._tear_log(program)
        acknowledged = self.acknowledged
        await asyncio.sleep(MAX_DOWN_S * self.core_rng.random())
        for program in programs:
            self._restart(program)
        self._start_task(self._check_read_back(acknowledged))

    def _tear_log(self, program):
        torn = draw_torn_record(self.core_rng)
        # Another fault may have started it again.
        if program.process.poll() is None:
            return
        self._record_fault('kill in a write', program.name)
        log = self.system.folder / 'data' / program.name / 'log'
        if log.exists():
            with log.open('ab') as file:
                file.write(torn)

    async def _check_read_back(self, version):
        """Check that an acknowledged route map comes soon after a kill."""
        started_at = time.monotonic()
        while time.monotonic() - started_at < RECOVERY_S:
            for program in self.system.programs_with_role('control'):
                if await self._read_version(program) >= version:
                    return
            await asyncio.sleep(0.1)
        self.report.violations.append(
            f'route map {version} is not read back after {RECOVERY_S} s'
        )

    async def _read_version(self, program):
        url = self.system.url(program, 'control', '/bulrushhold/Config.Get')
        timeout = aiohttp.ClientTimeout(total=2.0)
        with contextlib.suppress(*fakes.CONNECTION_ERRORS):
            async with self.session.get(url, timeout=timeout) as response:
                if response.status == 200:
                    return (await response.json())['config-version']
        return 0
