"""Plain services over HTTP."""

import asyncio
import typing as t

import aiohttp

from bulrushhold import errors
from bulrushhold import ports

CONNECT_TIMEOUT_S: t.Final = 1.0
MAX_RESPONSE_BYTES: t.Final = 4 << 20
REQUEST_HEADER: t.Final = 'X-Request-Id'


class HttpServiceClient(ports.ServiceClient):
    """Calls a service once, and checks which call its answer is for."""

    def __init__(self, session: aiohttp.ClientSession) -> None:
        self.session = session

    async def call(
        self, address: str, call: ports.ServiceCall
    ) -> ports.ServiceAnswer:
        """Make one call and return its answer."""
        url = f'http://{address}{call.path}'
        if call.query:
            url = f'{url}?{call.query}'
        try:
            # A new connection each: on a pooled one that the service has
            # just closed, it can't be told whether the call had left.
            async with self.session.request(
                call.method,
                url,
                data=call.body or None,
                headers={
                    REQUEST_HEADER: call.request,
                    'Content-Type': call.content_type,
                    'Connection': 'close',
                },
                timeout=aiohttp.ClientTimeout(
                    total=call.timeout_s, sock_connect=CONNECT_TIMEOUT_S
                ),
                allow_redirects=False,
            ) as response:
                return await _read_response(response, call, address)
        except aiohttp.ClientConnectorError as error:
            raise errors.BackendError(
                str(error), 'connect', address
            ) from error
        except aiohttp.ConnectionTimeoutError as error:
            raise errors.BackendError(
                'no connection in time', 'connect', address
            ) from error
        except (
            aiohttp.ClientError,
            ConnectionError,
            asyncio.TimeoutError,
        ) as error:
            raise errors.BackendError(
                str(error) or type(error).__name__, 'call', address
            ) from error


async def _read_response(
    response: aiohttp.ClientResponse, call: ports.ServiceCall, address: str
) -> ports.ServiceAnswer:
    response_id = response.headers.get(REQUEST_HEADER, '')
    if response_id != call.request:
        response.close()
        raise errors.BackendError(
            f'the answer is for request {response_id!r}', 'call', address
        )
    body = await response.content.read(MAX_RESPONSE_BYTES + 1)
    while len(body) <= MAX_RESPONSE_BYTES and not response.content.at_eof():
        body += await response.content.read(MAX_RESPONSE_BYTES + 1 - len(body))
    if len(body) > MAX_RESPONSE_BYTES:
        response.close()
        raise errors.BackendError('the answer is too large', 'call', address)
    return ports.ServiceAnswer(
        response.status,
        body,
        response.headers.get('Content-Type', 'application/octet-stream'),
    )
