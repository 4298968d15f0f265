"""Writes the heads of responses byte for byte."""

import typing as t

from aiohttp import http_writer


class ResponseWriter(http_writer.StreamWriter):
    """Writes fields as they were received.

    Bytes of a value that aren't UTF-8 are lone surrogates in the decoded
    fields. The library's writer leaves them out.
    """

    async def write_headers(self, status_line: str, headers: t.Any) -> None:
        """Write a head.

        :raises ValueError: if it can't be part of a response.
        """
        await super().write_headers(status_line, headers)
        if all(value.isascii() for value in headers.values()):
            return
        lines = [status_line]
        lines += [f'{name}: {value}' for name, value in headers.items()]
        head = '\r\n'.join(lines) + '\r\n\r\n'
        self._headers_buf = head.encode('utf-8', 'surrogateescape')

    def restart(self) -> None:
        """Forget a response whose head couldn't be written."""
        self.chunked = False
        self.length = None
        self._headers_buf = None
