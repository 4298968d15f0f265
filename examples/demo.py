"""Run a small deployment on loopback, send requests to it and stop it."""

import asyncio
import pathlib
import signal
import tempfile
import time

from bulrushhold import client
from bulrushhold import testing

PROMPT = [{'role': 'user', 'content': 'Review the hygiene report of oven 1'}]


async def use(deployment: testing.Deployment) -> None:
    """Stream a response while its engine is killed, then book a slot."""
    async with client.Client('vendors', deployment.seeds) as caller:
        tokens: list[str] = []
        started = time.monotonic()
        async for token in caller.generate('small', PROMPT, max_tokens=30):
            tokens.append(token)
            if len(tokens) == 10:
                engine = tokens[0].partition('-')[0]
                print(f'10 tokens received; killing engine {engine} now')
                deployment.kill(engine, signal.SIGKILL)
        elapsed_s = time.monotonic() - started
        print(
            f'complete response of {len(tokens)} tokens in {elapsed_s:.2f} s:'
        )
        print('   ', ''.join(tokens))
        response = await caller.call(
            'booking', 'slots', method='POST', body={'slot': 'oven-1 9:00'}
        )
        print('booked:', response.body.decode())
        print('bookings per slot:', deployment.booking_counts())


def main() -> None:
    """Run the demo in a temporary folder."""
    with tempfile.TemporaryDirectory() as name:
        folder = pathlib.Path(name)
        deployment = testing.Deployment(folder)
        try:
            started = time.monotonic()
            deployment.start()
            elapsed_s = time.monotonic() - started
            print(f'3 control, 3 entry, 2 engines: ready in {elapsed_s:.1f} s')
            asyncio.run(use(deployment))
            path = folder / 'table.csv'
            deployment.cli('table', 'pull', str(path))
            path.write_text(
                path.read_text().replace('planners,chat,2', 'planners,chat,3')
            )
            print(deployment.cli('table', 'push', '--wait', str(path)))
            print(deployment.cli('table', 'history'))
        finally:
            deployment.stop()


if __name__ == '__main__':
    main()
