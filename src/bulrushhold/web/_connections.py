"""Connections to backend servers that can't be trusted to keep to HTTP."""

import functools
import typing as t

import aiohttp
from aiohttp import client_proto


class _StrictResponseHandler(client_proto.ResponseHandler):
    """Closes a connection on which more comes than was asked for.

    A faulty backend server may send a second answer after a whole one.
    On a kept connection it would be taken for the answer to the next
    request, and a caller would get somebody else's.
    """

    def data_received(self, data: bytes) -> None:
        """Take bytes of the awaited answer, and none after it."""
        payload = self._payload
        if payload is not None and payload.is_eof() and self.transport:
            self.force_close()
            self.transport.abort()
            return
        super().data_received(data)

    def connection_lost(self, exc: BaseException | None) -> None:
        """End an answer without a length only where its sender ended it.

        Such an answer ends with its connection; a reset would look the
        same, and half an answer would go out as a whole one.
        """
        payload = self._payload
        if exc is not None and payload is not None and not payload.is_eof():
            payload.set_exception(
                aiohttp.ClientPayloadError(f'connection lost: {exc}')
            )
        super().connection_lost(exc)


class StrictConnector(aiohttp.TCPConnector):
    """Makes guarded connections, without a limit to their number.

    A limit would hold back requests as if backend servers were slow; how
    many go to each is decided before.
    """

    def __init__(self, **options: t.Any) -> None:
        super().__init__(limit=0, **options)
        self._factory = functools.partial(
            _StrictResponseHandler, loop=self._loop
        )


def make_session(**connector_options: t.Any) -> aiohttp.ClientSession:
    """Return a session that sends each request once, as it is given."""
    session = aiohttp.ClientSession(
        connector=StrictConnector(**connector_options),
        auto_decompress=False,
        cookie_jar=aiohttp.DummyCookieJar(),
        timeout=aiohttp.ClientTimeout(total=None),
        max_line_size=16384,
        max_field_size=16384,
    )
    # aiohttp sends a GET again by itself when a kept connection breaks;
    # whether a request may be repeated isn't told by its method.
    session._retry_connection = False
    return session
