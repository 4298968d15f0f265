"""Sums of load reports, and the changes between two versions of them."""

import collections.abc as cabc
import typing as t

from bulrushhold.decisions import _enginespeeds
from bulrushhold import messages

# Upper bound of recorded changes; older ones of removed engines are dropped.
MAX_CHANGES: t.Final = 2000
NO_LOAD: t.Final = messages.EngineLoad(0, 0)
NO_TRAFFIC: t.Final = messages.ServiceTraffic(0, 0)


class LoadTotal:
    """Sum of load reports, without their events.

    :ivar changed: by engine, number of the sum in which its load changed.
    """

    def __init__(self) -> None:
        self.engines: dict[str, messages.EngineLoad] = {}
        self.traffic: dict[str, messages.ServiceTraffic] = {}
        self.speeds: dict[str, messages.EngineSpeed] = {}
        self.changed: dict[str, int] = {}
        self.deltas: dict[int, dict[str, messages.EngineLoad]] = {}

    def copy(self) -> 'LoadTotal':
        """Return an independent copy of the figures, without changes."""
        total = LoadTotal()
        total.engines = dict(self.engines)
        total.traffic = dict(self.traffic)
        total.speeds = dict(self.speeds)
        return total

    def replace(
        self,
        new: 'LoadTotal',
        number: int,
        also_changed: cabc.Iterable[str] = (),
    ) -> None:
        """Replace the figures and record which engines changed.

        :param also_changed: engines recorded as changed in any case.
        """
        self.changed.update(dict.fromkeys(also_changed, number))
        for ident in self.engines.keys() | new.engines.keys():
            if self.engines.get(ident) != new.engines.get(ident):
                self.changed[ident] = number
        if len(self.changed) > MAX_CHANGES:
            self._prune_changes(new, number)
        self.deltas.clear()
        self.engines = new.engines
        self.traffic = new.traffic
        self.speeds = new.speeds

    def _prune_changes(self, new: 'LoadTotal', number: int) -> None:
        self.changed = {
            ident: changed_at
            for ident, changed_at in self.changed.items()
            if ident in new.engines or number - changed_at < MAX_CHANGES
        }

    def changed_since(self, number: int) -> dict[str, messages.EngineLoad]:
        """Return the load of changed engines; zero for removed ones.

        The result is cached until the next change, since most entries ask
        for the changes since the same number.
        """
        if number not in self.deltas:
            self.deltas[number] = {
                ident: self.engines.get(ident, NO_LOAD)
                for ident, changed_at in self.changed.items()
                if changed_at > number
            }
        return self.deltas[number]

    def add(self, report: messages.LoadReport) -> None:
        """Add a report."""
        _add_engines(self.engines, report.engines, 1)
        add_traffic(self.traffic, report.traffic, 1)
        add_speeds(self.speeds, report.speeds, 1)


def subtract_engines(
    engines: dict[str, messages.EngineLoad],
    own: dict[str, messages.EngineLoad],
) -> dict[str, messages.EngineLoad]:
    """Return loads minus one entry's own, limited to the engines given."""
    own_loads = {
        ident: load for ident, load in own.items() if ident in engines
    }
    if not own_loads:
        return engines
    others = dict(engines)
    _add_engines(others, own_loads, -1)
    return others


def _add_engines(
    totals: dict[str, messages.EngineLoad],
    added: dict[str, messages.EngineLoad],
    sign: int,
) -> None:
    for ident, load in added.items():
        total = totals.get(ident, NO_LOAD)
        totals[ident] = messages.EngineLoad(
            total.reading + sign * load.reading,
            total.running + sign * load.running,
            total.memory + sign * load.memory,
        )


def add_traffic(
    totals: dict[str, messages.ServiceTraffic],
    added: dict[str, messages.ServiceTraffic],
    sign: int,
) -> None:
    """Add requests by service to totals, or subtract them."""
    for service, traffic in added.items():
        total = totals.get(service, NO_TRAFFIC)
        totals[service] = messages.ServiceTraffic(
            total.firsts + sign * traffic.firsts,
            total.repeats + sign * traffic.repeats,
            total.waiting + sign * traffic.waiting,
        )


def add_speeds(
    totals: dict[str, messages.EngineSpeed],
    added: dict[str, messages.EngineSpeed],
    sign: int,
) -> None:
    """Add speed samples by service to totals, or subtract them."""
    for service, speed in added.items():
        total = totals.get(service, _enginespeeds.NO_SAMPLES)
        totals[service] = _enginespeeds.add(total, speed, sign)
