"""Model engines over HTTP, with tokens as server-sent events."""

import asyncio
import collections.abc as cabc
import typing as t

import aiohttp
import msgspec

from bulrushhold import errors
from bulrushhold import ports

CONNECT_S: t.Final = 1.0
PROBE_S: t.Final = 0.3
RUNNING_HEADER: t.Final = 'X-Running'
LEAVING_HEADER: t.Final = 'X-Leaving'
FINAL_STATUSES: t.Final = frozenset((400, 413, 422))
_DATA: t.Final = b'data: '


_EVENTS = msgspec.json.Decoder(ports.Event)
_ENCODER = msgspec.json.Encoder()
_BROKEN: t.Final = (
    aiohttp.ClientError,
    ConnectionError,
    asyncio.TimeoutError,
)
# No byte of a request can have left.
_UNREACHED: t.Final = (
    aiohttp.ClientConnectorError,
    aiohttp.ConnectionTimeoutError,
)


class HttpEngineClient(ports.EngineClient):
    """Speaks the completions protocol with request and attempt numbers.

    :param session: shared by all adapters of the process.
    """

    def __init__(self, session: aiohttp.ClientSession) -> None:
        self.session = session
        self.timeout = aiohttp.ClientTimeout(
            total=None, sock_connect=CONNECT_S
        )
        self.reports: dict[str, ports.LoadReport] = {}

    async def run(
        self,
        address: str,
        order: ports.Generate,
        take: cabc.Callable[[ports.Event], bool],
    ) -> None:
        """Give the engine's events to ``take`` until it has enough."""
        response = await self._open(address, order)
        read = response.content.readany
        pending = b''
        try:
            while chunk := await read():
                *lines, pending = (pending + chunk).split(b'\n')
                for line in lines:
                    if line.startswith(_DATA) and not take(
                        _EVENTS.decode(line[len(_DATA) :])
                    ):
                        return
        except _BROKEN as error:
            raise errors.EngineLostError(
                str(error) or type(error).__name__, 'stream', address
            ) from error
        except msgspec.DecodeError as error:
            raise errors.EngineLostError(
                f'malformed event: {error}', 'stream', address
            ) from error
        finally:
            # Never back to the pool: what is left of a stream that was
            # given up on would answer the next request.
            response.close()
        raise errors.EngineLostError(
            'the stream ended without its end mark', 'stream', address
        )

    async def cancel(self, address: str, request: str, attempt: int) -> None:
        """Tell the engine to stop an attempt."""
        body = {'request': request, 'attempt': attempt}
        try:
            async with self.session.post(
                f'http://{address}/v1/cancel',
                json=body,
                timeout=aiohttp.ClientTimeout(total=CONNECT_S),
            ):
                pass
        except _BROKEN:
            return

    async def alive(self, address: str) -> bool:
        """Whether anything accepts connections there."""
        try:
            async with asyncio.timeout(PROBE_S):
                _, writer = await asyncio.open_connection(
                    *address.rsplit(':', 1)
                )
        except TimeoutError:
            # Frozen or far, but not known to be dead.
            return True
        except OSError:
            return False
        writer.close()
        return True

    async def _open(
        self, address: str, order: ports.Generate
    ) -> aiohttp.ClientResponse:
        try:
            response = await self.session.post(
                f'http://{address}/v1/chat/completions',
                data=_ENCODER.encode(order),
                headers={'Content-Type': 'application/json'},
                timeout=self.timeout,
            )
        except _UNREACHED as error:
            raise errors.EngineLostError(
                str(error), 'connect', address
            ) from error
        except _BROKEN as error:
            raise errors.EngineLostError(
                str(error) or type(error).__name__, 'dispatch', address
            ) from error
        running = response.headers.get(RUNNING_HEADER, '')
        if running.isdigit():
            self.reports[address] = ports.LoadReport(
                int(running), LEAVING_HEADER in response.headers
            )
        if response.status != 200:
            response.close()
            raise errors.EngineRefusedError(
                f'status {response.status}',
                'dispatch',
                address,
                final=response.status in FINAL_STATUSES,
            )
        return response
