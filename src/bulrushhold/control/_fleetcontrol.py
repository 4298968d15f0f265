"""Combines the services that a control process offers to entries."""

import collections.abc as cabc
import random
import typing as t

from bulrushhold.control import _clusterview
from bulrushhold.control import _leaderclient
from bulrushhold.control import _origins
from bulrushhold.control import _permits
from bulrushhold.control import _places
from bulrushhold.control import _relay
from bulrushhold.control import _retries
from bulrushhold.control import _rollouts
from bulrushhold.control import _scheduling
from bulrushhold.control import _server
from bulrushhold.control import _viewfollower
from bulrushhold.control import _viewpublisher
from bulrushhold.control import _watch
from bulrushhold import decisions
from bulrushhold import messages
from bulrushhold import ports

Loops = dict[str, cabc.Callable[[], cabc.Coroutine[t.Any, t.Any, None]]]


class FleetControl:
    """Cluster view and load reports, served by a replica.

    :param data_centre: the data centre of this process.
    :param source: reads the platform's list of backend servers.
    :param link_mbps: network bandwidth of this instance.
    :param exposure: what a bad version may get during a rollout.
    :param origin_log: keeps where streams began over a loss of all processes.
    """

    def __init__(
        self,
        server: _server.ControlServer,
        data_centre: str,
        source: ports.BackendList,
        link_mbps: float = 0.0,
        exposure: decisions.ExposureLimits = decisions.DEFAULT_EXPOSURE,
        origin_log: ports.OriginLog | None = None,
    ) -> None:
        local_node = messages.ControlNode(
            str(server.config.peer),
            data_centre,
            True,
            link_mbps,
            random.getrandbits(32),
        )
        self.view = _clusterview.ClusterView(server.clock)
        rollouts = _rollouts.RolloutManager(
            server, self.view, lambda: self.watch.loads.evidence(), exposure
        )
        self.leader = _viewpublisher.ViewPublisher(
            server,
            local_node,
            self.view,
            source,
            lambda: self.watch.entries(),
            rollouts,
        )
        self.follower = _viewfollower.ViewFollower(
            server.transport,
            local_node,
            self.view,
            server.replica.leader_address,
            lambda: self.watch.entries(),
            server.clock,
        )
        self.watch = _watch.WatchServer(
            server.transport,
            local_node,
            self.view,
            self._has_leader_contact,
            server.replica.leader_address,
            server.clock,
        )
        self.watch.attach_hooks.append(self._announce)
        self.permits = _permits.PermitServer(server.transport, server.clock)
        self.places = _places.PlaceServer(server.transport, server.clock)
        self.retries = _retries.RetryServer(
            server.transport,
            local_node.address,
            self.view,
            self._has_leader_contact,
            server.clock,
            first_start=server.config.founds,
        )
        self.scheduling = _scheduling.SchedulingServer(
            server.transport,
            local_node.address,
            self.view,
            self.watch.loads,
            server.clock,
        )
        self.origins = _origins.OriginServer(
            server.transport,
            self.view,
            local_node.address,
            server.clock,
            origin_log,
        )

    @property
    def leader_client(self) -> _leaderclient.LeaderClient:
        """The client for requests that only the leader answers."""
        return self.leader.leader_client

    def loops(self) -> Loops:
        """Return the loops that serve until they are cancelled, by name."""
        loops = {
            'view publisher': self.leader.run,
            'view follower': self.follower.run,
            'watch server': self.watch.run,
            'origins': self.origins.run,
            'retries': self.retries.run,
            'scheduling': self.scheduling.run,
        }
        if self.origins.log is not None:
            loops['origin log'] = self.origins.write_log
        return loops

    def _has_leader_contact(self) -> bool:
        return self.leader.serve_view() or self.follower.has_leader_contact

    def _announce(self) -> None:
        self.leader.announce()
        self.follower.announce()


class FleetRelay:
    """Cluster view and load reports, served by a relay without a replica.

    :param first_start: whether the whole system starts for the first time.
    """

    def __init__(
        self,
        relay: _relay.Relay,
        data_centre: str,
        link_mbps: float = 0.0,
        *,
        first_start: bool = False,
    ) -> None:
        local_node = messages.ControlNode(
            relay.peer,
            data_centre,
            False,
            link_mbps,
            random.getrandbits(32),
        )
        self.view = _clusterview.ClusterView(relay.clock)
        self.follower = _viewfollower.ViewFollower(
            relay.transport,
            local_node,
            self.view,
            lambda: relay.leader,
            lambda: self.watch.entries(),
            relay.clock,
        )
        self.watch = _watch.WatchServer(
            relay.transport,
            local_node,
            self.view,
            lambda: self.follower.has_leader_contact,
            lambda: relay.leader,
            relay.clock,
        )
        self.watch.attach_hooks.append(self.follower.announce)
        self.permits = _permits.PermitServer(relay.transport, relay.clock)
        self.places = _places.PlaceServer(relay.transport, relay.clock)
        self.retries = _retries.RetryServer(
            relay.transport,
            relay.peer,
            self.view,
            lambda: self.follower.has_leader_contact,
            relay.clock,
            first_start=first_start,
        )
        self.scheduling = _scheduling.SchedulingServer(
            relay.transport,
            relay.peer,
            self.view,
            self.watch.loads,
            relay.clock,
        )
        self.origins = _origins.OriginServer(
            relay.transport, self.view, relay.peer, relay.clock
        )

    def loops(self) -> Loops:
        """Return the loops that serve until they are cancelled, by name."""
        return {
            'view follower': self.follower.run,
            'watch server': self.watch.run,
            'origins': self.origins.run,
            'retries': self.retries.run,
            'scheduling': self.scheduling.run,
        }
