"""The newest manifest can't be read for a minute after two single losses.

A control process is killed as it writes a large manifest, and starts again.
Later another machine of the core is replaced.
"""

import asyncio
import json
import os
import pathlib
import random
import signal
import string
import sys
import time
import typing as t

import harness

# Of the users' plan: 27,000 client accounts, with two keys each as in the
# example of the operator's API.
ACCOUNTS = 27_000
KILLED, REPLACED, NEW, SENDER = 2, 3, 4, 1
# Other records are smaller; that of such a manifest has 2.1 MB.
KILL_AFTER_BYTES = 1_250_000
# A kill may also meet the end of a write, which does no harm.
KILLS = 5
MANIFESTS = 3 * KILLS
ANSWER_S = 6.0
CATCH_UP_S = 4.0
CONTACT_S = 3.0
RESTART_S = 1.0
SUCCESSOR_S = 1.0
READ_S = 4.0
ALPHABET = string.ascii_lowercase + string.digits


def draw_text(rng: random.Random, length: int) -> str:
    """Return a name or a key as the pages show them."""
    return ''.join(rng.choices(ALPHABET, k=length))


def make_tenants(rng: random.Random) -> list[dict[str, t.Any]]:
    """Return all client accounts."""
    return [
        {
            'name': draw_text(rng, 7),
            'api-keys': [draw_text(rng, 20), draw_text(rng, 20)],
            'priority': 1,
        }
        for _ in range(ACCOUNTS)
    ]


async def read_back(
    deployment: harness.Deployment, numbers: tuple[int, ...]
) -> int:
    """Ask control processes for the newest manifest; return its version.

    0 if none of them returns it in time.
    """
    deadline = time.monotonic() + READ_S
    while time.monotonic() < deadline:
        for number in numbers:
            answer = await harness.exchange(
                f'{deployment.ip(number)}:{harness.CONTROL}',
                harness.encode(
                    'GET /bulrushhold/Config.Get HTTP/1.1', {'Host': 'control'}
                ),
            )
            deployment.record(
                f'read at control {number}: {answer.status} {answer.end}'
            )
            if answer.status == 200 and answer.end == 'whole':
                version: int = json.loads(answer.body)['config-version']
                return version
        await asyncio.sleep(0.5)
    return 0


async def kill_in_write(
    deployment: harness.Deployment,
    record: harness.Record,
    manifests: list[dict[str, t.Any]],
) -> int:
    """Kill a control process as it writes; return the version acknowledged.

    :raises CouldNotRunError: if it wasn't killed in a write.
    """
    name = f'control-{KILLED}'
    process = deployment.processes[name]
    killer = await asyncio.create_subprocess_exec(
        sys.executable,
        str(pathlib.Path(__file__).with_name('killer.py')),
        str(deployment.folder / 'data' / name / 'log'),
        str(process.pid),
        str(KILL_AFTER_BYTES),
        stdout=asyncio.subprocess.PIPE,
        env={'PATH': os.environ['PATH']},
    )
    acknowledged = 0
    for manifest in manifests:
        while not await deployment.put(manifest, SENDER):
            await asyncio.sleep(0.2)
        acknowledged = manifest['config-version']
        if process.poll() is not None:
            break
        await asyncio.sleep(0.3)
    output, _ = await killer.communicate()
    if process.poll() is None:
        raise harness.CouldNotRunError('no write was met')
    record(f'SIGKILL to {name} as it had written {output.decode().strip()} B')
    return acknowledged


async def answers(deployment: harness.Deployment, number: int) -> bool:
    """Return whether a control process that has started answers soon."""
    deadline = time.monotonic() + ANSWER_S
    request = harness.encode(
        'GET /bulrushhold/Config.Get HTTP/1.1', {'Host': 'control'}
    )
    while time.monotonic() < deadline:
        address = f'{deployment.ip(number)}:{harness.CONTROL}'
        if (await harness.exchange(address, request)).status:
            return True
        await asyncio.sleep(0.2)
    return False


async def play(
    deployment: harness.Deployment, record: harness.Record, trouble: bool
) -> str:
    """Store manifests; kill one control process, and replace another."""
    rng = random.Random(83)
    for number in (1, 2, 3):
        await deployment.add(
            harness.Engine(
                record, 'desk', f'i-desk-{number}', f'zone-{number}'
            )
        )
    routes = [harness.route('book', 'unsafe', 1500)]
    await deployment.start(harness.manifest(1, desk=routes))
    tenants = make_tenants(rng)
    manifests = []
    for version in range(2, 2 + MANIFESTS):
        manifest = harness.manifest(version, desk=routes)
        manifest['tenants'] += [*tenants, *make_tenants(rng)[:1]]
        manifests.append(manifest)
    acknowledged = 0
    numbers: tuple[int, ...] = (1, 2, 3)
    if trouble:
        for _ in range(KILLS):
            later = [
                m for m in manifests if m['config-version'] > acknowledged
            ]
            acknowledged = await kill_in_write(deployment, record, later)
            await asyncio.sleep(RESTART_S)
            deployment.start_program('control', KILLED, bootstrap=False)
            record(f'control-{KILLED} starts again, with its disk')
            if not await answers(deployment, KILLED):
                break
            record(f'control-{KILLED} answers')
        await asyncio.sleep(CATCH_UP_S + CONTACT_S - ANSWER_S)
        for role in ('control', 'entry'):
            deployment.signal(f'{role}-{REPLACED}', signal.SIGKILL)
        await asyncio.sleep(SUCCESSOR_S)
        for role in ('control', 'entry'):
            deployment.start_program(role, NEW, bootstrap=False)
        record(f'machine {NEW} replaces machine {REPLACED}, without its disk')
        numbers = (1, 2, NEW)
        await asyncio.sleep(CATCH_UP_S)
    else:
        for manifest in manifests:
            if await deployment.put(manifest, SENDER):
                acknowledged = manifest['config-version']
    version = await read_back(deployment, numbers)
    record(f'acknowledged: {acknowledged}, read back: {version}')
    if not version:
        return f'manifest {acknowledged} was acknowledged and does not come'
    if version < acknowledged:
        return f'manifest {acknowledged} was acknowledged, {version} comes'
    return ''


if __name__ == '__main__':
    harness.main(__file__, play, memory_mb=300)
