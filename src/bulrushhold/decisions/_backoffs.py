"""Times for which backend servers want no requests of this entry."""

import collections.abc as cabc
import typing as t

# A server is left out no longer than this, whatever it demands.
MAX_BACKOFF_S: t.Final = 3600.0


class Backoffs:
    """The demands of backend servers to be left alone for a time."""

    def __init__(self) -> None:
        self.ends_at: dict[str, float] = {}

    def record(self, ident: str, seconds: float, now: float) -> bool:
        """Record a demand; return whether the server had none in force.

        Of two demands the one that ends later is in force.
        """
        is_new = not self.is_active(ident, now)
        ends_at = now + min(seconds, MAX_BACKOFF_S)
        self.ends_at[ident] = max(ends_at, self.until(ident))
        return is_new

    def until(self, ident: str) -> float:
        """Return the end of a server's newest demand, or 0."""
        return self.ends_at.get(ident, 0.0)

    def is_active(self, ident: str, now: float) -> bool:
        """Whether a server wants no requests now."""
        return self.until(ident) > now

    def active(self, now: float) -> set[str]:
        """Return the idents of all servers that want no requests now."""
        return {
            ident for ident, ends_at in self.ends_at.items() if ends_at > now
        }

    def retain(self, idents: cabc.Set[str]) -> None:
        """Forget all servers but these; a restarted one has a new ident."""
        for ident in [i for i in self.ends_at if i not in idents]:
            del self.ends_at[ident]
