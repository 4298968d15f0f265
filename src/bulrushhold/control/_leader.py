"""Makes control's news while this process leads."""

import asyncio
import collections.abc as cabc
import typing as t

import loguru

from bulrushhold.control import _calls
from bulrushhold.control import _news
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
# Control processes call again every 0.3 s at the latest.
NODE_SILENCE_S: t.Final = 1.0


class LeaderNews:
    """The leader's side of control processes' long polls.

    :param me: this process.
    :param source: reads the platform's list of backend servers.
    :param attached: returns the entries that are attached to this process.
    """

    def __init__(
        self,
        server: _server.ControlServer,
        me: messages.ControlNode,
        news: _news.News,
        source: ports.BackendList,
        attached: cabc.Callable[[], list[messages.ListedEntry]],
    ) -> None:
        self.server = server
        self.me = me
        self.news = news
        self.source = source
        self.attached = attached
        self.registry = _registry.EntryRegistry()
        self.nodes: dict[str, tuple[messages.ControlNode, float]] = {}
        self.backends_number = 0
        self.calls = _calls.LeaderCalls(
            server.transport, server.replica.leader_address, self._here
        )
        server.applied_hooks.append(self._take_state)
        server.transport.handle(messages.NodeWatch, self._on_node_watch)
        server.transport.handle(messages.RouteMapRead, self._on_read)

    async def run(self) -> None:
        """Read the list and watch over entries while this one leads."""
        next_list = 0.0
        while True:
            now = self._now()
            if self.leads:
                self._lead(now)
                if now >= next_list:
                    next_list = now + LIST_EVERY_S
                    await self._read_list()
            await asyncio.sleep(LEAD_CHECK_S)

    @property
    def leads(self) -> bool:
        """Whether what this process says is what control says."""
        return self.server.replica.lease_holds(self._now())

    def _now(self) -> float:
        return self.server.clock()

    def _lead(self, now: float) -> None:
        self.registry.lead(self.server.replica.term, now)
        self._take_state()
        self.registry.hear_all(self.me.address, self.attached(), now)
        gone = self.registry.expire(now)
        if gone:
            node.log_decision('entries silent', entries=gone)
        self._list_members(now)

    def _list_members(self, now: float) -> None:
        news = self.news
        news.core = sorted(self.server.replica.config.voters.values())
        version = self.registry.version(now)
        if version not in ('', news.entries_version):
            news.entries = self.registry.entries()
            news.entries_version = version
            news.notify()
        self.nodes = {
            address: (known, at)
            for address, (known, at) in self.nodes.items()
            if now - at <= NODE_SILENCE_S
        }
        live = [self.me, *(known for known, _ in self.nodes.values())]
        news.take_nodes(sorted(live, key=str))

    def _take_state(self) -> None:
        put = self.server.state.route_map
        if put is not None and put.version > self.news.map_version:
            self.news.route_map = put.packed
            self.news.map_version = put.version
            self.news.notify()

    async def _read_list(self) -> None:
        try:
            async with asyncio.timeout(LIST_TIMEOUT_S):
                backends = await self.source.fetch()
        except (TimeoutError, errors.PeerError) as error:
            loguru.logger.bind(error=str(error)).warning('list not read')
            return
        news = self.news
        news.backends_at = self._now()
        term = f'{self.server.replica.term}.'
        if backends == news.backends and news.backends_version.startswith(
            term
        ):
            return
        self.backends_number += 1
        news.backends = backends
        news.backends_version = f'{term}{self.backends_number}'
        node.log_decision(
            'list changed',
            version=news.backends_version,
            backends=len(backends),
            leaving=[b.ident for b in backends if b.leaving],
        )
        news.notify()

    def announce(self) -> None:
        """Take a change of the entries that are attached to this process."""
        if self.leads:
            self._lead(self._now())

    def _take_node(self, watch: messages.NodeWatch) -> None:
        now = self._now()
        self.registry.lead(self.server.replica.term, now)
        self.nodes[watch.node.address] = (watch.node, now)
        self.registry.hear_all(watch.node.address, watch.entries, now)
        self._list_members(now)

    # Long polls of other control processes

    async def _on_node_watch(
        self, watch: messages.NodeWatch
    ) -> messages.WatchReply:
        if not self.leads:
            return self._not_leader()
        self._take_node(watch)
        await self.news.wait(
            lambda: self.news.is_newer_than(watch.known), watch.hold_s
        )
        # Again, as late as can be: while the call was held this process may
        # have been suspended, and another may lead by now.
        if not self.leads:
            return self._not_leader()
        return self.news.reply(watch.known)

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
