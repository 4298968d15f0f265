"""Background work and signals of a process."""

import asyncio
import signal
import typing as t

import loguru


def in_background(
    coroutine: t.Coroutine[t.Any, t.Any, t.Any],
) -> asyncio.Task[t.Any]:
    """Run work that is never to end, and log it if it does."""
    task = asyncio.get_running_loop().create_task(coroutine)
    task.add_done_callback(log_failure)
    return task


def log_failure(task: asyncio.Task[t.Any]) -> None:
    """Log why background work failed, if it did."""
    if not task.cancelled() and task.exception() is not None:
        loguru.logger.opt(exception=task.exception()).error(
            'background work failed'
        )


def handle_stop_signals(callback: t.Callable[[], None]) -> None:
    """Call on each signal that asks the process to stop."""
    loop = asyncio.get_running_loop()
    for signal_number in (signal.SIGTERM, signal.SIGINT):
        loop.add_signal_handler(signal_number, callback)
    # Without a handler it ends the process. Settings are read again by
    # whoever follows them.
    loop.add_signal_handler(
        signal.SIGHUP, lambda: loguru.logger.info('asked to reload')
    )
