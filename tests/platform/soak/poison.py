"""Sends poison requests, which crash the engines that begin them."""

import asyncio
import contextlib
import itertools
import time

import yarl

from tests.platform.soak import fakes

BODY = b'bad'
MEAN_INTERVAL_S = 1.5
MAX_CALLERS = 4
KINDS = (fakes.STREAM_PATH, fakes.UNSAFE_PATH, fakes.SAFE_PATH)


def post(session, system, entry, path, ident, key):
    """Return a pending request to an entry.

    :param ident: of this attempt; the path identifies the poison request.
    :param key: key of the client account.
    """
    headers = {
        'Host': 'soak.example',
        'Bulrushhold-Request-Id': ident,
        'Bulrushhold-Credential': key,
        'Bulrushhold-Deadline-Ms': '10000',
    }
    if path.startswith(fakes.STREAM_PATH):
        headers['Bulrushhold-Token-Counts'] = '800,40'
        headers['Bulrushhold-Prompt-Prefix'] = 'a:100,bad:700'
    url = yarl.URL(system.url(entry, 'front', path), encoded=True)
    return session.post(url, data=BODY, headers=headers)


class PoisonCallers:
    """Send a few poison requests again and again, through any entry.

    :param soak: the run, with its session, system and report.
    :param key: key of the client account.
    """

    def __init__(self, rng, soak, key):
        self.rng = rng
        self.soak = soak
        self.key = key
        self.numbers = itertools.count(1)

    async def run(self, deadline, record_fault, start_task):
        """Send them until a deadline."""
        rng = self.rng
        while time.monotonic() < deadline:
            await asyncio.sleep(rng.expovariate(1 / MEAN_INTERVAL_S))
            kind = rng.choice(KINDS)
            path = f'{kind}{fakes.POISON}-{rng.randrange(3)}'
            callers = rng.randint(1, MAX_CALLERS)
            record_fault(f'{callers} callers of', path)
            for _ in range(callers):
                start_task(self.send(path))

    async def send(self, path):
        """Send one, which must not be answered."""
        soak = self.soak
        entry = self.rng.choice(soak.system.programs_with_role('entry'))
        ident = f'poison-{next(self.numbers)}'
        with contextlib.suppress(*fakes.CONNECTION_ERRORS):
            async with post(
                soak.session, soak.system, entry, path, ident, self.key
            ) as response:
                await response.read()
                if response.status == 200:
                    soak.report.violations.append(f'answered: {path}')
