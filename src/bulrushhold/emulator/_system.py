"""Entries over emulated engines, with the real decisions in between."""

import asyncio
import collections.abc as cabc
import random
import typing as t

import attrs

from bulrushhold import calls
from bulrushhold import decisions
from bulrushhold.emulator import _client
from bulrushhold.emulator import _engine
from bulrushhold import errors
from bulrushhold import forwarding
from bulrushhold import messages
from bulrushhold import node
from bulrushhold import routes

SERVICE: t.Final = 'engines'
# Until what one entry sees is known to all others.
NEWS_S: t.Final = 0.05
# Until a platform lists an engine that came back.
LIST_LAG_S: t.Final = 0.8
# Callers wait for a first event for as many times the aim.
LEAVE: t.Final = 4


@attrs.frozen
class Load:
    """Callers of streams.

    :param per_s: streams a second.
    :param prompt: mean tokens of a prompt.
    :param output: mean tokens of an answer.
    :param spread: of both, as a share of the mean.
    :param aim_s: until the first event, as the route wants it.
    :param gap_s: longest pause between events, likewise.
    """

    per_s: float
    seconds: float
    prompt: int = 8000
    output: int = 600
    spread: float = 0.3
    aim_s: float = 4.5
    gap_s: float = 0.7
    timeout_s: float = 25.0


@attrs.define
class Outcome:
    """What one caller got.

    :param arrived: at this moment.
    :param first_s: from its first try to the first event.
    :param ended: when it was whole.
    """

    arrived: float
    ended: float = 0.0
    first_s: float | None = None
    longest_pause_s: float = 0.0
    whole: bool = False
    refused: bool = False

    def in_time(self, load: Load) -> bool:
        """Whether the answer is whole, in time and without a long pause."""
        return (
            self.whole
            and self.first_s is not None
            and self.first_s <= load.aim_s
            and self.longest_pause_s <= load.gap_s
        )


def emulated_now() -> float:
    """Return emulated seconds."""
    return asyncio.get_running_loop().time()


class _Caller(calls.CallerStream):
    def __init__(self, outcome: Outcome) -> None:
        self.outcome = outcome
        self.begun = False
        self.shown_at: float | None = None

    @property
    def connected(self) -> bool:
        return True

    async def begin(self, status: int, headers: calls.Headers) -> None:
        self.begun = True

    async def write(self, data: bytes) -> None:
        now = emulated_now()
        outcome = self.outcome
        if outcome.first_s is None:
            outcome.first_s = now - outcome.arrived
        if self.shown_at is not None:
            pause = now - self.shown_at
            outcome.longest_pause_s = max(outcome.longest_pause_s, pause)
        self.shown_at = now

    async def end(self) -> None:
        self.outcome.whole = True
        self.outcome.ended = emulated_now()

    def cut(self) -> None:
        pass


class _Entry:
    def __init__(
        self, name: str, system: 'System', client: calls.BackendClient
    ) -> None:
        loop = asyncio.get_running_loop()
        self.name = name
        self.system = system
        self.budget = decisions.RepeatBudget(0.8, 150.0, 10.0)
        self.admission = decisions.AdmissionController()
        self.placement = decisions.Placement(system.rng)
        self.placement.on_news = self._on_news
        self.telling = False
        self.number = 0
        self.parts = forwarding.Parts(
            self.placement,
            client,
            self.budget,
            node.NoMetrics(),
            decisions.Crashers(self.placement.lost_near),
            self.admission,
            loop.time,
        )

    def _on_news(self) -> None:
        if not self.telling:
            self.telling = True
            asyncio.get_running_loop().call_later(NEWS_S, self._tell)

    def _tell(self) -> None:
        self.telling = False
        now = emulated_now()
        traffic = {
            service: attrs.evolve(one, waiting=self.admission.waiting[service])
            for service, one in self.budget.traffic(now).items()
        }
        report = self.placement.load_report(self.name, traffic, now)
        self.system.loads.take(report, now)
        for entry in self.system.entries:
            entry.hear(now)

    def hear(self, now: float) -> None:
        """Take the news of all other entries."""
        news = self.system.loads.others(self.name, self.number)
        self.number = news.number
        self.placement.apply_loads(news, now)
        self.budget.apply_loads(news.traffic, now)
        waiting = {name: one.waiting for name, one in news.traffic.items()}
        self.admission.apply_loads(waiting, now)


class System:
    """Engines in three data centres, and entries that send to them."""

    def __init__(
        self,
        figures: cabc.Sequence[_engine.EngineFigures],
        entries: int,
        seed: int,
    ) -> None:
        self.rng = random.Random(seed)
        # Forwarding draws from the common source.
        random.seed(seed)
        self.engines = {}
        for number, one in enumerate(figures):
            address = f'10.0.{number // 250}.{number % 250}:80'
            place = f'dc{number % 3}'
            self.engines[address] = _engine.Engine(address, place, one)
        self.lengths: dict[str, int] = {}
        self.loads = decisions.LoadAggregator()
        client = _client.EmulatedClient(self.engines, self.lengths)
        self.entries = [_Entry(f'e{n}', self, client) for n in range(entries)]
        self.outcomes: list[Outcome] = []
        for entry in self.entries:
            entry.budget.entries = entries
        memory = min(one.memory for one in figures)
        for entry in self.entries:
            entry.placement.capacity = {SERVICE: memory}
        self.list_engines()
        for engine in self.engines.values():
            engine.start()

    def list_engines(self) -> None:
        """Have all entries know the engines as they are now."""
        listed = [
            messages.ListedBackend(
                engine.ident,
                SERVICE,
                engine.address,
                engine.data_centre,
                engine.figures.slots,
            )
            for engine in self.engines.values()
        ]
        for entry in self.entries:
            entry.placement.update(listed)

    async def lose_data_centre(
        self, name: str, at: float, seconds: float, *, dark: bool
    ) -> None:
        """Crash all engines of a data centre, and start them again."""
        await asyncio.sleep(at)
        lost = [e for e in self.engines.values() if e.data_centre == name]
        for engine in lost:
            engine.crash(dark=dark)
        await asyncio.sleep(seconds)
        for engine in lost:
            engine.restart()
        await asyncio.sleep(LIST_LAG_S)
        self.list_engines()

    async def play(self, load: Load) -> list[Outcome]:
        """Have callers come, and return what each of them got."""
        callers = []
        while emulated_now() < load.seconds:
            await asyncio.sleep(self.rng.expovariate(load.per_s))
            part = f'p{len(callers)}'
            prompt = self._draw(load.prompt, load.spread)
            self.lengths[part] = self._draw(load.output, load.spread)
            outcome = Outcome(emulated_now())
            self.outcomes.append(outcome)
            callers.append(
                asyncio.ensure_future(self._call(load, part, prompt, outcome))
            )
        await asyncio.gather(*callers)
        return self.outcomes

    def _draw(self, mean: int, spread: float) -> int:
        drawn = self.rng.gauss(mean, spread * mean)
        return int(min(1.8 * mean, max(0.2 * mean, drawn)))

    async def _call(
        self, load: Load, part: str, prompt: int, outcome: Outcome
    ) -> None:
        for attempt in range(2):
            left = outcome.arrived + load.timeout_s - emulated_now()
            try:
                await self._try(load, f'{part}-{attempt}', part, prompt, left)
            except errors.RequestError as error:
                outcome.refused = error.ran is errors.Ran.NO
                if not outcome.refused:
                    return
                pause = error.retry_after or 0.0
                await asyncio.sleep(min(pause, left / 3))
            else:
                return

    async def _try(
        self, load: Load, ident: str, part: str, prompt: int, left: float
    ) -> None:
        outcome = self.outcomes[int(part[1:])]
        entry = self.rng.choice(self.entries)
        prompts = calls.Prompt(prompt, load.output, (part,))
        now = emulated_now()
        job = _job(load, ident, prompts, now, left)
        entry.budget.first(SERVICE, now)
        run = asyncio.ensure_future(
            forwarding.StreamRun(entry.parts, job, _Caller(outcome)).run()
        )
        # Callers leave without a first event, and at the end of their time.
        await asyncio.wait({run}, timeout=min(left, LEAVE * load.aim_s))
        if outcome.first_s is not None:
            await asyncio.wait({run}, timeout=now + left - emulated_now())
        if not run.done():
            run.cancel()
            await asyncio.wait({run})
            return
        run.result()


def _job(
    load: Load, ident: str, prompt: calls.Prompt, now: float, left: float
) -> forwarding.Job:
    call = calls.Call(
        ident, 'POST', '/a/', 'h', 'k', (), b'', left, None, prompt
    )
    route = routes.Route(
        'r',
        'h',
        '/a/',
        routes.Kind.STREAM,
        [routes.Target(SERVICE, 1.0)],
        load.timeout_s,
        load.aim_s,
        max_attempts=5,
        resumable=True,
        gap_s=load.gap_s,
    )
    return forwarding.Job(call, route, SERVICE, 'a', now + left)
