"""Sends no request that is blocked, or that its server doesn't allow."""

import collections.abc as cabc
import time

from bulrushhold import calls
from bulrushhold import decisions
from bulrushhold import errors
from bulrushhold.forwarding import _running


class PermitCheckingClient(calls.BackendClient):
    """Sends a request only if it isn't blocked and its server allows it.

    A block, a limit, a backoff or a shutdown may become known between the
    choice of a server and the sending.
    """

    def __init__(
        self,
        client: calls.BackendClient,
        placement: decisions.Placement,
        poison_requests: decisions.PoisonRequestDetector,
        clock: cabc.Callable[[], float] = time.monotonic,
    ) -> None:
        self.client = client
        self.placement = placement
        self.poison_requests = poison_requests
        self.clock = clock

    async def send(
        self, call: calls.Call, attempt: calls.Attempt
    ) -> calls.BackendResponse:
        """Send a call; see :meth:`calls.BackendClient.send`."""
        ident = attempt.instance
        if self.poison_requests.remaining_block_s(
            attempt.fingerprint, self.clock()
        ):
            raise errors.RequestBlockedError(
                _running.REASON, 'permit', attempt.address
            )
        limited = self.placement.demands.limits.current(ident) is not None
        if limited and not attempt.permitted:
            raise errors.NoPermitError(
                'request limit', 'permit', attempt.address
            )
        backend = self.placement.backends.get(ident)
        if backend is not None and self.placement.is_leaving(backend):
            raise errors.NoPermitError('leaving', 'permit', attempt.address)
        if (
            backend is not None
            and not attempt.permitted
            and self.placement.is_brittle(backend)
        ):
            raise errors.NoPermitError('no place', 'permit', attempt.address)
        if self.placement.demands.backoffs.is_active(ident, self.clock()):
            raise errors.NoPermitError('backoff', 'permit', attempt.address)
        return await self.client.send(call, attempt)

    async def probe(
        self, address: str, timeout: float, instance: str = ''
    ) -> bool:
        """Probe an engine; its limit is one of requests that it runs."""
        return await self.client.probe(address, timeout, instance)

    async def accepts_connections(self, address: str, timeout: float) -> bool:
        """Try to connect, without a request."""
        return await self.client.accepts_connections(address, timeout)

    async def has_ended(
        self, address: str, timeout: float, instance: str = ''
    ) -> bool:
        """Check whether a process has ended, without a request."""
        return await self.client.has_ended(address, timeout, instance)

    async def read_start(
        self, address: str, timeout: float, instance: str = ''
    ) -> int | None:
        """Read when a process started, which takes no slot."""
        return await self.client.read_start(address, timeout, instance)

    async def identify(
        self, address: str, timeout: float, instance: str
    ) -> bool | None:
        """Check what a server is, which takes no slot."""
        return await self.client.identify(address, timeout, instance)

    async def cached_segments(
        self, address: str, timeout: float
    ) -> frozenset[str]:
        """List cached segments, which takes no slot."""
        return await self.client.cached_segments(address, timeout)

    async def copy_run(
        self, call: calls.Call, source: str, target: str, timeout: float
    ) -> calls.RunCopy:
        """Copy a run, which is no new request to either engine."""
        return await self.client.copy_run(call, source, target, timeout)

    async def drop_copy(self, copy: calls.RunCopy, timeout: float) -> None:
        """Drop a copy."""
        await self.client.drop_copy(copy, timeout)

    async def close(self) -> None:
        """Close all connections."""
        await self.client.close()
