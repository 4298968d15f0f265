"""What backend servers demand of an entry in their responses."""

import collections.abc as cabc
import random

from bulrushhold.decisions import _backoffs
from bulrushhold.decisions import _brittleservices
from bulrushhold.decisions import _leaving
from bulrushhold.decisions import _requestlimits


class ServerDemands:
    """Request limits, backoffs and shutdowns of backend servers."""

    def __init__(self) -> None:
        self.limits = _requestlimits.RequestLimits(random.Random())
        self.backoffs = _backoffs.Backoffs()
        self.leaving = _leaving.LeavingServers()
        self.brittle = _brittleservices.BrittleServices()
        self.malformed: set[tuple[str, str]] = set()

    def is_held(self, ident: str, now: float) -> bool:
        """Whether a server allows no request now.

        Its request limit is used up, or it wants none of this entry.
        """
        return self.limits.is_held(ident, now) or self.backoffs.is_active(
            ident, now
        )

    def held(self, now: float) -> set[str]:
        """Return the idents of all servers that allow no request now."""
        return self.limits.held(now) | self.backoffs.active(now)

    def free_at(self, ident: str) -> float:
        """Return when a held server allows a request, as far as known."""
        return max(self.limits.free_at(ident), self.backoffs.until(ident))

    def mark_malformed(self, ident: str, demand: str) -> bool:
        """Return whether it is the server's first malformed demand.

        :param demand: name of the kind of demand.
        """
        is_new = (ident, demand) not in self.malformed
        self.malformed.add((ident, demand))
        return is_new

    def retain(self, idents: cabc.Set[str]) -> None:
        """Forget all servers but these; a restarted one has a new ident."""
        self.limits.retain(idents)
        self.backoffs.retain(idents)
        self.leaving.retain(idents)
        self.malformed = {m for m in self.malformed if m[0] in idents}
