"""Benchmark of how CPU and memory costs grow with the cluster and its data.

    python -m bench.scaling

CPU time is that of the decision code and the codec in this process. Table
polling is measured on a real control process with simulated entries.
"""

import asyncio
import collections.abc as cabc
import itertools
import os
import pathlib
import random
import resource
import subprocess
import sys
import tempfile
import time
import typing as t

import attrs
import psutil

from bulrushhold import decisions
from bulrushhold import entry
from bulrushhold import messages
from bulrushhold import node
from bulrushhold import ports
from bulrushhold import testing

MEASUREMENT_S: t.Final = 0.3
POLLING_S: t.Final = 4.0
OBJECTIVE: t.Final = decisions.LatencyObjective(8000, 4.5, 0.7)


def cost_us(function: cabc.Callable[[], t.Any]) -> float:
    """Return the CPU microseconds of one call."""
    function()
    calls = 0
    started = time.process_time()
    while time.process_time() - started < MEASUREMENT_S:
        for _ in range(20):
            function()
        calls += 20
    return (time.process_time() - started) / calls * 1e6


def rss_mib() -> float:
    return psutil.Process().memory_info().rss / 2**20


def print_costs(name: str, costs: dict[int, float], unit: str) -> None:
    listed = ', '.join(f'{size}: {cost:.2f}' for size, cost in costs.items())
    print(f'{name} ({unit}): {listed}', flush=True)


def make_row(number: int) -> messages.Row:
    return messages.Row(f'account{number}', 'chat', 1.0, 0.0, 0, 9.0, 0, True)


def make_instances(count: int) -> list[ports.Instance]:
    return [
        ports.Instance(f'e{n}', f'd{n % 12}', f'1:{n}', f'2:{n}')
        for n in range(count)
    ]


def measure_routing() -> None:
    costs = {}
    for count in (10, 100, 300, 600):
        router = decisions.Router(random.Random(1))
        router.update(
            [
                ports.BackendServer(
                    f'm{n}', 'engine', f'1:{n}', 'd', False, {'s': 'v1'}
                )
                for n in range(count)
            ]
        )
        indices = itertools.cycle(range(5000))

        def choose(
            router: decisions.Router = router,
            indices: cabc.Iterator[int] = indices,
        ) -> None:
            index = next(indices)
            router.choose_engine('s', f'prompt {index}', index / 11)

        for _ in range(5000):
            choose()
        costs[count] = cost_us(choose)
    print_costs('choose an engine, by engines', costs, 'us per request')


def measure_placement() -> None:
    admission_costs, placement_costs = {}, {}
    for count in (18, 90, 600):
        placement = decisions.Placement(random.Random(1))
        placement.capacity = {'s': 88_000}
        placement.update(
            [
                messages.ListedBackend(
                    f'i{n}', 's', f'h{n}:1', f'dc{n % 3}', 64
                )
                for n in range(count)
            ]
        )
        numbers = itertools.count()
        admission_costs[count] = cost_us(
            lambda p=placement: p.estimate_capacity(
                's', 0.0, objective=OBJECTIVE, memory=8500
            )
        )
        placement_costs[count] = cost_us(
            lambda p=placement, n=numbers: p.choose_engine(
                's', 0.0, tokens=8000, segment=str(next(n)), tried=set()
            )
        )
    print_costs(
        'capacity estimate for admission, by engines', admission_costs, 'us'
    )
    print_costs('placement of a prompt, by engines', placement_costs, 'us')


def measure_engine_speeds() -> None:
    report_costs = {}
    for count in (10, 67, 390):
        loads = decisions.LoadAggregator()
        placement = decisions.Placement(random.Random(1))
        placement.speeds.record_run('s', 7.0, 0.0)
        report = placement.load_report('e0', {}, 0.0)
        for number in range(count):
            entry_report = attrs.evolve(report, entry=f'e{number}')
            loads.add_report(entry_report, 0.0)
        report_costs[count] = cost_us(
            lambda b=loads, s=report: (
                b.add_report(s, 0.0),
                b.summary_for('e1', 0),
            )
        )
    print_costs('load report at the leader, by entries', report_costs, 'us')
    speeds = decisions.EngineSpeeds()
    speeds.record_run('s', 7.0, 0.0)
    pauses = decisions.PauseSamples(0.2)
    costs = {
        0: cost_us(lambda: pauses.add(0.03)),
        1: cost_us(lambda: speeds.record_pauses('s', pauses, 1.0)),
        2: cost_us(lambda: speeds.token_s('s', OBJECTIVE, 1.0)),
        3: cost_us(lambda: speeds.pause_s('s', OBJECTIVE, 1.0, 4.0)),
    }
    print_costs(
        '0 add a pause, 1 record pauses, 2 read speed, 3 pause estimate',
        costs,
        'us',
    )


def measure_rendezvous_hashing() -> None:
    costs = {}
    for count in (10, 30, 100, 390):
        entries = make_instances(count)
        costs[count] = cost_us(
            lambda e=entries: decisions.home_entries('account/key', e, 3)
        )
    print_costs('home entries of a key, by entries', costs, 'us per lookup')


def measure_quota() -> None:
    costs = {}
    limited = messages.Row('a', 'chat', 1.0, 1e6, 1000, 9.0, 0, True)
    for count in (10, 30, 100, 300):
        home = decisions.QuotaHome(-10.0)
        requests = [
            messages.QuotaAsk('a/chat', f'e{n}', 1.0, 9, 0, count)
            for n in range(count)
        ]

        def grant(
            home: decisions.QuotaHome = home,
            requests: list[messages.QuotaAsk] = requests,
        ) -> None:
            for request in requests:
                home.grant(request, limited, 1.0)

        costs[count] = cost_us(grant) / count
    print_costs(
        'grant a lease, by lease holders of the row', costs, 'us per lease'
    )
    request = messages.encode(requests[0])
    reply = messages.encode(messages.QuotaGrant(1.0, 1, 2.0))
    print(f'lease renewal: {len(request) + len(reply)} bytes of payload')


def measure_fair_queue() -> None:
    costs = {}
    for count in (10, 70, 300):
        queue = decisions.FairQueue(1)
        for n in range(count):
            queue.push(f'a{n}', 1.0, 100.0, f'a{n}')

        def serve_next(queue: decisions.FairQueue = queue) -> None:
            name = queue.pop(lambda _: True)
            queue.push(name, 1.0, 100.0, name)
            queue.done(name, 100.0, 100.0, 1.0)

        costs[count] = cost_us(serve_next)
    print_costs(
        'pop, push and complete in the fair queue, by waiting rows',
        costs,
        'us',
    )


def measure_copies() -> None:
    costs = {}
    for count in (1, 10, 90):
        store = decisions.CopyStore(60.0, 0.0)
        offsets = [0]

        def replicate_batch(
            count: int = count,
            store: decisions.CopyStore = store,
            offsets: list[int] = offsets,
        ) -> None:
            appends = [
                messages.CopyAppend(
                    f'account{n}/01a2b3c4-0000-7000-8000-0000000000{n:02}',
                    1 << 56,
                    offsets[0],
                    ['token '],
                    'v1',
                )
                for n in range(count)
            ]
            data = messages.encode(messages.CopyBatch(appends))
            batch = messages.decode(data)
            ack = messages.encode(store.append_all(batch, 1.0))
            messages.decode(ack)
            offsets[0] += 1
            offsets.append(len(data) + len(ack))
            if offsets[0] > 2000:
                offsets[0] = 0

        costs[count] = cost_us(replicate_batch) / count
        size = offsets[1] / count
    print_costs(
        'replicate one token, by streams in a batch',
        costs,
        'us, sender and receiver',
    )
    print(f'  {size:.0f} bytes of payload per token at the largest batch')


def measure_in_subprocess(kind: str, count: int) -> float:
    """Measure memory in a new process, unaffected by earlier allocations."""
    completed = subprocess.run(
        [sys.executable, '-m', 'bench.scaling', kind, str(count)],
        capture_output=True,
        text=True,
        check=True,
    )
    return float(completed.stdout)


def measure_table_memory() -> None:
    costs = {}
    for count in (1000, 9000, 27000):
        costs[count] = measure_in_subprocess('rows', count)
    print_costs('table memory in an entry, by rows', costs, 'MiB')
    reply = messages.TableReply('done', '', 1, True, [make_row(1)])
    empty = messages.TableReply('done', '', 1, True, [])
    size = len(messages.encode(reply)) - len(messages.encode(empty))
    print(f'  {size} bytes per row on the wire')


def print_row_memory(count: int) -> None:
    before = rss_mib()
    rows_by_key = {item.key: item for item in map(make_row, range(count))}
    print(rss_mib() - before + 0 * len(rows_by_key))


def measure_claim_memory() -> None:
    costs = {}
    for count in (10_000, 50_000, 200_000):
        costs[count] = measure_in_subprocess('claims', count)
    print_costs('memory of stored claims, by claims', costs, 'bytes per claim')


def print_claim_memory(count: int) -> None:
    state = decisions.ClaimState()
    before = rss_mib()
    for n in range(count):
        key = f'account{n % 100}/01a2b3c4-0000-7000-8000-{n:012}'
        claim = messages.Claim(key, 1.0, f'{n:032}', f'{n:036}')
        state.claim(claim)
        state.end(messages.ClaimEnd(key, claim.holder, 'yes', 200, b'x' * 60))
    print((rss_mib() - before) * 2**20 / count)


def measure_table_polling() -> None:
    """Measure a leader that simulated entries poll for the table."""
    with tempfile.TemporaryDirectory() as folder:
        deployment = testing.Deployment(
            pathlib.Path(folder), entries=1, engines=1
        )
        try:
            deployment.start()
            asyncio.run(poll_table(deployment))
        finally:
            deployment.stop()


async def poll_table(deployment: testing.Deployment) -> None:
    addresses = [f'127.0.0.1:{p}' for p in deployment.control_ports.values()]
    leader = deployment.status()['control']['leader'].partition('.')[0]
    process = psutil.Process(deployment.processes[leader].pid)
    cpu_percent = {}
    for count in (0, 10, 30, 100, 300):
        free_ports = iter(testing.free_ports(count)) if count else iter(())
        transports = [node.ZmqTransport(f'127.0.0.1:{p}') for p in free_ports]
        clients = [entry.ControlClient(addresses, t) for t in transports]

        async def poll(number: int, client: entry.ControlClient) -> None:
            read = messages.TableRead(1, f's{number}', 0)
            end = time.monotonic() + POLLING_S
            while time.monotonic() < end:
                await client.read(read, 5.0)
                await asyncio.sleep(1.0)

        before = sum(process.cpu_times()[:2])
        started = time.monotonic()
        polls = [poll(n, c) for n, c in enumerate(clients)]
        await asyncio.gather(asyncio.sleep(POLLING_S), *polls)
        cpu_s = sum(process.cpu_times()[:2]) - before
        cpu_percent[count] = cpu_s / (time.monotonic() - started) * 100
        for transport in transports:
            await transport.close()
    print_costs(
        'leader, by entries polling each second', cpu_percent, '% of a core'
    )
    rss = process.memory_info().rss / 2**20
    read = messages.encode(messages.TableRead(1, 'entry-100', 0))
    reply = messages.encode(messages.TableReply('done', '', 1))
    print(
        f'  leader RSS {rss:.1f} MiB; {len(read) + len(reply)} bytes of '
        'payload per poll'
    )


def main() -> None:
    if sys.argv[1:2] == ['rows']:
        print_row_memory(int(sys.argv[2]))
        return
    if sys.argv[1:2] == ['claims']:
        print_claim_memory(int(sys.argv[2]))
        return
    open_file_limit = resource.getrlimit(resource.RLIMIT_NOFILE)
    print(f'{os.cpu_count()} cores, {open_file_limit[0]} open files allowed')
    for measure in (
        measure_routing,
        measure_placement,
        measure_engine_speeds,
        measure_rendezvous_hashing,
        measure_quota,
        measure_fair_queue,
        measure_copies,
        measure_table_memory,
        measure_claim_memory,
        measure_table_polling,
    ):
        measure()


if __name__ == '__main__':
    main()
