"""Shares the room of brittle servers among all entries.

All entries ask the same control process, the home of the server, for a place
for each request. What an entry holds is soft state: each message states it
anew, and it expires unless the entry repeats it.
"""

import collections
import collections.abc as cabc
import typing as t

import attrs

from bulrushhold import messages

# Entries report more often than this while they hold places.
HOLDER_TTL_S: t.Final = 1.5
# A new home grants nothing until entries have reported what they hold.
SETTLE_S: t.Final = 0.25
# Rooms that nobody asks for are dropped after this time.
ROOM_TTL_S: t.Final = 60.0


@attrs.define
class _Holder:
    """What one entry holds at a server.

    :param granted: places granted in this epoch.
    :param unconfirmed: those that the entry's newest message doesn't count.
    """

    epoch: int
    held: int
    granted: int
    unconfirmed: int
    reported_at: float


@attrs.define
class _Waiter:
    """A request that waits for a place.

    :param grant: called without arguments once it has one.
    """

    entry: str
    epoch: int
    until: float
    grant: cabc.Callable[[], None]


@attrs.define
class _Room:
    """The places of one server."""

    size: int
    grants_from: float
    used_at: float
    holders: dict[str, _Holder] = attrs.field(factory=dict)
    waiting: collections.deque[_Waiter] = attrs.field(
        factory=collections.deque
    )

    def taken(self, now: float) -> int:
        """Return how many places are taken, and drop expired holders."""
        for entry in [
            e
            for e, holder in self.holders.items()
            if now - holder.reported_at > HOLDER_TTL_S
        ]:
            del self.holders[entry]
        return sum(h.held + h.unconfirmed for h in self.holders.values())

    def update(self, report: messages.PlaceReport, now: float) -> None:
        """Replace what an entry holds; grants on their way still count."""
        holder = self.holders.get(report.entry)
        # Of an unknown holder, this home has granted nothing since.
        granted = report.grants
        if holder is not None and holder.epoch == report.epoch:
            granted = holder.granted
        self.holders[report.entry] = _Holder(
            report.epoch,
            report.held,
            granted,
            max(0, granted - report.grants),
            now,
        )

    def take(self, entry: str) -> None:
        """Take a place for a known entry."""
        self.holders[entry].granted += 1
        self.holders[entry].unconfirmed += 1


class PlaceHome:
    """Grants the places of the servers that have this process as home."""

    def __init__(self) -> None:
        self.rooms: dict[str, _Room] = {}

    def ask(
        self,
        ask: messages.PlaceAsk,
        now: float,
        grant: cabc.Callable[[], None],
    ) -> bool:
        """Take a place, or queue the request for as long as it can wait.

        :param grant: called later if the request has waited for its place.
        :return: whether it has a place now.
        """
        report = ask.report
        room = self.rooms.get(report.server)
        if room is None:
            self._drop_unused(now)
            room = _Room(ask.room, now + SETTLE_S, now)
            self.rooms[report.server] = room
        room.size = ask.room
        room.used_at = now
        room.update(report, now)
        self.advance(report.server, now)
        if not room.waiting and self._has_place(room, now):
            room.take(report.entry)
            return True
        if ask.max_wait_s > 0:
            until = now + ask.max_wait_s
            room.waiting.append(
                _Waiter(report.entry, report.epoch, until, grant)
            )
        return False

    def report(self, report: messages.PlaceReport, now: float) -> None:
        """Apply what an entry holds, and serve those that wait."""
        room = self.rooms.get(report.server)
        if room is not None:
            room.update(report, now)
            self.advance(report.server, now)

    def advance(self, server: str, now: float) -> None:
        """Give free places to those that wait, in order."""
        room = self.rooms[server]
        while room.waiting:
            if room.waiting[0].until < now:
                room.waiting.popleft()
            elif not self._has_place(room, now):
                return
            else:
                waiter = room.waiting.popleft()
                holder = room.holders.get(waiter.entry)
                # The entry no longer waits in a later epoch.
                if holder is not None and holder.epoch == waiter.epoch:
                    room.take(waiter.entry)
                    waiter.grant()

    def _has_place(self, room: _Room, now: float) -> bool:
        return now >= room.grants_from and room.taken(now) < room.size

    def _drop_unused(self, now: float) -> None:
        self.rooms = {
            server: room
            for server, room in self.rooms.items()
            if now - room.used_at < ROOM_TTL_S
        }
