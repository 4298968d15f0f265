"""Forwards opaque requests to backend servers over HTTP."""

import asyncio
import functools
import ipaddress
import typing as t

import aiohttp
import attrs
import loguru
import yarl

from bulrushhold import bodies
from bulrushhold import calls
from bulrushhold import errors
from bulrushhold.web import _bodies
from bulrushhold.web import _buffers
from bulrushhold.web import _connections
from bulrushhold.web import _responsesyntax

# Shorter than TCP's first SYN retransmission after 1 s: trying another server
# is faster than waiting for it.
CONNECT_TIMEOUT_S: t.Final = 0.25
# A request sent while the backend server closes the idle connection may be
# lost, so idle connections are closed here first.
KEEPALIVE_TIMEOUT_S: t.Final = 1.0
# Status reports, and replies to orders to copy and to delete.
MAX_REPORT_BYTES: t.Final = 64 << 10
MAX_SEGMENTS_BYTES: t.Final = 4 << 20
_SKIPPED_AUTO_HEADERS: t.Final = (
    'User-Agent',
    'Accept',
    'Accept-Encoding',
    'Content-Type',
)
_HTTP_ERRORS: t.Final = (aiohttp.ClientError, OSError, ValueError)


class _HttpBackendResponse(calls.BackendResponse):
    def __init__(
        self,
        head: calls.ResponseHead,
        response: aiohttp.ClientResponse,
        address: str,
        client: 'HttpBackendClient',
    ) -> None:
        self.head = head
        self.response = response
        self.address = address
        self.client = client

    async def chunk(self) -> bytes:
        try:
            return await self.response.content.readany()
        except _HTTP_ERRORS as error:
            raise self.client.to_error(
                error, 'answer', self.address
            ) from error

    async def body(self) -> bytes:
        try:
            return await _bodies.read_whole(
                self.response, _bodies.MAX_WHOLE_BYTES
            )
        except _HTTP_ERRORS as error:
            raise self.client.to_error(
                error, 'answer', self.address
            ) from error

    async def receive(self) -> bytes | bodies.Body:
        length = self.response.content_length
        if self.response.method == 'HEAD':
            length = 0
        set_bulk = self._set_bulk if self.client.bounded else bool
        return await _bodies.receive(
            self.client.body_budget, self, length, set_bulk
        )

    def _set_bulk(self, bulk: bool) -> None:
        count = _connections.RECEIVE_BYTES
        if bulk:
            count = _connections.BULK_RECEIVE_BYTES
        if self.response.connection is not None:
            _connections.set_receive_bytes(
                self.response.connection.transport, count
            )

    def close(self) -> None:
        self.response.close()


class HttpBackendClient(calls.BackendClient):
    """Forwards calls on pooled connections, or on new ones on demand.

    :param dialect: the protocol of the backend servers.
    :param budget: bounds the bodies in memory; ``None`` to bound only what
        responses hold that are received ahead of their callers.
    :param on_oversized: called when a response exceeds a limit.
    :param on_invalid: called when a response is invalid.
    """

    def __init__(
        self,
        dialect: calls.EngineDialect,
        budget: _buffers.BufferBudget | None = None,
        on_oversized: _connections.OversizedListener = (
            _connections.ignore_oversized
        ),
        on_invalid: _connections.InvalidListener = _connections.ignore_invalid,
    ) -> None:
        self.dialect = dialect
        self.on_oversized = on_oversized
        self.bounded = budget is not None
        self.body_budget = budget or _buffers.make_read_ahead_budget()
        self.pooled = _connections.make_session(
            self.bounded, on_invalid, keepalive_timeout=KEEPALIVE_TIMEOUT_S
        )
        self.unpooled = _connections.make_session(
            self.bounded, on_invalid, force_close=True
        )

    async def send(
        self, call: calls.Call, attempt: calls.Attempt
    ) -> calls.BackendResponse:
        """Send a call; see :meth:`calls.BackendClient.send`."""
        session = self.unpooled if attempt.new_connection else self.pooled
        url = self._url(attempt.address, call.target, 'connect')
        try:
            response = await session.request(
                call.method,
                url,
                headers=self.dialect.request_headers(call, attempt),
                data=call.body or None,
                allow_redirects=False,
                skip_auto_headers=_SKIPPED_AUTO_HEADERS,
                timeout=aiohttp.ClientTimeout(
                    total=None, sock_connect=CONNECT_TIMEOUT_S
                ),
            )
        except (
            aiohttp.ClientConnectorError,
            aiohttp.ConnectionTimeoutError,
        ) as error:
            raise self.to_error(error, 'connect', attempt.address) from error
        except _HTTP_ERRORS as error:
            raise self.to_error(error, 'send', attempt.address) from error
        head = self.dialect.decode_head(
            call, response.status, response.headers
        )
        head = attrs.evolve(head, framed=_bodies.is_framed(response))
        return _HttpBackendResponse(head, response, attempt.address, self)

    async def probe(
        self, address: str, timeout: float, instance: str = ''
    ) -> bool:
        """Probe an engine; see :meth:`calls.BackendClient.probe`."""
        try:
            url = self._url(address, self.dialect.probe_path(), 'probe')
            async with asyncio.timeout(timeout):
                async with self.pooled.get(
                    url,
                    headers=self.dialect.probe_headers(instance),
                    timeout=aiohttp.ClientTimeout(total=None),
                ) as response:
                    await _bodies.read_whole(response, MAX_REPORT_BYTES)
                    found = self.dialect.decode_instance(response.headers)
                    is_other = bool(instance and found and found != instance)
                    return response.status == 200 and not is_other
        except (TimeoutError, errors.BackendError, *_HTTP_ERRORS) as error:
            self._report_oversized(error, address)
            return False

    async def accepts_connections(self, address: str, timeout: float) -> bool:
        """Connect; see :meth:`calls.BackendClient.accepts_connections`."""
        try:
            async with asyncio.timeout(timeout):
                _, writer = await _connect(address)
        except (TimeoutError, OSError, ValueError):
            return False
        writer.close()
        return True

    async def has_ended(
        self, address: str, timeout: float, instance: str = ''
    ) -> bool:
        """Check a process; see :meth:`calls.BackendClient.has_ended`."""
        if not instance:
            return await _refuses_connections(address, timeout)
        try:
            url = self._url(address, self.dialect.probe_path(), 'probe')
            async with asyncio.timeout(timeout):
                async with self.unpooled.get(
                    url, headers=self.dialect.probe_headers(instance)
                ) as response:
                    found = self.dialect.decode_instance(response.headers)
                    return bool(found) and found != instance
        except aiohttp.ClientConnectorError as error:
            return isinstance(error.os_error, ConnectionRefusedError)
        except (TimeoutError, errors.BackendError, *_HTTP_ERRORS) as error:
            self._report_oversized(error, address)
            return False

    async def read_start(
        self, address: str, timeout: float, instance: str = ''
    ) -> int | None:
        """Read a start; see :meth:`calls.BackendClient.read_start`."""
        url = self._url(address, self.dialect.probe_path(), 'probe')
        try:
            async with asyncio.timeout(timeout):
                async with self.pooled.get(
                    url, headers=self.dialect.probe_headers(instance)
                ) as response:
                    body = await _bodies.read_whole(response, MAX_REPORT_BYTES)
                    found = self.dialect.decode_instance(response.headers)
                    status = response.status
        except (TimeoutError, *_HTTP_ERRORS) as error:
            raise self.to_error(error, 'probe', address) from error
        if status != 200 or (instance and found and found != instance):
            raise errors.BackendError(f'status {status}', 'probe', address)
        return self.dialect.decode_start(body)

    async def identify(
        self, address: str, timeout: float, instance: str
    ) -> bool | None:
        """Check a server; see :meth:`calls.BackendClient.identify`."""
        try:
            url = self._url(address, self.dialect.probe_path(), 'probe')
            async with asyncio.timeout(timeout):
                async with self.pooled.get(
                    url, headers=self.dialect.probe_headers(instance)
                ) as response:
                    body = await _bodies.read_whole(response, MAX_REPORT_BYTES)
                    return self.dialect.identifies(
                        response.status, response.headers, body, instance
                    )
        except TimeoutError:
            return None
        except (errors.BackendError, *_HTTP_ERRORS) as error:
            self._report_oversized(error, address)
            return False

    async def cached_segments(
        self, address: str, timeout: float
    ) -> frozenset[str]:
        """List segments; see :meth:`calls.BackendClient.cached_segments`."""
        url = self._url(address, self.dialect.segments_path(), 'segments')
        try:
            async with asyncio.timeout(timeout):
                async with self.pooled.get(url) as response:
                    body = await _bodies.read_whole(
                        response, MAX_SEGMENTS_BYTES
                    )
                    status = response.status
        except (TimeoutError, *_HTTP_ERRORS) as error:
            raise self.to_error(error, 'segments', address) from error
        if status != 200:
            raise errors.BackendError(f'status {status}', 'segments', address)
        return self.dialect.decode_segments(body)

    async def copy_run(
        self, call: calls.Call, source: str, target: str, timeout: float
    ) -> calls.RunCopy:
        """Request a copy; see :meth:`calls.BackendClient.copy_run`."""
        path, body = self.dialect.copy_request(call, target)
        try:
            async with asyncio.timeout(timeout):
                async with self.unpooled.post(
                    self._url(source, path, 'copy'),
                    data=body,
                    headers={'Content-Type': 'application/json'},
                ) as response:
                    response_body = await _bodies.read_whole(
                        response, MAX_REPORT_BYTES
                    )
                    status = response.status
        except (TimeoutError, *_HTTP_ERRORS) as error:
            raise self.to_error(error, 'copy', source) from error
        if status != 200:
            raise errors.BackendError(f'status {status}', 'copy', source)
        return calls.RunCopy(
            source, self.dialect.decode_copy_name(response_body)
        )

    async def drop_copy(self, copy: calls.RunCopy, timeout: float) -> None:
        """Delete a copy; see :meth:`calls.BackendClient.drop_copy`."""
        path = self.dialect.drop_path(copy)
        try:
            url = self._url(copy.address, path, 'drop')
            async with asyncio.timeout(timeout):
                async with self.unpooled.delete(url) as response:
                    await _bodies.read_whole(response, MAX_REPORT_BYTES)
        except (TimeoutError, errors.BackendError, *_HTTP_ERRORS) as error:
            self._report_oversized(error, copy.address)
            # Not retried: the engine expires the copy by itself.
            loguru.logger.bind(peer=copy.address, error=str(error)).debug(
                'failed to delete KV cache copy'
            )

    async def close(self) -> None:
        """Close all connections."""
        await self.pooled.close()
        await self.unpooled.close()

    def _url(self, address: str, path: str, step: str) -> yarl.URL:
        """Return a URL.

        :raises BackendError: if the address can't be part of one.
        """
        try:
            _split_address(address)
            return yarl.URL(f'http://{address}{path}', encoded=True)
        except ValueError as error:
            raise self.to_error(error, step, address) from error

    def _report_oversized(self, error: BaseException, address: str) -> None:
        if isinstance(error, _responsesyntax.ResponseLimitError):
            self.on_oversized(address, error.byte_count, error.reason)

    def to_error(
        self, error: BaseException, step: str, address: str
    ) -> errors.BackendError:
        """Return the error of an operation, reported if it is oversized."""
        self._report_oversized(error, address)
        reason = ' '.join(f'{type(error).__name__}: {error}'.split())
        if isinstance(error, _responsesyntax.ResponseLimitError):
            return errors.OversizedResponseError(reason, step, address)
        if isinstance(error, _responsesyntax.InvalidResponseError):
            return errors.InvalidResponseError(reason, step, address)
        return errors.BackendError(reason, step, address)


@functools.lru_cache(maxsize=4096)
def _split_address(address: str) -> tuple[str, int]:
    """Return the host, an IP address, and the port.

    :raises ValueError: if the address has another form.
    """
    host, _, port = address.rpartition(':')
    if host.startswith('[') and host.endswith(']'):
        host = host[1:-1]
        ipaddress.IPv6Address(host)
    else:
        ipaddress.IPv4Address(host)
    return host, int(port)


async def _connect(
    address: str,
) -> tuple[asyncio.StreamReader, asyncio.StreamWriter]:
    return await asyncio.open_connection(*_split_address(address))


async def _refuses_connections(address: str, timeout: float) -> bool:
    try:
        async with asyncio.timeout(timeout):
            _, writer = await _connect(address)
    except ConnectionRefusedError:
        return True
    except (TimeoutError, OSError, ValueError):
        return False
    writer.close()
    return False
