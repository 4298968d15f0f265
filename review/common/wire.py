"""A small HTTP/1.1 client and server for stand-ins."""

import asyncio
import contextlib
import typing as t

import attrs


@attrs.frozen
class Answer:
    """An answer that arrived whole."""

    status: int
    headers: dict[str, str]
    body: bytes


async def read_head(reader: asyncio.StreamReader) -> tuple[str, dict]:
    """Return the first line and the headers, with lowercase names."""
    text = (await reader.readuntil(b'\r\n\r\n')).decode('latin-1')
    first, *lines = text.split('\r\n')
    headers = {}
    for line in lines:
        name, colon, value = line.partition(':')
        if colon:
            headers[name.strip().lower()] = value.strip()
    return first, headers


async def read_body(reader: asyncio.StreamReader, headers: dict) -> bytes:
    """Return a body with a length or in chunks."""
    if 'chunked' in headers.get('transfer-encoding', ''):
        body = b''
        while True:
            size = int((await reader.readuntil(b'\r\n')).split(b';')[0], 16)
            body += (await reader.readexactly(size + 2))[:-2]
            if not size:
                return body
    return await reader.readexactly(int(headers.get('content-length', 0)))


async def request(
    address: tuple[str, int],
    method: str,
    path: str,
    headers: dict[str, str],
    body: bytes = b'',
    timeout_s: float = 1.0,
) -> Answer | None:
    """Send one request on a new channel; ``None`` without an answer."""
    writer = None
    try:
        async with asyncio.timeout(timeout_s):
            reader, writer = await asyncio.open_connection(*address)
            fields = {
                'Host': f'{address[0]}:{address[1]}',
                **headers,
                'Content-Length': str(len(body)),
                'Connection': 'close',
            }
            head = ''.join(f'{k}: {v}\r\n' for k, v in fields.items())
            writer.write(
                f'{method} {path} HTTP/1.1\r\n{head}\r\n'.encode() + body
            )
            await writer.drain()
            first, answered = await read_head(reader)
            status = int(first.split()[1])
            return Answer(status, answered, await read_body(reader, answered))
    except (OSError, ValueError, EOFError, TimeoutError):
        return None
    finally:
        if writer is not None:
            writer.close()


Handler = t.Callable[
    [str, str, dict, bytes, asyncio.StreamWriter], t.Awaitable[None]
]


async def serve(handler: Handler, port: int = 0) -> tuple[asyncio.Server, str]:
    """Serve requests on kept channels; return the server and its address."""

    async def on_channel(
        reader: asyncio.StreamReader, writer: asyncio.StreamWriter
    ) -> None:
        # Channels that are open as the run ends are cancelled.
        with contextlib.suppress(
            OSError, EOFError, ValueError, asyncio.CancelledError
        ):
            while not writer.is_closing():
                first, headers = await read_head(reader)
                body = await read_body(reader, headers)
                method, path, _ = first.split(' ', 2)
                await handler(method, path, headers, body, writer)
                await writer.drain()
        writer.close()

    server = await asyncio.start_server(on_channel, '127.0.0.1', port)
    bound = server.sockets[0].getsockname()
    return server, f'{bound[0]}:{bound[1]}'


def write_answer(
    writer: asyncio.StreamWriter,
    status: int,
    headers: dict[str, str],
    body: bytes = b'',
) -> None:
    """Write a whole answer with a length."""
    fields = {**headers, 'Content-Length': str(len(body))}
    head = ''.join(f'{k}: {v}\r\n' for k, v in fields.items())
    writer.write(f'HTTP/1.1 {status} X\r\n{head}\r\n'.encode() + body)
