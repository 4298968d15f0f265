"""Slopes: what each mechanism costs, at several sizes.

    python -m bench.slopes

Processor time is this process's own, of the decision code and codec; the
part ``spread`` drives a real control process with simulated entries.
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

SECONDS: t.Final = 0.3
SPREAD_S: t.Final = 4.0
WANTED: t.Final = decisions.Wanted(8000, 4.5, 0.7)


def cost_us(work: cabc.Callable[[], t.Any]) -> float:
    """Return processor microseconds of one call."""
    work()
    calls = 0
    started = time.process_time()
    while time.process_time() - started < SECONDS:
        for _ in range(20):
            work()
        calls += 20
    return (time.process_time() - started) / calls * 1e6


def rss_mib() -> float:
    return psutil.Process().memory_info().rss / 2**20


def line(name: str, figures: dict[int, float], unit: str) -> None:
    listed = ', '.join(f'{size}: {cost:.2f}' for size, cost in figures.items())
    print(f'{name} ({unit}): {listed}', flush=True)


def row(number: int) -> messages.Row:
    return messages.Row(f'account{number}', 'chat', 1.0, 0.0, 0, 9.0, 0, True)


def instances(count: int) -> list[ports.Instance]:
    return [
        ports.Instance(f'e{n}', f'd{n % 12}', f'1:{n}', f'2:{n}')
        for n in range(count)
    ]


def routing() -> None:
    figures = {}
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
        turns = itertools.cycle(range(5000))

        def choose(
            router: decisions.Router = router,
            turns: cabc.Iterator[int] = turns,
        ) -> None:
            turn = next(turns)
            router.choose_engine('s', f'prompt {turn}', turn / 11)

        for _ in range(5000):
            choose()
        figures[count] = cost_us(choose)
    line('choose an engine, by engines', figures, 'us a request')


def placing() -> None:
    looks, choices = {}, {}
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
        looks[count] = cost_us(
            lambda p=placement: p.estimate_capacity(
                's', 0.0, wanted=WANTED, memory=8500
            )
        )
        choices[count] = cost_us(
            lambda p=placement, n=numbers: p.choose_engine(
                's', 0.0, tokens=8000, part=str(next(n)), tried=set()
            )
        )
    line('admission, one look, by engines', looks, 'us')
    line('placing a prompt, by engines', choices, 'us')


def speeds() -> None:
    news = {}
    for count in (10, 67, 390):
        loads = decisions.LoadAggregator()
        placement = decisions.Placement(random.Random(1))
        placement.speeds.ran('s', 7.0, 0.0)
        said = placement.load_report('e0', {}, 0.0)
        for number in range(count):
            told = attrs.evolve(said, entry=f'e{number}')
            loads.take(told, 0.0)
        news[count] = cost_us(
            lambda b=loads, s=said: (b.take(s, 0.0), b.others('e1', 0))
        )
    line('one piece of news at the leader, by entries', news, 'us')
    learned = decisions.EngineSpeeds()
    learned.ran('s', 7.0, 0.0)
    pauses = decisions.Pauses(0.2)
    costs = {
        0: cost_us(lambda: pauses.add(0.03)),
        1: cost_us(lambda: learned.paused('s', pauses, 1.0)),
        2: cost_us(lambda: learned.token_s('s', WANTED, 1.0)),
        3: cost_us(lambda: learned.pause_s('s', WANTED, 1.0, 4.0)),
    }
    line('0 a pause, 1 a batch of them, 2 reading, 3 pauses', costs, 'us')


def homes() -> None:
    figures = {}
    for count in (10, 30, 100, 390):
        entries = instances(count)
        figures[count] = cost_us(
            lambda e=entries: decisions.homes('account/key', e, 3)
        )
    line('homes of a key, by entries', figures, 'us a look-up')


def quota() -> None:
    figures = {}
    limited = messages.Row('a', 'chat', 1.0, 1e6, 1000, 9.0, 0, True)
    for count in (10, 30, 100, 300):
        home = decisions.QuotaHome(-10.0)
        asks = [
            messages.QuotaAsk('a/chat', f'e{n}', 1.0, 9, 0, count)
            for n in range(count)
        ]

        def grant(
            home: decisions.QuotaHome = home,
            asks: list[messages.QuotaAsk] = asks,
        ) -> None:
            for ask in asks:
                home.grant(ask, limited, 1.0)

        figures[count] = cost_us(grant) / count
    line('grant a lease, by holders of the row', figures, 'us a lease')
    ask = messages.encode(asks[0])
    reply = messages.encode(messages.QuotaGrant(1.0, 1, 2.0))
    print(f'lease renewal: {len(ask) + len(reply)} bytes of payload')


def fair_queue() -> None:
    figures = {}
    for count in (10, 70, 300):
        queue = decisions.FairQueue(1)
        for n in range(count):
            queue.push(f'a{n}', 1.0, 100.0, f'a{n}')

        def turn(queue: decisions.FairQueue = queue) -> None:
            name = queue.pop(lambda _: True)
            queue.push(name, 1.0, 100.0, name)
            queue.done(name, 100.0, 100.0, 1.0)

        figures[count] = cost_us(turn)
    line('one turn of the fair queue, by waiting rows', figures, 'us')


def copies() -> None:
    figures = {}
    for count in (1, 10, 90):
        store = decisions.CopyStore(60.0, 0.0)
        offsets = [0]

        def turn(
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

        figures[count] = cost_us(turn) / count
        size = offsets[1] / count
    line('copy of one token, by streams in a batch', figures, 'us, both ends')
    print(f'  {size:.0f} bytes of payload a token and copy in the last')


def in_fresh_process(kind: str, count: int) -> float:
    """Return a memory figure that no earlier part has touched."""
    done = subprocess.run(
        [sys.executable, '-m', 'bench.slopes', kind, str(count)],
        capture_output=True,
        text=True,
        check=True,
    )
    return float(done.stdout)


def table_memory() -> None:
    figures = {}
    for count in (1000, 9000, 27000):
        figures[count] = in_fresh_process('rows', count)
    line('rows of the table in an entry, by rows', figures, 'MiB')
    reply = messages.TableReply('done', '', 1, True, [row(1)])
    empty = messages.TableReply('done', '', 1, True, [])
    size = len(messages.encode(reply)) - len(messages.encode(empty))
    print(f'  {size} bytes a row on the wire')


def print_row_memory(count: int) -> None:
    before = rss_mib()
    kept = {item.key: item for item in map(row, range(count))}
    print(rss_mib() - before + 0 * len(kept))


def claims() -> None:
    figures = {}
    for count in (10_000, 50_000, 200_000):
        figures[count] = in_fresh_process('claims', count)
    line('claims held, by claims', figures, 'bytes each')


def print_claim_memory(count: int) -> None:
    state = decisions.ClaimState()
    before = rss_mib()
    for n in range(count):
        key = f'account{n % 100}/01a2b3c4-0000-7000-8000-{n:012}'
        claim = messages.Claim(key, 1.0, f'{n:032}', f'{n:036}')
        state.claim(claim)
        state.end(messages.ClaimEnd(key, claim.holder, 'yes', 200, b'x' * 60))
    print((rss_mib() - before) * 2**20 / count)


def spread() -> None:
    """A real leader, polled for the table by simulated entries."""
    with tempfile.TemporaryDirectory() as folder:
        deployment = testing.Deployment(
            pathlib.Path(folder), entries=1, engines=1
        )
        try:
            deployment.start()
            asyncio.run(poll_all(deployment))
        finally:
            deployment.stop()


async def poll_all(deployment: testing.Deployment) -> None:
    addresses = [f'127.0.0.1:{p}' for p in deployment.controls.values()]
    leader = deployment.status()['control']['leader'].partition('.')[0]
    process = psutil.Process(deployment.processes[leader].pid)
    shares = {}
    for count in (0, 10, 30, 100, 300):
        free = iter(testing.free_ports(count)) if count else iter(())
        transports = [node.ZmqTransport(f'127.0.0.1:{p}') for p in free]
        clients = [entry.ControlClient(addresses, t) for t in transports]

        async def one(number: int, client: entry.ControlClient) -> None:
            read = messages.TableRead(1, f's{number}', 0)
            end = time.monotonic() + SPREAD_S
            while time.monotonic() < end:
                await client.read(read, 5.0)
                await asyncio.sleep(1.0)

        before = sum(process.cpu_times()[:2])
        started = time.monotonic()
        work = [one(n, c) for n, c in enumerate(clients)]
        await asyncio.gather(asyncio.sleep(SPREAD_S), *work)
        spent = sum(process.cpu_times()[:2]) - before
        shares[count] = spent / (time.monotonic() - started) * 100
        for transport in transports:
            await transport.close()
    line('leader, by entries polling each second', shares, '% of a core')
    rss = process.memory_info().rss / 2**20
    read = messages.encode(messages.TableRead(1, 'entry-100', 0))
    reply = messages.encode(messages.TableReply('done', '', 1))
    print(
        f'  leader RSS {rss:.1f} MiB; {len(read) + len(reply)} bytes of '
        'payload a poll'
    )


def main() -> None:
    if sys.argv[1:2] == ['rows']:
        print_row_memory(int(sys.argv[2]))
        return
    if sys.argv[1:2] == ['claims']:
        print_claim_memory(int(sys.argv[2]))
        return
    usage = resource.getrlimit(resource.RLIMIT_NOFILE)
    print(f'{os.cpu_count()} cores, {usage[0]} open files at most')
    for part in (
        routing,
        placing,
        speeds,
        homes,
        quota,
        fair_queue,
        copies,
        table_memory,
        claims,
        spread,
    ):
        part()


if __name__ == '__main__':
    main()
