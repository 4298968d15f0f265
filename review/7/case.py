"""The newest manifest can't be read for a minute after a kill of the core.

All control processes are killed at the same moment, as they write a large
manifest, and are back a second later, with their disks.
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
SENDER, FOLLOWERS = 1, (2, 3)
# A kill may also meet the end of a write, which does no harm: no kill is begun
# later than this.
KILLS_S = 80.0
# Two processes that write the same hardly ever do it at the same moment.
SPREAD_S = 0.1
RECOVERY_S = 12.0
RESTART_S = 0.7
SOON_S = 6.0
READ_S = 5.0
ALPHABET = string.ascii_lowercase + string.digits


def draw_text(rng: random.Random, length: int) -> str:
    """Return a name or a key as the pages show them."""
    return ''.join(rng.choices(ALPHABET, k=length))


def make_tenants(rng: random.Random, count: int) -> list[dict[str, t.Any]]:
    """Return client accounts."""
    return [
        {
            'name': draw_text(rng, 7),
            'api-keys': [draw_text(rng, 20), draw_text(rng, 20)],
            'priority': 1,
        }
        for _ in range(count)
    ]


async def read_back(deployment: harness.Deployment, seconds: float) -> int:
    """Ask for the newest manifest; return its version, or 0 without it."""
    deadline = time.monotonic() + seconds
    while time.monotonic() < deadline:
        for number in range(1, harness.MACHINES + 1):
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


async def start_killer(
    deployment: harness.Deployment, number: int
) -> asyncio.subprocess.Process:
    """Have a control process killed as it writes."""
    name = f'control-{number}'
    return await asyncio.create_subprocess_exec(
        sys.executable,
        str(pathlib.Path(__file__).with_name('killer.py')),
        str(deployment.folder / 'data' / name / 'log'),
        str(deployment.processes[name].pid),
        stdout=asyncio.subprocess.DEVNULL,
        env={'PATH': os.environ['PATH']},
    )


async def kill_core(
    deployment: harness.Deployment, manifest: dict[str, t.Any]
) -> None:
    """Kill all control processes as they write a manifest; start them again.

    :raises CouldNotRunError: if they didn't write it.
    """
    numbers = range(1, harness.MACHINES + 1)
    names = [f'control-{number}' for number in numbers]
    killers = [await start_killer(deployment, n) for n in FOLLOWERS]
    await asyncio.sleep(0.3)
    sending = asyncio.ensure_future(deployment.put(manifest, SENDER))
    killed = [deployment.processes[f'control-{n}'] for n in FOLLOWERS]
    deadline = time.monotonic() + 10
    while all(process.poll() is None for process in killed):
        if time.monotonic() > deadline:
            raise harness.CouldNotRunError('no write was met')
        await asyncio.sleep(0.001)
    deadline = time.monotonic() + SPREAD_S
    while any(process.poll() is None for process in killed):
        if time.monotonic() > deadline:
            break
        await asyncio.sleep(0.001)
    for name in names:
        deployment.signal(name, signal.SIGKILL)
    for killer in killers:
        if killer.returncode is None:
            killer.kill()
        await killer.wait()
    for name in names:
        await asyncio.to_thread(deployment.processes[name].wait)
        size = (deployment.folder / 'data' / name / 'log').stat().st_size
        deployment.record(f'the log of {name} has {size} B')
    await sending
    await asyncio.sleep(RESTART_S)
    for number in numbers:
        deployment.start_program('control', number, bootstrap=False)
    deployment.record('the core starts again, with its disks')


async def play(
    deployment: harness.Deployment, record: harness.Record, trouble: bool
) -> str:
    """Store manifests, and kill the core as it writes one."""
    rng = random.Random(83)
    for number in (1, 2, 3):
        await deployment.add(
            harness.Engine(
                record, 'desk', f'i-desk-{number}', f'zone-{number}'
            )
        )
    routes = [harness.route('book', 'unsafe', 1500)]
    await deployment.start(harness.manifest(1, desk=routes))
    tenants = make_tenants(rng, ACCOUNTS)
    version = found = 0
    deadline = time.monotonic() + KILLS_S
    while found >= version and time.monotonic() < deadline:
        version += 2
        manifests = []
        for number in (version, version + 1):
            manifest = harness.manifest(number, desk=routes)
            manifest['tenants'] += [*tenants, *make_tenants(rng, 1)]
            manifests.append(manifest)
        while not await deployment.put(manifests[0], SENDER):
            await asyncio.sleep(0.2)
        if not trouble:
            await deployment.put(manifests[1], SENDER)
            found = await read_back(deployment, READ_S)
            break
        await kill_core(deployment, manifests[1])
        found = await read_back(deployment, SOON_S)
        if not found:
            await asyncio.sleep(RECOVERY_S - SOON_S)
            found = await read_back(deployment, READ_S)
    record(f'acknowledged: {version}, read back: {found}')
    if not found:
        return f'manifest {version} was acknowledged and does not come'
    if found < version:
        return f'manifest {version} was acknowledged, {found} comes'
    return ''


if __name__ == '__main__':
    harness.main(__file__, play, memory_mb=300)
