"""Entries that lose their connections to all servers, real processes."""

import asyncio
import contextlib

import aiohttp
import pytest
import yarl

from tests.platform.soak import fakes
from tests.platform.soak import run
from tests.platform.soak import system

ENTRIES = 6
REQUESTS_PER_S = 30
CUT_S = 5.0
PAUSE_S = 2.0
CUTS = 2
# From this time on the callers of entries that are cut off are served.
DETECTION_S = 2.0
MIN_SERVED_SHARE = 0.95
AIM_S = 1.0
KINDS = {
    'stream': fakes.STREAM_PATH,
    'at_most_once': fakes.UNSAFE_PATH,
    'idempotent': fakes.SAFE_PATH,
}


class IsolationRun(run.SoakRun):
    """Calls all entries while some of them reach no server.

    :param cut_kind: see :meth:`system.System.cut_off`.
    :param cut_entries: number of entries that are cut off.
    :param path: path of the requests' route.
    """

    def __init__(self, folder, network_number, cut_kind, cut_entries, path):
        super().__init__(1, folder, network_number, 0.0)
        self.cut_kind = cut_kind
        self.cut_entries = cut_entries
        self.path = path
        self.outcomes = {True: [], False: []}
        self.cut = []
        self.counted = False

    def _make_system(self, *arguments):
        return system.System(*arguments, entry_count=ENTRIES)

    async def _run_with_faults(self):
        requests = asyncio.ensure_future(self._send_requests())
        await asyncio.sleep(1.0)
        entries = self.system.programs_with_role('entry')
        for number in range(CUTS):
            # Another set of entries each time.
            ordered = entries[number:] + entries[:number]
            await self._cut(ordered[: self.cut_entries])
            await asyncio.sleep(PAUSE_S)
        requests.cancel()
        # What is on its way ends, or is counted as failed.
        await asyncio.sleep(AIM_S)

    async def _cut(self, entries):
        self.cut = entries
        for entry in entries:
            self.cuts.begin(entry, self.cut_kind)
        await asyncio.sleep(DETECTION_S)
        self.counted = True
        await asyncio.sleep(CUT_S - DETECTION_S)
        self.counted = False
        for entry in entries:
            self.cuts.end(entry)
        self.cut = []

    async def _send_requests(self):
        entries = self.system.programs_with_role('entry')
        while True:
            entry = self.rng.choice(entries)
            self._start_task(self._send_first_try(entry))
            await asyncio.sleep(self.rng.expovariate(REQUESTS_PER_S))

    async def _send_first_try(self, entry):
        loop = asyncio.get_running_loop()
        started_at = loop.time()
        self.request_count += 1
        ident = f'first-{self.request_count}'
        target = f'{self.path}{ident}'
        headers = {
            'Host': 'soak.example',
            'Bulrushhold-Request-Id': ident,
            'Bulrushhold-Credential': run.API_KEY,
            'Bulrushhold-Deadline-Ms': '10000',
        }
        if self.path == fakes.STREAM_PATH:
            headers['Bulrushhold-Token-Counts'] = '800,40'
            headers['Bulrushhold-Prompt-Prefix'] = f'a:100,b{ident}:700'
        counted, cut_off = self.counted, entry in self.cut
        outcome = [ident, 'no answer', 0.0]
        if counted:
            self.outcomes[cut_off].append(outcome)
        self.report.sent += 1
        url = yarl.URL(self.system.url(entry, 'front', target), encoded=True)
        with contextlib.suppress(aiohttp.ClientError, OSError):
            async with self.session.post(
                url, data=b'body', headers=headers
            ) as response:
                await response.content.readany()
                outcome[2] = loop.time() - started_at
                await response.read()
                outcome[1] = response.status
                if response.status == 503:
                    self.refused.append(ident)

    async def _check_recovery(self):
        # The answers during the cuts are checked.
        pass

    def served(self, *, cut_off):
        """Return how many first tries were served in time, and of how many."""
        outcomes = self.outcomes[cut_off]
        served = [o for o in outcomes if o[1] == 200 and o[2] <= AIM_S]
        return len(served), len(outcomes)


async def check_first_tries_are_served(folder, cut_kind, cut_entries, path):
    with system.LoopbackNetwork() as network:
        isolation_run = IsolationRun(
            folder, network.number, cut_kind, cut_entries, path
        )
        report = await isolation_run.execute()
    assert report.violations == []
    for cut_off in (True, False):
        served, sent = isolation_run.served(cut_off=cut_off)
        print(f'{cut_off=} {served=} {sent=}')
        assert sent
        assert served >= MIN_SERVED_SHARE * sent


@pytest.mark.parametrize('kind', KINDS)
async def test_callers_of_entries_without_servers_are_served(tmp_path, kind):
    # Guards against entries that take callers and reach no server.
    await check_first_tries_are_served(tmp_path, 'reset', 4, KINDS[kind])


@pytest.mark.parametrize(
    ('cut_kind', 'kind'),
    [
        ('silent', 'stream'),
        ('one_way', 'stream'),
        ('refuse_new', 'stream'),
        ('silent', 'at_most_once'),
    ],
)
async def test_entries_notice_servers_that_they_lose_without_a_reset(
    tmp_path, cut_kind, kind
):
    # Guards against a loss of all servers that only timeouts show.
    await check_first_tries_are_served(tmp_path, cut_kind, 2, KINDS[kind])
