"""One run of a generation on one engine, and the watch over its silence."""

import asyncio
import time

import attrs

from bulrushhold import decisions
from bulrushhold.entry import _generation


@attrs.define(eq=False)
class Attempt:
    """One attempt of a generation on one engine.

    :param counted: its engine's death has been counted.
    :param reached: its request may have reached the engine.
    :param reserved: tokens spent from the budget, if it was a reserve.
    :param poison_suspect: it counts among the suspects on its engine.
    """

    number: int
    state: decisions.BackendState
    last_event_at: float
    started: bool = False
    crash_counted: bool = False
    poison_suspect: bool = False
    connected: bool = True
    hedge_tokens: int = 0
    task: asyncio.Task[None] | None = None


class StallTimer:
    """Wakes a generation's task when its attempts have been silent.

    Only then: a task woken for each check would cost a fifth of what the
    tokens themselves cost.
    """

    def __init__(
        self,
        policy: decisions.RecoveryPolicy,
        generation: _generation.Generation,
        live: dict[int, Attempt],
    ) -> None:
        self.policy = policy
        self.generation = generation
        self.live = live
        self.loop = asyncio.get_running_loop()
        self.loss_only = False
        most_recent = self._most_recent()
        silence = time.monotonic() - most_recent.last_event_at
        # Past the first limit, or with a reserve, only a loss is waited for.
        self.loss_only = len(live) > 1 or silence >= self._timeout(most_recent)
        self.handle: asyncio.TimerHandle | None = None
        self._check()

    def cancel(self) -> None:
        """Check no more."""
        if self.handle is not None:
            self.handle.cancel()

    def _check(self) -> None:
        most_recent = self._most_recent()
        silence = time.monotonic() - most_recent.last_event_at
        remaining = self._timeout(most_recent) - silence
        if remaining <= 0:
            self.generation.attempt_changed.set()
            return
        self.handle = self.loop.call_later(max(0.01, remaining), self._check)

    def _most_recent(self) -> Attempt:
        return max(self.live.values(), key=lambda a: a.last_event_at)

    def _timeout(self, attempt: Attempt) -> float:
        gaps = attempt.state.gaps
        if self.loss_only:
            return self.policy.loss_after(gaps, started=attempt.started)
        return self.policy.check_after(gaps, started=attempt.started)
