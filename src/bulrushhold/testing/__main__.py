"""Command line that runs a fake backend server or platform list."""

import asyncio
import pathlib

import click
import msgspec

from bulrushhold import ports
from bulrushhold import testing
from bulrushhold.testing import _http


@click.group()
def main() -> None:
    """Run a fake service until it is killed."""


@main.command('engine')
@click.option('--name', required=True)
@click.option('--port', required=True, type=int)
@click.option('--gap-s', default=0.05)
def run_engine(name: str, port: int, gap_s: float) -> None:
    """Run a fake model engine."""
    asyncio.run(_serve(testing.Engine(name, port, gap_s=gap_s)))


@main.command('booking')
@click.option('--port', required=True, type=int)
def run_booking(port: int) -> None:
    """Run a fake booking service."""
    asyncio.run(_serve(testing.BookingService(port)))


@main.command('platform')
@click.option('--port', required=True, type=int)
@click.option('--list', 'path', required=True, type=click.Path())
def run_platform(port: int, path: str) -> None:
    """Serve a platform list from a JSON file."""
    platform = msgspec.json.decode(
        pathlib.Path(path).read_bytes(), type=ports.Platform
    )
    asyncio.run(_serve(testing.PlatformService(platform, port)))


async def _serve(server: _http.FakeHttpServer) -> None:
    await server.start()
    await asyncio.Event().wait()


if __name__ == '__main__':
    main()
