"""Resume latency and extra engine work: thrifty, prompt and a plain way.

The plain way asks another engine from nothing after a break or a fixed
silence. All three meet the same faults in one run:

    python -m bench.resume [--streams N] [--tokens N] [--seed N]

Resume latency is the wait, in a stream whose engine was lost, from the
token before the loss to the next token the caller hasn't had. Extra work is
what engines did beyond a run without failures: generated tokens, and with
prefill also the prompt and prefix tokens read.
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
PLAIN_SILENCE_S: t.Final = 2.0
PROMPT_CHARACTERS: t.Final = 800


@attrs.define
class Outcome:
    """What one way cost and how long its callers waited."""

    waits: list[float] = attrs.field(factory=list)
    whole: int = 0
    refused: int = 0
    generated: int = 0
    prefilled: int = 0
    attempts: int = 0


async def inject(engines: dict[str, testing.Engine]) -> None:
    """Crash one engine, freeze another, and slow a third one down."""
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


def hit_waits(
    tokens: list[str], at: list[float], lost: t.Collection[str]
) -> list[float]:
    """Return the longest wait of a stream that began on a lost engine."""
    if tokens[0].partition('-')[0] not in lost:
        return []
    return [max(b - a for a, b in zip(at, at[1:], strict=False))]


def prompt_of(number: int) -> list[dict[str, str]]:
    """Return a prompt that differs from the others at its beginning."""
    text = f'brief {number} ' + 'x' * PROMPT_CHARACTERS
    return [{'role': 'user', 'content': text}]


async def run_ours(
    policy: str, streams: int, tokens: int, seed: int, *, faults: bool
) -> Outcome:
    """Run the streams through one entry."""
    from tests import conftest

    rng = random.Random(seed)
    outcome = Outcome()
    with tempfile.TemporaryDirectory() as folder:
        system = conftest.System(
            pathlib.Path(folder), recovery={'policy': policy}
        )
        await system.start(1, ENGINES, GAP_S)
        caller = system.client()

        async def one(number: int) -> None:
            await asyncio.sleep(rng.random() * 0.5)
            got: list[str] = []
            at: list[float] = []
            try:
                async for token in caller.generate(
                    'small', prompt_of(number), max_tokens=tokens
                ):
                    got.append(token)
                    at.append(time.monotonic())
            except errors.RequestError:
                outcome.refused += 1
                return
            conftest.assert_whole(got, tokens)
            outcome.whole += 1
            outcome.waits += hit_waits(got, at, ('m1', 'm2'))

        work = [one(number) for number in range(streams)]
        await drive(work, system.engines, faults=faults)
        count_work(outcome, system.engines)
        await system.stop()
    return outcome


async def run_plain(
    streams: int, tokens: int, seed: int, *, faults: bool
) -> Outcome:
    """Run the streams with a restart from nothing after each loss."""
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

        async def one(number: int) -> None:
            await asyncio.sleep(rng.random() * 0.5)
            at: list[float] = []
            first = ''
            attempt = 0
            names = rng.sample(sorted(engines), ENGINES)
            while len(at) < tokens:
                attempt += 1
                name = names[attempt % ENGINES]
                first = first or name
                await try_once(client, engines[name], number, attempt, at)
            outcome.whole += 1
            outcome.waits += hit_waits([f'{first}-'], at, ('m1', 'm2'))

        async def try_once(
            client: web.HttpEngineClient,
            engine: testing.Engine,
            number: int,
            attempt: int,
            at: list[float],
        ) -> None:
            heard = [time.monotonic()]

            def take(event: ports.Event) -> bool:
                heard[0] = time.monotonic()
                if not event.finish and event.offset == len(at):
                    at.append(heard[0])
                return not event.finish

            order = ports.Generate(
                f'r{number}', attempt, 'small', prompt_of(number), [],
                tokens, 0, 10.0,
            )  # fmt: skip
            task = asyncio.ensure_future(
                client.run(engine.address, order, take)
            )
            while not task.done():
                left = heard[0] + PLAIN_SILENCE_S - time.monotonic()
                if left <= 0:
                    task.cancel()
                    await client.cancel(engine.address, f'r{number}', attempt)
                    break
                await asyncio.wait([task], timeout=left)
            await asyncio.gather(task, return_exceptions=True)

        work = [one(number) for number in range(streams)]
        await drive(work, engines, faults=faults)
    count_work(outcome, engines)
    for engine in engines.values():
        engine.thaw()
        await engine.stop()
    return outcome


async def drive(
    work: list[t.Coroutine[t.Any, t.Any, None]],
    engines: dict[str, testing.Engine],
    *,
    faults: bool,
) -> None:
    """Run the streams, with or without the faults."""
    injected = asyncio.ensure_future(inject(engines)) if faults else None
    await asyncio.gather(*work)
    if injected is not None:
        await injected
    # Let engines that just woke up see that they were cancelled.
    await asyncio.sleep(3 * GAP_S)


def count_work(outcome: Outcome, engines: dict[str, testing.Engine]) -> None:
    """Add up what the engines did."""
    outcome.generated = sum(e.generated for e in engines.values())
    outcome.prefilled = sum(e.prefilled for e in engines.values())
    outcome.attempts = sum(e.requests for e in engines.values())


def report(name: str, clean: Outcome, faulty: Outcome) -> None:
    """Print one way's figures."""
    waits = sorted(faulty.waits)
    p95 = waits[min(len(waits) - 1, int(0.95 * len(waits)))]
    extra = faulty.generated / clean.generated - 1
    total = clean.generated + clean.prefilled
    work = (faulty.generated + faulty.prefilled) / total - 1
    print(
        f'{name}: whole {faulty.whole}, refused {faulty.refused}, '
        f'hit {len(waits)}; resume p50 {statistics.median(waits):.2f} s, '
        f'p95 {p95:.2f} s, max {waits[-1]:.2f} s; extra generated '
        f'{extra:.1%}, with prefill {work:.1%}; further attempts '
        f'{faulty.attempts - clean.attempts}'
    )


@click.command()
@click.option('--streams', default=64)
@click.option('--tokens', default=100)
@click.option('--seed', default=1)
def main(streams: int, tokens: int, seed: int) -> None:
    """Measure all three ways."""
    loguru.logger.remove()
    for policy in ('thrifty', 'prompt'):
        runs = [
            asyncio.run(run_ours(policy, streams, tokens, seed, faults=f))
            for f in (False, True)
        ]
        report(policy, *runs)
    runs = [
        asyncio.run(run_plain(streams, tokens, seed, faults=f))
        for f in (False, True)
    ]
    report('plain', *runs)


if __name__ == '__main__':
    main()
