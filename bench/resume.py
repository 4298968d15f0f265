"""Benchmark of resume latency and engine work after engine failures.

Compares the recovery policies ``thrifty`` and ``prompt`` with a baseline
that restarts the request on another engine after an error or a fixed stall
timeout. All of them get the same faults:

    python -m bench.resume [--streams N] [--tokens N] [--seed N]

Resume latency is the longest pause between two new tokens in a stream that
started on a failed engine. Extra work is relative to a run without faults:
generated tokens, and with prefill also the prompt and prefix tokens read.
"""

import asyncio
import pathlib
import random
import statistics
import tempfile
import time
import typing as t

import aiohttp
import attrs
import click
import loguru

from bulrushhold import errors
from bulrushhold import ports
from bulrushhold import testing
from bulrushhold import web

GAP_S: t.Final = 0.05
ENGINES: t.Final = 8
BASELINE_STALL_TIMEOUT_S: t.Final = 2.0
PROMPT_CHARACTERS: t.Final = 800


@attrs.define
class Outcome:
    """Resume latencies, responses and engine work of one run."""

    latencies: list[float] = attrs.field(factory=list)
    completed: int = 0
    refused: int = 0
    generated: int = 0
    prefilled: int = 0
    attempts: int = 0


async def inject_faults(engines: dict[str, testing.Engine]) -> None:
    """Crash one engine, freeze a second and slow down a third."""
    await asyncio.sleep(1.0)
    await engines['m1'].crash()
    await asyncio.sleep(0.6)
    engines['m2'].freeze()
    await asyncio.sleep(0.6)
    engines['m3'].gap_s = 4 * GAP_S
    await asyncio.sleep(1.0)
    engines['m3'].gap_s = GAP_S
    await asyncio.sleep(1.0)
    engines['m2'].thaw()


def find_resume_latency(
    tokens: list[str],
    received_at: list[float],
    failed_engines: t.Collection[str],
) -> list[float]:
    """Return the longest pause of a stream that began on a failed engine.

    The list is empty for a stream that began on any other engine.
    """
    if tokens[0].partition('-')[0] not in failed_engines:
        return []
    return [
        max(b - a for a, b in zip(received_at, received_at[1:], strict=False))
    ]


def make_prompt(number: int) -> list[dict[str, str]]:
    """Return a prompt with a unique prefix."""
    text = f'brief {number} ' + 'x' * PROMPT_CHARACTERS
    return [{'role': 'user', 'content': text}]


async def run_entry(
    policy: str, streams: int, tokens: int, seed: int, *, faults: bool
) -> Outcome:
    """Run the streams through one entry with a recovery policy."""
    from tests import conftest

    rng = random.Random(seed)
    outcome = Outcome()
    with tempfile.TemporaryDirectory() as folder:
        system = conftest.System(
            pathlib.Path(folder), recovery={'policy': policy}
        )
        await system.start(1, ENGINES, GAP_S)
        caller = system.client()

        async def run_stream(number: int) -> None:
            await asyncio.sleep(rng.random() * 0.5)
            received: list[str] = []
            received_at: list[float] = []
            try:
                async for token in caller.generate(
                    'small', make_prompt(number), max_tokens=tokens
                ):
                    received.append(token)
                    received_at.append(time.monotonic())
            except errors.RequestError:
                outcome.refused += 1
                return
            conftest.assert_complete(received, tokens)
            outcome.completed += 1
            outcome.latencies += find_resume_latency(
                received, received_at, ('m1', 'm2')
            )

        coroutines = [run_stream(number) for number in range(streams)]
        await drive(coroutines, system.engines, faults=faults)
        collect_engine_work(outcome, system.engines)
        await system.stop()
    return outcome


async def run_baseline(
    streams: int, tokens: int, seed: int, *, faults: bool
) -> Outcome:
    """Run the streams with a restart from the beginning after each failure."""
    rng = random.Random(seed)
    outcome = Outcome()
    engines = {
        f'm{n + 1}': testing.Engine(f'm{n + 1}', gap_s=GAP_S)
        for n in range(ENGINES)
    }
    for engine in engines.values():
        await engine.start()
    async with aiohttp.ClientSession(
        connector=aiohttp.TCPConnector(limit=0)
    ) as session:
        client = web.HttpEngineClient(session)

        async def run_stream(number: int) -> None:
            await asyncio.sleep(rng.random() * 0.5)
            received_at: list[float] = []
            first_engine = ''
            attempt = 0
            names = rng.sample(sorted(engines), ENGINES)
            while len(received_at) < tokens:
                attempt += 1
                name = names[attempt % ENGINES]
                first_engine = first_engine or name
                await run_attempt(
                    client, engines[name], number, attempt, received_at
                )
            outcome.completed += 1
            outcome.latencies += find_resume_latency(
                [f'{first_engine}-'], received_at, ('m1', 'm2')
            )

        async def run_attempt(
            client: web.HttpEngineClient,
            engine: testing.Engine,
            number: int,
            attempt: int,
            received_at: list[float],
        ) -> None:
            last_event_at = [time.monotonic()]

            def on_event(event: ports.Event) -> bool:
                last_event_at[0] = time.monotonic()
                if not event.finish and event.offset == len(received_at):
                    received_at.append(last_event_at[0])
                return not event.finish

            request = ports.GenerationRequest(
                f'r{number}', attempt, 'small', make_prompt(number), [],
                tokens, 0, 10.0,
            )  # fmt: skip
            task = asyncio.ensure_future(
                client.run(engine.address, request, on_event)
            )
            while not task.done():
                remaining_s = (
                    last_event_at[0]
                    + BASELINE_STALL_TIMEOUT_S
                    - time.monotonic()
                )
                if remaining_s <= 0:
                    task.cancel()
                    await client.cancel(engine.address, f'r{number}', attempt)
                    break
                await asyncio.wait([task], timeout=remaining_s)
            await asyncio.gather(task, return_exceptions=True)

        coroutines = [run_stream(number) for number in range(streams)]
        await drive(coroutines, engines, faults=faults)
    collect_engine_work(outcome, engines)
    for engine in engines.values():
        engine.thaw()
        await engine.stop()
    return outcome


async def drive(
    coroutines: list[t.Coroutine[t.Any, t.Any, None]],
    engines: dict[str, testing.Engine],
    *,
    faults: bool,
) -> None:
    """Run the streams, optionally with faults."""
    injection = (
        asyncio.ensure_future(inject_faults(engines)) if faults else None
    )
    await asyncio.gather(*coroutines)
    if injection is not None:
        await injection
    # Let resumed engines process the cancellation of their streams.
    await asyncio.sleep(3 * GAP_S)


def collect_engine_work(
    outcome: Outcome, engines: dict[str, testing.Engine]
) -> None:
    """Store the engines' total work in the outcome."""
    outcome.generated = sum(e.generated for e in engines.values())
    outcome.prefilled = sum(e.prefilled for e in engines.values())
    outcome.attempts = sum(e.requests for e in engines.values())


def report(name: str, baseline: Outcome, faulty: Outcome) -> None:
    """Print the results of one policy."""
    latencies = sorted(faulty.latencies)
    p95 = latencies[min(len(latencies) - 1, int(0.95 * len(latencies)))]
    extra = faulty.generated / baseline.generated - 1
    total = baseline.generated + baseline.prefilled
    extra_work = (faulty.generated + faulty.prefilled) / total - 1
    print(
        f'{name}: complete {faulty.completed}, refused {faulty.refused}, '
        f'affected {len(latencies)}; '
        f'resume p50 {statistics.median(latencies):.2f} s, '
        f'p95 {p95:.2f} s, max {latencies[-1]:.2f} s; extra generated '
        f'{extra:.1%}, with prefill {extra_work:.1%}; further attempts '
        f'{faulty.attempts - baseline.attempts}'
    )


@click.command()
@click.option('--streams', default=64)
@click.option('--tokens', default=100)
@click.option('--seed', default=1)
def main(streams: int, tokens: int, seed: int) -> None:
    """Compare both recovery policies with the baseline."""
    loguru.logger.remove()
    for policy in ('thrifty', 'prompt'):
        runs = [
            asyncio.run(run_entry(policy, streams, tokens, seed, faults=f))
            for f in (False, True)
        ]
        report(policy, *runs)
    runs = [
        asyncio.run(run_baseline(streams, tokens, seed, faults=f))
        for f in (False, True)
    ]
    report('baseline', *runs)


if __name__ == '__main__':
    main()
