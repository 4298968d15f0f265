"""Control: edits and claims a second, start-up, spread and idle cost.

Real processes and real syncs on this machine's disk:

    python -m bench.control
"""

import asyncio
import collections.abc as cabc
import itertools
import pathlib
import random
import tempfile
import time
import typing as t

import attrs
import psutil
import uuid_utils

from bulrushhold import control
from bulrushhold import decisions
from bulrushhold import entry
from bulrushhold import errors
from bulrushhold import messages
from bulrushhold import node
from bulrushhold import settings
from bulrushhold import testing

SECONDS = 4.0
CALLERS = 32
ACCOUNTS = 100


def rows(count: int) -> list[messages.Row]:
    return [
        messages.Row(f'account{n}', 'chat', 1.0, 0.0, 0, 9.0, 0, True)
        for n in range(count)
    ]


def claim() -> messages.Claim:
    name = str(uuid_utils.uuid7())
    return messages.Claim(f'a/{name}', time.time(), 'f' * 32, name)


async def rate(
    ask: cabc.Callable[[t.Any], cabc.Awaitable[None]],
    make: cabc.Callable[[], t.Any],
) -> float:
    """Return commands a second by ``CALLERS`` callers at once."""
    done = 0
    end = time.monotonic() + SECONDS

    async def one() -> None:
        nonlocal done
        while time.monotonic() < end:
            await ask(make())
            done += 1

    await asyncio.gather(*(one() for _ in range(CALLERS)))
    return done / SECONDS


def local_rate(make: cabc.Callable[[], t.Any]) -> float:
    """Return commands a second into one synced log, one a sync."""
    with tempfile.TemporaryDirectory() as folder:
        log = node.FileLog(folder)
        log.write_identity(node.Identity('c1'))
        log.load(messages.Config())
        end = time.monotonic() + SECONDS / 2
        index = 0
        while time.monotonic() < end:
            index += 1
            data = messages.encode(make())
            item = messages.LogEntry(index, 1, messages.KIND_COMMAND, data)
            log.save(1, '', [item])
        log.close()
        return index / (SECONDS / 2)


async def measure_cluster(deployment: testing.Deployment) -> None:
    (port,) = testing.free_ports(1)
    transport = node.ZmqTransport(f'127.0.0.1:{port}')
    addresses = [f'127.0.0.1:{p}' for p in deployment.controls.values()]
    client = entry.ControlClient(addresses, transport)

    async def ask(command: t.Any) -> None:
        outcome = await client.propose(command, 10.0)
        if isinstance(outcome, messages.EditOutcome):
            assert outcome.accepted, outcome

    base = (await client.read(messages.TableRead(0, ''), 10.0)).revision
    numbers = itertools.count()

    def edit() -> messages.TableEdit:
        """Add a row that nobody else does, so that the edit is accepted."""
        number = next(numbers)
        added = [attrs.evolve(rows(1)[0], account=f'new{number}')]
        return messages.TableEdit(f'e{number}', base, '', 0.0, added)

    count = len(deployment.controls)
    claims = await rate(ask, claim)
    edits = await rate(ask, edit)
    print(f'{count} replicas: {claims:.0f} claims/s, {edits:.0f} edits/s')
    waits = []
    for _ in range(200):
        started = time.monotonic()
        await ask(claim())
        waits.append(time.monotonic() - started)
    waits.sort()
    print(
        f'  one caller: claim p50 {waits[100] * 1e3:.2f} ms, '
        f'p95 {waits[190] * 1e3:.2f} ms'
    )
    await transport.close()


def measure_start(count: int) -> None:
    """Print how long a replica takes to be read after ``count`` edits."""
    with tempfile.TemporaryDirectory() as folder:
        address = settings.Address('127.0.0.1', 1)
        config = settings.Control(
            'c1', 'north', address, folder, {'c1': address}
        )
        store = node.FileLog(folder)
        control.found(config, store)
        store.load(messages.Config())
        state = decisions.ReplicatedState()
        items = []
        table = rows(ACCOUNTS)
        for n in range(count):
            row = attrs.evolve(table[n % ACCOUNTS], weight=n + 1.0)
            edit = messages.TableEdit(
                f'e{n}', state.table.revision, '', 0.0, [row]
            )
            data = messages.encode(edit)
            state.apply(data)
            items.append(
                messages.LogEntry(n + 1, 1, messages.KIND_COMMAND, data)
            )
        tail = count % config.snapshot_every
        cut = count - tail
        if cut:
            snapshot = messages.InstallSnapshot(
                1, '', cut, 1, messages.Config(), state.dump(), 0
            )
            store.save_snapshot(snapshot, [])
        for first in range(cut, count, 100):
            store.save(1, '', items[first : first + 100])
        store.close()
        size = sum(p.stat().st_size for p in pathlib.Path(folder).iterdir())
        started = time.monotonic()
        durable, _ = control.open_replica(config, node.FileLog(folder))
        data = durable.snapshot.state if durable.snapshot else b''
        restored = decisions.ReplicatedState.restore(data)
        for item in durable.entries:
            restored.apply(item.data)
        spent = time.monotonic() - started
        print(
            f'start after {count} edits of {ACCOUNTS} rows: {spent:.2f} s, '
            f'{size / 2**20:.1f} MiB on disk'
        )


def measure_in_force() -> None:
    """Print the time from accept to in force, and the idle cost."""
    for count in (3, 6, 10):
        with tempfile.TemporaryDirectory() as folder:
            deployment = testing.Deployment(
                pathlib.Path(folder), entries=count, engines=1
            )
            try:
                deployment.start()
                spread = [time_to_force(deployment) for _ in range(5)]
                idle = idle_cost(deployment)
            finally:
                deployment.stop()
        print(
            f'{count} entries: in force everywhere after '
            f'{min(spread):.2f} to {max(spread):.2f} s; {idle}'
        )


def time_to_force(deployment: testing.Deployment) -> float:
    path = deployment.folder / 'edit.csv'
    deployment.cli('table', 'pull', str(path))
    text = path.read_text().replace(
        'planners,chat,', f'planners,chat,{random.randint(1, 9)}'
    )
    path.write_text(text)
    deployment.cli('table', 'push', str(path))
    started = time.monotonic()
    wanted = deployment.status()['control']['revision']
    while True:
        known = [
            deployment.status(name)['table_revision']
            for name in deployment.http
        ]
        if min(known) >= wanted:
            return time.monotonic() - started


def idle_cost(deployment: testing.Deployment, seconds: float = 5.0) -> str:
    leader = deployment.status()['control']['leader'].partition('.')[0]
    names = {'entry': 'e1', 'leader': leader}
    parts = []
    for role, name in names.items():
        process = psutil.Process(deployment.processes[name].pid)
        before = sum(process.cpu_times()[:2])
        time.sleep(seconds)
        share = (sum(process.cpu_times()[:2]) - before) / seconds
        rss = process.memory_info().rss / 2**20
        parts.append(f'idle {role} {share:.2%} of a core, {rss:.1f} MiB')
    return ', '.join(parts)


def main() -> None:
    random.seed(1)
    print(f'one local synced log: {local_rate(claim):.0f} claims/s')
    for count in (1, 3, 5):
        with tempfile.TemporaryDirectory() as folder:
            deployment = testing.Deployment(
                pathlib.Path(folder), controls=count, entries=1, engines=1
            )
            try:
                deployment.start()
                asyncio.run(measure_cluster(deployment))
            except errors.BulrushholdError as error:
                print(f'{count} replicas: {error}')
            finally:
                deployment.stop()
    for count in (500, 50_000):
        measure_start(count)
    measure_in_force()


if __name__ == '__main__':
    main()
