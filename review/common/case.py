"""What all cases share: a record, an operator, and the exit status."""

import asyncio
import itertools
import json
import pathlib
import signal
import sys
import time
import traceback
import typing as t

import system
import wire

PUT = '/bulrushhold/Config.Put'
READY = '/bulrushhold/ready'
PUT_TIMEOUT_S = 1.0
READY_TIMEOUT_S = 30.0
PAUSE_S = 0.1
LIMITS = {
    'max-header-bytes': 16384,
    'max-body-bytes': 4194304,
    'header-timeout-ms': 3000,
    'idle-timeout-ms': 15000,
}
TENANTS = [{'name': 't1', 'api-keys': ['k1'], 'priority': 1}]


class Case:
    """One run of a case.

    :param folder: where ``record.txt`` is written.
    """

    def __init__(
        self, folder: pathlib.Path, deployment: system.System
    ) -> None:
        self.deployment = deployment
        self.began = time.monotonic()
        self.record = open(folder / 'record.txt', 'w', encoding='utf-8')

    def note(self, text: str) -> None:
        """Write a line to the record."""
        seconds = time.monotonic() - self.began
        self.record.write(f'{seconds:8.3f} s  {text}\n')
        self.record.flush()

    async def put_manifest(self, manifest: dict[str, t.Any]) -> None:
        """Send a manifest, again and to any node, until it is acknowledged."""
        data = json.dumps(manifest).encode()
        for machine in itertools.cycle(self.deployment.machines):
            answer = await wire.request(
                self.deployment.address(machine, 'control'),
                'POST',
                PUT,
                {'Content-Type': 'application/json'},
                data,
                PUT_TIMEOUT_S,
            )
            if answer is not None and answer.status == 200:
                break
            await asyncio.sleep(PAUSE_S)
        self.note(f'version {manifest["config-version"]} acknowledged')

    async def wait_until_ready(self) -> None:
        """Wait until all machines say that they are ready.

        :raises TimeoutError: if they don't.
        """
        async with asyncio.timeout(READY_TIMEOUT_S):
            for machine in self.deployment.machines:
                address = self.deployment.address(machine, 'ready')
                while True:
                    answer = await wire.request(address, 'GET', READY, {})
                    if answer is not None and answer.status == 200:
                        break
                    await asyncio.sleep(PAUSE_S)


def _stop(number: int, frame: object) -> t.NoReturn:
    sys.exit(2)


def run(main: t.Callable[[], t.Coroutine[t.Any, t.Any, int]]) -> t.NoReturn:
    """Run a case, and exit with its status; 2 if it couldn't run."""
    signal.signal(signal.SIGTERM, _stop)
    try:
        status = asyncio.run(main())
    except Exception:
        traceback.print_exc()
        status = 2
    sys.exit(status)
