"""Wires and runs a control process."""

import abc
import asyncio
import contextlib
import random
import typing as t

import loguru

from bulrushhold.composition import _background
from bulrushhold import errors
from bulrushhold import settings

if t.TYPE_CHECKING:
    from bulrushhold import control

DISK_RETRY_DELAY_S: t.Final = 0.5


async def run_control(
    config: settings.Control,
    make_attachment: t.Callable[['control.ControlServer'], 'Attachment']
    | None = None,
) -> None:
    """Run a control process until it is told to stop.

    :param attach: adds what serves beside the replica, such as the
        operators' port.
    :raises StorageError: where its data folder can't be trusted.
    """
    stop = asyncio.Event()
    _background.handle_stop_signals(stop.set)
    while not stop.is_set():
        try:
            await _serve_control(config, make_attachment, stop)
        except errors.StorageError as error:
            if make_attachment is None:
                raise
            # The disk is full or refuses to sync. What was written isn't
            # sure to be there, so that the replica begins anew from what
            # the disk gives back; leaving the process would do the same,
            # but count as a crash of its own.
            loguru.logger.bind(error=str(error)).error('disk failed')
            with contextlib.suppress(TimeoutError):
                async with asyncio.timeout(DISK_RETRY_DELAY_S):
                    await stop.wait()


class Attachment(abc.ABC):
    """What runs beside the replica in a control process."""

    @abc.abstractmethod
    async def start(self) -> None:
        """Open ports and begin background work."""

    @abc.abstractmethod
    async def close(self) -> None:
        """Close ports and end background work."""


async def _serve_control(
    config: settings.Control,
    make_attachment: t.Callable[['control.ControlServer'], 'Attachment']
    | None,
    stop: asyncio.Event,
) -> None:
    from bulrushhold import control
    from bulrushhold import decisions
    from bulrushhold import node

    store = node.FileLog(config.data_dir)
    durable, ident = control.open_replica(config, store)
    replica = decisions.Replica(
        ident,
        durable,
        decisions.Timing(config.heartbeat_s, config.election_s),
        random.Random(),
        node.boot_time(),
    )
    state = decisions.ReplicatedState.restore(replica.log.snapshot.state)
    transport = node.ZmqTransport(str(config.peer))
    metrics = node.make_metrics(config.metrics, 'bulrushhold.control')
    server = control.ControlServer(
        config,
        replica,
        state,
        store,
        transport,
        metrics,
        node.boot_time,
    )
    attachment = make_attachment(server) if make_attachment else None
    if attachment is not None:
        await attachment.start()
    server_task = asyncio.ensure_future(server.run())
    stop_task = asyncio.ensure_future(stop.wait())
    loguru.logger.bind(replica=ident).info('control started')
    try:
        await asyncio.wait(
            (server_task, stop_task), return_when=asyncio.FIRST_COMPLETED
        )
        if server_task.done():
            # With no error it has founded the log, and begins anew with it.
            server_task.result()
    finally:
        server_task.cancel()
        stop_task.cancel()
        await asyncio.gather(server_task, stop_task, return_exceptions=True)
        if attachment is not None:
            await attachment.close()
        await transport.close()
        store.close()
        loguru.logger.bind(replica=ident).info('control stopped')
