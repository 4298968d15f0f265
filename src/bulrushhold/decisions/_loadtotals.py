"""Sums of load reports, and what changed in them since some time."""

import collections.abc as cabc
import typing as t

from bulrushhold.decisions import _speeds
from bulrushhold import messages

# Changes of engines that are gone, for entries that were out of touch.
MAX_CHANGES: t.Final = 2000
NO_LOAD: t.Final = messages.EngineLoad(0, 0)
NO_TRAFFIC: t.Final = messages.ServiceTraffic(0, 0)


class LoadTotal:
    """A sum of reports, without their events.

    :ivar changed: by engine, number of the sum in which its load changed.
    """

    def __init__(self) -> None:
        self.engines: dict[str, messages.EngineLoad] = {}
        self.traffic: dict[str, messages.ServiceTraffic] = {}
        self.speeds: dict[str, messages.EngineSpeed] = {}
        self.changed: dict[str, int] = {}
        self.deltas: dict[int, dict[str, messages.EngineLoad]] = {}

    def copy(self) -> 'LoadTotal':
        """Return a sum of its own."""
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
        """Take newer figures, and note which engines they change.

        :param touched: engines that count as changed in any case.
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
            ident: at
            for ident, at in self.changed.items()
            if ident in new.engines or number - at < MAX_CHANGES
        }

    def changed_since(self, number: int) -> dict[str, messages.EngineLoad]:
        """Return engines whose load changed; zero where nothing is left.

        Kept until the next change, since most entries have the same one.
        """
        if number not in self.deltas:
            self.deltas[number] = {
                ident: self.engines.get(ident, NO_LOAD)
                for ident, at in self.changed.items()
                if at > number
            }
        return self.deltas[number]

    def add(self, report: messages.LoadReport, sign: int) -> None:
        """Add a report, or take it off."""
        _add_engines(self.engines, report.engines, sign)
        add_traffic(self.traffic, report.traffic, sign)
        add_speeds(self.speeds, report.speeds, sign)


def subtract_engines(
    engines: dict[str, messages.EngineLoad],
    own: dict[str, messages.EngineLoad],
) -> dict[str, messages.EngineLoad]:
    """Return loads less those of one entry, for the engines that are there."""
    own_loads = {ident: one for ident, one in own.items() if ident in engines}
    if not own_loads:
        return engines
    others = dict(engines)
    _add_engines(others, own_loads, -1)
    return others


def _add_engines(
    totals: dict[str, messages.EngineLoad],
    more: dict[str, messages.EngineLoad],
    sign: int,
) -> None:
    for ident, one in more.items():
        known = totals.get(ident, NO_LOAD)
        totals[ident] = messages.EngineLoad(
            known.reading + sign * one.reading,
            known.running + sign * one.running,
            known.memory + sign * one.memory,
        )


def add_traffic(
    totals: dict[str, messages.ServiceTraffic],
    more: dict[str, messages.ServiceTraffic],
    sign: int,
) -> None:
    """Add requests by service to totals, or take them off."""
    for service, one in more.items():
        known = totals.get(service, NO_TRAFFIC)
        totals[service] = messages.ServiceTraffic(
            known.firsts + sign * one.firsts,
            known.repeats + sign * one.repeats,
            known.waiting + sign * one.waiting,
        )


def add_speeds(
    totals: dict[str, messages.EngineSpeed],
    more: dict[str, messages.EngineSpeed],
    sign: int,
) -> None:
    """Add speeds by service to totals, or take them off."""
    for service, speed in more.items():
        known = totals.get(service, _speeds.NO_SAMPLES)
        totals[service] = _speeds.add(known, speed, sign)
