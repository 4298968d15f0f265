"""Loops that run as long as their process, and signal handlers."""

import asyncio
import collections.abc as cabc
import signal
import time
import typing as t

import attrs
import loguru

from bulrushhold import ports

RESTART_DELAY_S: t.Final = 0.5
# A loop that has failed counts as working after this time without an error.
RECOVERY_S: t.Final = 5.0
LOG_INTERVAL_S: t.Final = 10.0

Loop = cabc.Callable[[], cabc.Coroutine[t.Any, t.Any, t.Any]]


@attrs.define
class _Failures:
    """Errors of one loop.

    :param in_a_row: number of errors, each within the recovery time after
        the previous one.
    :param unlogged: number of errors since the last log line.
    """

    in_a_row: int = 0
    unlogged: int = 0
    failed_at: float = float('-inf')
    logged_at: float = float('-inf')


class LoopSupervisor:
    """Runs the loops that a process needs, and shows those that fail.

    A loop handles the errors that it expects. After any other it is started
    again, so that one bad input doesn't end it for good, and the error shows:
    in the log, in metrics, and in :attr:`failing` if it happens again.
    """

    def __init__(
        self,
        metrics: ports.Metrics,
        clock: cabc.Callable[[], float] = time.monotonic,
    ) -> None:
        self.metrics = metrics
        self.clock = clock
        self.failures: dict[str, _Failures] = {}
        self.tasks: list[asyncio.Task[None]] = []

    def start(self, name: str, loop: Loop) -> asyncio.Task[None]:
        """Run a loop until :meth:`close` or its cancellation.

        :param name: identifies the loop in logs and metrics.
        """
        task = asyncio.get_running_loop().create_task(self._run(name, loop))
        self.tasks.append(task)
        return task

    @property
    def failing(self) -> list[str]:
        """Names of the loops that fail again after each restart."""
        now = self.clock()
        return sorted(
            name
            for name, failures in self.failures.items()
            if failures.in_a_row > 1 and now - failures.failed_at < RECOVERY_S
        )

    async def close(self) -> None:
        """Cancel all loops and wait for their end."""
        for task in self.tasks:
            task.cancel()
        await asyncio.gather(*self.tasks, return_exceptions=True)

    async def _run(self, name: str, loop: Loop) -> None:
        while True:
            try:
                await loop()
            except Exception as error:
                self._record(name, error)
                await asyncio.sleep(RESTART_DELAY_S)
            else:
                return

    def _record(self, name: str, error: Exception) -> None:
        now = self.clock()
        failures = self.failures.setdefault(name, _Failures())
        if now - failures.failed_at >= RECOVERY_S:
            failures.in_a_row = 0
        failures.in_a_row += 1
        failures.unlogged += 1
        failures.failed_at = now
        self.metrics.count('loops.failed', labels={'loop': name})
        if now - failures.logged_at >= LOG_INTERVAL_S:
            loguru.logger.opt(exception=error).bind(
                loop=name, failures=failures.unlogged
            ).error('loop failed')
            failures.logged_at = now
            failures.unlogged = 0


def log_failure(task: asyncio.Task[t.Any]) -> None:
    """Log the exception of a finished background task, if it has one."""
    if not task.cancelled() and task.exception() is not None:
        loguru.logger.opt(exception=task.exception()).error(
            'background task failed'
        )


def ignore_hangup() -> None:
    """Ignore SIGHUP until :func:`handle_stop_signals` handles it."""
    signal.signal(signal.SIGHUP, signal.SIG_IGN)


def handle_stop_signals(callback: t.Callable[[], None]) -> None:
    """Call ``callback`` on SIGTERM and SIGINT; ignore SIGHUP.

    All three stay handled once the loop is closed, which would remove
    handlers of its own: a signal that comes late must not end the process as
    if it had crashed.
    """
    loop = asyncio.get_running_loop()

    def on_stop(*_: t.Any) -> None:
        if not loop.is_closed():
            loop.call_soon_threadsafe(callback)

    def on_hangup(*_: t.Any) -> None:
        if not loop.is_closed():
            loop.call_soon_threadsafe(loguru.logger.info, 'SIGHUP received')

    for signal_number in (signal.SIGTERM, signal.SIGINT):
        signal.signal(signal_number, on_stop)
    # Settings are reloaded by polling their file.
    signal.signal(signal.SIGHUP, on_hangup)
