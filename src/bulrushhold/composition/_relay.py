"""Wires and runs a control process without a disk."""

import asyncio
import typing as t

import loguru

from bulrushhold.composition import _background
from bulrushhold import settings

if t.TYPE_CHECKING:
    from aiohttp import web

CLOSE_S: t.Final = 0.2


class RelayProcess:
    """A relay with its sockets.

    :param peer: its own address among control processes.
    :param contacts: other control processes; may be changed in place.
    """

    def __init__(
        self, peer: str, contacts: list[str], *, appoints: bool
    ) -> None:
        from bulrushhold import control
        from bulrushhold import node

        self.peer = peer
        self.contacts = contacts
        self.transport = node.ZmqTransport(peer)
        self.relay = control.Relay(
            self.transport, peer, contacts, appoints=appoints
        )
        self.calls = self.relay.calls

    async def run(
        self, operators: settings.Address | None, app: 'web.Application'
    ) -> None:
        """Serve operators with ``app`` until told to stop."""
        from aiohttp import web

        stop = asyncio.Event()
        _background.on_signals(stop.set)
        look = _background.in_background(self.relay.run())
        runner = web.AppRunner(app, access_log=None, shutdown_timeout=CLOSE_S)
        await runner.setup()
        if operators is not None:
            site = web.TCPSite(runner, operators.host, operators.port)
            await site.start()
        loguru.logger.bind(peer=self.peer).info('relay started')
        await stop.wait()
        look.cancel()
        await runner.cleanup()
        await self.transport.close()
        loguru.logger.bind(peer=self.peer).info('relay stopped')
