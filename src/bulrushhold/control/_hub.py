"""Hands news from control to entries, by calls that are held.

A poll each second would bring a change late by up to a second; a held
call brings it within one way of the network, and costs one message per
entry and 0.4 s while nothing changes.
"""

import asyncio
import contextlib
import typing as t

import loguru

from bulrushhold.control import _calls
from bulrushhold.control import _registry
from bulrushhold.control import _server
from bulrushhold import decisions
from bulrushhold import errors
from bulrushhold import messages
from bulrushhold import node
from bulrushhold import ports

# Calls to the platform's list are limited for all readers together; a list
# that lags by 0.8 s gains little from more.
LIST_EVERY_S: t.Final = 0.4
LIST_TIMEOUT_S: t.Final = 1.0
LEAD_CHECK_S: t.Final = 0.1
MAX_HOLD_S: t.Final = 1.0
# Entries that start together become one piece of news instead of one each.
GATHER_S: t.Final = 0.05
# Sightings of engines come with every stream that begins; each batch costs
# a message per entry. A prompt is read for a second.
SIGHTINGS_GATHER_S: t.Final = 0.03


class Hub:
    """The leader's side of entries' held calls, and the list's reader.

    :param source: reads the platform's list of backend servers.
    """

    def __init__(
        self,
        server: _server.ControlServer,
        source: ports.BackendList,
    ) -> None:
        self.server = server
        self.source = source
        self.registry = _registry.EntryRegistry()
        self.board = decisions.SightingBoard()
        self.told_sightings = 0
        self.gathering = False
        self.backends: list[messages.ListedBackend] | None = None
        self.backends_number = 0
        self.backends_at = 0.0
        self.news = asyncio.Event()
        self.calls = _calls.LeaderCalls(
            server.transport, server.replica.leader_address, self._here
        )
        server.applied_hooks.append(self._wake)
        server.transport.handle(messages.Watch, self._on_watch)
        server.transport.handle(messages.Sighting, self._on_sighting)
        server.transport.handle(messages.RouteMapRead, self._on_read)

    async def run(self) -> None:
        """Read the list and watch over entries while this one leads."""
        while True:
            if not self.leads:
                # Not long: as a new leader it has to tell what it read.
                await asyncio.sleep(LEAD_CHECK_S)
                continue
            self.registry.lead(self.server.replica.term, self._now())
            self._expire()
            await self._read_list()
            await asyncio.sleep(LIST_EVERY_S)

    @property
    def leads(self) -> bool:
        """Whether what this process says is what control says."""
        return self.server.replica.lease_holds(self._now())

    def _now(self) -> float:
        return self.server.clock()

    def _wake(self) -> None:
        self.news.set()
        self.news = asyncio.Event()

    def _expire(self) -> None:
        gone = self.registry.expire(self._now())
        if gone:
            node.log_decision('entries silent', entries=gone)
            for name in gone:
                self.board.forget(name)
            self._wake()

    async def _read_list(self) -> None:
        try:
            async with asyncio.timeout(LIST_TIMEOUT_S):
                backends = await self.source.fetch()
        except (TimeoutError, errors.PeerError) as error:
            loguru.logger.bind(error=str(error)).warning('list not read')
            return
        self.backends_at = self._now()
        if backends != self.backends:
            self.backends = backends
            self.backends_number += 1
            node.log_decision(
                'list changed',
                version=self.backends_number,
                backends=len(backends),
                leaving=[b.ident for b in backends if b.leaving],
            )
            self._wake()

    async def _on_sighting(self, sighting: messages.Sighting) -> None:
        if self.board.take(sighting, self._now()):
            node.log_decision(
                'engines lost',
                engines=sighting.lost,
                moved=sighting.moved,
                by=sighting.entry,
            )
            self._tell_sightings()
        elif not self.gathering:
            self.gathering = True
            asyncio.get_running_loop().call_later(
                SIGHTINGS_GATHER_S, self._tell_sightings
            )

    def _tell_sightings(self) -> None:
        self.gathering = False
        self.told_sightings = self.board.number
        self._wake()

    # Held calls

    async def _on_watch(self, watch: messages.Watch) -> messages.WatchReply:
        if not self.leads:
            return self._not_leader()
        self.registry.lead(self.server.replica.term, self._now())
        if self.registry.hear(watch.entry, self._now()):
            asyncio.get_running_loop().call_later(GATHER_S, self._wake)
        end = self._now() + min(watch.hold_s, MAX_HOLD_S)
        while not self._has_news(watch):
            left = end - self._now()
            if left <= 0:
                break
            news = self.news
            with contextlib.suppress(TimeoutError):
                async with asyncio.timeout(left):
                    await news.wait()
        # Again, as late as can be: while the call was held this process may
        # have been suspended, and another may lead by now.
        if not self.leads:
            return self._not_leader()
        return self._reply(watch)

    def _has_news(self, watch: messages.Watch) -> bool:
        entries = self.registry.version(self._now())
        return (
            self.server.state.map_version > watch.known_map
            or self._backends_version() != watch.known_backends
            or entries not in ('', watch.known_entries)
            or self.told_sightings > watch.known_sightings
        )

    def _backends_version(self) -> str:
        if self.backends is None:
            return ''
        return f'{self.registry.term}.{self.backends_number}'

    def _reply(self, watch: messages.Watch) -> messages.WatchReply:
        put = self.server.state.route_map
        newer = put is not None and put.version > watch.known_map
        version = self._backends_version()
        fresh = bool(version) and version != watch.known_backends
        now = self._now()
        entries_version = self.registry.version(now)
        moved = entries_version not in ('', watch.known_entries)
        return messages.WatchReply(
            'done',
            core=sorted(self.server.replica.config.voters.values()),
            route_map=put.packed if put is not None and newer else None,
            backends_version=version,
            backends=self.backends if fresh else None,
            backends_age_s=round(now - self.backends_at, 3),
            entries_version=entries_version,
            entries=self.registry.entries() if moved else None,
            sightings=self._sightings(watch),
        )

    def _sightings(self, watch: messages.Watch) -> messages.Sightings | None:
        known = watch.known_sightings
        if self.board.number == known:
            return None
        if self.board.number < known:
            # The entry's number is another leader's; tell it all.
            known = 0
        return self.board.others(watch.entry.name, known)

    def _not_leader(self) -> messages.WatchReply:
        replica = self.server.replica
        return messages.WatchReply(
            'not_leader',
            replica.leader_address(),
            core=sorted(replica.config.voters.values()),
        )

    # The operator's route map

    async def _on_read(
        self, read: messages.RouteMapRead
    ) -> messages.RouteMapReply:
        del read
        if not self.leads:
            return messages.RouteMapReply(
                'not_leader', self.server.replica.leader_address()
            )
        put = self.server.state.route_map
        if put is None:
            return messages.RouteMapReply('done')
        return messages.RouteMapReply(
            'done', version=put.version, source=put.source
        )

    async def _here(self, request: messages.Message) -> t.Any:
        """Answer as leader; ``None`` where another one has to."""
        if self.server.replica.role is not decisions.Role.LEADER:
            return None
        if isinstance(request, messages.Proposal):
            return await self.server.propose(request.command)
        return await self._on_read(messages.RouteMapRead())
