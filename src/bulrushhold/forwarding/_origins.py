"""Records where streams began, and finds it for those that are resumed."""

import abc
import asyncio
import collections.abc as cabc
import time
import typing as t

import attrs

from bulrushhold import decisions
from bulrushhold import errors
from bulrushhold import messages
from bulrushhold import ports

# Longer than a round trip to a busy control process in another region.
LOOKUP_TIMEOUT_S: t.Final = 0.15
# Homes that have just started get their origins within this time. A caller
# that is refused instead may have no retry left.
MAX_SEARCH_S: t.Final = 1.0
SEARCH_INTERVAL_S: t.Final = 0.1


@attrs.frozen
class OriginFinding:
    """Result of a search for the origin of a stream.

    :param origin: ``None`` if it is unknown.
    :param source: ``entry`` (this one), or the address of a home.
    :param age_s: time since the source got to know it.
    :param asked: number of homes that were asked.
    :param answered: number of homes that didn't know it.
    :param conclusive: a later search can't find more.
    :param pending_s: time within which an unknown origin may follow.
    """

    origin: messages.StreamOrigin | None = None
    source: str = ''
    age_s: float = 0.0
    asked: int = 0
    answered: int = 0
    conclusive: bool = True
    pending_s: float = 0.0

    @property
    def version(self) -> str | None:
        """The version that began the stream; ``None`` if it is unknown."""
        if self.origin is None or not self.origin.version_known:
            return None
        return self.origin.version


class OriginSource(abc.ABC):
    """Keeps the origins of streams beyond the entry that forwards them."""

    @abc.abstractmethod
    def record(self, origin: messages.StreamOrigin) -> int:
        """Keep an origin; nothing is waited for.

        :return: number of homes that it was sent to.
        """

    @abc.abstractmethod
    def record_pending(self, origin: messages.PendingOrigin) -> int:
        """Note that an origin may follow; see :meth:`record`."""

    @abc.abstractmethod
    async def find(self, key: bytes) -> OriginFinding:
        """Find the origin of a stream; see :func:`decisions.origin_key`."""


class LocalOrigins(OriginSource):
    """Keeps origins in this process only."""

    def __init__(
        self, clock: cabc.Callable[[], float] = time.monotonic
    ) -> None:
        self.clock = clock
        self.store = decisions.OriginStore()

    def record(self, origin: messages.StreamOrigin) -> int:
        """Keep an origin; see :meth:`OriginSource.record`."""
        self.store.record(origin, self.clock())
        return 0

    def record_pending(self, origin: messages.PendingOrigin) -> int:
        """Note a pending one; see :meth:`OriginSource.record_pending`."""
        self.store.record_pending(origin, self.clock())
        return 0

    async def find(self, key: bytes) -> OriginFinding:
        """Find an origin; see :meth:`OriginSource.find`."""
        reply = self.store.find(key, self.clock())
        source = 'entry' if reply.origin is not None else ''
        return OriginFinding(
            reply.origin, source, reply.age_s, pending_s=reply.pending_s
        )


class ControlOrigins(LocalOrigins):
    """Keeps origins in this process and in the stream's homes.

    :param nodes: returns the control processes.
    """

    def __init__(
        self,
        transport: ports.Transport,
        nodes: cabc.Callable[[], list[messages.ControlNode]],
        clock: cabc.Callable[[], float] = time.monotonic,
    ) -> None:
        super().__init__(clock)
        self.transport = transport
        self.nodes = nodes

    def record(self, origin: messages.StreamOrigin) -> int:
        """Keep an origin; see :meth:`OriginSource.record`."""
        super().record(origin)
        return self._report(origin.key, messages.OriginReport([origin]))

    def record_pending(self, origin: messages.PendingOrigin) -> int:
        """Note a pending one; see :meth:`OriginSource.record_pending`."""
        super().record_pending(origin)
        report = messages.OriginReport(pending=[origin])
        return self._report(origin.key, report)

    def _report(self, key: bytes, report: messages.OriginReport) -> int:
        homes = decisions.origin_homes(key, self.nodes())
        for home in homes:
            self.transport.send(home, report)
        return len(homes)

    async def find(self, key: bytes) -> OriginFinding:
        """Find an origin; the first home that knows the version is enough.

        Asks again for a while if a home was silent or has just started.
        """
        deadline = self.clock() + MAX_SEARCH_S
        while True:
            finding = own = await super().find(key)
            if finding.origin is None:
                finding = await self._ask_homes(key)
                pending_s = max(own.pending_s, finding.pending_s)
                finding = attrs.evolve(finding, pending_s=pending_s)
            found = finding.origin is not None
            if found or finding.conclusive or self.clock() >= deadline:
                return finding
            await asyncio.sleep(SEARCH_INTERVAL_S)

    async def _ask_homes(self, key: bytes) -> OriginFinding:
        homes = decisions.origin_homes(key, self.nodes())
        lookups = [asyncio.ensure_future(self._ask(h, key)) for h in homes]
        answered = settled = 0
        pending_s = 0.0
        unknown_version: OriginFinding | None = None
        try:
            for lookup in asyncio.as_completed(lookups):
                home, reply = await lookup
                if reply is None:
                    continue
                if reply.origin is not None:
                    super().record(reply.origin)
                    finding = OriginFinding(
                        reply.origin, home, reply.age_s, len(homes), answered
                    )
                    if finding.version is not None:
                        return finding
                    unknown_version = finding
                    continue
                answered += 1
                settled += reply.settled
                pending_s = max(pending_s, reply.pending_s)
        finally:
            for task in lookups:
                task.cancel()
        if unknown_version is not None:
            return attrs.evolve(unknown_version, answered=answered)
        return OriginFinding(
            asked=len(homes),
            answered=answered,
            conclusive=bool(homes) and settled == len(homes),
            pending_s=pending_s,
        )

    async def _ask(
        self, home: str, key: bytes
    ) -> tuple[str, messages.OriginReply | None]:
        try:
            reply = await self.transport.request(
                home, messages.OriginRead(key), LOOKUP_TIMEOUT_S
            )
        except errors.PeerError:
            return home, None
        return home, reply

    def update_nodes(self) -> None:
        """Send this entry's origins to control processes that have joined.

        Those that were recorded while it knew of none are sent as well.
        """
        nodes = self.nodes()
        if nodes is self.store.nodes:
            return
        for reports in self.store.update_nodes(nodes, self.clock()):
            for address, origins in reports.items():
                self.transport.send(address, messages.OriginReport(origins))
        for pending in self.store.pending_origins(self.clock()):
            report = messages.OriginReport(pending=[pending])
            self._report(pending.key, report)
