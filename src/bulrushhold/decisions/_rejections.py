"""Which plain servers reject requests at present."""

import collections.abc as cabc
import typing as t

import attrs

from bulrushhold.decisions import _backendserver

# A server may have room again after this time.
REJECTION_TTL_S: t.Final = 0.5
# A server that rejects for less than this, or fewer requests in a row, may
# just be full for a moment.
MIN_REJECTING_S: t.Final = 0.1
MIN_REJECTIONS: t.Final = 3


@attrs.define
class _Rejecting:
    """A server whose last response was a rejection.

    :param since: the first rejection since it ran a request.
    :param last_at: the last rejection.
    :param count: number of rejections in a row.
    """

    since: float
    last_at: float
    count: int = 0


class Rejections:
    """The servers whose last response to this entry was a rejection."""

    def __init__(self) -> None:
        self.rejecting: dict[str, _Rejecting] = {}

    def record(self, ident: str, now: float) -> None:
        """Record that a server rejected a request without running it."""
        server = self.rejecting.get(ident)
        if server is None or now - server.last_at > REJECTION_TTL_S:
            server = self.rejecting[ident] = _Rejecting(now, now)
        server.last_at = now
        server.count += 1

    def record_accepted(self, ident: str) -> None:
        """Record that a server ran a request."""
        self.rejecting.pop(ident, None)

    def retain(self, idents: cabc.Container[str]) -> None:
        """Forget the servers that are no longer listed."""
        for ident in [i for i in self.rejecting if i not in idents]:
            del self.rejecting[ident]

    def all_reject(
        self,
        backends: cabc.Iterable[_backendserver.BackendServer],
        now: float,
    ) -> bool:
        """Return whether all servers that can be reached reject requests."""
        found = False
        for backend in backends:
            if self._rejects(backend.ident, now):
                found = True
            elif backend.ejected_until <= now:
                return False
        return found

    def _rejects(self, ident: str, now: float) -> bool:
        server = self.rejecting.get(ident)
        return (
            server is not None
            and now - server.last_at <= REJECTION_TTL_S
            and now - server.since >= MIN_REJECTING_S
            and server.count >= MIN_REJECTIONS
        )
