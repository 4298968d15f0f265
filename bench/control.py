"""Benchmark of the control processes.

Measures throughput of edits and claims, startup time, propagation time of
edits and idle cost, with real processes and disk syncs:

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

MEASUREMENT_S = 4.0
CLIENTS = 32
ACCOUNTS = 100


def make_rows(count: int) -> list[messages.Row]:
    return [
        messages.Row(f'account{n}', 'chat', 1.0, 0.0, 0, 9.0, 0, True)
        for n in range(count)
    ]


def make_claim() -> messages.Claim:
    name = str(uuid_utils.uuid7())
    return messages.Claim(f'a/{name}', time.time(), 'f' * 32, name)


async def measure_rate(
    propose: cabc.Callable[[t.Any], cabc.Awaitable[None]],
    make_command: cabc.Callable[[], t.Any],
) -> float:
    """Return commands per second with ``CLIENTS`` concurrent clients."""
    completed = 0
    deadline = time.monotonic() + MEASUREMENT_S

    async def run_client() -> None:
        nonlocal completed
        while time.monotonic() < deadline:
            await propose(make_command())
            completed += 1

    await asyncio.gather(*(run_client() for _ in range(CLIENTS)))
    return completed / MEASUREMENT_S


def measure_local_rate(make_command: cabc.Callable[[], t.Any]) -> float:
    """Return commands per second to a local log, with one sync per command."""
    with tempfile.TemporaryDirectory() as folder:
        log = node.FileLog(folder)
        log.write_identity(node.Identity('c1'))
        log.load(messages.Config())
        deadline = time.monotonic() + MEASUREMENT_S / 2
        index = 0
        while time.monotonic() < deadline:
            index += 1
            data = messages.encode(make_command())
            item = messages.LogEntry(index, 1, messages.KIND_COMMAND, data)
            log.save(1, '', [item])
        log.close()
        return index / (MEASUREMENT_S / 2)


async def measure_cluster(deployment: testing.Deployment) -> None:
    (port,) = testing.free_ports(1)
    transport = node.ZmqTransport(f'127.0.0.1:{port}')
    addresses = [f'127.0.0.1:{p}' for p in deployment.control_ports.values()]
    client = entry.ControlClient(addresses, transport)

    async def propose(command: t.Any) -> None:
        outcome = await client.propose(command, 10.0)
        if isinstance(outcome, messages.EditOutcome):
            assert outcome.accepted, outcome

    base = (await client.read(messages.TableRead(0, ''), 10.0)).revision
    row_numbers = itertools.count()

    def make_edit() -> messages.TableEdit:
        """Return an edit that adds a new row, so that no edits conflict."""
        number = next(row_numbers)
        added = [attrs.evolve(make_rows(1)[0], account=f'new{number}')]
        return messages.TableEdit(f'e{number}', base, '', 0.0, added)

    count = len(deployment.control_ports)
    claims = await measure_rate(propose, make_claim)
    edits = await measure_rate(propose, make_edit)
    print(f'{count} replicas: {claims:.0f} claims/s, {edits:.0f} edits/s')
    latencies = []
    for _ in range(200):
        started = time.monotonic()
        await propose(make_claim())
        latencies.append(time.monotonic() - started)
    latencies.sort()
    print(
        f'  one client: claim p50 {latencies[100] * 1e3:.2f} ms, '
        f'p95 {latencies[190] * 1e3:.2f} ms'
    )
    await transport.close()


def measure_startup(count: int) -> None:
    """Print how long it takes to load a replica's log of ``count`` edits."""
    with tempfile.TemporaryDirectory() as folder:
        address = settings.Address('127.0.0.1', 1)
        config = settings.Control(
            'c1', 'north', address, folder, {'c1': address}
        )
        store = node.FileLog(folder)
        control.bootstrap(config, store)
        store.load(messages.Config())
        state = decisions.ReplicatedState()
        items = []
        table = make_rows(ACCOUNTS)
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
        tail_length = count % config.snapshot_every
        snapshot_index = count - tail_length
        if snapshot_index:
            snapshot = messages.InstallSnapshot(
                1, '', snapshot_index, 1, messages.Config(), state.dump(), 0
            )
            store.save_snapshot(snapshot, [])
        for first in range(snapshot_index, count, 100):
            store.save(1, '', items[first : first + 100])
        store.close()
        size = sum(p.stat().st_size for p in pathlib.Path(folder).iterdir())
        started = time.monotonic()
        persisted_state, _ = control.open_replica(config, node.FileLog(folder))
        data = (
            persisted_state.snapshot.state if persisted_state.snapshot else b''
        )
        restored = decisions.ReplicatedState.restore(data)
        for item in persisted_state.entries:
            restored.apply(item.data)
        elapsed_s = time.monotonic() - started
        print(
            f'start after {count} edits of {ACCOUNTS} rows: '
            f'{elapsed_s:.2f} s, {size / 2**20:.1f} MiB on disk'
        )


def measure_propagation() -> None:
    """Print the time until all entries have applied an edit, and idle cost."""
    for count in (3, 6, 10):
        with tempfile.TemporaryDirectory() as folder:
            deployment = testing.Deployment(
                pathlib.Path(folder), entries=count, engines=1
            )
            try:
                deployment.start()
                propagation_s = [
                    time_to_propagate(deployment) for _ in range(5)
                ]
                idle = measure_idle_cost(deployment)
            finally:
                deployment.stop()
        print(
            f'{count} entries: edits applied by all entries after '
            f'{min(propagation_s):.2f} to {max(propagation_s):.2f} s; {idle}'
        )


def time_to_propagate(deployment: testing.Deployment) -> float:
    path = deployment.folder / 'edit.csv'
    deployment.cli('table', 'pull', str(path))
    text = path.read_text().replace(
        'planners,chat,', f'planners,chat,{random.randint(1, 9)}'
    )
    path.write_text(text)
    deployment.cli('table', 'push', str(path))
    started = time.monotonic()
    target_revision = deployment.status()['control']['revision']
    while True:
        revisions = [
            deployment.status(name)['table_revision']
            for name in deployment.entry_ports
        ]
        if min(revisions) >= target_revision:
            return time.monotonic() - started


def measure_idle_cost(
    deployment: testing.Deployment, seconds: float = 5.0
) -> str:
    leader = deployment.status()['control']['leader'].partition('.')[0]
    names = {'entry': 'e1', 'leader': leader}
    descriptions = []
    for role, name in names.items():
        process = psutil.Process(deployment.processes[name].pid)
        before = sum(process.cpu_times()[:2])
        time.sleep(seconds)
        share = (sum(process.cpu_times()[:2]) - before) / seconds
        rss = process.memory_info().rss / 2**20
        descriptions.append(
            f'idle {role} {share:.2%} of a core, {rss:.1f} MiB'
        )
    return ', '.join(descriptions)


def main() -> None:
    random.seed(1)
    print(
        f'local log with sync: {measure_local_rate(make_claim):.0f} claims/s'
    )
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
        measure_startup(count)
    measure_propagation()


if __name__ == '__main__':
    main()
