"""Sends requests of entries that reach no backend server themselves."""

import collections.abc as cabc
import typing as t

from bulrushhold import calls
from bulrushhold import decisions
from bulrushhold import errors
from bulrushhold.forwarding import _context
from bulrushhold.forwarding import _fleet
from bulrushhold.forwarding import _reachabilitymonitor
from bulrushhold.forwarding import _responses
from bulrushhold import messages


class DirectProxyHandler(calls.PeerProxyHandler):
    """Proxies over this entry's own connections only.

    The other entry remains responsible for the request, its retries and its
    place in all limits. What servers say of this entry is recorded here.

    :param client: checks what servers demand of this entry; never proxies.
    :param is_closing: returns whether this entry is about to end.
    """

    def __init__(
        self,
        client: calls.BackendClient,
        context: _context.ForwardingContext,
        fleet: _fleet.FleetView,
        monitor: _reachabilitymonitor.ReachabilityMonitor,
        is_closing: cabc.Callable[[], bool] = lambda: False,
    ) -> None:
        self.is_closing = is_closing
        self.client = client
        self.context = context
        self.fleet = fleet
        self.monitor = monitor

    async def send(
        self, call: calls.Call, attempt: calls.Attempt
    ) -> calls.BackendResponse:
        """Send an attempt; see :meth:`calls.PeerProxyHandler.send`."""
        if self.is_closing():
            raise errors.ProxyRefusedError(
                'shutting down', 'proxy', attempt.address
            )
        job = self._make_job(call, attempt)
        if self.monitor.is_cut_off(job.service):
            raise errors.ProxyRefusedError('cut off', 'proxy', job.service)
        if self._leaves_to_peers(job.service):
            raise errors.ProxyRefusedError('draining', 'proxy', job.service)
        sent_at = self.context.clock()
        self.context.metrics.count('proxy.served')
        _context.log(job, 'proxying', backend=attempt.instance)
        try:
            response = await self.client.send(call, attempt)
        except errors.BackendError as error:
            if error.step == 'connect' and await self.monitor.check(
                job.service, attempt.address, sent_at
            ):
                raise errors.ProxyRefusedError(
                    'cut off', 'proxy', job.service
                ) from error
            raise
        _responses.record_head(
            self.context, job, attempt.instance, response.head, sent_at
        )
        return response

    def _leaves_to_peers(self, service: str) -> bool:
        """Whether this entry drains, and another one could proxy instead."""
        own_entry = self.fleet.own_entry
        if own_entry.ready:
            return False
        peers = decisions.usable_proxies(
            self.fleet.entries, service, own_entry.name
        )
        return any(peer.ready for peer in peers)

    def _make_job(
        self, call: calls.Call, attempt: calls.Attempt
    ) -> _context.Job:
        index = self.fleet.index
        path = call.target.partition('?')[0]
        route = index.find(call.host, path) if index else None
        backend = self.context.placement.backends.get(attempt.instance)
        # Anything else would make this entry an open proxy.
        if (
            route is None
            or backend is None
            or backend.address != attempt.address
        ):
            raise errors.ProxyRefusedError(
                'server or route not listed here', 'proxy', attempt.address
            )
        deadline = self.context.clock() + attempt.remaining_s
        return _context.Job(
            call, route, backend.service, attempt.account, deadline
        )

    async def answer(self, question: t.Any) -> messages.ProxyAnswer:
        """Answer a question; see :meth:`calls.PeerProxyHandler.answer`."""
        service = self._service_at(question.address)
        if not service or self.monitor.is_cut_off(service):
            raise errors.ProxyRefusedError(
                'cut off, or server not listed here',
                'proxy',
                question.address,
            )
        try:
            return await self._answer(question)
        except errors.BackendError:
            return messages.ProxyAnswer(False)

    async def _answer(self, question: t.Any) -> messages.ProxyAnswer:
        client = self.client
        match question:
            case messages.ProxiedProbe(address, timeout, instance):
                alive = await client.probe(address, timeout, instance)
                return messages.ProxyAnswer(alive)
            case messages.ProxiedConnect(address, timeout):
                accepts = await client.accepts_connections(address, timeout)
                return messages.ProxyAnswer(accepts)
            case messages.ProxiedEndCheck(address, timeout, instance):
                ended = await client.has_ended(address, timeout, instance)
                return messages.ProxyAnswer(ended)
            case messages.ProxiedStartRead(address, timeout, instance):
                started = await client.read_start(address, timeout, instance)
                return messages.ProxyAnswer(True, started_ms=started)
            case messages.ProxiedSegmentsRead(address, timeout):
                segments = await client.cached_segments(address, timeout)
                return messages.ProxyAnswer(True, segments)
            case messages.ProxiedCopy(call, source, target, timeout):
                copy = await client.copy_run(call, source, target, timeout)
                return messages.ProxyAnswer(True, copy=copy)
            case messages.ProxiedCopyDrop(copy, _, timeout):
                await client.drop_copy(copy, timeout)
                return messages.ProxyAnswer(True)
        return messages.ProxyAnswer(False)

    def _service_at(self, address: str) -> str:
        backend = self.context.placement.backend_at(address)
        return backend.service if backend is not None else ''

    def wait_s(self, instance: str) -> float:
        """Return for how long a server wants no requests of this entry."""
        demands = self.context.placement.demands
        return max(0.0, demands.free_at(instance) - self.context.clock())
