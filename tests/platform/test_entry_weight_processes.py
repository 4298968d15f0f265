"""Entries of different capacity, real processes."""

import asyncio
import collections

import aiohttp
import pytest

from tests.platform.soak import run
from tests.platform.soak import system

ENTRIES = 9
CALLERS = 120
# Until all entries have the list of all others.
SETTLE_S = 5.0
SMALL = 'cores = 0.5'
LARGE = 'cores = 1.5'


class UnevenSystem(system.System):
    """Entries 4 to 6 have a third of the cores of 7 to 9."""

    def write_settings(self, program, *, bootstrap):
        super().write_settings(program, bootstrap=bootstrap)
        number = int(program.ip.rpartition('.')[2])
        text = program.settings.read_text()
        if number > system.CONTROL_COUNT:
            lines = text.splitlines(keepends=True)
            text = ''.join(x for x in lines if not x.startswith('data-dir'))
        cores = SMALL if number in (4, 5, 6) else LARGE
        system.replace_text(
            program.settings,
            f'{text}[limits]\n{cores}\nmemory-mb = 256\nmax-fds = 4096\n',
        )


class UnevenRun(run.SoakRun):
    """Asks entries for addresses, as callers at addresses of their own.

    :ivar shares: callers by the last octet of the entry that they would use.
    """

    def __init__(self, folder, network_number):
        super().__init__(1, folder, network_number, 0.0)
        self.shares = collections.Counter()

    def _make_system(self, *arguments):
        return UnevenSystem(*arguments, entry_count=ENTRIES)

    async def _run_with_faults(self):
        await asyncio.sleep(SETTLE_S)
        entries = self.system.programs_with_role('entry')
        for number in range(CALLERS):
            local = (f'127.0.{self.network_number}.{100 + number}', 0)
            lists = [
                await self._resolve(entry, local)
                for entry in (entries[0], entries[-1])
            ]
            # Otherwise callers would leave connections as they ask others.
            assert lists[0] == lists[1]
            for address in lists[0]:
                octet = int(address.partition(':')[0].rpartition('.')[2])
                self.shares[octet] += 1 / len(lists[0])

    async def _resolve(self, entry, local):
        connector = aiohttp.TCPConnector(local_addr=local)
        url = self.system.url(entry, 'directory', '/bulrushhold/resolve')
        async with aiohttp.ClientSession(connector=connector) as session:
            async with session.get(url) as response:
                return set((await response.json())['addresses'])

    async def _check_recovery(self):
        pass


async def test_small_entries_get_a_third_of_the_callers(tmp_path):
    # Guards against small entries that are overloaded while others idle.
    with system.LoopbackNetwork() as network:
        uneven = UnevenRun(tmp_path, network.number)
        await uneven.execute()
    small = sum(uneven.shares[n] for n in (4, 5, 6))
    large = sum(uneven.shares[n] for n in (7, 8, 9))
    assert small / large == pytest.approx(1 / 3, abs=0.12)
    # Those with a disk count as the mean.
    disks = sum(uneven.shares[n] for n in (1, 2, 3))
    assert disks == pytest.approx((small + large) / 2, rel=0.25)
