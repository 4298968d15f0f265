"""Simulation of request routing and weighted fair queueing.

    python -m bench.routing

Compares the production router with round robin and least reported load on
the same arrivals. Engines are queues with a cache of prompt prefixes; load
reports reach the entries with a delay.
"""

import collections
import collections.abc as cabc
import heapq
import random
import typing as t

import attrs

from bulrushhold import decisions
from bulrushhold import ports

ENTRIES: t.Final = 10
ENGINES: t.Final = 20
SLOTS: t.Final = 8
PREFIX_COUNT: t.Final = 120
CACHED_PREFIXES: t.Final = 16
REPORT_LAG_S: t.Final = 2.0
DURATION_S: t.Final = 300.0
SERVICE_S: t.Final = 4.0
PREFILL_S: t.Final = 1.0
UTILIZATION: t.Final = 0.85


@attrs.define
class Engine:
    """Running and queued requests, and an LRU cache of prompt prefixes."""

    name: str
    running: int = 0
    queue: collections.deque[tuple[float, str, int]] = attrs.field(
        factory=collections.deque
    )
    cache: collections.OrderedDict[str, None] = attrs.field(
        factory=collections.OrderedDict
    )

    def lookup_prefix(self, prefix: str) -> bool:
        """Return whether a prefix is cached, and mark it as last used."""
        hit = prefix in self.cache
        self.cache[prefix] = None
        self.cache.move_to_end(prefix)
        if len(self.cache) > CACHED_PREFIXES:
            self.cache.popitem(last=False)
        return hit


@attrs.define
class Result:
    """Queueing times at the engines, and the number of cache hits."""

    waits: list[float] = attrs.field(factory=list)
    hits: int = 0


class Simulation:
    """Discrete event simulation of one routing policy.

    Events are handled by the method of the same name.

    :param choose: returns an engine's name for an entry, prefix and time.
    """

    def __init__(
        self, choose: cabc.Callable[[int, str, float], str], seed: int
    ) -> None:
        self.choose = choose
        self.rng = random.Random(seed)
        self.engines = {f'm{n}': Engine(f'm{n}') for n in range(ENGINES)}
        self.events: list[tuple[float, int, str, t.Any]] = []
        self.number = 0
        self.result = Result()
        self.on_done: cabc.Callable[[int, str], None] = lambda *_: None
        self.on_report: cabc.Callable[[dict[str, int], float], None] = (
            lambda *_: None
        )

    def schedule(self, when: float, kind: str, data: t.Any) -> None:
        self.number += 1
        heapq.heappush(self.events, (when, self.number, kind, data))

    def run(self) -> Result:
        self.schedule(0.0, 'arrive', None)
        self.schedule(0.0, 'report', None)
        while self.events:
            now, _, kind, data = heapq.heappop(self.events)
            if now > DURATION_S:
                break
            getattr(self, kind)(now, data)
        return self.result

    def arrive(self, now: float, data: None) -> None:
        del data
        mean = SERVICE_S + PREFILL_S / 2
        rate = UTILIZATION * ENGINES * SLOTS / mean
        self.schedule(now + self.rng.expovariate(rate), 'arrive', None)
        rank = min(PREFIX_COUNT, int(self.rng.paretovariate(1.0)))
        prefix = f'prefix {rank}'
        entry = self.rng.randrange(ENTRIES)
        engine = self.engines[self.choose(entry, prefix, now)]
        engine.queue.append((now, prefix, entry))
        self.start_queued(engine, now)

    def start_queued(self, engine: Engine, now: float) -> None:
        while engine.queue and engine.running < SLOTS:
            arrived, prefix, entry = engine.queue.popleft()
            engine.running += 1
            self.result.waits.append(now - arrived)
            service_s = self.rng.expovariate(1 / SERVICE_S)
            if engine.lookup_prefix(prefix):
                self.result.hits += 1
            else:
                service_s += PREFILL_S
            self.schedule(now + service_s, 'done', (engine.name, entry))

    def done(self, now: float, data: tuple[str, int]) -> None:
        name, entry = data
        engine = self.engines[name]
        engine.running -= 1
        self.on_done(entry, name)
        self.start_queued(engine, now)

    def report(self, now: float, data: None) -> None:
        del data
        loads = {
            e.name: e.running + len(e.queue) for e in self.engines.values()
        }
        self.schedule(now + REPORT_LAG_S, 'reported', loads)
        self.schedule(now + 1.0, 'report', None)

    def reported(self, now: float, loads: dict[str, int]) -> None:
        self.on_report(loads, now)


def round_robin(seed: int) -> Result:
    next_engine = [random.Random(n).randrange(ENGINES) for n in range(ENTRIES)]

    def choose(entry: int, prefix: str, now: float) -> str:
        del prefix, now
        next_engine[entry] += 1
        return f'm{next_engine[entry] % ENGINES}'

    return Simulation(choose, seed).run()


def least_reported(seed: int) -> Result:
    reported_loads = {f'm{n}': 0 for n in range(ENGINES)}
    rng = random.Random(seed)

    def choose(entry: int, prefix: str, now: float) -> str:
        del entry, prefix, now
        least = min(reported_loads.values())
        return rng.choice(
            [n for n, load in reported_loads.items() if load == least]
        )

    simulation = Simulation(choose, seed)
    simulation.on_report = lambda loads, now: reported_loads.update(loads)
    return simulation.run()


def decision_router(seed: int) -> Result:
    routers = [
        decisions.Router(random.Random(seed * 100 + n)) for n in range(ENTRIES)
    ]
    servers = [
        ports.BackendServer(
            f'm{n}', 'engine', f'1:{n}', 'd', False, {'s': 'v1'}, SLOTS
        )
        for n in range(ENGINES)
    ]
    for router in routers:
        router.update(servers)

    def choose(entry: int, prefix: str, now: float) -> str:
        choice = routers[entry].choose_engine('s', prefix, now)
        assert choice.state is not None
        choice.state.own_requests += 1
        return choice.chosen

    def done(entry: int, name: str) -> None:
        routers[entry].states[name].own_requests -= 1

    def report(loads: dict[str, int], now: float) -> None:
        for router in routers:
            for name, load in loads.items():
                router.states[name].report(load, now - REPORT_LAG_S)

    simulation = Simulation(choose, seed)
    simulation.on_done = done
    simulation.on_report = report
    return simulation.run()


def measure_fairness(overload: float, seed: int) -> float:
    """Return the largest relative deviation of a share from its weight.

    :param overload: arrival rate relative to the capacity.
    """
    rng = random.Random(seed)
    shares = {f'a{n}': float(n % 4 + 1) for n in range(10)}
    total = sum(shares.values())
    queue = decisions.FairQueue(16)
    served = dict.fromkeys(shares, 0.0)
    running: list[tuple[float, int, str, float]] = []
    capacity = 16 / 2.0
    arrivals = {
        n: rng.expovariate(overload * capacity * w / total)
        for n, w in shares.items()
    }
    number = 0
    now = 0.0
    while now < 2000.0:
        name = min(arrivals, key=lambda n: arrivals[n])
        if running and running[0][0] < arrivals[name]:
            now, _, name, tokens = heapq.heappop(running)
            queue.done(name, 100.0, tokens, now)
            served[name] += tokens
        else:
            now = arrivals[name]
            rate = overload * capacity * shares[name] / total
            arrivals[name] += rng.expovariate(rate)
            queue.push(name, shares[name], 100.0, name)
        while (ready := queue.pop(lambda _: True)) is not None:
            tokens = rng.uniform(20, 180)
            number += 1
            heapq.heappush(running, (now + tokens / 50, number, ready, tokens))
    total_served = sum(served.values())
    return max(
        abs(served[n] / total_served / (w / total) - 1)
        for n, w in shares.items()
    )


def main() -> None:
    for name, simulate in (
        ('round robin', round_robin),
        ('least reported load', least_reported),
        ('bulrushhold', decision_router),
    ):
        results = [simulate(seed) for seed in range(3)]
        waits = sorted(w for r in results for w in r.waits)
        hits = sum(r.hits for r in results)
        print(
            f'{name}: queue p50 {waits[len(waits) // 2]:.2f} s, p95 '
            f'{waits[int(len(waits) * 0.95)]:.2f} s; cache hits '
            f'{hits / len(waits):.1%} of {len(waits)}',
            flush=True,
        )
    deviation = max(measure_fairness(2.0, seed) for seed in range(3))
    print(
        f'one entry, 2x overload, 10 rows: largest deviation of a share '
        f'from its weight {deviation:.1%}'
    )


if __name__ == '__main__':
    main()
