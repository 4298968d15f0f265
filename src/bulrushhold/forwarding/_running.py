"""Interrupts the requests of this entry that become blocked."""

import asyncio
import collections.abc as cabc
import contextlib
import typing as t

import attrs

from bulrushhold import decisions
from bulrushhold import errors

REASON: t.Final = 'engines crashed repeatedly on this request'


@attrs.define(eq=False)
class RunningRequest:
    """A request that waits or runs.

    :param cancelling: cancellations of its task by others.
    :ivar interruptible: whether a block ends it. An engine that has begun to
        answer hasn't crashed on the request.
    """

    task: 'asyncio.Task[t.Any]'
    cancelling: int
    interruptible: bool = True
    interrupted: bool = False

    def interrupt(self) -> None:
        """Cancel what the request waits for."""
        is_own_verdict = asyncio.current_task() is self.task
        if self.interruptible and not self.interrupted and not is_own_verdict:
            self.interrupted = True
            self.task.cancel()


class RunningRequests:
    """The requests of this entry, by fingerprint."""

    def __init__(self, detector: decisions.PoisonRequestDetector) -> None:
        self.detector = detector
        self.requests: dict[str, set[RunningRequest]] = {}
        detector.on_block = self.interrupt

    @contextlib.contextmanager
    def track(self, fingerprint: str) -> cabc.Iterator[RunningRequest]:
        """Track a request of the current task while it waits and runs.

        :raises RequestBlockedError: if the request was interrupted.
        """
        task = asyncio.current_task()
        assert task is not None
        request = RunningRequest(task, task.cancelling())
        tracked = self.requests.setdefault(fingerprint, set())
        tracked.add(request)
        try:
            yield request
        except asyncio.CancelledError:
            cancelled_by_others = (
                not request.interrupted or task.uncancel() > request.cancelling
            )
            if cancelled_by_others:
                raise
            raise errors.RequestBlockedError(REASON, 'forward') from None
        finally:
            tracked.discard(request)
            if not tracked:
                self.requests.pop(fingerprint, None)

    def interrupt(self, fingerprint: str) -> None:
        """End all requests with this fingerprint that may be ended."""
        for request in list(self.requests.get(fingerprint, ())):
            request.interrupt()

    def check(self, fingerprint: str, now: float) -> None:
        """Check that a request may be sent.

        :raises RequestBlockedError: if it is blocked.
        """
        if self.detector.remaining_block_s(fingerprint, now):
            raise errors.RequestBlockedError(REASON, 'forward')
