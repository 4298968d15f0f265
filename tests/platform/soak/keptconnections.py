"""Entries that shut down while callers go on using open connections."""

import asyncio
import collections
import random
import signal
import time

import attrs

from tests.platform.soak import fakes
from tests.platform.soak import figures
from tests.platform.soak import plannedwork
from tests.platform.soak import result
from tests.platform.soak import run
from tests.platform.soak import silence
from tests.platform.soak import system

CONNECTIONS_PER_ENTRY = 12
ANSWER_TIMEOUT_S = 12.0
RESTART_INTERVAL_S = 0.5
RECONNECT_S = 0.1
TAIL_S = 6.0


@attrs.frozen
class KeptConnectionsPlan:
    """How long servers work, and how often callers send.

    :param pause_s: mean time between two requests on one connection.
    :param grace_s: long enough for an entry to exit before it, when idle.
    :param beside: names in :data:`plannedwork.WORK`.
    """

    work_s: float = 0.4
    pause_s: float = 4.0
    grace_s: float = 8
    entries: int = 4
    seconds: float = 24.0
    beside: tuple = ()


class KeptConnectionsRun(silence.SilenceRun):
    """Sends requests on connections that stay open until entries close them.

    :ivar unanswered: IDs of requests whose connection ended without an
        answer, by whether a server had begun to run them.
    """

    def __init__(self, seed, folder, network_number, plan):
        base = silence.SilencePlan(entries=plan.entries)
        super().__init__(seed, folder, network_number, base)
        self.kept_plan = plan
        self.seconds = plan.seconds
        self.unanswered = []
        self.statuses = collections.Counter()
        self.numbers = iter(range(10**9))
        for engine in self.engines:
            engine.work_s = plan.work_s

    def _make_system(self, *arguments):
        return system.System(
            *arguments,
            entry_count=self.kept_plan.entries,
            grace_s=self.kept_plan.grace_s,
        )

    async def _run_with_faults(self):
        deadline = time.monotonic() + self.seconds
        entries = self.system.programs_with_role('entry')
        callers = [
            asyncio.ensure_future(self._use_connections(entry, n, deadline))
            for entry in entries
            for n in range(CONNECTIONS_PER_ENTRY)
        ]
        restarts = [
            asyncio.ensure_future(self._restart(entry, deadline - TAIL_S))
            for entry in entries
        ]
        beside = [
            asyncio.ensure_future(plannedwork.WORK[work](self, deadline))
            for work in self.kept_plan.beside
        ]
        await asyncio.gather(*callers, *restarts, *beside)

    async def _restart(self, entry, deadline):
        rng = random.Random(f'restart {self.report.seed} {entry.name}')
        await asyncio.sleep(1.0 + rng.random())
        while time.monotonic() < deadline:
            self._record_fault('terminate', entry.name)
            self.system.signal(entry, signal.SIGTERM)
            await self.system.wait_for_exit(entry)
            self.system.start(entry)
            await self.system.wait_until_ready(self.session, entries=[entry])
            await asyncio.sleep(RESTART_INTERVAL_S * rng.random())

    async def _use_connections(self, entry, number, deadline):
        rng = random.Random(f'{self.report.seed} {entry.name} {number}')
        while time.monotonic() < deadline:
            try:
                reader, writer = await asyncio.open_connection(
                    entry.ip, self.system.ports['front']
                )
            except OSError:
                await asyncio.sleep(RECONNECT_S)
                continue
            try:
                await self._use(reader, writer, rng, deadline)
            finally:
                writer.close()

    async def _use(self, reader, writer, rng, deadline):
        """Send requests until the connection ends."""
        pause_s = self.kept_plan.pause_s
        while time.monotonic() < deadline:
            await asyncio.sleep(rng.expovariate(1 / pause_s))
            ident = f'{self.report.seed}-{next(self.numbers)}'
            kind = rng.choice((fakes.UNSAFE_PATH, fakes.SAFE_PATH))
            status, stays_open = await self._exchange(
                reader, writer, ident, f'{kind}{ident}'
            )
            self.statuses[status] += 1
            if not stays_open:
                return

    async def _exchange(self, reader, writer, ident, target):
        """Return the status of the answer, and whether to go on.

        The status is ``lost`` if a server ran the request, and ``unread`` if
        the entry may have closed before it read the request.
        """
        try:
            writer.write(
                f'POST {target} HTTP/1.1\r\nHost: soak.example\r\n'
                f'Bulrushhold-Request-Id: {ident}\r\n'
                f'Bulrushhold-Credential: {run.API_KEY}\r\n'
                'Bulrushhold-Deadline-Ms: 10000\r\n'
                'Content-Length: 4\r\n\r\nbody'.encode()
            )
            async with asyncio.timeout(ANSWER_TIMEOUT_S):
                head = await reader.readuntil(b'\r\n\r\n')
                lines = head.decode().lower().split('\r\n')
                lengths = [
                    int(line.partition(':')[2])
                    for line in lines
                    if line.startswith('content-length:')
                ]
                await reader.readexactly(lengths[0])
        except (OSError, asyncio.IncompleteReadError, TimeoutError):
            if ident in self.observations.runs:
                self.unanswered.append(ident)
                return 'lost', False
            return 'unread', False
        return lines[0].split()[1], 'connection: close' not in lines

    def checks(self):
        return [
            figures.Check('lost', len(self.unanswered), 0, at_least=False),
            figures.Check(
                'violated guarantees',
                len(self.report.violations),
                0,
                at_least=False,
            ),
        ]

    def lines(self):
        terminated = len(self.report.faults)
        return [
            f'{terminated} shutdowns; {dict(self.statuses)}',
            *self.report.violations[:10],
        ]


async def play(seed, folder, entries=4, seconds=24.0, **options):
    """Return the result of a run, with the logs in a folder."""
    plan = KeptConnectionsPlan(entries=entries, seconds=seconds, **options)
    folder.mkdir(exist_ok=True)
    with system.LoopbackNetwork() as network:
        kept_run = KeptConnectionsRun(seed, folder, network.number, plan)
        await kept_run.execute()
    return result.Result(kept_run.checks(), kept_run.lines())
