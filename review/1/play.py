"""An engine of another software version comes, and a key is taken away.

With ``TROUBLE=0`` the engines stay as they are; with ``TROUBLE=other-name``
the versions have names that differ in more than punctuation.
"""

import asyncio
import itertools
import os
import pathlib
import random
import sys
import time

FOLDER = pathlib.Path(__file__).resolve().parent
sys.path[:0] = [
    str(FOLDER.parents[1] / 'target' / 'deps'),
    str(FOLDER.parent / 'common'),
]

import case  # noqa: E402
import standins  # noqa: E402
import system  # noqa: E402
import wire  # noqa: E402

TROUBLE = os.environ.get('TROUBLE', '1')
OLD_VERSION = 'v1.0-1'
NEW_VERSION = 'v2.0-1' if TROUBLE == 'other-name' else 'v1.0.1'
# Bounds and sheet.
CONFIG_APPLY_S = 2.0
DRAIN_S = 3.0
TIME_LIMIT_MS = 3000
CLIENTS = 12
CLIENT_PAUSE_S = 0.1
KEYS = ('k1', 'k2')


def make_manifest(version: int, keys: tuple[str, ...]) -> dict:
    """Return a manifest whose tenant has some keys."""

    def route(name: str, prefix: str, kind: str) -> dict:
        return {
            'name': name,
            'hostname': 'desk.example',
            'path-prefix': prefix,
            'kind': kind,
            'timeout-ms': 1500,
            'target-latency-ms': 300,
            'priority': 2,
            'service': 'desk',
            'max-attempts': 2 if kind == 'safe' else 1,
            'public': False,
        }

    service = {
        'name': 'desk',
        'health-path': '/health',
        'max-conns': 110,
        'protocol': 'h1',
        'tls': False,
    }
    tenant = {'name': 't1', 'api-keys': list(keys), 'priority': 1}
    return {
        'config-version': version,
        'routes': [
            route('r-book', '/book/', 'unsafe'),
            route('r-look', '/look/', 'safe'),
        ],
        'services': [service],
        'limits': case.LIMITS,
        'tenants': [tenant],
    }


class Play(case.Case):
    """One run."""

    def __init__(
        self, deployment: system.System, provider: standins.Provider
    ) -> None:
        super().__init__(FOLDER, deployment)
        self.provider = provider
        self.draw = random.Random(1)
        self.idents = itertools.count(1)
        self.sent: dict[str, tuple[float, str, int]] = {}
        self.statuses: dict[str, str] = {}
        self.broken: list[str] = []

    async def send_requests(self) -> None:
        """Send one request after the other, as one client."""
        while True:
            machine = self.draw.choice(self.deployment.machines)
            kind = self.draw.choice(('book', 'look'))
            key = self.draw.choice(KEYS)
            ident = f'{next(self.idents):016x}'
            self.sent[ident] = time.monotonic(), key, machine.number
            answer = await wire.request(
                self.deployment.address(machine, 'front'),
                'POST',
                f'/{kind}/{ident}',
                {
                    'Host': 'desk.example',
                    'Bulrushhold-Request-Id': ident,
                    'Bulrushhold-Deadline-Ms': str(TIME_LIMIT_MS),
                    'Bulrushhold-Credential': key,
                },
                b'body',
                TIME_LIMIT_MS / 1000,
            )
            self.statuses[ident] = str(answer.status) if answer else 'none'
            await asyncio.sleep(CLIENT_PAUSE_S)

    async def release(self) -> None:
        """Replace one of the three engines; the new one starts first."""
        engines = self.provider.engines
        old = engines[0]
        new = standins.Engine('desk', old.zone, version=NEW_VERSION)
        await new.start()
        engines.append(new)
        self.note(f'{new.ident} comes, a {new.version}')
        await asyncio.sleep(1.0)
        old.state = 'draining'
        self.note(f'{old.ident} drains, a {old.version}')
        await asyncio.sleep(DRAIN_S + 2.0)
        old.end()
        engines.remove(old)
        self.note(f'{old.ident} has left')

    async def run(self) -> None:
        """Play the run."""
        await asyncio.sleep(2.0)
        if TROUBLE != '0':
            await self.release()
        await asyncio.sleep(5.0)
        await self.put_manifest(make_manifest(8, KEYS[:1]))
        acked_at = time.monotonic()
        self.note(f'key {KEYS[1]} is taken away')
        await asyncio.sleep(8.0)
        self.check(acked_at + CONFIG_APPLY_S)

    def check(self, bound: float) -> None:
        """Check the rule.

        :param bound: from then on the key is in force nowhere.
        """
        ran = {ident for e in self.provider.engines for ident, _ in e.runs}
        for ident, (at, key, machine) in self.sent.items():
            if key == KEYS[1] and at > bound and ident in ran:
                self.broken.append(ident)
                self.note(
                    f'RUN {ident} sent at {at - self.began:.3f} s to machine '
                    f'{machine} with key {key}; the client gets '
                    f'{self.statuses.get(ident, "none")}'
                )
        counts: dict[str, int] = {}
        for ident, status in self.statuses.items():
            at, key, _ = self.sent[ident]
            name = f'{key} {"later" if at > bound else "before"}: {status}'
            counts[name] = counts.get(name, 0) + 1
        self.note(f'clients got: {counts}')
        self.note(f'processes that ended: {self.deployment.ended()}')
        self.note(f'requests run with a key of before: {len(self.broken)}')


async def main() -> int:
    """Run the case."""
    engines = [
        standins.Engine('desk', f'z{number % 3 + 1}', version=OLD_VERSION)
        for number in range(3)
    ]
    for engine in engines:
        await engine.start()
    provider = standins.Provider(engines)
    await provider.start()
    deployment = system.System(provider.address)
    play = Play(deployment, provider)
    clients = []
    try:
        deployment.start_all()
        await play.put_manifest(make_manifest(7, KEYS))
        await play.wait_until_ready()
        clients = [
            asyncio.create_task(play.send_requests()) for _ in range(CLIENTS)
        ]
        await play.run()
        return 1 if play.broken else 0
    finally:
        await standins.cancel_all(clients)
        deployment.stop()


if __name__ == '__main__':
    case.run(main)
