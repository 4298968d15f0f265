"""Builds and runs a control process with a replica."""

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
    """Run a control process until a signal stops it.

    :param make_attachment: returns services to run beside the replica, such
        as the operators' HTTP port. The process then survives disk errors.
    :raises StorageError: if the data folder can't be read or written, and
        there is no attachment.
    """
    stop = asyncio.Event()
    _background.handle_stop_signals(stop.set)
    while not stop.is_set():
        try:
            await _serve_control(config, make_attachment, stop)
        except errors.StorageError as error:
            if make_attachment is None:
                raise
            # The disk is full or a sync failed. What the last write left on
            # disk is unknown, so reload the replica from the data folder.
            # Exiting instead would be counted as a crash.
            loguru.logger.bind(error=str(error)).error('storage failed')
            with contextlib.suppress(TimeoutError):
                async with asyncio.timeout(DISK_RETRY_DELAY_S):
                    await stop.wait()


class Attachment(abc.ABC):
    """Additional services that run beside the replica of a process."""

    @abc.abstractmethod
    async def start(self) -> None:
        """Open ports and start background tasks."""

    @abc.abstractmethod
    async def close(self) -> None:
        """Close ports and stop background tasks."""


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
    persisted_state, ident = control.open_replica(config, store)
    replica = decisions.Replica(
        ident,
        persisted_state,
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
            # Raises the server's error. If there is none, the replica has
            # bootstrapped the log, and the caller restarts it with that log.
            server_task.result()
        else:
            await server.finish_proposals()
    finally:
        await transport.refuse_requests()
        server_task.cancel()
        stop_task.cancel()
        await asyncio.gather(server_task, stop_task, return_exceptions=True)
        if attachment is not None:
            await attachment.close()
        await transport.close()
        store.close()
        loguru.logger.bind(replica=ident).info('control stopped')
