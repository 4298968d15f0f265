"""Records which versions of engines may have begun running streams."""

import collections.abc as cabc
import typing as t

from bulrushhold.control import _clusterview
from bulrushhold.control import _server
from bulrushhold import decisions
from bulrushhold import messages
from bulrushhold import node
from bulrushhold import routes

# A proposal that isn't committed by then is made again.
PROPOSAL_RETRY_S: t.Final = 1.0
# Covers the age of the lists of entries, which use a version a bit longer.
LIST_MARGIN_S: t.Final = 5.0
# Used without any route of streams.
DEFAULT_TIMEOUT_S: t.Final = 60.0


class VersionPublisher:
    """Maintains the recorded versions while this process is the leader."""

    def __init__(
        self, server: _server.ControlServer, view: _clusterview.ClusterView
    ) -> None:
        self.server = server
        self.view = view
        self.term = 0
        self.recorder = decisions.VersionRecorder()
        self.listed: dict[str, set[str]] = {}
        # Entries got them with a list, and may use them before the record.
        self.unrecorded: set[tuple[str, str]] = set()
        self.listed_version = ''
        self.longest_s = DEFAULT_TIMEOUT_S
        self.window_s = 0.0
        self.window_ends_at = 0.0
        self.map_version = 0
        self.routes: list[routes.Route] = []
        self.proposed_at = float('-inf')

    def update(self, now: float) -> None:
        """Publish the recorded versions, and propose a change of them."""
        state, term = self.server.state, self.server.replica.term
        if term != self.term:
            self.term = term
            self.recorder = decisions.VersionRecorder()
        self.publish()
        self._follow_map(now)
        if self.view.backends is None:
            return
        if self.listed_version != self.view.backends_version:
            self.listed_version = self.view.backends_version
            self.listed = decisions.listed_versions(self.view.backends)
            self.unrecorded.update(_pairs(self.listed))
        recorded = state.service_versions
        self.unrecorded -= _pairs(recorded)
        listed = {
            **self._listed_with_unrecorded(),
            **decisions.recorded_routes(recorded, self.routes),
        }
        versions = self.recorder.next_versions(
            recorded, listed, now, self.window_s, self._routed_services()
        )
        if versions == state.service_versions:
            return
        if now - self.proposed_at >= PROPOSAL_RETRY_S:
            self.proposed_at = now
            node.log_decision('versions recorded', versions=versions)
            command = messages.VersionsRecord(versions, state.map_version)
            self.server.replica.propose(messages.encode(command))
            self.server.wakeup.set()

    def _listed_with_unrecorded(self) -> dict[str, set[str]]:
        """Return the listed versions, and those that left before the record.

        A proposal may take longer than an engine is listed.
        """
        listed = {name: set(found) for name, found in self.listed.items()}
        for service, version in self.unrecorded:
            listed.setdefault(service, set()).add(version)
        return listed

    def _routed_services(self) -> set[str] | None:
        if self.server.state.route_map is None:
            return None
        return routes.target_services(self.routes)

    def publish(self) -> None:
        """Publish the recorded versions, as they are applied."""
        state, term = self.server.state, self.server.replica.term
        versions = decisions.with_map_version(
            state.service_versions, state.map_version
        )
        self.view.update_versions(versions, term)

    def _follow_map(self, now: float) -> None:
        """Update for how long a stream may be resumed.

        Streams that began under longer timeouts may still be running.
        """
        put = self.server.state.route_map
        if put is not None and put.version != self.map_version:
            self.routes = messages.unpack_routes(put.packed)
            self.map_version = put.version
            timeouts = [
                route.timeout_s
                for route in self.routes
                if route.kind is routes.Kind.STREAM
            ]
            self.longest_s = max(timeouts, default=DEFAULT_TIMEOUT_S)
        window_s = self.longest_s + LIST_MARGIN_S
        if window_s >= self.window_s or now >= self.window_ends_at:
            self.window_s = window_s
            self.window_ends_at = now + window_s


def _pairs(
    versions: cabc.Mapping[str, cabc.Iterable[str]],
) -> set[tuple[str, str]]:
    """Return each service with each of its versions."""
    return {(name, version) for name in versions for version in versions[name]}
