"""HTTP client for model engines, with tokens as server-sent events."""

import asyncio
import collections.abc as cabc
import typing as t

import aiohttp
import msgspec

from bulrushhold import errors
from bulrushhold import ports
from bulrushhold.web import _responsesyntax

CONNECT_TIMEOUT_S: t.Final = 1.0
PROBE_TIMEOUT_S: t.Final = 0.3
RUNNING_HEADER: t.Final = 'X-Running'
LEAVING_HEADER: t.Final = 'X-Leaving'
FINAL_STATUSES: t.Final = frozenset((400, 413, 422))
# Of an event without its end.
MAX_EVENT_BYTES: t.Final = 1 << 20
_DATA_PREFIX: t.Final = b'data: '

_EVENT_DECODER = msgspec.json.Decoder(ports.Event)
_REQUEST_ENCODER = msgspec.json.Encoder()
_HTTP_ERRORS: t.Final = (
    aiohttp.ClientError,
    ConnectionError,
    asyncio.TimeoutError,
)
# Errors raised before any byte of the request was sent.
_CONNECT_ERRORS: t.Final = (
    aiohttp.ClientConnectorError,
    aiohttp.ConnectionTimeoutError,
)


class HttpEngineClient(ports.EngineClient):
    """Client of the completions API, with request and attempt ids.

    :param session: shared by all adapters of the process.
    """

    def __init__(self, session: aiohttp.ClientSession) -> None:
        self.session = session
        self.timeout = aiohttp.ClientTimeout(
            total=None, sock_connect=CONNECT_TIMEOUT_S
        )
        self.reports: dict[str, ports.EngineLoadReport] = {}

    async def run(
        self,
        address: str,
        generation: ports.GenerationRequest,
        on_event: cabc.Callable[[ports.Event], bool],
    ) -> None:
        """Pass events to ``on_event`` until it returns ``False``."""
        response = await self._send_request(address, generation)
        read_chunk = response.content.readany
        pending = b''
        try:
            while chunk := await read_chunk():
                *lines, pending = (pending + chunk).split(b'\n')
                if len(pending) > MAX_EVENT_BYTES:
                    raise _responsesyntax.ResponseLimitError(
                        len(pending), 'event'
                    )
                for line in lines:
                    if line.startswith(_DATA_PREFIX) and not on_event(
                        _EVENT_DECODER.decode(line[len(_DATA_PREFIX) :])
                    ):
                        return
        except _HTTP_ERRORS as error:
            raise errors.EngineLostError(
                str(error) or type(error).__name__, 'stream', address
            ) from error
        except msgspec.DecodeError as error:
            raise errors.EngineLostError(
                f'malformed event: {error}', 'stream', address
            ) from error
        finally:
            # Never return the connection to the pool: the rest of an
            # abandoned stream would be read as the next response.
            response.close()
        raise errors.EngineLostError(
            'stream ended without a final event', 'stream', address
        )

    async def cancel(self, address: str, request: str, attempt: int) -> None:
        """Ask the engine to stop an attempt; ignore errors."""
        body = {'request': request, 'attempt': attempt}
        try:
            async with self.session.post(
                f'http://{address}/v1/cancel',
                json=body,
                timeout=aiohttp.ClientTimeout(total=CONNECT_TIMEOUT_S),
            ):
                pass
        except _HTTP_ERRORS:
            return

    async def probe(self, address: str) -> bool:
        """Return whether the address accepts connections."""
        try:
            async with asyncio.timeout(PROBE_TIMEOUT_S):
                _, writer = await asyncio.open_connection(
                    *address.rsplit(':', 1)
                )
        except ConnectionRefusedError:
            return False
        except OSError:
            # Silent or out of reach, but not proven to have ended.
            return True
        writer.close()
        return True

    async def _send_request(
        self, address: str, generation: ports.GenerationRequest
    ) -> aiohttp.ClientResponse:
        try:
            response = await self.session.post(
                f'http://{address}/v1/chat/completions',
                data=_REQUEST_ENCODER.encode(generation),
                headers={'Content-Type': 'application/json'},
                timeout=self.timeout,
            )
        except _CONNECT_ERRORS as error:
            raise errors.EngineLostError(
                str(error), 'connect', address
            ) from error
        except _HTTP_ERRORS as error:
            raise errors.EngineLostError(
                str(error) or type(error).__name__, 'dispatch', address
            ) from error
        running = response.headers.get(RUNNING_HEADER, '')
        if running.isascii() and running.isdigit() and len(running) < 10:
            self.reports[address] = ports.EngineLoadReport(
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
