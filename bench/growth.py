"""How the time of large inputs grows: each input is doubled three times.

A slope of 1 is linear: twice the input takes twice the time.
"""

import abc
import math
import random
import tempfile
import time
import typing as t

import attrs
import loguru

from bulrushhold import decisions
from bulrushhold import messages
from bulrushhold import node
from bulrushhold import routes

DOUBLINGS: t.Final = 4
REPEATS: t.Final = 5
FOUNDING: t.Final = messages.Config(voters={'c1.founder': '127.0.0.1:1'})


class Case(abc.ABC):
    """One kind of input."""

    name: str
    unit: str
    smallest: int

    @abc.abstractmethod
    def measure(self, size: int) -> float:
        """Return the processor time in s that an input of a size takes."""


@attrs.frozen
class TornLog(Case):
    """A start with a part of a record behind an acknowledged one.

    :param part: returns what of the record the disk holds.
    """

    name: str
    part: t.Callable[[bytes], bytes]
    unit: str = 'bytes'
    smallest: int = 650_000

    def measure(self, size: int) -> float:
        """See :meth:`Case.measure`."""
        rng = random.Random(86)
        with tempfile.TemporaryDirectory() as folder:
            log = node.FileLog(folder)
            log.write_identity(node.Identity('c1.founder', FOUNDING))
            log.load(FOUNDING)
            log.save(1, '', [_entry(1, b'first')])
            kept = log.log_path.stat().st_size
            log.save(1, '', [_entry(2, rng.randbytes(size))])
            log.close()
            data = log.log_path.read_bytes()
            log.log_path.write_bytes(data[:kept] + self.part(data[kept:]))
            started_at = time.process_time()
            log.load(FOUNDING)
            seconds = time.process_time() - started_at
            log.close()
        return seconds


@attrs.frozen
class Index(Case):
    """An index of a route map; the size is the number of routes."""

    name: str = 'route index'
    unit: str = 'routes; 19 accounts each'
    smallest: int = 350

    def measure(self, size: int) -> float:
        """See :meth:`Case.measure`."""
        route_map = _make_map(size, 1)
        started_at = time.process_time()
        routes.RouteIndex(route_map)
        return time.process_time() - started_at


@attrs.frozen
class AppliedMap(Case):
    """A map that leads 20 routes elsewhere, applied by a control process."""

    name: str = 'map applied'
    unit: str = 'routes; 19 accounts each'
    smallest: int = 350

    def measure(self, size: int) -> float:
        """See :meth:`Case.measure`."""
        state = decisions.ReplicatedState()
        state.apply(_put(_make_map(size, 1)))
        command = _put(_make_map(size, 2))
        started_at = time.process_time()
        state.apply(command)
        return time.process_time() - started_at


@attrs.frozen
class LongPath(Case):
    """The search for the route of a path with many slashes."""

    name: str = 'route of a path'
    unit: str = 'slashes'
    smallest: int = 8_000

    def measure(self, size: int) -> float:
        """See :meth:`Case.measure`."""
        index = routes.RouteIndex(_make_map(20, 1))
        started_at = time.process_time()
        index.find('forms.example', '/r1' + '/' * size)
        return time.process_time() - started_at


@attrs.frozen
class Snapshot(Case):
    """A snapshot of the replicated state, written, and installed."""

    name: str = 'snapshot'
    unit: str = 'claims'
    smallest: int = 10_000

    def measure(self, size: int) -> float:
        """See :meth:`Case.measure`."""
        state = decisions.ReplicatedState()
        state.apply(_put(_make_map(350, 1)))
        for number in range(size):
            claim = messages.Claim(f'k{number}', 1.0, 'fingerprint', 'holder')
            state.apply(messages.encode(claim))
        started_at = time.process_time()
        decisions.ReplicatedState.restore(state.dump())
        return time.process_time() - started_at


@attrs.frozen
class TableEdits(Case):
    """A hundred edits of one row of a table that has had many."""

    name: str = '100 table edits'
    unit: str = 'rows'
    smallest: int = 3_375

    def measure(self, size: int) -> float:
        """See :meth:`Case.measure`."""
        table = decisions.TableState()
        _edit(table, [_make_row(number, 1.0) for number in range(size)])
        table.history = [messages.HistoryItem(0, '', 0.0, [])] * 20_000
        started_at = time.process_time()
        for number in range(100):
            _edit(table, [_make_row(7, number + 2.0)])
        return time.process_time() - started_at


@attrs.frozen
class EntryMap(Case):
    """A map that an entry gets: decoded and indexed."""

    name: str = 'map taken in by an entry'
    unit: str = 'routes; 19 accounts each'
    smallest: int = 350

    def measure(self, size: int) -> float:
        """See :meth:`Case.measure`."""
        packed = messages.pack_map(_make_map(size, 1))
        started_at = time.process_time()
        routes.RouteIndex(messages.unpack_map(packed))
        return time.process_time() - started_at


def _make_row(number: int, weight: float) -> messages.Row:
    return messages.Row(f'a{number}', 'chat', weight, 0.0, 0, 10.0, 0, True)


def _edit(table: decisions.TableState, rows: list[messages.Row]) -> None:
    number = table.revision
    table.apply(messages.TableEdit(f'e{number}', number, '', 0.0, rows, []))


def _make_map(size: int, version: int) -> routes.RouteMap:
    rng = random.Random(86)
    services = [routes.Service(f's{number}') for number in range(10)]
    moved = 20 if version == 2 else 0
    return routes.RouteMap(
        version,
        [
            routes.Route(
                f'r{number}',
                'forms.example',
                f'/r{number}/',
                routes.Kind.STREAM,
                [routes.Target(f's{(number + (number < moved)) % 10}', 1.0)],
                timeout_s=10.0,
                aim_s=1.0,
                priority=number % 3,
            )
            for number in range(size)
        ],
        services,
        [
            routes.ClientAccount(
                f'a{number}', [rng.randbytes(10).hex()], number % 3
            )
            for number in range(size * 19)
        ],
    )


def _put(route_map: routes.RouteMap) -> bytes:
    return messages.encode(
        messages.RouteMapPut(
            route_map.version, messages.pack_map(route_map), b'{}'
        )
    )


def _entry(index: int, data: bytes) -> messages.LogEntry:
    return messages.LogEntry(index, 1, messages.KIND_COMMAND, data)


def _half(record: bytes) -> bytes:
    return record[: len(record) // 2]


def _zeros(record: bytes) -> bytes:
    return bytes(len(record))


CASES: t.Final[list[Case]] = [
    TornLog('start, half a record', _half),
    TornLog('start, a record of zeros', _zeros),
    Index(),
    AppliedMap(),
    EntryMap(),
    LongPath(),
    Snapshot(),
    TableEdits(),
]


def main() -> None:
    """Print times and slope of each case."""
    loguru.logger.remove()
    for case in CASES:
        sizes = [case.smallest << n for n in range(DOUBLINGS)]
        times = [
            min(case.measure(size) for _ in range(REPEATS)) for size in sizes
        ]
        slope = math.log2(times[-1] / times[0]) / (DOUBLINGS - 1)
        shown = ', '.join(
            f'{size:,}: {seconds * 1000:.1f} ms'
            for size, seconds in zip(sizes, times, strict=True)
        )
        print(f'{case.name} ({case.unit}): slope {slope:.2f}; {shown}')


if __name__ == '__main__':
    main()
