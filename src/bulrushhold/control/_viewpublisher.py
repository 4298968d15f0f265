"""Publishes the cluster view while this process is the leader."""

import asyncio
import collections.abc as cabc
import typing as t

import attrs
import loguru

from bulrushhold.control import _clusterview
from bulrushhold.control import _leaderclient
from bulrushhold.control import _registry
from bulrushhold.control import _rollouts
from bulrushhold.control import _server
from bulrushhold.control import _versions
from bulrushhold import decisions
from bulrushhold import errors
from bulrushhold import messages
from bulrushhold import node
from bulrushhold import ports

# The platform's rate limit is shared by all readers of its list, which itself
# lags by up to 0.8 s.
LIST_INTERVAL_S: t.Final = 0.4
LIST_TIMEOUT_S: t.Final = 1.0
LEADERSHIP_CHECK_INTERVAL_S: t.Final = 0.1
# Covers several long polls of a control process.
NODE_TIMEOUT_S: t.Final = 1.0


class ViewPublisher:
    """Maintains the cluster view and answers other processes' long polls.

    :param local_node: this process.
    :param source: reads the platform's list of backend servers.
    :param local_entries: returns the entries attached to this process.
    :param rollouts: drives the rollouts.
    """

    def __init__(
        self,
        server: _server.ControlServer,
        local_node: messages.ControlNode,
        view: _clusterview.ClusterView,
        source: ports.BackendList,
        local_entries: cabc.Callable[[], list[messages.ListedEntry]],
        rollouts: _rollouts.RolloutManager,
    ) -> None:
        self.server = server
        self.local_node = local_node
        self.view = view
        self.source = source
        self.local_entries = local_entries
        self.rollouts = rollouts
        self.versions = _versions.VersionPublisher(server, view)
        self.registry = _registry.EntryRegistry()
        self.nodes: dict[str, tuple[messages.ControlNode, float]] = {}
        self.backends_revision = 0
        self.leader_client = _leaderclient.LeaderClient(
            server.transport,
            server.replica.leader_address,
            self._handle_locally,
        )
        server.applied_hooks.append(self._update_route_map)
        server.transport.handle(messages.NodeWatch, self._on_node_watch)
        server.transport.handle(messages.RouteMapRead, self._on_route_map_read)

    async def run(self) -> None:
        """Poll the backend list and expire entries while leading."""
        next_list = 0.0
        while True:
            now = self._now()
            if self.is_leader:
                self._update_view(now)
                if now >= next_list:
                    next_list = now + LIST_INTERVAL_S
                    await self._read_list()
            await asyncio.sleep(LEADERSHIP_CHECK_INTERVAL_S)

    @property
    def is_leader(self) -> bool:
        """Whether this process leads and its state is the newest."""
        return self.server.replica.may_read(self._now())

    def serve_view(self) -> bool:
        """Return whether this process leads; its view then has all rollouts.

        After an election the view may lack a rollout that is in the log.
        """
        if not self.is_leader:
            return False
        if self.rollouts.term != self.server.replica.term:
            self.rollouts.update(self._now())
        return True

    def _now(self) -> float:
        return self.server.clock()

    def _update_view(self, now: float) -> None:
        self.registry.begin_term(self.server.replica.term, now)
        self._update_route_map()
        self.registry.refresh_source(
            self.local_node.address, self.local_entries(), now
        )
        expired = self.registry.expire(now)
        if expired:
            node.log_decision('entries expired', entries=expired)
        self._update_entries_and_nodes(now)
        self.rollouts.update(now)
        self.versions.update(now)

    def _update_entries_and_nodes(self, now: float) -> None:
        view = self.view
        view.voter_addresses = sorted(
            self.server.replica.config.voters.values()
        )
        version = self.registry.version(now)
        if version not in ('', view.entries_version):
            listed = decisions.EntryList.of(self.registry.entries())
            view.set_entries(listed, version)
            view.notify()
        self.nodes = {
            address: (control_node, seen_at)
            for address, (control_node, seen_at) in self.nodes.items()
            if now - seen_at <= NODE_TIMEOUT_S
        }
        live = [
            self.local_node,
            *(control_node for control_node, _ in self.nodes.values()),
        ]
        view.update_nodes(sorted(live, key=str))

    def _update_route_map(self) -> None:
        put = self.server.state.route_map
        if put is not None and put.version > self.view.map_version:
            self.view.route_map = put.packed
            self.view.map_version = put.version
            self.view.notify()

    async def _read_list(self) -> None:
        term, started_at = self.server.replica.term, self._now()
        try:
            async with asyncio.timeout(LIST_TIMEOUT_S):
                backends = await self.source.fetch()
        except (TimeoutError, errors.PeerError) as error:
            loguru.logger.bind(error=str(error)).warning(
                'backend list not available'
            )
            return
        if self.server.replica.term != term:
            # The new term's leader may give its versions to other lists.
            return
        view = self.view
        # A slow response may hold the list as it was when it was requested.
        view.backends_read_at = min(
            self._now(), started_at + decisions.LIST_MARGIN_S
        )
        if backends == view.backends and view.backends_version.startswith(
            f'{term}.'
        ):
            return
        self.backends_revision += 1
        view.set_backends(
            decisions.BackendList.of(backends),
            f'{term}.{self.backends_revision}',
        )
        node.log_decision(
            'backend list changed',
            version=view.backends_version,
            backends=len(backends),
            leaving=[b.ident for b in backends if b.leaving],
        )
        view.notify()

    def announce(self) -> None:
        """Update the view after a change of the locally attached entries."""
        if self.is_leader:
            self._update_view(self._now())

    def _update_node(self, watch: messages.NodeWatch) -> None:
        now = self._now()
        self.registry.begin_term(self.server.replica.term, now)
        self.nodes[watch.node.address] = (watch.node, now)
        self.registry.refresh_source(watch.node.address, watch.entries, now)
        self._update_entries_and_nodes(now)

    # Long polls of other control processes

    async def _on_node_watch(
        self, watch: messages.NodeWatch
    ) -> messages.WatchReply:
        if not self.serve_view():
            return self._not_leader()
        self._update_node(watch)
        received_at = self._now()
        await self.view.wait(
            lambda: self.view.is_newer_than(watch.known), watch.hold_s
        )
        # Check the lease again: the process may have been suspended during
        # the long poll and another one elected.
        if not self.serve_view():
            return self._not_leader()
        held_s = round(self._now() - received_at, 3)
        return attrs.evolve(self.view.reply(watch.known), held_s=held_s)

    def _not_leader(self) -> messages.WatchReply:
        replica = self.server.replica
        return messages.WatchReply(
            'not_leader',
            replica.leader_address(),
            core=sorted(replica.config.voters.values()),
        )

    # The operator's route map

    async def _on_route_map_read(
        self, read: messages.RouteMapRead
    ) -> messages.RouteMapReply:
        del read
        if not self.is_leader:
            return messages.RouteMapReply(
                'not_leader', self.server.replica.leader_address()
            )
        put = self.server.state.route_map
        if put is None:
            return messages.RouteMapReply('done')
        return messages.RouteMapReply(
            'done', version=put.version, source=put.source
        )

    async def _handle_locally(self, request: messages.Message) -> t.Any:
        """Answer a request as leader, or return ``None`` if not leading."""
        if self.server.replica.role is not decisions.Role.LEADER:
            return None
        if isinstance(request, messages.Proposal):
            return await self.server.propose(request.command)
        if isinstance(request, messages.RolloutOrder):
            return await self.rollouts.on_order(request)
        if isinstance(request, messages.RolloutRead):
            return await self.rollouts.on_read(request)
        return await self._on_route_map_read(messages.RouteMapRead())
