"""Writes responses, of which one may be given up for another one."""

from aiohttp import http_writer


class ResponseWriter(http_writer.StreamWriter):
    """Can begin again as long as nothing was sent."""

    def restart(self) -> None:
        """Forget a response whose head couldn't be written."""
        self.chunked = False
        self.length = None
        self._headers_buf = None
