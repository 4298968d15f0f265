"""Versions of a service's engines that may have begun a running stream.

While there is only one, a stream's version is known without any record of
the stream itself, also after the loss of all processes. A route that has led
to other services is recorded as well, under a key of its own: its streams may
have begun there.
"""

import collections.abc as cabc
import typing as t

from bulrushhold import messages
from bulrushhold import routes

# Lists that follow one another more slowly may lack a version that has come
# and gone between them.
MAX_LIST_GAP_S: t.Final = 3.0

# No service has such a name, as it has control characters.
_ROUTE_KEY_START: t.Final = '\0route\0'
_MAP_VERSION_KEY: t.Final = '\0map'

Versions = dict[str, list[str]]


def route_key(route: routes.Route) -> str:
    """Return the key of a route among the services of :data:`Versions`."""
    return f'{_ROUTE_KEY_START}{route.host.lower()}\0{route.prefix}'


def stream_services(route: routes.Route) -> set[str]:
    """Return the services that a route's new streams may begin at."""
    return {target.service for target in route.targets if target.weight > 0}


def moved_routes(
    former: list[routes.Route], new: list[routes.Route]
) -> Versions:
    """Return the services of each route of streams that has led elsewhere.

    :return: the former and the new services, by :func:`route_key`.
    """
    index = routes.PathIndex(former)
    moved = {}
    for route in new:
        former_route = index.find(route.host, route.prefix)
        if route.kind is not routes.Kind.STREAM or former_route is None:
            continue
        services = stream_services(route)
        former_services = stream_services(former_route)
        if former_services != services:
            moved[route_key(route)] = sorted(services | former_services)
    return moved


def with_map_version(recorded: Versions, map_version: int) -> Versions:
    """Return recorded versions with the route map that they belong to."""
    return {**recorded, _MAP_VERSION_KEY: [str(map_version)]}


def recorded_routes(
    recorded: Versions, present: list[routes.Route]
) -> dict[str, set[str]]:
    """Return the present services of the routes that are recorded."""
    if not any(key.startswith(_ROUTE_KEY_START) for key in recorded):
        return {}
    by_key = {route_key(route): route for route in present}
    return {
        key: stream_services(by_key[key])
        for key in recorded.keys() & by_key.keys()
    }


def listed_versions(
    backends: list[messages.ListedBackend],
) -> dict[str, set[str]]:
    """Return the versions of each service's engines."""
    versions: dict[str, set[str]] = {}
    for backend in backends:
        versions.setdefault(backend.service, set()).add(backend.version)
    return versions


class VersionRecorder:
    """Decides which versions the replicated state should hold.

    It belongs to one leader: the next one drops a version later.
    """

    def __init__(self) -> None:
        self.missing_since: dict[tuple[str, str], float] = {}

    def next_versions(
        self,
        recorded: Versions,
        listed: dict[str, set[str]],
        now: float,
        window_s: float,
        routed: cabc.Set[str] | None = None,
    ) -> Versions:
        """Return the versions to be recorded of all services.

        :param recorded: as the replicated state has them.
        :param listed: versions of the engines that are listed now, and
            :func:`recorded_routes`.
        :param window_s: time for which the streams of a version may still be
            resumed after its last engine has left the list.
        :param routed: services that the route map names, if it is known.
            Others are dropped after that time: other systems may list any
            number of them.
        """
        versions = dict(recorded)
        for service in {*recorded, *listed}:
            present = listed.get(service, set())
            former = set(recorded.get(service, ())) - present
            for version in present:
                self.missing_since.pop((service, version), None)
            kept = {
                version
                for version in former
                if now - self.missing_since.setdefault((service, version), now)
                < window_s
            }
            if service.startswith(_ROUTE_KEY_START):
                is_unused = True
            else:
                is_unused = (
                    not present
                    and routed is not None
                    and service not in routed
                )
            if is_unused and not kept:
                del versions[service]
            elif present:
                versions[service] = sorted(present | kept)
        self.missing_since = {
            (service, version): since
            for (service, version), since in self.missing_since.items()
            if version in versions.get(service, ())
        }
        return versions


class KnownVersions:
    """The same as an entry knows it.

    :ivar recorded: from the replicated state.
    :ivar listed: from the newest list of engines.
    :ivar listed_at: when that list was read, or earlier.
    :ivar own_list_at: when a list was last read without control.
    :ivar seen: versions in any list since the last contact with control.
    :ivar complete_at: time up to which no version can have begun streams
        without being recorded or seen here.
    :ivar map_version: of this entry's route map, which may be newer than the
        recorded versions.
    """

    def __init__(self) -> None:
        self.recorded: Versions = {}
        self.listed: dict[str, set[str]] = {}
        self.listed_at = float('-inf')
        self.seen: set[tuple[str, str]] = set()
        self.own_list_at = float('-inf')
        self.complete_at = float('-inf')
        self.map_version = 0

    def update_listed(self, listed: dict[str, set[str]]) -> None:
        """Replace the listed versions of all services."""
        self.listed = listed
        self.seen.update(
            (service, version)
            for service, versions in listed.items()
            for version in versions
        )

    def on_control_reply(self, recorded_at: float) -> None:
        """Note that control has confirmed the recorded versions.

        :param recorded_at: when they were those of the replicated state, or
            earlier.
        """
        self.complete_at = max(self.complete_at, recorded_at)
        if recorded_at >= self.own_list_at:
            self.seen.clear()

    def on_own_list(self, read_at: float) -> None:
        """Note that the list was read without control.

        Lists tell all versions only if they follow one another closely: one
        that was listed in between may have begun streams elsewhere.
        """
        self.listed_at = self.own_list_at = read_at
        if read_at - self.complete_at <= MAX_LIST_GAP_S:
            self.complete_at = read_at

    def on_suspended(self) -> None:
        """Note that lists and news may have been missed for any time."""
        self.complete_at = float('-inf')

    @property
    def known_at(self) -> float:
        """Time up to which all versions that were listed are known here."""
        return min(self.listed_at, self.complete_at)

    def all_versions(self, service: str) -> set[str]:
        """Return the versions that may have begun streams of a service."""
        versions = {*self.recorded.get(service, ())}
        versions.update(self.listed.get(service, ()))
        versions.update(v for name, v in self.seen if name == service)
        return versions

    def only_version(self, service: str, since: float) -> str | None:
        """Return the version that began each stream of a service.

        ``None`` if there may be several.

        :param since: see :meth:`is_current`.
        """
        if not self.is_current(service, since):
            return None
        versions = self.all_versions(service)
        return versions.pop() if len(versions) == 1 else None

    def may_begin_elsewhere(self, route: routes.Route) -> bool:
        """Return whether streams of a route may have begun elsewhere."""
        return route_key(route) in self.recorded

    def is_current(self, service: str, since: float) -> bool:
        """Return whether all versions of a service are known here.

        They aren't right after a start, after a pause of this process, or
        while control is unreachable. However new a list is, another entry may
        have read one that is newer: only what was read later than a stream
        began tells which versions may have begun it.

        :param since: time from which the list must have been read and the
            recorded versions confirmed.
        """
        is_recorded = bool(self.recorded.get(service))
        [map_version] = self.recorded.get(_MAP_VERSION_KEY, [self.map_version])
        if int(map_version) < self.map_version:
            return False
        return is_recorded and self.known_at >= since
