"""Reaches backend servers through other entries if there is no other way."""

import collections.abc as cabc
import time
import typing as t

import attrs

from bulrushhold import calls
from bulrushhold import decisions
from bulrushhold import errors
from bulrushhold.forwarding import _reachabilitymonitor
from bulrushhold import messages
from bulrushhold import node
from bulrushhold import ports

# Entries asked for one attempt; more may have lost their servers than the
# list of entries says yet.
MAX_PROXIES: t.Final = 5
# Added to the time limit of a proxied operation for the way to the proxy.
PROXY_MARGIN_S: t.Final = 0.05
# Time for which a server is left out that allows its proxy no request.
MIN_HOLD_S: t.Final = 0.2
_Result = t.TypeVar('_Result')


class ProxyingClient(calls.BackendClient):
    """Sends requests directly, or through an entry that reaches the servers.

    Retries, limits and copies remain decisions of this entry, which sends each
    attempt one way only: directly unless it can open no connection at all.

    :param direct: client with this entry's own connections.
    :param list_entries: returns all entries that are known.
    """

    def __init__(
        self,
        direct: calls.BackendClient,
        proxies: calls.PeerProxyClient,
        monitor: _reachabilitymonitor.ReachabilityMonitor,
        placement: decisions.Placement,
        peers: decisions.ProxyPeers,
        list_entries: cabc.Callable[[], list[messages.ListedEntry]],
        metrics: ports.Metrics,
        clock: cabc.Callable[[], float] = time.monotonic,
    ) -> None:
        self.direct = direct
        self.proxies = proxies
        self.monitor = monitor
        self.placement = placement
        self.peers = peers
        self.list_entries = list_entries
        self.metrics = metrics
        self.clock = clock

    async def send(
        self, call: calls.Call, attempt: calls.Attempt
    ) -> calls.BackendResponse:
        """Send a call; see :meth:`calls.BackendClient.send`."""
        backend = self.placement.backends.get(attempt.instance)
        service = backend.service if backend is not None else ''
        started = self.clock()
        if not self.monitor.is_cut_off(service):
            try:
                response = await self.direct.send(call, attempt)
            except errors.BackendError as error:
                if error.step != 'connect' or not await self.monitor.check(
                    service, attempt.address, started
                ):
                    raise
            else:
                if attempt.new_connection:
                    self.monitor.record_reached(service)
                return response
        remaining_s = attempt.remaining_s - (self.clock() - started)
        attempt = attrs.evolve(attempt, remaining_s=remaining_s)
        return await self._proxy(
            service,
            attempt.address,
            lambda proxy: self._send_through(proxy, call, attempt),
        )

    async def _send_through(
        self, proxy: str, call: calls.Call, attempt: calls.Attempt
    ) -> calls.BackendResponse:
        node.log_decision(
            'attempt proxied',
            request=call.ident,
            backend=attempt.instance,
            proxy=proxy,
        )
        self.metrics.count('proxy.attempts')
        try:
            return await self.proxies.send(proxy, call, attempt)
        except errors.NoPermitError as error:
            # The server's demand on the proxy holds for what it proxies too.
            self.placement.demands.backoffs.record(
                attempt.instance,
                max(error.wait_s, MIN_HOLD_S),
                self.clock(),
            )
            raise

    async def _proxy(
        self,
        service: str,
        server: str,
        send: cabc.Callable[[str], cabc.Awaitable[_Result]],
    ) -> _Result:
        """Ask one entry after the other until one doesn't refuse.

        :raises CutOffError: if there is none.
        """
        ranking = self.peers.order(
            self.list_entries(), service, server, self.clock()
        )
        reason = 'no other entry reaches backend servers'
        for proxy in ranking[:MAX_PROXIES]:
            try:
                return await send(proxy)
            except errors.ProxyRefusedError as error:
                reason = str(error)
                self.peers.avoid(proxy, self.clock())
                self.metrics.count('proxy.refused')
                node.log_decision(
                    'proxy refused', proxy=proxy, backend=server, reason=reason
                )
        raise errors.CutOffError(reason, 'connect', server)

    def _service_at(self, address: str) -> str:
        backend = self.placement.backend_at(address)
        return backend.service if backend is not None else ''

    async def probe(
        self, address: str, timeout: float, instance: str = ''
    ) -> bool:
        """Probe an engine; see :meth:`calls.BackendClient.probe`."""

        async def probe_directly() -> bool:
            return await self.direct.probe(address, timeout, instance)

        question = messages.ProxiedProbe(address, timeout, instance)
        return await self._test(probe_directly, address, question)

    async def accepts_connections(self, address: str, timeout: float) -> bool:
        """Connect; see :meth:`calls.BackendClient.accepts_connections`."""

        async def connect() -> bool:
            return await self.direct.accepts_connections(address, timeout)

        question = messages.ProxiedConnect(address, timeout)
        return await self._test(connect, address, question)

    async def has_ended(
        self, address: str, timeout: float, instance: str = ''
    ) -> bool:
        """Check a process; see :meth:`calls.BackendClient.has_ended`.

        A network that cuts this entry off may refuse connections, too.
        """
        service = self._service_at(address)
        if not self.monitor.is_cut_off(service):
            started = self.clock()
            if not await self.direct.has_ended(address, timeout, instance):
                return False
            if not await self.monitor.check(service, address, started):
                return True
        question = messages.ProxiedEndCheck(address, timeout, instance)
        try:
            answer = await self._ask(address, question, timeout)
        except errors.BackendError:
            return False
        return answer.success

    async def _test(
        self,
        test_directly: cabc.Callable[[], cabc.Awaitable[bool]],
        address: str,
        question: messages.ProxiedProbe | messages.ProxiedConnect,
    ) -> bool:
        service = self._service_at(address)
        if not self.monitor.is_cut_off(service):
            started = self.clock()
            if await test_directly():
                return True
            if not await self.monitor.check(service, address, started):
                return False
        try:
            answer = await self._ask(address, question, question.timeout)
        except errors.BackendError:
            return False
        return answer.success

    async def _ask(
        self, server: str, question: t.Any, timeout: float
    ) -> messages.ProxyAnswer:
        async def ask(proxy: str) -> messages.ProxyAnswer:
            answer: messages.ProxyAnswer = await self.proxies.ask(
                proxy, question, timeout + PROXY_MARGIN_S
            )
            return answer

        return await self._proxy(self._service_at(server), server, ask)

    async def read_start(
        self, address: str, timeout: float, instance: str = ''
    ) -> int | None:
        """Read a start; see :meth:`calls.BackendClient.read_start`."""
        if not self.monitor.is_cut_off(self._service_at(address)):
            return await self.direct.read_start(address, timeout, instance)
        question = messages.ProxiedStartRead(address, timeout, instance)
        answer = await self._ask(address, question, timeout)
        if not answer.success:
            raise errors.BackendError('no response', 'probe', address)
        return answer.started_ms

    async def identify(
        self, address: str, timeout: float, instance: str
    ) -> bool | None:
        """Check a server; see :meth:`calls.BackendClient.identify`.

        A service that is cut off is checked once it can be reached.
        """
        if self.monitor.is_cut_off(self._service_at(address)):
            return None
        return await self.direct.identify(address, timeout, instance)

    async def cached_segments(
        self, address: str, timeout: float
    ) -> frozenset[str]:
        """List segments; see :meth:`calls.BackendClient.cached_segments`."""
        if not self.monitor.is_cut_off(self._service_at(address)):
            return await self.direct.cached_segments(address, timeout)
        question = messages.ProxiedSegmentsRead(address, timeout)
        answer = await self._ask(address, question, timeout)
        if not answer.success:
            raise errors.BackendError('no response', 'segments', address)
        return answer.segments

    async def copy_run(
        self, call: calls.Call, source: str, target: str, timeout: float
    ) -> calls.RunCopy:
        """Request a copy; see :meth:`calls.BackendClient.copy_run`."""
        if not self.monitor.is_cut_off(self._service_at(source)):
            return await self.direct.copy_run(call, source, target, timeout)
        question = messages.ProxiedCopy(call, source, target, timeout)
        answer = await self._ask(source, question, timeout)
        if answer.copy is None:
            raise errors.BackendError('no copy', 'copy', source)
        return answer.copy

    async def drop_copy(self, copy: calls.RunCopy, timeout: float) -> None:
        """Delete a copy; see :meth:`calls.BackendClient.drop_copy`."""
        if not self.monitor.is_cut_off(self._service_at(copy.address)):
            await self.direct.drop_copy(copy, timeout)
            return
        question = messages.ProxiedCopyDrop(copy, copy.address, timeout)
        try:
            await self._ask(copy.address, question, timeout)
        except errors.CutOffError as error:
            # Not retried: the engine expires the copy by itself.
            node.log_decision('copy not dropped', reason=str(error))

    async def close(self) -> None:
        """Close all connections."""
        await self.direct.close()
        await self.proxies.close()
