"""Gets places at brittle servers from control processes."""

import abc
import asyncio
import collections.abc as cabc
import itertools
import random
import time
import typing as t

import attrs
import loguru

from bulrushhold import decisions
from bulrushhold import errors
from bulrushhold import messages
from bulrushhold import ports

# Added to the time that a request can wait.
REPLY_MARGIN_S: t.Final = 0.15
# Shorter than the time after which a new home grants places.
REFRESH_INTERVAL_S: t.Final = 0.15
# An unreachable home is not asked again for this time; the cluster view names
# another one by then.
HOME_BACKOFF_S: t.Final = 1.0


@attrs.define
class _Server:
    """What this entry knows of its places at a server.

    :param unused: granted places without a request yet.
    """

    epoch: int
    grants: int = 0
    unused: int = 0


class PlaceSource(abc.ABC):
    """Gets places for requests at brittle servers."""

    @abc.abstractmethod
    async def take(
        self, backend: decisions.BackendServer, max_wait_s: float
    ) -> bool:
        """Return whether a request got a place in time."""

    @abc.abstractmethod
    def use(self, ident: str) -> None:
        """Count a granted place as used: its request is in flight now."""

    @abc.abstractmethod
    def release(self, backend: decisions.BackendServer) -> None:
        """Tell that a request has ended."""


class UnlimitedPlaces(PlaceSource):
    """Grants each place."""

    async def take(
        self, backend: decisions.BackendServer, max_wait_s: float
    ) -> bool:
        """Grant a place."""
        return True

    def use(self, ident: str) -> None:
        """Do nothing."""

    def release(self, backend: decisions.BackendServer) -> None:
        """Do nothing."""


class ControlPlaces(PlaceSource):
    """Asks the control process that is the server's home.

    :param entry: name of this entry.
    :param nodes: returns the control processes.
    """

    def __init__(
        self,
        transport: ports.Transport,
        placement: decisions.Placement,
        entry: str,
        nodes: cabc.Callable[[], list[messages.ControlNode]],
    ) -> None:
        self.transport = transport
        self.placement = placement
        self.entry = entry
        self.nodes = nodes
        # Distinguishes the epochs of this process from those of earlier ones.
        self.epochs = itertools.count(random.getrandbits(48) << 8)
        self.servers: dict[str, _Server] = {}
        self.failed_at: dict[str, float] = {}

    async def take(
        self, backend: decisions.BackendServer, max_wait_s: float
    ) -> bool:
        """Ask for a place; see :meth:`PlaceSource.take`."""
        home = decisions.home_address(backend.ident, self.nodes())
        now = time.monotonic()
        failed_s = now - self.failed_at.get(home, float('-inf'))
        if not home or failed_s < HOME_BACKOFF_S:
            return False
        server = self._server(backend.ident)
        epoch = server.epoch
        ask = messages.PlaceAsk(
            self._report(backend), max(1, backend.slots), max_wait_s
        )
        try:
            grant = await self.transport.request(
                home, ask, max_wait_s + REPLY_MARGIN_S
            )
        except errors.PeerError as error:
            self.failed_at[home] = time.monotonic()
            self._start_epoch(backend.ident)
            loguru.logger.bind(peer=home, error=str(error)).warning(
                'home of places unreachable'
            )
            return False
        except asyncio.CancelledError:
            # The reply, which may grant a place, is lost.
            self._start_epoch(backend.ident)
            self.release(backend)
            raise
        if not grant.granted or epoch != server.epoch:
            return False
        server.grants += 1
        server.unused += 1
        return True

    def use(self, ident: str) -> None:
        """Count a place as used; see :meth:`PlaceSource.use`."""
        server = self.servers.get(ident)
        if server is not None and server.unused:
            server.unused -= 1

    def release(self, backend: decisions.BackendServer) -> None:
        """Report what this entry holds; see :meth:`PlaceSource.release`."""
        if not self.placement.is_brittle(backend):
            return
        home = decisions.home_address(backend.ident, self.nodes())
        if home:
            self.transport.send(home, self._report(backend))

    async def refresh(self) -> None:
        """Repeat the reports of held places forever."""
        while True:
            await asyncio.sleep(REFRESH_INTERVAL_S)
            for backend in list(self.placement.backends.values()):
                if backend.inflight and self.placement.is_brittle(backend):
                    self.release(backend)

    def _report(
        self, backend: decisions.BackendServer
    ) -> messages.PlaceReport:
        server = self._server(backend.ident)
        return messages.PlaceReport(
            backend.ident,
            self.entry,
            server.epoch,
            backend.inflight + server.unused,
            server.grants,
        )

    def _server(self, ident: str) -> _Server:
        if ident not in self.servers:
            self._start_epoch(ident)
        return self.servers[ident]

    def _start_epoch(self, ident: str) -> None:
        self._forget_removed()
        known = self.servers.get(ident)
        unused = known.unused if known is not None else 0
        self.servers[ident] = _Server(next(self.epochs), 0, unused)

    def _forget_removed(self) -> None:
        listed = self.placement.backends
        for ident in [i for i in self.servers if i not in listed]:
            del self.servers[ident]
