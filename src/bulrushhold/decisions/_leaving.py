"""Backend servers that say in their responses that they shut down."""

import collections.abc as cabc
import typing as t

# By then the platform's list names a server that shuts down, or has dropped
# it; one that is still listed as ready hasn't shut down.
LEAVING_TTL_S: t.Final = 300.0


class LeavingServers:
    """Servers that want no new requests, before the list says so."""

    def __init__(self) -> None:
        self.until: dict[str, float] = {}

    def __contains__(self, ident: str) -> bool:
        return ident in self.until

    def record(self, ident: str, now: float) -> bool:
        """Record a server's statement; return whether it is its first one."""
        is_new = ident not in self.until
        self.until[ident] = now + LEAVING_TTL_S
        return is_new

    def expire(self, now: float) -> None:
        """Forget statements of servers that have not shut down since."""
        for ident in [i for i, until in self.until.items() if until <= now]:
            del self.until[ident]

    def retain(self, idents: cabc.Set[str]) -> None:
        """Forget all servers but these; a restarted one has a new ident."""
        for ident in [i for i in self.until if i not in idents]:
            del self.until[ident]
