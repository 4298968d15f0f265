"""CPU time of one decision about engines, at the size to design for.

    python -m bench.placement

Places prompts on engines of which half or all are reading, with and without
known slowness, from entries with and without engines in their own data centre.
In the disturbed cases, engines are lost, held and leaving, and a rollout is
running. Loads change between decisions.
"""

import itertools
import random
import time
import typing as t

from bulrushhold import decisions
from bulrushhold import messages

ENGINES: t.Final = 600
DATA_CENTRES: t.Final = 12
DECISIONS: t.Final = 300
# Requests arrive at an entry about every 0.1 s.
INTERVAL_S: t.Final = 0.1
# Engines whose reported load and slowness change between two decisions.
CHANGED_LOADS: t.Final = 60
CHANGED_SLOWNESS: t.Final = 10
# Streams of this entry.
OWN_STREAMS: t.Final = 40
# Engines that are lost, held and leaving in the disturbed cases.
DISTURBED: t.Final = 12
OBJECTIVE: t.Final = decisions.LatencyObjective(8000, 4.0, 0.7)


class Benchmark:
    """A placement with the load of other entries.

    :param paced: the engines state their pace, and their slowness is known.
    :param busy: share of the engines that are reading prompts.
    :param local: the entry prefers the engines of its data centre.
    """

    def __init__(
        self, *, paced: bool, busy: float, local: bool, disturbed: bool
    ) -> None:
        self.rng = random.Random(1)
        self.paced = paced
        self.busy = busy
        self.disturbed = disturbed
        self.placement = decisions.Placement(
            random.Random(1), 'dc0' if local else ''
        )
        self.placement.capacity = {'engines': 88_000}
        self.placement.update(
            [
                messages.ListedBackend(
                    f'i-{n:010x}',
                    'engines',
                    f'10.0.{n // 250}.{n % 250}:80',
                    f'dc{n % DATA_CENTRES}',
                    16,
                    version='v2' if disturbed and n % 20 == 0 else 'v1',
                )
                for n in range(ENGINES)
            ]
        )
        self.idents = list(self.placement.backends)
        if disturbed:
            plan = messages.RolloutPlan(
                'engines', 1, 'v2', messages.RolloutState.RUNNING, 0.05
            )
            self.placement.versions.apply_plans([plan])
        self._report(self.idents, self.idents, 0.0, since=0)
        for ident in self.rng.choices(self.idents, k=OWN_STREAMS):
            backend = self.placement.backends[ident]
            self.placement.stream_started(backend, 8000)
        # An entry has sent prompts to most engines after a minute.
        for ident in self.idents if paced else ():
            self._record_read(ident, 0.0)

    def _report(
        self, loaded: list[str], slow: list[str], now: float, since: int
    ) -> None:
        rng = self.rng
        loads = {
            ident: messages.EngineLoad(
                rng.choice((8000, 12_000)) if rng.random() < self.busy else 0,
                4,
                40_000,
            )
            for ident in loaded
        }
        slowness = {ident: rng.choice((0.8, 1.0, 1.7)) for ident in slow}
        self.placement.apply_loads(
            messages.LoadSummary(
                1,
                loads,
                [],
                since=since,
                slowness=slowness if self.paced else {},
            ),
            now,
        )

    def _record_read(self, ident: str, now: float) -> None:
        sample = messages.SpeedSample(1.0, self.rng.choice((0.8, 1.0, 1.7)))
        self.placement.server_speeds.record_read('engines', ident, sample, now)

    def change_loads(self, now: float) -> None:
        """Apply what other entries report, and failures and demands."""
        self._report(
            self.rng.sample(self.idents, CHANGED_LOADS),
            self.rng.sample(self.idents, CHANGED_SLOWNESS),
            now,
            since=1,
        )
        if self.paced:
            self._record_read(self.rng.choice(self.idents), now)
        if not self.disturbed:
            return
        self.placement.versions.confirm(now)
        chosen = iter(self.rng.sample(self.idents, 3))
        self.placement.record_failure(next(chosen), now, unreachable=True)
        demands = self.placement.demands
        demands.backoffs.record(next(chosen), DISTURBED * INTERVAL_S, now)
        demands.leaving.retain(set(list(demands.leaving.until)[-DISTURBED:]))
        demands.leaving.record(next(chosen), now)

    def measure(
        self, decide: t.Callable[[decisions.Placement, int, float], object]
    ) -> tuple[float, float]:
        """Return median and 95th percentile in milliseconds of CPU time."""
        times = []
        for number in range(DECISIONS):
            now = INTERVAL_S * number
            self.change_loads(now)
            began = time.process_time()
            decide(self.placement, number, now)
            times.append(time.process_time() - began)
        times.sort()
        return 1e3 * times[DECISIONS // 2], 1e3 * times[int(DECISIONS * 0.95)]


def choose_engine(
    placement: decisions.Placement, number: int, now: float
) -> object:
    """Choose the engine of a stream with a new prompt."""
    return placement.choose_engine(
        'engines',
        now,
        tokens=8000,
        segment=f's{number}',
        tried=set(),
        objective=OBJECTIVE,
    )


def estimate_capacity(
    placement: decisions.Placement, number: int, now: float
) -> object:
    """Estimate how soon engines can take a prompt."""
    del number
    return placement.estimate_capacity(
        'engines', now, objective=OBJECTIVE, memory=8300
    )


def has_spare_engines(
    placement: decisions.Placement, number: int, now: float
) -> object:
    """Check whether enough engines are idle."""
    del number
    return decisions.has_spare_engines(placement, 'engines', 8300, now)


def main() -> None:
    """Print one line for each decision."""
    print(f'{ENGINES} engines; median and p95 in ms of CPU time')
    for decide in (choose_engine, estimate_capacity, has_spare_engines):
        for disturbed, local, paced, busy in itertools.product(
            (False, True), (True, False), (False, True), (0.5, 1.0)
        ):
            benchmark = Benchmark(
                paced=paced, busy=busy, local=local, disturbed=disturbed
            )
            median, p95 = benchmark.measure(decide)
            print(
                f'{decide.__name__}, {busy:.0%} reading, '
                f'slowness {"known" if paced else "unknown"}, '
                f'{"data centre" if local else "no data centre"}'
                f'{", disturbed" if disturbed else ""}: '
                f'{median:.3f}, {p95:.3f}',
                flush=True,
            )


if __name__ == '__main__':
    main()
