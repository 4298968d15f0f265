"""Lists of the servers that may receive requests, kept between decisions."""

import collections.abc as cabc
import functools
import typing as t

import attrs

from bulrushhold.decisions import _backendserver
from bulrushhold.decisions import _versionrules

_Servers = list[_backendserver.BackendServer]


class UsableServers:
    """The servers of one service that may receive requests of one kind.

    The lists must not be changed.

    :ivar servers: in the order of the platform's list, or by rank.
    """

    def __init__(self, servers: _Servers) -> None:
        self.servers = servers
        self.split_by_data_centre: dict[str, tuple[_Servers, _Servers]] = {}

    @functools.cached_property
    def positions(self) -> dict[str, int]:
        """Indices in the list, by ident."""
        return {
            server.ident: position
            for position, server in enumerate(self.servers)
        }

    def split(self, data_centre: str) -> tuple[_Servers, _Servers]:
        """Return the servers of a data centre, and all others."""
        split = self.split_by_data_centre.get(data_centre)
        if split is None:
            split = (
                [s for s in self.servers if s.data_centre == data_centre],
                [s for s in self.servers if s.data_centre != data_centre],
            )
            self.split_by_data_centre[data_centre] = split
        return split


@attrs.define
class UsableCache:
    """Usable servers by service and version rule.

    A server's membership depends on the list, the servers that are known to
    be gone, and the rule. A new list clears the cache, as does a change of
    the servers that are gone.
    """

    gone: cabc.Set[str] = frozenset()
    known: dict[tuple[str, _versionrules.VersionRule], UsableServers] = (
        attrs.field(factory=dict)
    )

    def clear(self) -> None:
        """Forget all lists; called when the list of servers is replaced."""
        self.known.clear()

    def usable(
        self,
        service: str,
        rule: _versionrules.VersionRule,
        listed: t.Mapping[str, _Servers],
        gone: cabc.Set[str],
    ) -> UsableServers:
        """Return a service's usable servers.

        :param listed: servers by service.
        :param gone: idents of servers that the list doesn't show as leaving.
        """
        if gone != self.gone:
            self.known.clear()
            self.gone = frozenset(gone)
        usable = self.known.get((service, rule))
        if usable is None:
            present = [
                server
                for server in listed.get(service, ())
                if not server.leaving and server.ident not in gone
            ]
            usable = UsableServers(rule.select(present))
            self.known[service, rule] = usable
        return usable
