"""Simulates callers of requests that crash the engines they run on."""

import asyncio
import collections
import typing as t

import attrs

from bulrushhold import calls
from bulrushhold import decisions
from bulrushhold.emulator import _engine
from bulrushhold.emulator import _system
from bulrushhold.emulator import _workload
from bulrushhold import errors

# Callers retry a failed request after the first delay, and a refused one after
# Retry-After, capped at the second.
REPEAT_S: t.Final = 0.2
MAX_REPEAT_S: t.Final = 5.0


@attrs.frozen
class PoisonCallers:
    """Callers who repeat one poison request.

    :param segment: last segment of its prompt, which identifies it.
    :param interval_s: time between the first requests of two callers.
    """

    segment: str
    callers: int
    start_s: float
    interval_s: float = 0.0
    prompt_tokens: int = 8000


class PoisonSystem(_system.System):
    """A system some of whose callers send poison requests.

    :param down_s: how long an engine is down after a crash; ``None`` if it is
        back at once, as a new incarnation.
    :ivar crashes: by segment, when each engine crashed under the request.
    :ivar refusals: by segment, the errors that its callers got.
    :ivar blocked: fingerprints of the requests that entries blocked.
    """

    @property
    def wrongly_blocked(self) -> set[str]:
        """Fingerprints of the blocked requests that crash no engine."""
        poison = {_workload.fingerprint(p.segment) for p in self.poison}
        return set(self.blocked) - poison

    def __init__(
        self,
        profiles: t.Sequence[_engine.EngineProfile],
        entries: int,
        seed: int,
        poison: t.Sequence[PoisonCallers],
        down_s: float | None = 3.0,
    ) -> None:
        super().__init__(profiles, entries, seed)
        self.poison = poison
        self.down_s = down_s
        self.crashes: dict[str, list[float]] = collections.defaultdict(list)
        self.refusals: dict[str, list[errors.RequestError]] = (
            collections.defaultdict(list)
        )
        self.blocked: list[str] = []
        for entry in self.entries:
            entry.context.poison_requests.on_verdict = self._record_verdict
        for engine in self.engines.values():
            engine.poison_segments = {p.segment for p in poison}
            engine.on_poison = self._crash
        self.restarts: set[asyncio.Task[None]] = set()

    def count_late_arrivals(
        self, segment: str, crashes: int, within_s: float
    ) -> int:
        """Count arrivals of a poison request after a number of crashes.

        :param within_s: arrivals within this time are left out.
        """
        if len(self.crashes[segment]) < crashes:
            return 0
        since = sorted(self.crashes[segment])[crashes - 1] + within_s
        return sum(
            arrival.segment == segment and arrival.at > since
            for arrival in self.client.arrivals
        )

    async def simulate(
        self, workload: _workload.Workload
    ) -> list[_workload.Outcome]:
        """Run the callers of poison requests beside a workload."""
        repeats = [
            asyncio.ensure_future(self._repeat(poison, number, workload))
            for poison in self.poison
            for number in range(poison.callers)
        ]
        outcomes = await super().simulate(workload)
        for repeat in repeats:
            repeat.cancel()
        await asyncio.gather(*repeats, return_exceptions=True)
        return outcomes

    def _record_verdict(self, verdict: decisions.CrashVerdict) -> None:
        if verdict.verdict is decisions.Verdict.BLOCKED:
            self.blocked.append(verdict.fingerprint)

    def _crash(self, engine: _engine.Engine, segment: str) -> None:
        self.crashes[segment].append(engine.now)
        engine.crash(unreachable=False)
        if self.down_s is None:
            engine.restart()
        restart = asyncio.ensure_future(self._restart(engine))
        self.restarts.add(restart)
        restart.add_done_callback(self.restarts.discard)

    async def _restart(self, engine: _engine.Engine) -> None:
        if self.down_s is not None:
            await asyncio.sleep(self.down_s)
            engine.restart()
        await asyncio.sleep(_system.LIST_LAG_S)
        self.list_engines()

    async def _repeat(
        self,
        poison: PoisonCallers,
        number: int,
        workload: _workload.Workload,
    ) -> None:
        await asyncio.sleep(poison.start_s + number * poison.interval_s)
        self.lengths[poison.segment] = workload.output_tokens
        attempt = 0
        while True:
            attempt += 1
            error = await self._send_poison(
                poison, f'{poison.segment}-{number}-{attempt}', workload
            )
            pause_s = REPEAT_S
            if error is not None:
                self.refusals[poison.segment].append(error)
                pause_s = error.retry_after or REPEAT_S
            await asyncio.sleep(min(pause_s, MAX_REPEAT_S))

    async def _send_poison(
        self,
        poison: PoisonCallers,
        ident: str,
        workload: _workload.Workload,
    ) -> errors.RequestError | None:
        entry = self.rng.choice(self.entries)
        now = _workload.emulated_now()
        prompt = calls.Prompt(
            poison.prompt_tokens, workload.output_tokens, (poison.segment,)
        )
        job = _workload.make_job(
            workload, ident, prompt, now, workload.timeout_s
        )
        entry.budget.count_request(_workload.SERVICE, now)
        caller = _workload.Caller(_workload.Outcome(now))
        try:
            await entry.forward(job, caller)
        except errors.RequestError as error:
            return error
        return None
