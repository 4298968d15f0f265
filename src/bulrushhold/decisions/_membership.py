"""Which entries are live, at a cost per entry that doesn't grow.

After SWIM (Das, Gupta and Motivala, 2002) with incarnation numbers: each
period an entry probes one other; where no answer comes it asks a few others
to probe it; then it spreads a suspicion, which the suspect may refute. News
ride on the probes. The platform's list, which lags, says who may be a member.
"""

import collections.abc as cabc
import enum
import math
import random
import typing as t

import attrs

from bulrushhold import messages
from bulrushhold import ports

PERIOD_S: t.Final = 1.0
PROBE_S: t.Final = 0.3
SUSPICION_TIMEOUT_S: t.Final = 2.0
INDIRECT_PROBES: t.Final = 3
UPDATES_PER_MESSAGE: t.Final = 6
RETRANSMIT_FACTOR: t.Final = 3


class Status(enum.StrEnum):
    """What is thought of a member, the graver the later."""

    ALIVE = 'alive'
    SUSPECT = 'suspect'
    LEAVING = 'leaving'
    DEAD = 'dead'


_SEVERITY: t.Final = {
    status: severity for severity, status in enumerate(Status)
}


@attrs.define
class _Member:
    """One other entry."""

    instance: ports.Instance
    incarnation: int = 0
    status: Status = Status.ALIVE
    status_since: float = 0.0


@attrs.define
class _QueuedUpdate:
    """Something to be told, a bounded number of times."""

    item: messages.MemberNews
    remaining_sends: int


class Membership:
    """What one entry knows of the others.

    :param incarnation: grows with every start; milliseconds serve.
    """

    def __init__(
        self, name: str, incarnation: int, rng: random.Random
    ) -> None:
        self.name = name
        self.incarnation = incarnation
        self.status = Status.ALIVE
        self.rng = rng
        self.members: dict[str, _Member] = {}
        self.probe_order: list[str] = []
        self.update_queue: dict[str, _QueuedUpdate] = {}

    def update_list(self, entries: cabc.Iterable[ports.Instance]) -> None:
        """Take in the platform's list of entries."""
        listed = {e.name: e for e in entries if e.name != self.name}
        for name in self.members.keys() - listed.keys():
            del self.members[name]
            self.update_queue.pop(name, None)
        for name, instance in listed.items():
            member = self.members.get(name)
            if member is None:
                self.members[name] = _Member(instance)
            else:
                member.instance = instance

    def usable(self, name: str) -> bool:
        """Whether an entry may be given to callers, or be asked."""
        if name == self.name:
            return self.status is Status.ALIVE
        member = self.members.get(name)
        return member is None or member.status in (
            Status.ALIVE,
            Status.SUSPECT,
        )

    def next_target(self) -> ports.Instance | None:
        """Return whom to probe: all in turn, in an order drawn anew.

        The dead are probed too, so that both sides of a healed cut meet.
        """
        while True:
            if not self.probe_order:
                self.probe_order = list(self.members)
                self.rng.shuffle(self.probe_order)
            if not self.probe_order:
                return None
            member = self.members.get(self.probe_order.pop())
            if member is not None:
                return member.instance

    def helpers(self, target: str) -> list[ports.Instance]:
        """Return others who are to probe a silent target."""
        alive = [
            member.instance
            for name, member in self.members.items()
            if name != target and member.status is Status.ALIVE
        ]
        return self.rng.sample(alive, min(INDIRECT_PROBES, len(alive)))

    def answered(self, name: str, now: float) -> None:
        """Learn that an entry answered a probe itself."""
        member = self.members.get(name)
        if member is not None and member.status is Status.SUSPECT:
            # Only the suspect's own word, with a higher incarnation, ends
            # the suspicion elsewhere; here its answer is enough.
            self._set_status(
                name, member, member.incarnation, Status.ALIVE, now
            )

    def silent(self, name: str, now: float) -> None:
        """Learn that an entry answered neither us nor the helpers."""
        member = self.members.get(name)
        if member is not None and member.status is Status.ALIVE:
            self._set_status(
                name, member, member.incarnation, Status.SUSPECT, now
            )

    def tick(self, now: float) -> None:
        """Take suspects for dead whose time is over."""
        for name, member in self.members.items():
            if (
                member.status is Status.SUSPECT
                and now >= member.status_since + SUSPICION_TIMEOUT_S
            ):
                self._set_status(
                    name, member, member.incarnation, Status.DEAD, now
                )

    def hear(
        self, updates: cabc.Iterable[messages.MemberNews], now: float
    ) -> None:
        """Take in news; a higher incarnation wins, then the graver word."""
        for item in updates:
            status = Status(item.status)
            if item.name == self.name:
                self._refute(item, status)
                continue
            member = self.members.get(item.name)
            if member is None:
                continue
            newer = (item.incarnation, _SEVERITY[status]) > (
                member.incarnation,
                _SEVERITY[member.status],
            )
            if newer:
                self._set_status(
                    item.name, member, item.incarnation, status, now
                )

    def tell(self) -> list[messages.MemberNews]:
        """Return news for one message; the own word always goes along."""
        outgoing = [self._own_update()]
        queued = sorted(
            self.update_queue.items(),
            key=lambda pair: pair[1].remaining_sends,
            reverse=True,
        )
        for name, update in queued[:UPDATES_PER_MESSAGE]:
            outgoing.append(update.item)
            update.remaining_sends -= 1
            if update.remaining_sends <= 0:
                del self.update_queue[name]
        return outgoing

    def leave(self) -> messages.MemberNews:
        """Say that this entry takes nothing new, and return the news."""
        self.incarnation += 1
        self.status = Status.LEAVING
        return self._own_update()

    def _own_update(self) -> messages.MemberNews:
        return messages.MemberNews(
            self.name, self.incarnation, self.status.value
        )

    def _refute(self, item: messages.MemberNews, status: Status) -> None:
        incorrect = status is not self.status
        if incorrect and item.incarnation >= self.incarnation:
            self.incarnation = item.incarnation + 1

    def _set_status(
        self,
        name: str,
        member: _Member,
        incarnation: int,
        status: Status,
        now: float,
    ) -> None:
        member.incarnation = incarnation
        member.status = status
        member.status_since = now
        sends = RETRANSMIT_FACTOR * math.ceil(math.log2(len(self.members) + 2))
        item = messages.MemberNews(name, incarnation, status.value)
        self.update_queue[name] = _QueuedUpdate(item, sends)
