"""Cuts entries off from all engines and reconnects them."""

import asyncio
import collections
import time

CUT_KINDS = ('reset', 'silent', 'one_way', 'refuse_new')
MEAN_CUT_INTERVAL_S = 2.5
MAX_CUT_S = 3.0
# Entries cut at once; cuts overlap, so that at times all of them are.
MAX_CUT_SHARE = 0.75


class EntryCuts:
    """Connections of entries to engines that fail together.

    :param system: the entries.
    :param engines: those whose proxies hold or reset open connections.
    """

    def __init__(self, system, engines):
        self.system = system
        self.engines = engines
        self.cuts = collections.Counter()

    def begin(self, entry, kind):
        """Cut an entry off; see :meth:`system.System.cut_off`."""
        self.cuts[entry.name] += 1
        self.system.cut_off(entry, kind)
        for engine in self.engines:
            if kind == 'reset':
                engine.proxy.reset(entry.ip)
            elif kind != 'refuse_new':
                engine.proxy.faults_by_client[entry.ip] = kind

    def end(self, entry):
        """End a cut; others of the same entry may go on."""
        self.cuts[entry.name] -= 1
        if self.cuts[entry.name]:
            return
        self.system.reconnect(entry)
        for engine in self.engines:
            engine.proxy.faults_by_client.pop(entry.ip, None)

    async def make(self, rng, deadline, record_fault, start_task):
        """Cut random entries off until a deadline."""
        entries = self.system.programs_with_role('entry')
        while time.monotonic() < deadline:
            kind = rng.choice(CUT_KINDS)
            count = rng.randint(1, round(MAX_CUT_SHARE * len(entries)))
            cut = rng.sample(entries, count)
            record_fault(f'cut {kind}', ' '.join(e.name for e in cut))
            start_task(self._cut_for(cut, kind, MAX_CUT_S * rng.random()))
            await asyncio.sleep(rng.expovariate(1 / MEAN_CUT_INTERVAL_S))

    async def _cut_for(self, entries, kind, seconds):
        for entry in entries:
            self.begin(entry, kind)
        await asyncio.sleep(seconds)
        for entry in entries:
            self.end(entry)
