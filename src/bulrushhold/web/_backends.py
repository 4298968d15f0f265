"""Sends opaque requests to backend servers over HTTP."""

import asyncio
import typing as t

import aiohttp
import loguru
import yarl

from bulrushhold import calls
from bulrushhold import errors
from bulrushhold.web import _connections

# A path of 3 ms and a handshake of 1 ms leave a wide margin; a lost opening
# packet is sent again only after a second, and another server is closer.
CONNECT_S: t.Final = 0.25
# Backend servers close idle connections after a time of their own; a request
# that crosses that close may be lost. Under load a connection is seldom idle
# for longer than this.
IDLE_S: t.Final = 1.0
_SKIPPED: t.Final = ('User-Agent', 'Accept', 'Accept-Encoding', 'Content-Type')
_LOST: t.Final = (aiohttp.ClientError, OSError, ValueError)


class _HttpAnswer(calls.BackendAnswer):
    def __init__(
        self,
        head: calls.AnswerHead,
        response: aiohttp.ClientResponse,
        address: str,
    ) -> None:
        self.head = head
        self.response = response
        self.address = address

    async def chunk(self) -> bytes:
        try:
            return await self.response.content.readany()
        except _LOST as error:
            raise _lost(error, 'answer', self.address) from error

    async def body(self) -> bytes:
        try:
            return await self.response.read()
        except _LOST as error:
            raise _lost(error, 'answer', self.address) from error

    def close(self) -> None:
        self.response.close()


class HttpBackendClient(calls.BackendClient):
    """One session that keeps connections, and one that doesn't.

    :param dialect: the headers that backend servers understand.
    """

    def __init__(self, dialect: calls.EngineDialect) -> None:
        self.dialect = dialect
        self.kept = _connections.make_session(keepalive_timeout=IDLE_S)
        self.fresh = _connections.make_session(force_close=True)

    async def send(
        self, call: calls.Call, attempt: calls.Attempt
    ) -> calls.BackendAnswer:
        """Send a call; see :meth:`calls.BackendClient.send`."""
        session = self.fresh if attempt.fresh else self.kept
        url = yarl.URL(f'http://{attempt.address}{call.target}', encoded=True)
        try:
            response = await session.request(
                call.method,
                url,
                headers=self.dialect.request_headers(call, attempt),
                data=call.body or None,
                allow_redirects=False,
                skip_auto_headers=_SKIPPED,
                timeout=aiohttp.ClientTimeout(
                    total=None, sock_connect=CONNECT_S
                ),
            )
        except (
            aiohttp.ClientConnectorError,
            aiohttp.ConnectionTimeoutError,
        ) as error:
            raise _lost(error, 'connect', attempt.address) from error
        except _LOST as error:
            raise _lost(error, 'send', attempt.address) from error
        head = self.dialect.read_head(call, response.status, response.headers)
        return _HttpAnswer(head, response, attempt.address)

    async def alive(self, address: str, timeout: float) -> bool:
        """Ask a model engine for its report."""
        url = yarl.URL(f'http://{address}{self.dialect.probe_path()}')
        try:
            async with asyncio.timeout(timeout):
                async with self.kept.get(
                    url, timeout=aiohttp.ClientTimeout(total=None)
                ) as response:
                    await response.read()
                    return response.status == 200
        except (TimeoutError, *_LOST):
            return False

    async def parts_kept(self, address: str, timeout: float) -> frozenset[str]:
        """Ask an engine what it keeps; see :class:`calls.BackendClient`."""
        url = yarl.URL(f'http://{address}{self.dialect.parts_path()}')
        try:
            async with asyncio.timeout(timeout):
                async with self.kept.get(url) as response:
                    body = await response.read()
                    status = response.status
        except (TimeoutError, *_LOST) as error:
            raise _lost(error, 'parts', address) from error
        if status != 200:
            raise errors.BackendError(f'status {status}', 'parts', address)
        return self.dialect.read_parts(body)

    async def copy_run(
        self, call: calls.Call, source: str, target: str, timeout: float
    ) -> calls.RunCopy:
        """Order a copy; see :meth:`calls.BackendClient.copy_run`."""
        path, body = self.dialect.copy_order(call, target)
        try:
            async with asyncio.timeout(timeout):
                async with self.fresh.post(
                    yarl.URL(f'http://{source}{path}', encoded=True),
                    data=body,
                    headers={'Content-Type': 'application/json'},
                ) as response:
                    answer = await response.read()
                    status = response.status
        except (TimeoutError, *_LOST) as error:
            raise _lost(error, 'copy', source) from error
        if status != 200:
            raise errors.BackendError(f'status {status}', 'copy', source)
        return calls.RunCopy(source, self.dialect.read_copy(answer))

    async def drop_copy(self, copy: calls.RunCopy, timeout: float) -> None:
        """Free a copy; see :meth:`calls.BackendClient.drop_copy`."""
        url = f'http://{copy.address}{self.dialect.drop_path(copy)}'
        try:
            async with asyncio.timeout(timeout):
                async with self.fresh.delete(url) as response:
                    await response.read()
        except (TimeoutError, *_LOST) as error:
            # The engine frees it by itself some seconds later.
            loguru.logger.bind(peer=copy.address, error=str(error)).debug(
                'copy not dropped'
            )

    async def close(self) -> None:
        """Close all connections."""
        await self.kept.close()
        await self.fresh.close()


def _lost(
    error: BaseException, step: str, address: str
) -> errors.BackendError:
    reason = ' '.join(f'{type(error).__name__}: {error}'.split())
    return errors.BackendError(reason, step, address)
