"""Failure detection among entries with constant load per entry.

Implements SWIM (Das, Gupta and Motivala, 2002) with incarnation numbers. In
each period an entry probes one member, directly and then through a few
others. A member that doesn't answer is suspected, and declared dead unless it
refutes the suspicion in time.
Updates are piggybacked on probes. Only entries in the platform's list, which
may lag, can be members.
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
# Timeout of one probe between two entries.
PROBE_S: t.Final = 0.3
SUSPICION_TIMEOUT_S: t.Final = 2.0
INDIRECT_PROBES: t.Final = 3
UPDATES_PER_MESSAGE: t.Final = 6
# Sends of an update, as a multiple of the logarithm of the group size.
RETRANSMIT_FACTOR: t.Final = 3


class Status(enum.StrEnum):
    """Status of a member, in order of increasing severity."""

    ALIVE = 'alive'
    SUSPECT = 'suspect'
    LEAVING = 'leaving'
    DEAD = 'dead'


_SEVERITY: t.Final = {
    status: severity for severity, status in enumerate(Status)
}


# Called with a member whose status or incarnation has changed, and whether
# it may have restarted.
MemberListener = cabc.Callable[[ports.Instance, bool], None]


@attrs.define
class _Member:
    """Membership state of another entry."""

    instance: ports.Instance
    incarnation: int = 0
    status: Status = Status.ALIVE
    status_since: float = 0.0


@attrs.define
class _QueuedUpdate:
    """An update to piggyback on a limited number of messages."""

    item: messages.MemberNews
    remaining_sends: int


class Membership:
    """An entry's view of the other entries.

    :param incarnation: must be higher after every restart, for example the
        start time in milliseconds.
    """

    def __init__(
        self, name: str, incarnation: int, rng: random.Random
    ) -> None:
        self.name = name
        self.incarnation = incarnation
        self.status = Status.ALIVE
        self.rng = rng
        self.members: dict[str, _Member] = {}
        self.listeners: list[MemberListener] = []
        self.probe_order: list[str] = []
        self.update_queue: dict[str, _QueuedUpdate] = {}

    def update_instances(self, entries: cabc.Iterable[ports.Instance]) -> None:
        """Add and remove members according to the platform's list."""
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
        """Whether an entry may be offered to callers or sent requests."""
        if name == self.name:
            return self.status is Status.ALIVE
        member = self.members.get(name)
        return member is None or member.status in (
            Status.ALIVE,
            Status.SUSPECT,
        )

    def next_target(self) -> ports.Instance | None:
        """Return the next member to probe, in an order reshuffled each round.

        Dead members are probed too, so that the groups merge again after a
        network partition.
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
        """Return the members that probe an unresponsive target indirectly."""
        alive = [
            member.instance
            for name, member in self.members.items()
            if name != target and member.status is Status.ALIVE
        ]
        return self.rng.sample(alive, min(INDIRECT_PROBES, len(alive)))

    def answered(self, name: str, now: float) -> None:
        """Record that an entry answered a direct probe."""
        member = self.members.get(name)
        if member is not None and member.status is Status.SUSPECT:
            # Other entries drop the suspicion only on an update with a
            # higher incarnation from the suspected member itself.
            self._set_status(
                name, member, member.incarnation, Status.ALIVE, now
            )

    def unanswered(self, name: str, now: float) -> None:
        """Record that an entry answered no direct or indirect probe."""
        member = self.members.get(name)
        if member is not None and member.status is Status.ALIVE:
            self._set_status(
                name, member, member.incarnation, Status.SUSPECT, now
            )

    def tick(self, now: float) -> None:
        """Declare members dead whose suspicion has timed out."""
        for name, member in self.members.items():
            if (
                member.status is Status.SUSPECT
                and now >= member.status_since + SUSPICION_TIMEOUT_S
            ):
                self._set_status(
                    name, member, member.incarnation, Status.DEAD, now
                )

    def apply_updates(
        self, updates: cabc.Iterable[messages.MemberNews], now: float
    ) -> None:
        """Apply updates: the higher incarnation wins, then the severity."""
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

    def take_updates(self) -> list[messages.MemberNews]:
        """Return the updates for one message, this entry's status first."""
        outgoing = [self.own_update()]
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

    def start_leaving(self) -> messages.MemberNews:
        """Mark this entry as leaving and return the update to send."""
        self.incarnation += 1
        self.status = Status.LEAVING
        return self.own_update()

    def own_update(self) -> messages.MemberNews:
        """Return the update about this entry itself."""
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
        may_have_restarted = incarnation > member.incarnation
        member.incarnation = incarnation
        member.status = status
        member.status_since = now
        sends = RETRANSMIT_FACTOR * math.ceil(math.log2(len(self.members) + 2))
        item = messages.MemberNews(name, incarnation, status.value)
        self.update_queue[name] = _QueuedUpdate(item, sends)
        for listener in self.listeners:
            listener(member.instance, may_have_restarted)
