"""A complete deployment as processes on loopback, for demos and tests."""

import json
import os
import pathlib
import signal
import subprocess
import sys
import time
import typing as t
import urllib.error
import urllib.request

from bulrushhold.testing import _ports

STARTUP_TIMEOUT_S: t.Final = 30.0
OPERATOR_KEY: t.Final = 'demo-operator-key-0001'
INITIAL_TABLE: t.Final = (
    'account,work,weight,token_rate,concurrency,deadline_s,priority,'
    'idempotent,revision\n'
    'vendors,chat,1,0,0,20,1,yes,0\n'
    'vendors,booking/slots,1,0,0,5,0,no,0\n'
    'vendors,booking/availability,1,0,0,5,0,yes,0\n'
    'planners,chat,2,0,0,20,1,yes,0\n'
    'planners,booking/slots,1,0,0,5,0,no,0\n'
)


class Deployment:
    """Control processes, entries, engines, a booking service, a platform list.

    :param folder: for settings, data and logs.
    :param gap_s: seconds between an engine's tokens.
    :param slots: slots per engine in the platform list.
    :param entry_settings: merged into the settings of each entry.
    :param control_settings: merged into those of each control process.
    """

    def __init__(
        self,
        folder: pathlib.Path,
        *,
        controls: int = 3,
        entries: int = 3,
        engines: int = 2,
        gap_s: float = 0.05,
        slots: int = 64,
        entry_settings: dict[str, t.Any] | None = None,
        control_settings: dict[str, t.Any] | None = None,
    ) -> None:
        self.folder = folder
        self.gap_s = gap_s
        self.slots = slots
        self.processes: dict[str, subprocess.Popen[bytes]] = {}
        self.entry_settings = entry_settings or {}
        self.control_settings = control_settings or {}
        ports = iter(_ports.free_ports(controls + 2 * entries + engines + 2))
        self.platform_port = next(ports)
        self.booking_port = next(ports)
        self.control_ports = {
            f'c{n + 1}': next(ports) for n in range(controls)
        }
        self.entry_ports = {f'e{n + 1}': next(ports) for n in range(entries)}
        self.entry_peer_ports = {
            name: next(ports) for name in self.entry_ports
        }
        self.engine_ports = {f'm{n + 1}': next(ports) for n in range(engines)}
        self.key_file = folder / 'operator.key'

    @property
    def seeds(self) -> list[str]:
        """HTTP addresses of all entries."""
        return [f'127.0.0.1:{port}' for port in self.entry_ports.values()]

    def start(self) -> None:
        """Write settings, start all processes and push the initial table."""
        self.folder.mkdir(parents=True, exist_ok=True)
        self.key_file.write_text(OPERATOR_KEY)
        self._write('platform.json', self.platform_list())
        self._start_fake(
            'platform',
            '--port',
            str(self.platform_port),
            '--list',
            str(self.folder / 'platform.json'),
        )
        self._start_fake('booking', '--port', str(self.booking_port))
        for name in self.engine_ports:
            self.start_engine(name)
        for name in self.control_ports:
            path = self._write_control(name)
            self._command('control-found', '--settings', str(path))
            self.start_control(name)
        self.wait_for_port(self.platform_port)
        for name in self.entry_ports:
            self._write_entry(name)
            self.start_entry(name)
        self.wait_until_ready()
        table = self.folder / 'first.csv'
        table.write_text(INITIAL_TABLE)
        self.cli('table', 'push', '--wait', str(table))

    def platform_list(
        self, leaving: t.Collection[str] = ()
    ) -> dict[str, t.Any]:
        """Return the platform list.

        :param leaving: names of entries and backend servers to mark as
            leaving.
        """
        centres = ('north', 'centre', 'south')
        entries = [
            {
                'name': name,
                'data_centre': centres[number % 3],
                'http': f'127.0.0.1:{self.entry_ports[name]}',
                'peer': f'127.0.0.1:{self.entry_peer_ports[name]}',
                'leaving': name in leaving,
            }
            for number, name in enumerate(self.entry_ports)
        ]
        servers: list[dict[str, t.Any]] = [
            {
                'name': name,
                'kind': 'engine',
                'address': f'127.0.0.1:{port}',
                'data_centre': centres[number % 3],
                'leaving': name in leaving,
                'models': {'small': 'v1'},
                'slots': self.slots,
            }
            for number, (name, port) in enumerate(self.engine_ports.items())
        ]
        servers.append(
            {
                'name': 'booking-1',
                'kind': 'booking',
                'address': f'127.0.0.1:{self.booking_port}',
                'data_centre': 'north',
                'leaving': 'booking-1' in leaving,
            }
        )
        return {'entries': entries, 'backend_servers': servers}

    def start_engine(self, name: str) -> None:
        """Start an engine process."""
        self._start_fake(
            'engine',
            '--name',
            name,
            '--port',
            str(self.engine_ports[name]),
            '--gap-s',
            str(self.gap_s),
            process=name,
        )

    def start_control(self, name: str) -> None:
        """Start a control process."""
        path = self.folder / f'{name}.json'
        self._spawn(name, '-m', 'bulrushhold', 'control', '--settings', path)

    def start_entry(self, name: str) -> None:
        """Start an entry process."""
        path = self.folder / f'{name}.json'
        self._spawn(name, '-m', 'bulrushhold', 'entry', '--settings', path)

    def kill(self, name: str, signal_number: int = signal.SIGKILL) -> None:
        """Send a signal to a process; after ``SIGKILL``, wait for its exit."""
        process = self.processes[name]
        process.send_signal(signal_number)
        if signal_number == signal.SIGKILL:
            process.wait()

    def cli(self, *arguments: str) -> str:
        """Run an operator command and return its standard output."""
        environment = {
            'BULRUSHHOLD_ENTRY': self.seeds[0],
            'BULRUSHHOLD_KEY_FILE': str(self.key_file),
        }
        return self._command(*arguments, environment=environment)

    def wait_for_port(self, port: int) -> None:
        """Wait until a process accepts HTTP requests on a port."""
        self._wait_for_url(f'http://127.0.0.1:{port}/', any_status=True)

    def wait_until_ready(self, names: t.Iterable[str] | None = None) -> None:
        """Wait until entries are ready, by default all of them."""
        for name in names or self.entry_ports:
            self._wait_for_url(
                f'http://127.0.0.1:{self.entry_ports[name]}/readyz'
            )

    def booking_counts(self) -> dict[str, int]:
        """Return the number of bookings per slot."""
        url = f'http://127.0.0.1:{self.booking_port}/runs'
        with urllib.request.urlopen(url, timeout=5) as response:
            return json.load(response)

    def status(self, name: str = 'e1') -> dict[str, t.Any]:
        """Return the status of an entry, as served under ``/v1/status``."""
        url = f'http://127.0.0.1:{self.entry_ports[name]}/v1/status'
        with urllib.request.urlopen(url, timeout=10) as response:
            return json.load(response)

    def stop(self) -> None:
        """Kill all processes of this deployment."""
        for process in self.processes.values():
            if process.poll() is None:
                process.send_signal(signal.SIGCONT)
                process.kill()
        for process in self.processes.values():
            process.wait()

    def _write_control(self, name: str) -> pathlib.Path:
        replicas = {
            other: {'host': '127.0.0.1', 'port': port}
            for other, port in self.control_ports.items()
        }
        document = {
            'name': name,
            'data_centre': 'north',
            'peer': replicas[name],
            'data_dir': str(self.folder / f'data-{name}'),
            'replicas': replicas,
            **self.control_settings,
        }
        return self._write(f'{name}.json', document)

    def _write_entry(self, name: str) -> pathlib.Path:
        own_entry = self.platform_list()['entries'][
            list(self.entry_ports).index(name)
        ]
        document = {
            'name': name,
            'data_centre': own_entry['data_centre'],
            'http': {'host': '127.0.0.1', 'port': self.entry_ports[name]},
            'peer': {'host': '127.0.0.1', 'port': self.entry_peer_ports[name]},
            'control': [
                {'host': '127.0.0.1', 'port': port}
                for port in self.control_ports.values()
            ],
            'platform_url': f'http://127.0.0.1:{self.platform_port}/list',
            'operator_key_file': str(self.key_file),
            **self.entry_settings,
        }
        return self._write(f'{name}.json', document)

    def _write(self, name: str, document: t.Any) -> pathlib.Path:
        path = self.folder / name
        path.write_text(json.dumps(document, indent=2))
        return path

    def _start_fake(
        self, kind: str, *arguments: str, process: str = ''
    ) -> None:
        self._spawn(
            process or kind, '-m', 'bulrushhold.testing', kind, *arguments
        )

    def _spawn(self, name: str, *arguments: t.Any) -> None:
        log = open(self.folder / f'{name}.log', 'ab')
        with log:
            self.processes[name] = subprocess.Popen(
                [sys.executable, *map(str, arguments)],
                stdout=log,
                stderr=log,
                stdin=subprocess.DEVNULL,
            )

    def _command(
        self, *arguments: str, environment: dict[str, str] | None = None
    ) -> str:
        completed = subprocess.run(
            [sys.executable, '-m', 'bulrushhold', *arguments],
            capture_output=True,
            text=True,
            check=False,
            env={**os.environ, **(environment or {})},
        )
        if completed.returncode:
            raise RuntimeError(
                f'{arguments}: {completed.stderr}{completed.stdout}'
            )
        return completed.stdout

    def _wait_for_url(self, url: str, *, any_status: bool = False) -> None:
        deadline = time.monotonic() + STARTUP_TIMEOUT_S
        while True:
            try:
                with urllib.request.urlopen(url, timeout=2):
                    return
            except urllib.error.HTTPError:
                if any_status:
                    return
            except OSError:
                pass
            exited = [n for n, p in self.processes.items() if p.poll()]
            if exited or time.monotonic() > deadline:
                raise RuntimeError(
                    f'{url} is unavailable; exited processes: {exited}'
                )
            time.sleep(0.02)
