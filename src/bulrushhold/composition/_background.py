"""Background tasks and signal handlers of a process."""

import asyncio
import signal
import typing as t

import loguru


def start_background_task(
    coroutine: t.Coroutine[t.Any, t.Any, t.Any],
) -> asyncio.Task[t.Any]:
    """Start a background task that logs an exception if it fails."""
    task = asyncio.get_running_loop().create_task(coroutine)
    task.add_done_callback(log_failure)
    return task


def log_failure(task: asyncio.Task[t.Any]) -> None:
    """Log the exception of a finished background task, if it has one."""
    if not task.cancelled() and task.exception() is not None:
        loguru.logger.opt(exception=task.exception()).error(
            'background task failed'
        )


def handle_stop_signals(callback: t.Callable[[], None]) -> None:
    """Call ``callback`` on SIGTERM and SIGINT; ignore SIGHUP."""
    loop = asyncio.get_running_loop()
    for signal_number in (signal.SIGTERM, signal.SIGINT):
        loop.add_signal_handler(signal_number, callback)
    # Without a handler SIGHUP would end the process. Settings are reloaded
    # by polling their file.
    loop.add_signal_handler(
        signal.SIGHUP, lambda: loguru.logger.info('SIGHUP received')
    )
