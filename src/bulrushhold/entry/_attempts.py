"""Attempts of a generation on engines, and the timer for stalled ones."""

import asyncio
import time

import attrs

from bulrushhold import decisions
from bulrushhold.entry import _generation


@attrs.define(eq=False)
class Attempt:
    """One attempt of a generation on one engine.

    :param last_event_at: monotonic seconds of the last event, or of the
        start.
    :param started: the engine has sent an event.
    :param crash_counted: its engine's crash has been counted.
    :param may_be_poison: the request may be a poison request.
    :param connected: ``False`` if the connection failed, so that the
        request can't have reached the engine.
    :param hedge_tokens: tokens charged to the work budget for a hedged
        attempt.
    """

    number: int
    state: decisions.BackendState
    last_event_at: float
    started: bool = False
    crash_counted: bool = False
    may_be_poison: bool = False
    connected: bool = True
    hedge_tokens: int = 0
    task: asyncio.Task[None] | None = None


class StallTimer:
    """Wakes a generation's task once its attempts have stalled.

    The checks run as timer callbacks, since waking the task for each one
    is expensive.
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
        self.stall_timeout_only = False
        most_recent = self._most_recent()
        idle_s = time.monotonic() - most_recent.last_event_at
        # After the first check, or with a hedged attempt, only the stall
        # timeout remains.
        self.stall_timeout_only = len(live) > 1 or idle_s >= self._timeout(
            most_recent
        )
        self.handle: asyncio.TimerHandle | None = None
        self._check()

    def cancel(self) -> None:
        """Stop the timer."""
        if self.handle is not None:
            self.handle.cancel()

    def _check(self) -> None:
        most_recent = self._most_recent()
        idle_s = time.monotonic() - most_recent.last_event_at
        remaining = self._timeout(most_recent) - idle_s
        if remaining <= 0:
            self.generation.attempt_changed.set()
            return
        self.handle = self.loop.call_later(max(0.01, remaining), self._check)

    def _most_recent(self) -> Attempt:
        return max(self.live.values(), key=lambda a: a.last_event_at)

    def _timeout(self, attempt: Attempt) -> float:
        gaps = attempt.state.gaps
        if self.stall_timeout_only:
            return self.policy.stall_timeout(gaps, started=attempt.started)
        return self.policy.check_after(gaps, started=attempt.started)
