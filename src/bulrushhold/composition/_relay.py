"""Builds and runs a relay: a control process without a disk."""

import asyncio

import loguru

from bulrushhold.composition import _background
from bulrushhold.composition import _operatorport


class RelayProcess:
    """A relay with all its components.

    :param peer: address for messages from other processes.
    :param data_centre: the data centre whose entries it serves.
    :param contacts: addresses of other control processes; the caller may
        change the list in place.
    :param bootstraps: whether it selects the replica that bootstraps the
        log.
    :param first_start: whether the whole system starts for the first time.
    :param link_mbps: network bandwidth of its instance.
    """

    def __init__(
        self,
        peer: str,
        data_centre: str,
        contacts: list[str],
        *,
        bootstraps: bool,
        first_start: bool = False,
        link_mbps: float = 0.0,
    ) -> None:
        from bulrushhold import control
        from bulrushhold import node

        self.metrics = node.NullMetrics()
        self.peer = peer
        self.contacts = contacts
        self.transport = node.ZmqTransport(peer)
        self.relay = control.Relay(
            self.transport, peer, contacts, bootstraps=bootstraps
        )
        self.fleet = control.FleetRelay(
            self.relay, data_centre, link_mbps, first_start=first_start
        )
        self.leader_client = self.relay.leader_client
        self.loops = _background.LoopSupervisor(self.metrics)

    async def run(self, operators: _operatorport.OperatorPort | None) -> None:
        """Serve entries, and operators if there is a port, until a signal."""
        stop = asyncio.Event()
        _background.handle_stop_signals(stop.set)
        self.loops.start('relay', self.relay.run)
        for name, loop in self.fleet.loops().items():
            self.loops.start(name, loop)
        if operators is not None:
            await operators.start(self.loops, self.metrics)
        loguru.logger.bind(peer=self.peer).info('relay started')
        await stop.wait()
        await self.transport.refuse_requests()
        await self.loops.close()
        if operators is not None:
            await operators.close()
        await self.transport.close()
        loguru.logger.bind(peer=self.peer).info('relay stopped')
