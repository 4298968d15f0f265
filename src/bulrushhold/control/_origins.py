"""Keeps where streams began, for the entries that resume them."""

import asyncio
import collections
import collections.abc as cabc
import concurrent.futures
import contextlib
import typing as t

import attrs
import loguru

from bulrushhold.control import _clusterview
from bulrushhold import decisions
from bulrushhold import errors
from bulrushhold import messages
from bulrushhold import node
from bulrushhold import ports

# Within this time after its start a process is listed, and is sent its origins
# by others.
SETTLE_TIME_S: t.Final = 2.0
# Origins that arrive within this time are synced together.
WRITE_INTERVAL_S: t.Final = 0.05
WRITE_RETRY_S: t.Final = 1.0
# A process that stops waits no longer for its disk.
STOP_TIMEOUT_S: t.Final = 0.5


class OriginServer:
    """Answers entries, and sends its origins to processes that have joined.

    :param own_address: of this process.
    :param log: keeps the origins over a loss of all processes; ``None``
        without a disk.
    """

    def __init__(
        self,
        transport: ports.Transport,
        view: _clusterview.ClusterView,
        own_address: str,
        clock: cabc.Callable[[], float],
        log: ports.OriginLog | None = None,
    ) -> None:
        self.transport = transport
        self.view = view
        self.own_address = own_address
        self.clock = clock
        self.started_at = clock()
        self.store = decisions.OriginStore()
        self.log = log
        self.unwritten: collections.deque[messages.StreamOrigin] = (
            collections.deque(maxlen=decisions.MAX_ORIGINS)
        )
        self.has_unwritten = asyncio.Event()
        self.write: asyncio.Future[None] | None = None
        if log is not None:
            self.store.load(log.load(), self.started_at)
        transport.handle(messages.OriginReport, self._on_report)
        transport.handle(messages.OriginRead, self._on_read)

    async def run(self) -> None:
        """Follow the list of control processes until cancelled."""
        nodes: list[messages.ControlNode] | None = None
        while True:
            changed: asyncio.Event = self.view.changed
            if self.view.nodes is not nodes:
                nodes = self.view.nodes
                await self._replicate(nodes)
            await changed.wait()

    async def _replicate(self, nodes: list[messages.ControlNode]) -> None:
        sent: collections.Counter[str] = collections.Counter()
        for reports in self.store.update_nodes(
            nodes, self.clock(), self.own_address
        ):
            for address, origins in reports.items():
                sent[address] += len(origins)
                self.transport.send(address, messages.OriginReport(origins))
            # A replica must not miss its heartbeats meanwhile.
            await asyncio.sleep(0)
        for address, count in sent.items():
            node.log_decision('origins sent', peer=address, origins=count)

    async def write_log(self) -> None:
        """Write new origins to the log until cancelled, then the last ones.

        A thread writes, as a slow disk must not delay heartbeats. Nobody
        waits for it: a stream whose origin is lost can't be resumed after a
        loss of all processes.
        """
        assert self.log is not None
        executor = concurrent.futures.ThreadPoolExecutor(1)
        try:
            while True:
                await self.has_unwritten.wait()
                self.has_unwritten.clear()
                try:
                    await self._write(executor, self.log)
                except errors.StorageError as error:
                    loguru.logger.bind(error=str(error)).warning(
                        'origins not written'
                    )
                    self.has_unwritten.set()
                    await asyncio.sleep(WRITE_RETRY_S)
                await asyncio.sleep(WRITE_INTERVAL_S)
        finally:
            await self._write_rest(executor, self.log)
            executor.shutdown(wait=False)

    async def _write(
        self, executor: concurrent.futures.Executor, log: ports.OriginLog
    ) -> None:
        """Write all origins that are unwritten; they stay so on an error.

        :raises StorageError: if they can't be written.
        """
        batch = list(self.unwritten)
        self.unwritten.clear()
        self.write = asyncio.get_running_loop().run_in_executor(
            executor, log.append, batch
        )
        try:
            await asyncio.shield(self.write)
        except errors.StorageError:
            self.unwritten.extendleft(reversed(batch))
            raise

    async def _write_rest(
        self, executor: concurrent.futures.Executor, log: ports.OriginLog
    ) -> None:
        """Wait for a write that has begun, and write what came since."""
        with contextlib.suppress(TimeoutError, errors.StorageError):
            async with asyncio.timeout(STOP_TIMEOUT_S):
                if self.write is not None and not self.write.done():
                    await self.write
                if self.unwritten:
                    await self._write(executor, log)

    async def _on_report(self, report: messages.OriginReport) -> None:
        now = self.clock()
        for origin in report.origins:
            is_changed = self.store.record(origin, now)
            if is_changed and self.log is not None:
                self.unwritten.append(origin)
                self.has_unwritten.set()
        for pending in report.pending:
            self.store.record_pending(pending, now)

    async def _on_read(
        self, read: messages.OriginRead
    ) -> messages.OriginReply:
        now = self.clock()
        return attrs.evolve(
            self.store.find(read.key, now),
            settled=now - self.started_at > SETTLE_TIME_S,
        )
