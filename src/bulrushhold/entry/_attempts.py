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
    :param suspect: it counts among the suspects on its engine.
    """

    number: int
    state: decisions.BackendState
    heard_at: float
    started: bool = False
    counted: bool = False
    suspect: bool = False
    reached: bool = True
    reserved: int = 0
    task: asyncio.Task[None] | None = None


class SilenceTimer:
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
        self.until_loss = False
        newest = self._newest()
        silence = time.monotonic() - newest.heard_at
        # Past the first limit, or with a reserve, only a loss is waited for.
        self.until_loss = len(live) > 1 or silence >= self._limit(newest)
        self.handle: asyncio.TimerHandle | None = None
        self._check()

    def cancel(self) -> None:
        """Check no more."""
        if self.handle is not None:
            self.handle.cancel()

    def _check(self) -> None:
        newest = self._newest()
        silence = time.monotonic() - newest.heard_at
        left = self._limit(newest) - silence
        if left <= 0:
            self.generation.attempt_ended.set()
            return
        self.handle = self.loop.call_later(max(0.01, left), self._check)

    def _newest(self) -> Attempt:
        return max(self.live.values(), key=lambda a: a.heard_at)

    def _limit(self, attempt: Attempt) -> float:
        gaps = attempt.state.gaps
        if self.until_loss:
            return self.policy.loss_after(gaps, started=attempt.started)
        return self.policy.check_after(gaps, started=attempt.started)
