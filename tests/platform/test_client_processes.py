"""Clients that don't behave, at each port of processes of the platform."""

import aiohttp
import pytest

from tests import crowds
from tests.platform.soak import fakes
from tests.platform.soak import routemap
from tests.platform.soak import run
from tests.platform.soak import system

MEMORY_MB = 96
MAX_FILES = 120
CONNECTIONS = 150
METRICS_PORT = 9464
CONTROL_PEER_OFFSET = 1
PROXY_OFFSET = 2
# Their document has about 1 MB.
LARGE_MAP_ROUTES = 5000
# Port by name, role of its process, path of a request.
CALLERS = ('front', 'entry', fakes.SAFE_PATH)
READINESS = ('ready', 'entry', '/bulrushhold/ready')
DIRECTORY = ('directory', 'entry', '/bulrushhold/resolve?name=soak.example')
PROXY = ('proxy', 'entry', '/attempts')
METRICS = ('metrics', 'entry', '/metrics')
OPERATORS = ('control', 'control', '/bulrushhold/Config.Get')
ORDERS = ('control', 'control', '/bulrushhold/Config.Put')
PEERS = ('internal', 'entry', '/')
CONTROL_PEERS = ('control_peer', 'control', '/')
RELAY = ('control', 'relay', '/bulrushhold/Config.Get')


class RelaySystem(system.System):
    """Has a control process without a disk besides those with one."""

    relay_number = system.CONTROL_COUNT + 1

    def __init__(self, *arguments, **options):
        super().__init__(*arguments, **options)
        self._add('control', self.relay_number)

    def write_settings(self, program, *, bootstrap):
        super().write_settings(program, bootstrap=bootstrap)
        if program.name == f'control-{self.relay_number}':
            text = program.settings.read_text()
            lines = [
                line
                for line in text.splitlines(keepends=True)
                if not line.startswith('data-dir')
            ]
            system.replace_text(program.settings, ''.join(lines))


class CrowdRun(run.SoakRun):
    """Plays a crowd at one port of the first process of a role.

    :param more_routes: number of further routes of the route map.
    :ivar watch: what the process held at most.
    """

    def __init__(self, folder, network_number, place, send, size, more_routes):
        super().__init__(77, folder, network_number, seconds=0)
        self.more_routes = more_routes
        self.port_name, self.role, self.path = place
        self.send = send
        self.size = size

    def _make_system(self, *arguments):
        return RelaySystem(
            *arguments,
            entry_count=3,
            limits=lambda program: {
                'memory-mb': MEMORY_MB,
                'max-fds': MAX_FILES,
            },
        )

    def _make_route_map(self, version):
        document = super()._make_route_map(version)
        document['routes'] += [
            {**document['routes'][-1], 'path-prefix': f'/more-{number}/'}
            for number in range(self.more_routes)
        ]
        return document

    async def _run_with_faults(self):
        ports = self.system.ports
        ports['metrics'] = METRICS_PORT
        ports['proxy'] = ports['internal'] + PROXY_OFFSET
        ports['control_peer'] = ports['internal'] + CONTROL_PEER_OFFSET
        role = 'entry' if self.role == 'entry' else 'control'
        programs = self.system.programs_with_role(role)
        self.program = programs[-1 if self.role == 'relay' else 0]
        target = crowds.Target(
            self.program.ip,
            self.system.ports[self.port_name],
            self.path,
            (
                'Bulrushhold-Request-Id: crowd',
                f'Bulrushhold-Credential: {routemap.API_KEY}',
                'Bulrushhold-Deadline-Ms: 20000',
            ),
        )
        connector = aiohttp.TCPConnector(force_close=True)
        async with self._make_session(connector=connector) as session:
            self.session_of_callers = session
            self.watch = await crowds.play(
                self.program.process, target, self.send, self._ask, self.size
            )

    async def _check_recovery(self):
        for program in self.system.programs:
            if program.process.poll() is not None:
                self.report.violations.append(f'{program.name} has exited')

    async def _ask(self):
        """Send an ordinary request to the process; return if it is served."""
        if self.port_name in ('control', 'control_peer'):
            return await self._get('control', OPERATORS[2])
        if self.port_name in ('front', 'proxy', 'internal'):
            return await self._call()
        return await self._get(self.port_name, self.path)

    async def _get(self, port_name, path):
        url = self.system.url(self.program, port_name, path)
        try:
            async with self.session_of_callers.get(url) as response:
                await response.read()
                return response.status == 200
        except aiohttp.ClientError:
            return False

    async def _call(self):
        self.request_count += 1
        ident = f'ordinary-{self.request_count}'
        target = f'{fakes.SAFE_PATH}{ident}'
        headers = {
            'Host': 'soak.example',
            'Bulrushhold-Request-Id': ident,
            'Bulrushhold-Credential': routemap.API_KEY,
            'Bulrushhold-Deadline-Ms': '8000',
        }
        url = self.system.url(self.program, 'front', target)
        try:
            async with self.session_of_callers.post(
                url, data=b'ordinary', headers=headers
            ) as response:
                body = await response.read()
                expected = fakes.make_body(target, b'ordinary')
                return response.status == 200 and body == expected
        except aiohttp.ClientError:
            return False


async def check(folder, place, send, size=crowds.SIZE, more_routes=0):
    with system.LoopbackNetwork() as network:
        played = CrowdRun(
            folder, network.number, place, send, size, more_routes
        )
        await played.execute()
    watch = played.watch
    print(f'{watch.peak_mb:.0f} MB, {watch.peak_files} descriptors')
    assert played.report.violations == []
    assert watch.peak_mb <= MEMORY_MB
    assert watch.peak_files <= MAX_FILES


@pytest.mark.parametrize(
    'place',
    [CALLERS, READINESS, DIRECTORY, PROXY, METRICS, OPERATORS, RELAY],
    ids=lambda place: '-'.join(place[:2]),
)
async def test_long_heads_do_not_fill_the_memory(tmp_path, place):
    """Guards against heads whose fields are bounded, but not their sum."""
    await check(tmp_path, place, crowds.send_long_head)


@pytest.mark.parametrize(
    'send',
    [
        crowds.send_endless_field,
        crowds.send_endless_fields,
        crowds.send_endless_trailers,
        crowds.send_requests_behind,
        crowds.send_empty_lines,
        crowds.send_chunk_extension,
        crowds.send_small_chunks,
        crowds.send_slow_body,
        crowds.send_upgrade,
        crowds.send_connect,
        crowds.send_any,
    ],
)
async def test_what_callers_send_does_not_fill_the_memory(tmp_path, send):
    """Guards against bytes that are kept before anything counts them."""
    await check(tmp_path, CALLERS, send)


@pytest.mark.parametrize(
    'send', [crowds.send_short_body, crowds.send_short_chunks]
)
@pytest.mark.parametrize(
    'place', [CALLERS, ORDERS], ids=lambda place: place[0]
)
async def test_bodies_without_their_end_shut_nobody_out(tmp_path, place, send):
    """Guards against refusing all callers for what some don't finish."""
    await check(tmp_path, place, send)


async def test_orders_of_a_crowd_do_not_fill_the_memory(tmp_path):
    """Guards against whole bodies that wait for their turn uncounted."""
    await check(tmp_path, ORDERS, crowds.send_whole_body)


async def test_compressed_orders_do_not_fill_the_memory(tmp_path):
    """Guards against bodies that are larger once they are decompressed."""
    await check(tmp_path, ORDERS, crowds.send_compressed_body)


@pytest.mark.parametrize(
    'place', [OPERATORS, RELAY], ids=lambda place: place[1]
)
async def test_unread_answers_do_not_fill_the_memory(tmp_path, place):
    """Guards against answers that are kept for clients that don't read."""
    await check(
        tmp_path, place, crowds.read_no_answer, more_routes=LARGE_MAP_ROUTES
    )


@pytest.mark.parametrize(
    'place', [PEERS, CONTROL_PEERS], ids=lambda place: place[1]
)
async def test_bytes_that_are_no_message_do_not_fill_the_memory(
    tmp_path, place
):
    """Guards against queues of messages that nobody can read."""
    await check(tmp_path, place, crowds.send_long_head)


@pytest.mark.parametrize(
    'place',
    [CALLERS, READINESS, OPERATORS, PEERS, CONTROL_PEERS],
    ids=lambda place: place[0],
)
async def test_silent_connections_shut_nobody_out(tmp_path, place):
    """Guards against connections that take all descriptors."""
    await check(tmp_path, place, crowds.send_nothing, CONNECTIONS)
