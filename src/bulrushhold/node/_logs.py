"""Logging as JSON lines on standard output, through loguru.

A slow reader of the log must not block the process. Lines go through a
bounded queue to a writer thread; lines above the rate limit or the queue
limit are dropped and counted.
"""

import json
import logging
import queue
import sys
import threading
import time
import typing as t

import loguru

from bulrushhold.node import _records

# Bounds log volume and CPU use.
MAX_LINES_PER_S: t.Final = 300
MAX_QUEUED_LINES: t.Final = 2000
FLUSH_TIMEOUT_S: t.Final = 1.0


class LineWriter:
    """Writes lines to a file descriptor without blocking the caller.

    :param descriptor: the file descriptor; its writes may block.
    :param clock: returns seconds, for the rate limit.
    """

    def __init__(
        self,
        descriptor: int,
        clock: t.Callable[[], float] = time.monotonic,
    ) -> None:
        self.descriptor = descriptor
        self.clock = clock
        self.queue: queue.Queue[str | None] = queue.Queue(MAX_QUEUED_LINES)
        self.current_second = 0
        self.lines_this_second = 0
        self.dropped = 0
        self.thread = threading.Thread(target=self._write, daemon=True)
        self.thread.start()

    def put(self, line: str) -> None:
        """Queue a line, or drop it and count it."""
        second = int(self.clock())
        if second != self.current_second:
            self.current_second, self.lines_this_second = second, 0
            self._report_dropped()
        self.lines_this_second += 1
        if self.lines_this_second > MAX_LINES_PER_S:
            self.dropped += 1
            return
        self._enqueue(line)

    def close(self) -> None:
        """Write the queued lines; give up after a timeout."""
        try:
            self.queue.put_nowait(None)
        except queue.Full:
            return
        self.thread.join(FLUSH_TIMEOUT_S)

    def _enqueue(self, line: str) -> None:
        try:
            self.queue.put_nowait(line)
        except queue.Full:
            self.dropped += 1

    def _report_dropped(self) -> None:
        if self.dropped:
            count, self.dropped = self.dropped, 0
            self._enqueue(json.dumps({'message': 'lines dropped', 'n': count}))

    def _write(self) -> None:
        while (line := self.queue.get()) is not None:
            data = line.encode() + b'\n'
            try:
                _records.write_all(self.descriptor, data)
            except OSError:
                # The error can't be logged; requests are still served.
                self.dropped += 1


class _LibraryHandler(logging.Handler):
    """Passes on what libraries log.

    By default it goes to standard error, unbounded, and a reader that stops
    would block the event loop.
    """

    def emit(self, record: logging.LogRecord) -> None:
        """Log a record as a line of this process."""
        logger = loguru.logger.bind(library=record.name)
        if record.exc_info is not None:
            logger = logger.opt(exception=record.exc_info[1])
        logger.log(record.levelname, record.getMessage())


def configure(level: str, process: str) -> LineWriter:
    """Set up logging to standard output, one JSON object per line.

    :param level: lowest level that is written.
    :param process: process name, added to each line.
    """
    writer = LineWriter(sys.stdout.fileno())
    loguru.logger.remove()
    loguru.logger.configure(extra={'process': process})
    loguru.logger.add(
        lambda message: writer.put(_line(message.record)),
        level=level,
        format='{message}',
    )
    logging.basicConfig(
        handlers=[_LibraryHandler()], level=logging.WARNING, force=True
    )
    return writer


def decision(name: str, **fields: t.Any) -> None:
    """Log a routing, placement or membership decision with its details."""
    loguru.logger.bind(decision=name, **fields).info(name)


def _line(record: t.Any) -> str:
    line = {
        'time': record['time'].isoformat(),
        'level': record['level'].name,
        'message': record['message'],
        **record['extra'],
    }
    if record['exception'] is not None:
        error = record['exception'].value
        line['error'] = f'{type(error).__name__}: {error}'
    return json.dumps(line, default=str)
