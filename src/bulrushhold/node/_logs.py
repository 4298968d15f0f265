"""Logs as JSON lines, through loguru."""

import json
import sys
import typing as t

import loguru


def configure(level: str, process: str) -> None:
    """Write log lines to standard error, one JSON object each.

    :param level: least level that is written.
    :param process: name put on each line.
    """
    loguru.logger.remove()
    loguru.logger.configure(extra={'process': process})
    loguru.logger.add(_write, level=level, format='{message}')


def decision(name: str, **fields: t.Any) -> None:
    """Log one routing or placement decision with its reasons."""
    loguru.logger.bind(decision=name, **fields).info(name)


def _write(message: t.Any) -> None:
    record = message.record
    line = {
        'time': record['time'].isoformat(),
        'level': record['level'].name,
        'message': record['message'],
        **record['extra'],
    }
    if record['exception'] is not None:
        error = record['exception'].value
        line['error'] = f'{type(error).__name__}: {error}'
    sys.stderr.write(json.dumps(line, default=str) + '\n')
