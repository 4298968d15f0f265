"""Logs as JSON lines on standard output, through loguru.

A process must not wait for whoever reads its log, nor write without
bound: lines go through a short queue to a thread of their own, and those
that find no room, or come too fast, are dropped and counted.
"""

import json
import os
import queue
import sys
import threading
import time
import typing as t

import loguru

# 300 lines of 300 bytes are 90 KB/s, and about 2 % of a core.
MAX_LINES_PER_S: t.Final = 300
MAX_QUEUED_LINES: t.Final = 2000
FLUSH_TIMEOUT_S: t.Final = 1.0


class LineWriter:
    """Writes lines to a file that may block, without blocking the caller.

    :param descriptor: of the file.
    :param clock: seconds, for the bound on lines.
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
        """Queue a line, or count it as dropped."""
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
        """Write what is queued, for a short while at most."""
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
                while data:
                    data = data[os.write(self.descriptor, data) :]
            except OSError:
                # Nobody can be told that the log is gone; requests go on.
                self.dropped += 1


def configure(level: str, process: str) -> LineWriter:
    """Write log lines to standard output, one JSON object each.

    :param level: least level that is written.
    :param process: name put on each line.
    """
    writer = LineWriter(sys.stdout.fileno())
    loguru.logger.remove()
    loguru.logger.configure(extra={'process': process})
    loguru.logger.add(
        lambda message: writer.put(_line(message.record)),
        level=level,
        format='{message}',
    )
    return writer


def decision(name: str, **fields: t.Any) -> None:
    """Log one routing or placement decision with its reasons."""
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
