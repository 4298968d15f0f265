"""What entries see of engines, put together by the leader.

An entry alone learns of an engine's loss only from its own streams, and
of the prompts that others send there not at all. When a data centre loses
power, every entry would move its streams to the same few idle engines,
each of which then reads several prompts one after the other; and when the
engines are back under new identities, every entry would find out for
itself, by one refusal for each engine.
"""

import collections
import typing as t

import attrs

from bulrushhold.decisions import _speeds
from bulrushhold import messages

# Losses and deaths are told to entries that were out of touch for a moment; an
# engine that was lost longer ago has been restarted or taken off the list.
LOSS_KEPT_S: t.Final = 2.0
NOTHING: t.Final = messages.EngineSeen(0, 0)
NO_TRAFFIC: t.Final = messages.ServiceTraffic(0, 0)


@attrs.frozen
class _Loss:
    number: int
    ident: str
    at: float
    moved: bool


@attrs.frozen
class _Death:
    number: int
    death: messages.EngineDeath
    at: float


class SightingBoard:
    """The newest word of every entry."""

    def __init__(self) -> None:
        self.number = 0
        self.said: dict[str, messages.Sighting] = {}
        self.summed = 0
        self.engines: dict[str, messages.EngineSeen] = {}
        self.traffic: dict[str, messages.ServiceTraffic] = {}
        self.speeds: dict[str, messages.EngineSpeed] = {}
        self.losses: collections.deque[_Loss] = collections.deque()
        self.deaths: collections.deque[_Death] = collections.deque()

    def take(self, sighting: messages.Sighting, now: float) -> bool:
        """Take what an entry says; return whether an engine was lost."""
        self.number += 1
        self.said[sighting.entry] = sighting
        while self.losses and now - self.losses[0].at > LOSS_KEPT_S:
            self.losses.popleft()
        while self.deaths and now - self.deaths[0].at > LOSS_KEPT_S:
            self.deaths.popleft()
        self.deaths.extend(
            _Death(self.number, death, now) for death in sighting.deaths
        )
        known = {(loss.ident, loss.moved) for loss in self.losses}
        told = {(ident, False) for ident in sighting.lost}
        told |= {(ident, True) for ident in sighting.moved}
        for ident, moved in sorted(told - known):
            self.losses.append(_Loss(self.number, ident, now, moved))
        return bool(told - known)

    def forget(self, entry: str) -> None:
        """Drop what an entry said that is gone."""
        if self.said.pop(entry, None):
            self.number += 1

    def others(self, entry: str, since: int) -> messages.Sightings:
        """Return what all other entries see.

        :param since: number of the news that the entry has.
        """
        self._add_up()
        engines, traffic = dict(self.engines), dict(self.traffic)
        speeds = dict(self.speeds)
        own = self.said.get(entry)
        if own is not None:
            _add(engines, own.engines, -1)
            _add_traffic(traffic, own.traffic, -1)
            _add_speeds(speeds, own.speeds, -1)
        news = [loss for loss in self.losses if loss.number > since]
        return messages.Sightings(
            self.number,
            engines,
            [loss.ident for loss in news if not loss.moved],
            [loss.ident for loss in news if loss.moved],
            traffic,
            [d.death for d in self.deaths if d.number > since],
            speeds,
        )

    def _add_up(self) -> None:
        """Add up what all say, once for all entries that ask.

        Adding it up for each of 67 entries
        would take as many additions as all entries together send.
        """
        if self.summed == self.number:
            return
        self.summed = self.number
        self.engines, self.traffic, self.speeds = {}, {}, {}
        for sighting in self.said.values():
            _add(self.engines, sighting.engines, 1)
            _add_traffic(self.traffic, sighting.traffic, 1)
            _add_speeds(self.speeds, sighting.speeds, 1)


def _add(
    totals: dict[str, messages.EngineSeen],
    more: dict[str, messages.EngineSeen],
    sign: int,
) -> None:
    for ident, one in more.items():
        known = totals.get(ident, NOTHING)
        totals[ident] = messages.EngineSeen(
            known.reading + sign * one.reading,
            known.running + sign * one.running,
            known.memory + sign * one.memory,
        )
        if totals[ident] == NOTHING:
            del totals[ident]


def _add_traffic(
    totals: dict[str, messages.ServiceTraffic],
    more: dict[str, messages.ServiceTraffic],
    sign: int,
) -> None:
    for service, one in more.items():
        known = totals.get(service, NO_TRAFFIC)
        totals[service] = messages.ServiceTraffic(
            known.firsts + sign * one.firsts,
            known.repeats + sign * one.repeats,
            known.waiting + sign * one.waiting,
        )


def _add_speeds(
    totals: dict[str, messages.EngineSpeed],
    more: dict[str, messages.EngineSpeed],
    sign: int,
) -> None:
    for service, one in more.items():
        known = totals.get(service, _speeds.NOTHING)
        totals[service] = _speeds.add(known, one, sign)
