"""Benchmark of CPU time per token, relative to a plain asyncio byte relay.

Engines and callers are the same for both:

    python bench/relay.py [--streams N] [--tokens N] [--rounds N]
"""

import asyncio
import pathlib
import subprocess
import sys
import tempfile
import typing as t

import aiohttp
import attrs
import click
import psutil

from bulrushhold import testing

GAP_S: t.Final = 0.05
MODEL: t.Final = 'small'


@attrs.frozen
class Cost:
    """CPU time of the byte relay or the entries in one run."""

    tokens: int
    cpu_s: float

    @property
    def per_token_us(self) -> float:
        """CPU microseconds per token."""
        return self.cpu_s / self.tokens * 1e6


def cpu_seconds(processes: list[psutil.Process]) -> float:
    """Return the total CPU seconds of processes."""
    times = [process.cpu_times() for process in processes]
    return sum(used.user + used.system for used in times)


async def drive(
    address: str, streams: int, tokens: int, headers: dict[str, str]
) -> None:
    """Read ``streams`` concurrent responses of ``tokens`` tokens each."""
    timeout = aiohttp.ClientTimeout(total=None)
    connector = aiohttp.TCPConnector(limit=0)

    async def stream(number: int) -> None:
        body = {
            'model': MODEL,
            'messages': [{'role': 'user', 'content': f'prompt {number}'}],
            'max_tokens': tokens,
            'stream': True,
            'request': f'r{number}',
            'attempt': 1,
            'prefix': [],
        }
        async with session.post(
            f'http://{address}/v1/chat/completions', json=body, headers=headers
        ) as response:
            assert response.status == 200, await response.text()
            async for _ in response.content.iter_any():
                pass

    async with aiohttp.ClientSession(
        timeout=timeout, connector=connector
    ) as session:
        await asyncio.gather(*(stream(number) for number in range(streams)))


def measure(
    pids: list[int],
    address: str,
    streams: int,
    tokens: int,
    headers: dict[str, str],
) -> Cost:
    """Send the workload to an address and return the processes' CPU cost."""
    processes = [psutil.Process(pid) for pid in pids]
    before = cpu_seconds(processes)
    asyncio.run(drive(address, streams, tokens, headers))
    return Cost(streams * tokens, cpu_seconds(processes) - before)


async def bare_relay(port: int, upstream_port: int) -> None:
    """Forward bytes between connections without parsing them."""

    async def copy(
        reader: asyncio.StreamReader, writer: asyncio.StreamWriter
    ) -> None:
        while data := await reader.read(65536):
            writer.write(data)
            await writer.drain()
        writer.close()

    async def serve(
        reader: asyncio.StreamReader, writer: asyncio.StreamWriter
    ) -> None:
        upstream = await asyncio.open_connection('127.0.0.1', upstream_port)
        await asyncio.gather(
            copy(reader, upstream[1]), copy(upstream[0], writer)
        )

    server = await asyncio.start_server(serve, '127.0.0.1', port)
    await server.serve_forever()


@click.group(invoke_without_command=True)
@click.option('--streams', default=100)
@click.option('--tokens', default=100)
@click.option('--rounds', default=3)
@click.pass_context
def main(ctx: click.Context, streams: int, tokens: int, rounds: int) -> None:
    """Run the benchmark, or the byte relay as a subprocess of it."""
    if ctx.invoked_subcommand is None:
        compare(streams, tokens, rounds)


@main.command('bare')
@click.argument('port', type=int)
@click.argument('upstream_port', type=int)
def run_relay(port: int, upstream_port: int) -> None:
    """Run the byte relay."""
    asyncio.run(bare_relay(port, upstream_port))


def compare(streams: int, tokens: int, rounds: int) -> None:
    """Print CPU costs and their ratio, without and with stream copies."""
    for copies in (0, 2):
        with tempfile.TemporaryDirectory() as folder:
            deployment = testing.Deployment(
                pathlib.Path(folder),
                entries=1 + copies,
                engines=1,
                gap_s=GAP_S,
                slots=10 * streams,
                entry_settings={'copies': {'count': copies}},
            )
            try:
                deployment.start()
                report(deployment, copies, streams, tokens, rounds)
            finally:
                deployment.stop()


def report(
    deployment: testing.Deployment,
    copies: int,
    streams: int,
    tokens: int,
    rounds: int,
) -> None:
    """Alternate between the byte relay and the entry and print the costs."""
    names = [*deployment.entry_ports]
    pids = [deployment.processes[name].pid for name in names]
    idle = psutil.Process(pids[0]).memory_info().rss
    control = psutil.Process(deployment.processes['c1'].pid)
    print(
        f'copies {copies}: idle RSS entry {idle / 2**20:.1f} MiB, '
        f'control {control.memory_info().rss / 2**20:.1f} MiB'
    )
    (port,) = testing.free_ports(1)
    engine = deployment.engine_ports['m1']
    relay = subprocess.Popen(
        [sys.executable, __file__, 'bare', str(port), str(engine)]
    )
    try:
        deployment.wait_for_port(port)
        headers = {
            'Bulrushhold-Account': 'vendors',
            'Content-Type': 'application/json',
        }
        for _ in range(rounds):
            relay_cost = measure(
                [relay.pid], f'127.0.0.1:{port}', streams, tokens, headers
            )
            entry_cost = measure(
                pids, deployment.seeds[0], streams, tokens, headers
            )
            ratio = entry_cost.per_token_us / relay_cost.per_token_us
            print(
                f'  bare {relay_cost.per_token_us:.1f} us/token, all entries '
                f'{entry_cost.per_token_us:.1f} us/token, ratio {ratio:.2f}'
            )
    finally:
        relay.kill()
        relay.wait()


if __name__ == '__main__':
    main()
