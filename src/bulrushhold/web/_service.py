"""HTTP client for plain services."""

import asyncio
import typing as t

import aiohttp

from bulrushhold import errors
from bulrushhold import ports

CONNECT_TIMEOUT_S: t.Final = 1.0
MAX_RESPONSE_BYTES: t.Final = 4 << 20
REQUEST_HEADER: t.Final = 'X-Request-Id'


class HttpServiceClient(ports.ServiceClient):
    """Sends each request once and verifies the id in its response."""

    def __init__(self, session: aiohttp.ClientSession) -> None:
        self.session = session

    async def call(
        self, address: str, call: ports.ServiceRequest
    ) -> ports.ServiceResponse:
        """Send one request and return its response."""
        url = f'http://{address}{call.path}'
        if call.query:
            url = f'{url}?{call.query}'
        try:
            # A new connection for each request: if the service closes a
            # pooled one, it is unknown whether the request was received.
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
                'connection timed out', 'connect', address
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
    response: aiohttp.ClientResponse, call: ports.ServiceRequest, address: str
) -> ports.ServiceResponse:
    response_id = response.headers.get(REQUEST_HEADER, '')
    if response_id != call.request:
        response.close()
        raise errors.BackendError(
            f'response is for request {response_id!r}', 'call', address
        )
    body = await response.content.read(MAX_RESPONSE_BYTES + 1)
    while len(body) <= MAX_RESPONSE_BYTES and not response.content.at_eof():
        body += await response.content.read(MAX_RESPONSE_BYTES + 1 - len(body))
    if len(body) > MAX_RESPONSE_BYTES:
        response.close()
        raise errors.BackendError(
            'response body is too large', 'call', address
        )
    return ports.ServiceResponse(
        response.status,
        body,
        response.headers.get('Content-Type', 'application/octet-stream'),
    )
