"""The route map: where requests go, and who may send them.

Operators replace it whole; the highest version is in force. Entries look
requests up in a :class:`RouteIndex` made from it.
"""

import collections.abc as cabc
import enum
import typing as t

import attrs

from bulrushhold import errors


class Kind(enum.StrEnum):
    """What may be done again with a request of a route."""

    IDEMPOTENT = 'idempotent'
    ONCE = 'once'
    STREAM = 'stream'


@attrs.frozen
class Target:
    """A service that gets a part of a route's requests."""

    service: str
    weight: float


@attrs.frozen
class Route:
    """Requests of one host below one path prefix.

    :param targets: services, by weight; one of them in most routes.
    :param timeout_s: longest time that a caller is kept waiting.
    :param aim_s: time within which an answer is wanted; of a stream, its
        first event.
    :param gap_s: longest pause wanted between events of a stream.
    :param priority: 0 goes first.
    :param max_attempts: backend servers that one request may reach.
    :param public: needs no key.
    :param resumable: a stream may go on at another backend server.
    """

    name: str
    host: str
    prefix: str
    kind: Kind
    targets: list[Target]
    timeout_s: float
    aim_s: float
    priority: int = 5
    max_attempts: int = 1
    public: bool = False
    resumable: bool = False
    gap_s: float = 0.0

    @property
    def repeatable(self) -> bool:
        """Whether a request that may have run may be sent again."""
        return self.kind is Kind.IDEMPOTENT or (
            self.kind is Kind.STREAM and self.resumable
        )


@attrs.frozen
class Service:
    """Backend servers that do the same work.

    :param max_connections: that one backend server takes, of all entries.
    :param backups: model engines that keep copies of runs of others.
    :param slots: requests that one of them works on at once; 0: unknown.
    :param memory_tokens: of one model engine; 0: none.
    """

    name: str
    max_connections: int = 100
    backups: bool = False
    slots: int = 0
    memory_tokens: int = 0


@attrs.frozen
class ClientAccount:
    """A caller known by its keys.

    :param priority: goes before the route's, where set.
    """

    name: str
    keys: list[str]
    priority: int | None = None


@attrs.frozen
class RouteMap:
    """All routes, services and client accounts of one version.

    :param idle_s: how long a caller may keep an idle connection.
    """

    version: int
    routes: list[Route] = attrs.field(factory=list)
    services: list[Service] = attrs.field(factory=list)
    accounts: list[ClientAccount] = attrs.field(factory=list)
    idle_s: float = 60.0
    max_body_bytes: int = 4 << 20

    def check(self) -> None:
        """Refuse a map that couldn't be obeyed.

        :raises RouteMapError: with the first thing that is wrong.
        """
        _unique('service', (service.name for service in self.services))
        names = {service.name for service in self.services}
        _unique('route at', ((r.host, r.prefix) for r in self.routes))
        for route in self.routes:
            _check_route(route, names)
        _unique('key', (key for a in self.accounts for key in a.keys))


def _check_route(route: Route, services: set[str]) -> None:
    if not route.prefix.startswith('/') or not route.prefix.endswith('/'):
        raise _wrong(route, f'prefix {route.prefix!r} lacks a slash')
    if not route.timeout_s > 0:
        raise _wrong(route, 'the timeout is 0')
    if any(target.weight < 0 for target in route.targets):
        raise _wrong(route, 'a weight is negative')
    if not sum(target.weight for target in route.targets) > 0:
        raise _wrong(route, 'the weights add up to 0')
    for target in route.targets:
        if target.service not in services:
            raise _wrong(route, f'unknown service {target.service!r}')


def _wrong(route: Route, reason: str) -> errors.RouteMapError:
    return errors.RouteMapError(reason, 'route map', f'route {route.name!r}')


def _unique(what: str, values: cabc.Iterable[t.Any]) -> None:
    seen = set()
    for value in values:
        if value in seen:
            # A key may stand here; its text stays out of logs and errors.
            shown = '' if what == 'key' else f' {value}'
            raise errors.RouteMapError(
                f'the same {what}{shown} stands twice', 'route map'
            )
        seen.add(value)


class RouteIndex:
    """Looks requests up in one version of the route map."""

    def __init__(self, route_map: RouteMap) -> None:
        self.map = route_map
        self.services = {s.name: s for s in route_map.services}
        self.accounts = {
            key: account
            for account in route_map.accounts
            for key in account.keys
        }
        self.needs_keys = bool(route_map.accounts)
        self.hosts: dict[str, dict[str, Route]] = {}
        for route in route_map.routes:
            host = self.hosts.setdefault(route.host.lower(), {})
            host[route.prefix] = route

    def find(self, host: str, path: str) -> Route | None:
        """Return the route with the longest prefix of ``path``.

        :param host: as the caller sent it, with or without a port.
        :param path: without the query.
        """
        prefixes = self.hosts.get(host.partition(':')[0].lower())
        if prefixes is None:
            return None
        end = path.rfind('/')
        while end >= 0:
            route = prefixes.get(path[: end + 1])
            if route is not None:
                return route
            end = path.rfind('/', 0, end) if end else -1
        return None

    def target(self, route: Route, draw: float) -> str:
        """Return one of the route's services by weight.

        :param draw: from 0 up to, but not including, 1.
        """
        left = draw * sum(target.weight for target in route.targets)
        for target in route.targets:
            left -= target.weight
            if left < 0:
                return target.service
        return max(route.targets, key=lambda target: target.weight).service
