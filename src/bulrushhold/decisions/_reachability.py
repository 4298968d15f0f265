"""Tells servers that are down from a network that reaches none of them.

An entry whose links to all servers of a service fail sees the same as one
whose servers have all crashed. Only a connection through another entry tells
the two apart, so that an entry needn't be sure: once it reaches none of a few
servers, it uses other entries' connections until it reaches one again.
"""

import collections.abc as cabc
import random
import typing as t

import attrs

from bulrushhold.decisions import _backendserver

# Servers that are asked before a service counts as cut off.
SAMPLE_SIZE: t.Final = 3


@attrs.define
class _CutOff:
    """A service whose servers can't be reached from here.

    :param since: when it was noticed.
    """

    since: float


class Reachability:
    """The services to which this entry can't open connections."""

    def __init__(self, rng: random.Random) -> None:
        self.rng = rng
        self.cut_off: dict[str, _CutOff] = {}
        self.reached_at: dict[str, float] = {}

    def is_cut_off(self, service: str) -> bool:
        """Whether no server of a service can be reached from here."""
        return service in self.cut_off

    def was_reached(self, service: str, since: float) -> bool:
        """Whether a connection to the service was opened since a time."""
        return self.reached_at.get(service, float('-inf')) >= since

    def record_reached(self, service: str, now: float) -> float | None:
        """Record a new connection; return how long there was none, if any."""
        self.reached_at[service] = now
        cut_off = self.cut_off.pop(service, None)
        return None if cut_off is None else now - cut_off.since

    def record_unreachable(self, service: str, now: float) -> bool:
        """Record that no sampled server was reached; return if it is new."""
        self.reached_at.pop(service, None)
        if service in self.cut_off:
            return False
        self.cut_off[service] = _CutOff(now)
        return True

    def retain(self, services: cabc.Container[str]) -> None:
        """Forget services without any servers."""
        for service in [s for s in self.cut_off if s not in services]:
            del self.cut_off[service]

    def sample(
        self,
        servers: cabc.Iterable[_backendserver.BackendServer],
        excluded: str = '',
    ) -> list[str]:
        """Return addresses to try, in as many data centres as possible.

        :param excluded: address that was just tried.
        """
        candidates = [s for s in servers if s.address != excluded]
        self.rng.shuffle(candidates)
        seen: set[str] = set()
        first, others = [], []
        for server in candidates:
            (others if server.data_centre in seen else first).append(server)
            seen.add(server.data_centre)
        return [s.address for s in (first + others)[:SAMPLE_SIZE]]
