"""Control processes and entries with loopback addresses."""

import asyncio
import contextlib
import pathlib
import signal
import socket
import subprocess
import sys
import time

import aiohttp
import attrs

from tests.platform.soak import netfault

ROOT = pathlib.Path(__file__).parents[3]
CONTROL_COUNT = 3
FIRST_PORT = 21000
PORTS_PER_NETWORK = 40
INTERNAL_PORT = 10  # offset of the first port between processes
NETWORK_NUMBERS = range(40, 250)
LOCK_HOST = 254  # last octet of the address that is bound as a lock
ENTRY_COUNT = 4
GRACE_S = 4
SETTINGS = """
node-name = "{name}"
ip = "{ip}"
zone = "{zone}"
internal-ports = [{internal}, {internal_end}]
seeds = [{seeds}]
bootstrap = {bootstrap}
data-dir = "{data}"
[listen]
front = "{ip}:{front}"
ready = "{ip}:{ready}"
control = "{ip}:{control}"
directory = "{ip}:{directory}"
[fault-tolerance]
machines = 1
[bounds]
grace-s = {grace_s}
retry-budget-ratio = 0.8
retry-budget-slack = 150
budget-window-s = 10
[cloud]
address = "{cloud}"
"""


@attrs.define
class Program:
    """One process and its state.

    :param paused: stopped by ``SIGSTOP``.
    :param exit_expected: received ``SIGKILL`` or ``SIGTERM``.
    :param unexpected_exits: its exit codes where it had no such signal.
    """

    role: str
    name: str
    ip: str
    settings: pathlib.Path
    log: pathlib.Path
    process: subprocess.Popen | None = None
    paused: bool = False
    exit_expected: bool = False
    unexpected_exits: list = attrs.field(factory=list)


def first_port(network_number):
    """Return the lowest of the ports that processes of a run use."""
    return FIRST_PORT + network_number * PORTS_PER_NETWORK


def has_processes(network_number):
    """Return whether a run that was killed has left its processes."""
    port = first_port(network_number) + INTERNAL_PORT
    return any(
        is_bound(f'127.0.{network_number}.{host}', port + process)
        for host in range(1, CONTROL_COUNT + 1)
        for process in range(2)  # control and entry
    )


def is_bound(ip, port):
    with socket.socket() as probe:
        # Connections of earlier runs that have ended don't matter.
        probe.setsockopt(socket.SOL_SOCKET, socket.SO_REUSEADDR, 1)
        try:
            probe.bind((ip, port))
        except OSError:
            return True
    return False


class LoopbackNetwork:
    """Exclusive use of a range of loopback addresses.

    Concurrent runs must not share addresses: requests and faults of one run
    would reach processes of the other.

    :ivar number: third octet of the addresses.
    """

    def __init__(self):
        for number in NETWORK_NUMBERS:
            if has_processes(number):
                continue
            lock_socket = socket.socket()
            try:
                lock_socket.bind((f'127.0.{number}.{LOCK_HOST}', FIRST_PORT))
            except OSError:
                lock_socket.close()
                continue
            # A listening socket prevents a second bind.
            lock_socket.listen()
            self.lock_socket = lock_socket
            self.number = number
            return
        raise RuntimeError('no free loopback network')

    def __enter__(self):
        return self

    def __exit__(self, *error):
        self.lock_socket.close()


def replace_text(path, text):
    """Replace a file at once, as a process may read it meanwhile."""
    temporary = path.with_suffix('.new')
    temporary.write_text(text)
    temporary.replace(path)


class System:
    """The control processes and entries of one run.

    :param platform_list_address: address of the platform list.
    :param network_number: number of the run's :class:`LoopbackNetwork`.
    :param entry_count: number of entries.
    :param limits: returns the ``[limits]`` of a program's settings, if any.
    :param grace_s: time between SIGTERM and SIGKILL.
    """

    def __init__(
        self,
        folder,
        platform_list_address,
        network_number,
        entry_count=ENTRY_COUNT,
        limits=lambda program: {},
        grace_s=GRACE_S,
    ):
        self.folder = pathlib.Path(folder)
        self.platform_list_address = platform_list_address
        self.network_number = network_number
        self.limits = limits
        self.grace_s = grace_s
        port = first_port(network_number)
        self.ports = {
            'front': port,
            'ready': port + 1,
            'control': port + 2,
            'directory': port + 3,
            'internal': port + INTERNAL_PORT,
            'internal_end': port + 25,
        }
        self.programs = []
        for number in range(1, entry_count + 1):
            if number <= CONTROL_COUNT:
                self._add('control', number)
            self._add('entry', number)

    def _add(self, role, number):
        ip = f'127.0.{self.network_number}.{number}'
        name = f'{role}-{number}'
        program = Program(
            role,
            name,
            ip,
            self.folder / f'{name}.toml',
            self.folder / f'{name}.log',
        )
        self.programs.append(program)
        self.write_settings(program, bootstrap=True)

    def write_settings(self, program, *, bootstrap):
        seeds = ', '.join(
            f'"127.0.{self.network_number}.{n}:{self.ports["control"]}"'
            for n in range(1, CONTROL_COUNT + 1)
        )
        text = SETTINGS.format(
            name=program.name,
            ip=program.ip,
            zone=f'zone-{program.ip[-1]}',
            seeds=seeds,
            bootstrap=str(bootstrap).lower(),
            data=self.folder / 'data' / program.name,
            cloud=self.platform_list_address,
            grace_s=self.grace_s,
            **self.ports,
        )
        limits = [f'{k} = {v}\n' for k, v in self.limits(program).items()]
        if limits:
            text += '[limits]\n' + ''.join(limits)
        replace_text(program.settings, text)

    def programs_with_role(self, role):
        return [p for p in self.programs if p.role == role]

    def start(self, program, *, bootstrap=False):
        # Any fault may restart a program that has ended by itself.
        if program.process is not None and not program.exit_expected:
            program.unexpected_exits.append(program.process.poll())
        # Written before, as a process reads its settings at some later time.
        self.write_settings(program, bootstrap=bootstrap)
        program.exit_expected = program.paused = False
        netfault.started_file(program.settings).unlink(missing_ok=True)
        with open(program.log, 'ab') as log:
            program.process = subprocess.Popen(
                [sys.executable, netfault.__file__, program.role],
                cwd=ROOT,
                stdout=log,
                stderr=log,
                env={
                    'BULRUSHHOLD_NODE_FILE': str(program.settings),
                    'SOAK_ENTRY_IP': program.ip,
                },
            )

    def start_all(self):
        for program in self.programs:
            self.start(program, bootstrap=True)

    def disable_bootstrap(self):
        for program in self.programs:
            self.write_settings(program, bootstrap=False)

    def signal(self, program, number):
        if program.process is None or program.process.poll() is not None:
            return
        if number == signal.SIGSTOP:
            program.paused = True
        if number in (signal.SIGKILL, signal.SIGTERM):
            program.exit_expected = True
        if number == signal.SIGCONT:
            program.paused = False
        program.process.send_signal(number)

    async def wait_for_exit(self, program):
        """Wait until a program's present process has exited.

        Another fault may restart the program meanwhile.
        """
        process = program.process
        while process.poll() is None:
            await asyncio.sleep(0.05)

    def restart_exited(self):
        for program in self.programs:
            if program.process.poll() is not None:
                self.start(program)

    def cut_off(self, program, kind):
        """Cut an entry off from all backend servers.

        :param kind: ``reset``, ``silent`` (nothing passes), ``one_way``
            (responses don't pass) or ``refuse_new`` (open connections stay).
        """
        netfault.cut_file(program.settings).write_text(kind)

    def reconnect(self, program):
        netfault.cut_file(program.settings).unlink(missing_ok=True)

    def stop_all(self):
        for program in self.programs:
            if program.process and program.process.poll() is None:
                program.process.send_signal(signal.SIGCONT)
                program.process.kill()
        for program in self.programs:
            if program.process:
                program.process.wait()

    def url(self, program, port, path):
        return f'http://{program.ip}:{self.ports[port]}{path}'

    async def wait_until_ready(self, session, within_s=20.0, entries=None):
        deadline = time.monotonic() + within_s
        for program in entries or self.programs_with_role('entry'):
            url = self.url(program, 'ready', '/bulrushhold/ready')
            while True:
                with contextlib.suppress(
                    aiohttp.ClientError, OSError, TimeoutError
                ):
                    async with session.get(url) as response:
                        if response.status == 200:
                            break
                if time.monotonic() > deadline:
                    raise TimeoutError(f'{program.name} is not ready')
                await asyncio.sleep(0.1)
