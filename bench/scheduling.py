"""Benchmark of one decision of the stream scheduler.

    python -m bench.scheduling

Streams of 27,000 accounts and three priorities arrive in emulated time at 600
engines; each first event comes after the time that the scheduler expects. The
time of each call is real. Queued streams are polled every 0.2 s.
"""

import collections
import random
import time
import typing as t

from bulrushhold import decisions
from bulrushhold import messages

ENGINES: t.Final = 600
ACCOUNTS: t.Final = 27_000
TOKEN_S: t.Final = 1 / 8000
PROMPT_TOKENS: t.Final = 8000
WARM_UP_S: t.Final = 10.0
DURATION_S: t.Final = 20.0
STEP_S: t.Final = 0.02
REPORT_STEPS: t.Final = 5
POLL_STEPS: t.Final = 10
RUN_S: t.Final = 4.0
PERCENTILES: t.Final = (0.5, 0.95, 0.99, 1.0)


class Benchmark:
    """Plays one load and measures the time of each call by its name."""

    def __init__(self, load: float, prompt_tokens: int, seed: int) -> None:
        self.rng = random.Random(seed)
        self.scheduler = decisions.StreamScheduler(random.Random(seed))
        self.prompt_tokens = prompt_tokens
        prompt_s = prompt_tokens * TOKEN_S
        self.arrivals_per_step = load * ENGINES / prompt_s * STEP_S
        # By engine, when it will be done with its prompts and with streams.
        self.reading: dict[str, list[float]] = {
            f'engine{number}': [] for number in range(ENGINES)
        }
        self.number = 0
        self.queued: set[str] = set()
        self.times: dict[str, list[float]] = collections.defaultdict(list)

    def run(self) -> None:
        steps = round((WARM_UP_S + DURATION_S) / STEP_S)
        due = 0.0
        for step in range(steps):
            now = step * STEP_S
            if now < WARM_UP_S:
                self.times.clear()
            if step % REPORT_STEPS == 0:
                self._report(now)
                self._advance(now)
            if step % POLL_STEPS == 0:
                for ticket in self.queued:
                    self._call('poll', ticket, now)
            due += self.arrivals_per_step
            while due >= 1:
                due -= 1
                self._arrive(now)
            self._advance(now)

    def _advance(self, now: float) -> None:
        for ticket, decision in self._call('advance', now):
            self.queued.discard(ticket)
            self._start(decision, now)

    def _call(self, name: str, *arguments: t.Any) -> t.Any:
        function = getattr(self.scheduler, name)
        started = time.perf_counter()
        result = function(*arguments)
        self.times[name].append(time.perf_counter() - started)
        return result

    def _report(self, now: float) -> None:
        rooms = []
        for ident, done_at in self.reading.items():
            done_at[:] = [at for at in done_at if at + RUN_S > now]
            prompts = sum(at > now for at in done_at)
            rooms.append(
                decisions.EngineRoom(
                    ident,
                    prompts * self.prompt_tokens,
                    len(done_at),
                    len(done_at) * self.prompt_tokens,
                    0,
                    0,
                )
            )
        self._call('update', rooms, TOKEN_S, now)

    def _arrive(self, now: float) -> None:
        self.number += 1
        priority = self.rng.choices((0, 1, 2), (0.2, 0.5, 0.3))[0]
        ask = messages.StreamAsk(
            'chat',
            'entry',
            f'ticket{self.number}',
            f'fingerprint{self.number}',
            priority,
            f'account{self.rng.randrange(ACCOUNTS)}',
            self.prompt_tokens,
            self.prompt_tokens + 500,
            (4.0, 5.0, 10.0)[priority],
            16.0,
        )
        decision = self._call('ask', ask, now)
        if decision.status is messages.SchedulingStatus.QUEUED:
            self.queued.add(ask.ticket)
        self._start(decision, now)

    def _start(self, decision: messages.StreamDecision, now: float) -> None:
        if decision.engine:
            done_at = self.reading[decision.engine]
            begin = max(now, done_at[-1] if done_at else now)
            done_at.append(begin + self.prompt_tokens * TOKEN_S)


def main() -> None:
    """Print the times of a decision at several loads."""
    for load, prompt_tokens in ((0.7, 8000), (2.0, 8000), (2.0, 2200)):
        benchmark = Benchmark(load, prompt_tokens, 1)
        benchmark.run()
        spent = sum(map(sum, benchmark.times.values()))
        decision_ms = spent / len(benchmark.times['ask']) * 1e3
        print(
            f'{load:.1f} of the load, prompts of {prompt_tokens} tokens: '
            f'{decision_ms:.3f} ms for each stream, reports included'
        )
        for name, times in sorted(benchmark.times.items()):
            times.sort()
            last = len(times) - 1
            figures = ', '.join(
                f'p{share * 100:.0f} {times[int(share * last)] * 1e3:.3f}'
                for share in PERCENTILES
            )
            print(
                f'  {name} (ms): mean {sum(times) / len(times) * 1e3:.3f}, '
                f'{figures}; {len(times)} calls',
                flush=True,
            )


if __name__ == '__main__':
    main()
