"""Cluster of control processes in the test's event loop."""

import asyncio
import contextlib
import random

from bulrushhold import control
from bulrushhold import decisions
from bulrushhold import node
from bulrushhold import settings
from bulrushhold import testing

TIMING = decisions.Timing(heartbeat_s=0.03, election_s=0.15)


class ControlCluster:
    """Control processes in the test's event loop, over real sockets."""

    def __init__(self, folder):
        self.folder = folder
        self.running = {}

    def address(self):
        return settings.Address('127.0.0.1', testing.free_ports(1)[0])

    def start(self, name, peer, replicas=None, contacts=(), *, founds=False):
        config = settings.Control(
            name,
            'dc',
            peer,
            str(self.folder / name),
            replicas or {name: peer},
            contacts=list(contacts),
            voters=3,
            founds=founds,
            heartbeat_s=TIMING.heartbeat_s,
            election_s=TIMING.election_s,
        )
        store = node.FileLog(config.data_dir)
        (self.folder / name).mkdir(exist_ok=True)
        if replicas and store.identity() is None:
            control.bootstrap(config, store)
        persisted_state, ident = control.open_replica(config, store)
        replica = decisions.Replica(
            ident,
            persisted_state,
            TIMING,
            random.Random(name),
            node.boot_time(),
        )
        state = decisions.ReplicatedState.restore(replica.log.snapshot.state)
        transport = node.ZmqTransport(str(peer))
        server = control.ControlServer(
            config,
            replica,
            state,
            store,
            transport,
            node.NullMetrics(),
            node.boot_time,
        )
        control.FleetControl(server, 'dc', None)
        task = asyncio.ensure_future(server.run())
        self.running[name] = (server, task)
        return server

    async def stop(self, name):
        server, task = self.running.pop(name)
        task.cancel()
        with contextlib.suppress(asyncio.CancelledError):
            await task
        await server.transport.close()
        server.store.close()

    def leader(self):
        for server, _ in self.running.values():
            if server.replica.lease_holds(node.boot_time()):
                return server
        return None

    async def wait_until(self, condition, seconds=10.0):
        async with asyncio.timeout(seconds):
            while not condition():
                await asyncio.sleep(0.02)

    def voters(self):
        leader = self.leader()
        names = leader.replica.config.voters if leader else ()
        return sorted(ident.partition('.')[0] for ident in names)
