"""Fetches the platform's list of instances and backend servers."""

import asyncio

import aiohttp
import msgspec

from bulrushhold import errors
from bulrushhold import ports
from bulrushhold.web import _bodies

REQUEST_TIMEOUT_S = 2.0
MAX_LIST_BYTES = 16 << 20


class HttpPlatformList(ports.PlatformList):
    """Fetches the list with conditional requests.

    The list is large and polled often; an ETag avoids transferring it
    when it hasn't changed.
    """

    def __init__(self, session: aiohttp.ClientSession, url: str) -> None:
        self.session = session
        self.url = url
        self.etag = ''

    async def fetch(self) -> ports.Platform | None:
        """Return the list, or ``None`` if it hasn't changed."""
        headers = {'If-None-Match': self.etag} if self.etag else {}
        try:
            async with self.session.get(
                self.url,
                headers=headers,
                timeout=aiohttp.ClientTimeout(total=REQUEST_TIMEOUT_S),
            ) as response:
                if response.status == 304:
                    return None
                if response.status != 200:
                    raise errors.PeerError(
                        f'status {response.status}', 'platform', self.url
                    )
                body = await _bodies.read_whole(response, MAX_LIST_BYTES)
                etag = response.headers.get('ETag', '')
            platform = msgspec.json.decode(body, type=ports.Platform)
        except (
            aiohttp.ClientError,
            asyncio.TimeoutError,
            ConnectionError,
            msgspec.DecodeError,
        ) as error:
            raise errors.PeerError(
                str(error) or type(error).__name__, 'platform', self.url
            ) from error
        self.etag = etag
        return platform
