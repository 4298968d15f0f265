"""What an entry knows of the system: route map, backends and entries."""

import asyncio
import collections.abc as cabc
import contextlib
import random
import time
import typing as t

import attrs
import loguru

from bulrushhold import decisions
from bulrushhold import errors
from bulrushhold import messages
from bulrushhold import node
from bulrushhold import ports
from bulrushhold import routes

HOLD_S: t.Final = 0.3
# Over a hold by what a reply takes on a slow link and a busy leader.
REPLY_S: t.Final = 0.5
PAUSE_S: t.Final = 0.05
# For how long one that gave no answer is asked only if all gave none: the
# others answer within ms.
SHUN_S: t.Final = 2.0
# A data centre's engines are lost within a few ms; one message tells them.
SHARE_S: t.Final = 0.01
# Again without news: a new leader has heard nothing, and the traffic ages.
SHARE_AGAIN_S: t.Final = 1.0
# Without news of backends for this long an entry reads the list itself: a
# server that leaves must get no new request after 3 s.
LIST_STALE_S: t.Final = 1.2
LIST_TIMEOUT_S: t.Final = 1.0
# Control needs as long for an election after a start of all.
FIRST_LIST_S: t.Final = 0.9
# Calls a second to the list that entries may make together in that case.
LIST_CALLS_PER_S: t.Final = 12.0


class Fleet:
    """Follows control, and keeps what it last said.

    :param me: this entry, as control is to list it.
    :param seeds: peer addresses of control processes; may be out of date.
    :param source: the platform's list, for when control is away.
    """

    def __init__(
        self,
        me: messages.ListedEntry,
        seeds: list[str],
        transport: ports.Transport,
        source: ports.BackendList,
        placement: decisions.Placement,
        budget: decisions.RepeatBudget,
        crashers: decisions.Crashers,
        gate: decisions.StreamGate,
    ) -> None:
        self.me = me
        self.seeds = seeds
        self.transport = transport
        self.source = source
        self.placement = placement
        self.budget = budget
        self.crashers = crashers
        self.gate = gate
        self.core: list[str] = []
        self.leader = ''
        self.in_touch_at = 0.0
        self.silent_at: dict[str, float] = {}
        self.index: routes.RouteIndex | None = None
        self.backends_version = ''
        self.backends_at = 0.0
        self.entries: list[messages.ListedEntry] = []
        self.entries_version = ''
        self.sightings_number = 0
        self.started = asyncio.Event()
        self.seen = asyncio.Event()
        placement.on_news = self.seen.set
        self.changed: list[cabc.Callable[[], None]] = []

    @property
    def map_version(self) -> int:
        """Version of the route map in force here; 0 for none."""
        return self.index.map.version if self.index else 0

    @property
    def ready(self) -> bool:
        """Whether requests can be served."""
        return self.index is not None and bool(self.placement.backends)

    def leave(self) -> None:
        """Take no new callers any more."""
        self.me = attrs.evolve(self.me, ready=False)

    def count(self) -> int:
        """Return the number of entries, this one included."""
        return max(1, len(self.entries))

    async def follow(self) -> None:
        """Hold a call at control's leader, again and again."""
        while True:
            address = self.leader or self._any_control()
            try:
                await self._watch(address)
            except errors.PeerError as error:
                if self.leader:
                    loguru.logger.bind(peer=address, error=str(error)).warning(
                        'control lost'
                    )
                self.leader = ''
                self.silent_at[address] = time.monotonic()
                await asyncio.sleep(PAUSE_S)

    def _any_control(self) -> str:
        known = sorted({*self.seeds, *self.core})
        now = time.monotonic()
        # A leader that froze gives no answer for 0.8 s; drawn again and again
        # by chance, it kept an entry from a new route map for over 2 s.
        better = [
            address
            for address in known
            if now - self.silent_at.get(address, -SHUN_S) >= SHUN_S
        ]
        return random.choice(better or known)

    async def _watch(self, address: str) -> None:
        ready = self.ready and self.me.ready
        watch = messages.Watch(
            messages.ListedEntry(
                self.me.name, self.me.data_centre, self.me.callers, ready
            ),
            self.map_version,
            self.backends_version,
            self.entries_version,
            HOLD_S,
            self.sightings_number,
        )
        reply = await self.transport.request(address, watch, HOLD_S + REPLY_S)
        if reply.core:
            self.core = reply.core
        if reply.status != 'done':
            self.leader = '' if reply.leader == address else reply.leader
            await asyncio.sleep(PAUSE_S)
            return
        if self.leader != address:
            self.leader = address
            node.log_decision('control found', peer=address)
        self.in_touch_at = time.monotonic()
        self._take(reply)

    def _take(self, reply: messages.WatchReply) -> None:
        if reply.route_map is not None:
            self._take_map(messages.unpack_map(reply.route_map))
        if reply.backends_version:
            self.backends_at = time.monotonic() - reply.backends_age_s
        if reply.backends is not None:
            self.backends_version = reply.backends_version
            self._take_backends(reply.backends)
        if reply.entries is not None:
            self.entries_version = reply.entries_version
            self.entries = reply.entries
        if reply.sightings is not None:
            self.sightings_number = reply.sightings.number
            now = time.monotonic()
            self.placement.heard(reply.sightings, now)
            self.budget.heard(reply.sightings.traffic, now)
            self.crashers.heard(reply.sightings.deaths, now)
            traffic = reply.sightings.traffic
            waiting = {name: one.waiting for name, one in traffic.items()}
            self.gate.heard(waiting, now)
        self.budget.entries = self.count()
        for hook in self.changed:
            hook()

    async def share(self) -> None:
        """Tell control what this entry sees of engines, as it changes."""
        while True:
            with contextlib.suppress(TimeoutError):
                async with asyncio.timeout(SHARE_AGAIN_S):
                    await self.seen.wait()
            self.seen.clear()
            sighting = self._sighting(time.monotonic())
            if self.leader:
                self.transport.send(self.leader, sighting)
            await asyncio.sleep(SHARE_S)

    def _sighting(self, now: float) -> messages.Sighting:
        self.crashers.settle(now)
        traffic = {
            service: attrs.evolve(one, waiting=self.gate.waiting[service])
            for service, one in self.budget.traffic(now).items()
        }
        return attrs.evolve(
            self.placement.sighted(self.me.name, traffic, now),
            # A loss is old news by the time there is a leader again; what
            # crashes engines still does.
            deaths=self.crashers.told() if self.leader else [],
        )

    def _take_map(self, route_map: routes.RouteMap) -> None:
        # Forward only: a reply that was overtaken on its way must not bring
        # back what operators have replaced.
        if route_map.version > self.map_version:
            self.index = routes.RouteIndex(route_map)
            self.placement.capacity = {
                service.name: service.memory_tokens
                for service in route_map.services
            }
            self._look_whether_started()
            node.log_decision('route map', version=route_map.version)

    def _take_backends(self, backends: list[messages.ListedBackend]) -> None:
        self.placement.update(backends)
        self._look_whether_started()
        node.log_decision(
            'backends',
            version=self.backends_version,
            usable=sum(not b.leaving for b in backends),
            leaving=sum(b.leaving for b in backends),
        )

    def _look_whether_started(self) -> None:
        if self.ready:
            self.started.set()

    # Without control

    async def read_list_alone(self) -> None:
        """Read the platform's list while control gives no news of it."""
        pause = FIRST_LIST_S
        while True:
            await asyncio.sleep(pause * (0.75 + random.random() / 2))
            pause = max(1.0, self.count() / LIST_CALLS_PER_S)
            if time.monotonic() - self.backends_at < LIST_STALE_S:
                continue
            with contextlib.suppress(TimeoutError, errors.PeerError):
                async with asyncio.timeout(LIST_TIMEOUT_S):
                    backends = await self.source.fetch()
                self.backends_version = ''
                self._take_backends(backends)

    # Where callers are to connect

    def addresses(self, most: int) -> list[str]:
        """Return addresses of ready entries, in a random order.

        :param most: how many; others are drawn for the next caller, so
            that all entries get their part.
        """
        ready = [entry.callers for entry in self.entries if entry.ready]
        if self.me.ready and self.ready and self.me.callers not in ready:
            ready.append(self.me.callers)
        elif not self.me.ready and self.me.callers in ready:
            ready.remove(self.me.callers)
        random.shuffle(ready)
        return ready[:most]
