"""The route map: routes, services and client accounts.

Operators replace the map as a whole; the highest version is active. Entries
look requests up in a :class:`RouteIndex` built from it.
"""

import bisect
import collections.abc as cabc
import enum
import typing as t

import attrs

from bulrushhold import errors


class Kind(enum.StrEnum):
    """The delivery semantics of a route's requests."""

    IDEMPOTENT = 'idempotent'
    ONCE = 'once'
    STREAM = 'stream'


@attrs.frozen
class Target:
    """A service that receives a weighted share of a route's requests."""

    service: str
    weight: float


@attrs.frozen
class Route:
    """Matches requests of one host below one path prefix.

    :param targets: services with their weights.
    :param timeout_s: maximum duration of a request.
    :param aim_s: latency objective for the response, or for the first event
        of a stream.
    :param gap_s: objective for the longest pause between events of a stream.
    :param priority: 0 is the highest.
    :param max_attempts: limit of attempts that may reach a backend server.
    :param public: whether requests without a key are accepted.
    :param resumable: whether a stream may resume on another backend server.
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
        """Whether a request may be retried after it may have run."""
        return self.kind is Kind.IDEMPOTENT or (
            self.kind is Kind.STREAM and self.resumable
        )


@attrs.frozen
class Service:
    """A group of interchangeable backend servers.

    :param max_connections: limit per backend server, across all entries.
    :param backups: whether engines keep KV cache copies of each other's runs.
    :param slots: concurrent requests per backend server; 0 if unknown.
    :param memory_tokens: KV cache capacity of one engine; 0 for no limit.
    """

    name: str
    max_connections: int = 100
    backups: bool = False
    slots: int = 0
    memory_tokens: int = 0


@attrs.frozen
class ClientAccount:
    """A client account, identified by its keys.

    :param priority: overrides the priority of the route.
    """

    name: str
    keys: list[str]
    priority: int | None = None


@attrs.frozen
class ClientLimits:
    """Limits that operators set for callers; 0 for what isn't set.

    :param head_bytes: of all fields of a request.
    :param body_bytes: of its body.
    :param head_s: time in which a head has to arrive.
    :param idle_s: time for which a connection may be idle.
    """

    head_bytes: int = 0
    body_bytes: int = 0
    head_s: float = 0.0
    idle_s: float = 0.0


@attrs.frozen
class RouteMap:
    """One version of all routes, services and client accounts.

    :param client_limits: what one caller may send, and how long it may take.
    """

    version: int
    routes: list[Route] = attrs.field(factory=list)
    services: list[Service] = attrs.field(factory=list)
    accounts: list[ClientAccount] = attrs.field(factory=list)
    client_limits: ClientLimits = attrs.field(factory=ClientLimits)

    def check(self) -> None:
        """Validate the map.

        :raises RouteMapError: for the first violation found.
        """
        _check_unique('service', (service.name for service in self.services))
        names = {service.name for service in self.services}
        # Names of hosts don't depend on case (RFC 9110, 4.2.3).
        _check_unique(
            'route at', ((r.host.lower(), r.prefix) for r in self.routes)
        )
        for route in self.routes:
            _check_route(route, names)
        _check_unique('key', (key for a in self.accounts for key in a.keys))


def target_services(routes: cabc.Iterable[Route]) -> set[str]:
    """Return the services that any of some routes names."""
    return {target.service for route in routes for target in route.targets}


def _check_route(route: Route, services: set[str]) -> None:
    if not route.prefix.startswith('/') or not route.prefix.endswith('/'):
        raise _invalid(
            route, f'prefix {route.prefix!r} must start and end with a slash'
        )
    if not route.timeout_s > 0:
        raise _invalid(route, 'the timeout must be positive')
    if any(target.weight < 0 for target in route.targets):
        raise _invalid(route, 'a target weight is negative')
    if not sum(target.weight for target in route.targets) > 0:
        raise _invalid(route, 'the target weights add up to 0')
    for target in route.targets:
        if target.service not in services:
            raise _invalid(route, f'unknown service {target.service!r}')


def _invalid(route: Route, reason: str) -> errors.RouteMapError:
    return errors.RouteMapError(reason, 'route map', f'route {route.name!r}')


def _check_unique(kind: str, values: cabc.Iterable[t.Any]) -> None:
    seen = set()
    for value in values:
        if value in seen:
            # Keys are secrets and must not appear in logs and errors.
            shown = '' if kind == 'key' else f' {value}'
            raise errors.RouteMapError(f'duplicate {kind}{shown}', 'route map')
        seen.add(value)


def _priority_key(
    route: Route, account: ClientAccount | None
) -> tuple[int, int]:
    """Return by what a request precedes others; smaller ones go first.

    An account's priority takes precedence over the route's, which decides
    between the requests of accounts that are equal.
    """
    if account is None or account.priority is None:
        return route.priority, route.priority
    return account.priority, route.priority


@attrs.frozen
class _PriorityOrder:
    """The order of the requests of one service.

    Any account may use any route, so that the keys needn't be enumerated:
    each priority of an account occurs with each of a route, and each other
    priority of a route once, with itself.

    :param accounts: distinct priorities of accounts, sorted.
    :param routes: distinct priorities of the service's routes, sorted.
    :param routes_only: those that no account has, sorted.
    """

    accounts: list[int]
    routes: list[int]
    routes_only: list[int]

    def rank(self, key: tuple[int, int]) -> int | None:
        """Return how many keys precede one; ``None`` if it doesn't occur."""
        first, second = key
        position = bisect.bisect_left(self.routes, second)
        if self.routes[position : position + 1] != [second]:
            return None
        smaller = bisect.bisect_left(self.accounts, first)
        preceding = smaller * len(self.routes)
        preceding += bisect.bisect_left(self.routes_only, first)
        if self.accounts[smaller : smaller + 1] == [first]:
            return preceding + position
        return preceding if first == second else None


def _priority_orders(route_map: RouteMap) -> dict[str, _PriorityOrder]:
    """Return the order of requests for each service that has one.

    A service has an order if its routes of streams differ in priority.
    Accounts that differ only sort the requests of such services.
    """
    priorities: dict[str, set[int]] = {}
    of_streams: dict[str, set[int]] = {}
    for route in route_map.routes:
        for target in route.targets:
            if target.weight > 0:
                priorities.setdefault(target.service, set()).add(
                    route.priority
                )
                if route.kind is Kind.STREAM:
                    of_streams.setdefault(target.service, set()).add(
                        route.priority
                    )
    of_accounts = {
        account.priority
        for account in route_map.accounts
        if account.priority is not None
    }
    accounts = sorted(of_accounts)
    return {
        service: _PriorityOrder(
            accounts,
            sorted(priorities[service]),
            sorted(priorities[service] - of_accounts),
        )
        for service, streams in of_streams.items()
        if len(streams) >= 2
    }


@attrs.define
class _PathNode:
    """What is known below one prefix.

    :param children: by the segment that follows.
    """

    route: Route | None = None
    children: dict[str, '_PathNode'] = attrs.field(factory=dict)


class PathIndex:
    """Finds the route of a host and a path, in time linear in the path."""

    def __init__(self, routes: cabc.Iterable[Route]) -> None:
        self.hosts: dict[str, _PathNode] = {}
        for route in routes:
            host = self.hosts.setdefault(route.host.lower(), _PathNode())
            if route.prefix.startswith('/') and route.prefix.endswith('/'):
                self._add(host, route)

    def _add(self, node: _PathNode, route: Route) -> None:
        for segment in route.prefix.split('/')[1:-1]:
            node = node.children.setdefault(segment, _PathNode())
        node.route = route

    def find(self, host: str, path: str) -> Route | None:
        """Return the route with the longest matching prefix.

        :param host: the ``Host`` header, with or without a port.
        :param path: path without the query.
        """
        node = self.hosts.get(host.partition(':')[0].lower())
        if node is None or not path.startswith('/'):
            return None
        found = node.route
        for segment in path.split('/')[1:-1]:
            node = node.children.get(segment)
            if node is None:
                break
            found = node.route or found
        return found


class RouteIndex:
    """Looks up routes and accounts in one version of the route map."""

    def __init__(self, route_map: RouteMap) -> None:
        self.map = route_map
        self.services = {s.name: s for s in route_map.services}
        self.accounts = {
            key: account
            for account in route_map.accounts
            for key in account.keys
        }
        self.needs_keys = bool(route_map.accounts)
        self.paths = PathIndex(route_map.routes)
        self.priority_orders = _priority_orders(route_map)

    def priority(
        self, service: str, route: Route, account: ClientAccount | None
    ) -> int | None:
        """Return the rank of a request among those of its service.

        :return: 0 for the most urgent, ``None`` if admission to the service
            isn't ordered.
        """
        order = self.priority_orders.get(service)
        if order is None:
            return None
        return order.rank(_priority_key(route, account))

    def engine_priority(
        self, service: str, route: Route, account: ClientAccount | None
    ) -> int | None:
        """Return the priority that engines get with a request.

        :return: the account's, or else the route's; ``None`` if admission to
            the service isn't ordered.
        """
        if service not in self.priority_orders:
            return None
        return _priority_key(route, account)[0]

    def find(self, host: str, path: str) -> Route | None:
        """Return the route with the longest matching prefix.

        :param host: the ``Host`` header, with or without a port.
        :param path: path without the query.
        """
        return self.paths.find(host, path)

    def target(self, route: Route, draw: float) -> str:
        """Pick one of the route's services by weight.

        :param draw: random number in [0, 1).
        """
        remaining = draw * sum(target.weight for target in route.targets)
        for target in route.targets:
            remaining -= target.weight
            if remaining < 0:
                return target.service
        return max(route.targets, key=lambda target: target.weight).service
