"""CPU time of one decision about engines, at the size to design for.

    python -m bench.placement

Places prompts on engines of which half are reading, with and without known
slowness, from entries with and without engines in their own data centre.
"""

import random
import time
import typing as t

from bulrushhold import decisions
from bulrushhold import messages

ENGINES: t.Final = 600
DATA_CENTRES: t.Final = 12
DECISIONS: t.Final = 300
OBJECTIVE: t.Final = decisions.LatencyObjective(8000, 4.0, 0.7)


def make_placement(*, paced: bool, busy: float) -> decisions.Placement:
    """Return a placement with the load of other entries.

    :param paced: the engines state their pace, and their slowness is known.
    :param busy: share of the engines that are reading prompts.
    """
    rng = random.Random(1)
    placement = decisions.Placement(random.Random(1), 'dc0')
    placement.capacity = {'engines': 88_000}
    placement.update(
        [
            messages.ListedBackend(
                f'i-{n:010x}',
                'engines',
                f'10.0.{n // 250}.{n % 250}:80',
                f'dc{n % DATA_CENTRES}',
                16,
            )
            for n in range(ENGINES)
        ]
    )
    loads = {
        ident: messages.EngineLoad(
            rng.choice((8000, 12_000)) if rng.random() < busy else 0, 4, 40_000
        )
        for ident in placement.backends
    }
    slowness = {
        ident: rng.choice((0.8, 1.0, 1.7)) for ident in placement.backends
    }
    summary = messages.LoadSummary(
        1, loads, [], slowness=slowness if paced else {}
    )
    placement.apply_loads(summary, 0.0)
    return placement


def measure(decide: t.Callable[[int, float], object]) -> tuple[float, float]:
    """Return median and 95th percentile in milliseconds of CPU time."""
    times = []
    for number in range(DECISIONS):
        # Requests arrive at an entry about every 0.1 s.
        now = 0.001 * number
        began = time.process_time()
        decide(number, now)
        times.append(time.process_time() - began)
    times.sort()
    return 1e3 * times[DECISIONS // 2], 1e3 * times[int(DECISIONS * 0.95)]


def main() -> None:
    """Print one line for each decision."""
    for paced in (False, True):
        for busy in (0.5, 1.0):
            placement = make_placement(paced=paced, busy=busy)

            def choose(
                number: int,
                now: float,
                placement: decisions.Placement = placement,
            ) -> object:
                return placement.choose_engine(
                    'engines',
                    now,
                    tokens=8000,
                    segment=f's{number}',
                    tried=set(),
                    objective=OBJECTIVE,
                )

            def estimate(
                number: int,
                now: float,
                placement: decisions.Placement = placement,
            ) -> object:
                return placement.estimate_capacity(
                    'engines', now, objective=OBJECTIVE, memory=8300
                )

            for name, decide in (
                ('choose_engine', choose),
                ('estimate_capacity', estimate),
            ):
                median, p95 = measure(decide)
                print(
                    f'{name}, {ENGINES} engines, {busy:.0%} reading, '
                    f'slowness {"known" if paced else "unknown"}: '
                    f'median {median:.3f} ms, p95 {p95:.3f} ms'
                )


if __name__ == '__main__':
    main()
