"""Serves callers by one backend server, in a process of its own."""

import asyncio
import sys

from bulrushhold import calls
from bulrushhold import node
from bulrushhold import web
from tests import test_backend_connections


class CallerDialect(calls.CallerDialect):
    def decode_call(self, method, target, headers, body):
        return calls.Call('r', method, target, 'h', '', (), body, 60.0)

    def echo(self, ident):
        return ()


async def serve(backend, memory_mb, budget_mb=0):
    """Serve until the process is killed.

    :param backend: address of the backend server.
    :param memory_mb: limit of memory; 0 for none.
    :param budget_mb: a fixed budget instead of one that follows the memory.
    """
    budget = None
    if memory_mb or budget_mb:
        budget = web.BufferBudget(budget_mb << 20, node.NullMetrics())
        monitor = web.MemoryMonitor(budget, memory_mb << 20)
        watching = asyncio.ensure_future(monitor.watch())
        assert watching
    client = web.HttpBackendClient(
        test_backend_connections.StubDialect(), budget
    )

    async def handle(call, stream):
        attempt = calls.Attempt(backend, 'i', '', 60.0)
        response = await client.send(call, attempt)
        if call.target.startswith('/stream'):
            await stream.send_headers(200, (), response.head.framed)
            while chunk := await response.chunk():
                await stream.write(chunk)
            await stream.end()
            return None
        body = await response.receive()
        head = response.head
        return calls.Reply(head.status, (), body, head.framed)

    ingress = web.Ingress(handle, CallerDialect(), budget)
    await ingress.start('127.0.0.1', 0)
    print(ingress.runner.addresses[0][1], flush=True)
    await asyncio.Event().wait()


if __name__ == '__main__':
    asyncio.run(serve(sys.argv[1], *map(int, sys.argv[2:])))
