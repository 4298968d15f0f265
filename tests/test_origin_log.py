"""Where streams began, kept on disk."""

import asyncio
import os
import threading

import msgspec
import pytest

from bulrushhold.control import _clusterview
from bulrushhold.control import _origins
from bulrushhold import decisions
from bulrushhold import errors
from bulrushhold import messages
from bulrushhold import node
from bulrushhold.node import _originlog
from bulrushhold.node import _records
from tests import test_stream_origins

make_origin = test_stream_origins.make_origin


class Clock:
    def __init__(self):
        self.now = 0.0

    def __call__(self):
        return self.now


@pytest.fixture
def clock():
    return Clock()


@pytest.fixture
def open_log(tmp_path, clock):
    """Return what a process opens at each of its starts."""
    return lambda: node.FileOriginLog(tmp_path, clock)


def origins(*numbers):
    return [make_origin(f'r{number}') for number in numbers]


def segment_names(folder):
    return sorted(path.name for path in folder.iterdir())


def test_origins_are_loaded_after_a_restart(open_log):
    log = open_log()
    assert log.load() == []
    log.append(origins(1, 2))
    log.append(origins(3))
    restarted = open_log()
    assert restarted.load() == origins(1, 2, 3)
    restarted.append(origins(4))
    assert open_log().load() == origins(1, 2, 3, 4)


def test_an_unknown_version_is_loaded_after_a_restart(open_log):
    # Guards against a guess after a loss of all processes.
    unknown = test_stream_origins.make_unknown()
    open_log().append([unknown, *origins(1)])
    assert open_log().load() == [unknown, *origins(1)]


def test_what_a_former_release_has_stored_is_loaded(open_log, tmp_path):
    # Guards against records without a field that was added since.
    [origin] = origins(1)
    fields = {
        'key': origin.key,
        'service': origin.service,
        'version': origin.version,
        'lifetime_s': origin.lifetime_s,
    }
    payload = msgspec.msgpack.encode(('OriginReport', {'origins': [fields]}))
    (tmp_path / 'origins-0').write_bytes(_records.encode_record(payload))
    assert open_log().load() == [origin]


def test_a_torn_record_loses_no_earlier_and_no_later_one(open_log, tmp_path):
    # Guards against a loss of power in the middle of a write.
    log = open_log()
    log.append(origins(1))
    length = (tmp_path / 'origins-0').stat().st_size
    log.append(origins(2))
    whole = (tmp_path / 'origins-0').read_bytes()
    for end in range(length, len(whole)):
        (tmp_path / 'origins-0').write_bytes(whole[:end])
        for later in tmp_path.glob('origins-[1-9]*'):
            later.unlink()
        restarted = open_log()
        assert restarted.load() == origins(1)
        restarted.append(origins(3))
        assert open_log().load() == origins(1, 3)


def test_a_failed_write_is_an_error_and_later_ones_succeed(
    open_log, monkeypatch
):
    # Guards against a part of a record that hides all later ones.
    log = open_log()
    log.append(origins(1))
    write = os.write

    def write_part(descriptor, data):
        if len(data) < 5:
            raise OSError('disk full')
        return write(descriptor, data[: len(data) // 2])

    monkeypatch.setattr(_records.os, 'write', write_part)
    with pytest.raises(errors.StorageError):
        log.append(origins(2))
    monkeypatch.undo()
    log.append(origins(3))
    assert open_log().load() == origins(1, 3)


def test_expired_origins_are_removed(open_log, clock, tmp_path):
    # Guards against a disk that fills with streams that have ended.
    log = open_log()
    for number in range(4):
        log.append(origins(number))
        clock.now += _originlog.RETENTION_S
    assert segment_names(tmp_path) == ['origins-2', 'origins-3']
    restarted = open_log()
    assert restarted.load() == origins(2, 3)
    clock.now += _originlog.RETENTION_S
    restarted.append(origins(5))
    assert segment_names(tmp_path) == ['origins-4']


def test_the_size_on_disk_is_bounded(open_log, monkeypatch, tmp_path):
    # Guards against many streams, and against many restarts, on a small disk.
    monkeypatch.setattr(_originlog, 'MAX_SEGMENT_BYTES', 200)
    monkeypatch.setattr(_originlog, 'MAX_TOTAL_BYTES', 1000)
    log = open_log()
    for number in range(100):
        log.append(origins(number))
    restarts = 0
    for number in range(100, 140):
        log = open_log()
        restarts += log.load()[-1] == make_origin(f'r{number - 1}')
        log.append(origins(number))
    assert restarts == 40
    assert sum(p.stat().st_size for p in tmp_path.iterdir()) < 1600
    assert len(segment_names(tmp_path)) <= _originlog.MAX_SEGMENTS


def test_a_segment_that_is_no_file_of_ours_hides_no_other(open_log, tmp_path):
    # Guards against one unreadable file that loses all origins.
    log = open_log()
    log.append(origins(1))
    (tmp_path / 'origins-x').write_bytes(b'\xff' * 100)
    (tmp_path / 'origins-5').mkdir()
    payload = messages.encode(messages.OriginRead(b'k'))
    (tmp_path / 'origins-6').write_bytes(_records.encode_record(payload))
    restarted = open_log()
    assert restarted.load() == origins(1)
    restarted.append(origins(2))
    assert open_log().load() == origins(1, 2)


def test_an_unreadable_last_segment_stops_no_later_write(open_log, tmp_path):
    # Guards against a name that is in use, and origins that are never written.
    (tmp_path / 'origins-0').mkdir()
    log = open_log()
    assert log.load() == []
    log.append(origins(1))
    assert open_log().load() == origins(1)


@pytest.mark.parametrize(('replicas', 'wanted'), [(0, 0), (1, 1), (3, 2)])
def test_homes_with_a_disk_come_first(replicas, wanted):
    # Guards against origins that a loss of all processes makes unknown.
    nodes = [
        messages.ControlNode(f'10.0.0.{n}:70', 'dc', n < replicas)
        for n in range(30)
    ]
    for number in range(200):
        homes = decisions.origin_homes(make_origin(f'r{number}').key, nodes)
        with_disk = [n.address for n in nodes[:replicas] if n.address in homes]
        assert len(homes) == decisions.ORIGIN_HOMES
        assert len(with_disk) >= wanted
        assert set(homes[:wanted]) <= set(with_disk)


def test_a_process_that_joins_displaces_only_what_it_replaces():
    # Guards against origins that a new process with a disk moves elsewhere.
    nodes = [
        messages.ControlNode(f'10.0.0.{n}:70', 'dc', n % 3 == 0)
        for n in range(20)
    ]
    for number in range(100):
        key = make_origin(f'r{number}').key
        homes = decisions.origin_homes(key, nodes[1:])
        now = decisions.origin_homes(key, nodes)
        assert set(now) - set(homes) <= {nodes[0].address}


class Transport:
    def __init__(self):
        self.handlers = {}
        self.sent = {}

    def handle(self, kind, handler):
        self.handlers[kind] = handler

    def send(self, address, message):
        self.sent.setdefault(address, []).extend(message.origins)


class StalledLog(node.FileOriginLog):
    """Fails, as on a full disk, until it is told otherwise."""

    full = True

    def append(self, origins):
        if self.full:
            raise errors.StorageError('disk full', 'origins')
        super().append(origins)


def start_server(log, clock, transport):
    view = _clusterview.ClusterView(clock)
    return _origins.OriginServer(transport, view, '10.0.0.0:70', clock, log)


async def wait_until(condition):
    async with asyncio.timeout(5):
        while not condition():
            await asyncio.sleep(0.01)


async def test_a_home_with_a_disk_knows_its_origins_after_a_restart(
    open_log, clock
):
    # Guards against streams that nobody can resume once all were killed.
    server = start_server(open_log(), clock, Transport())
    writing = asyncio.ensure_future(server.write_log())
    await server._on_report(messages.OriginReport(origins(1, 2)))
    await wait_until(lambda: open_log().load() == origins(1, 2))
    writing.cancel()
    transport = Transport()
    restarted = start_server(open_log(), clock, transport)
    reply = await restarted._on_read(
        messages.OriginRead(make_origin('r2').key)
    )
    assert reply.origin.version == 'v1'
    nodes = [
        messages.ControlNode(f'10.0.0.{n}:70', 'dc', n < 3) for n in range(3)
    ]
    await restarted._replicate(nodes)
    assert transport.sent.keys() == {'10.0.0.1:70', '10.0.0.2:70'}
    for sent in transport.sent.values():
        assert [origin.key for origin in sent] == [
            origin.key for origin in origins(1, 2)
        ]


async def test_origins_are_written_once_a_full_disk_has_room(
    tmp_path, clock, monkeypatch, open_log
):
    # Guards against a loop that ends, or origins that are lost, for a disk.
    monkeypatch.setattr(_origins, 'WRITE_RETRY_S', 0.01)
    log = StalledLog(tmp_path, clock)
    server = start_server(log, clock, Transport())
    writing = asyncio.ensure_future(server.write_log())
    await server._on_report(messages.OriginReport(origins(1)))
    await asyncio.sleep(0.1)
    await server._on_report(messages.OriginReport(origins(2)))
    await asyncio.sleep(0.1)
    log.full = False
    await wait_until(lambda: open_log().load() == origins(1, 2))
    writing.cancel()


class SlowLog(node.FileOriginLog):
    """Takes a while to write, as a busy disk does.

    :ivar writing: set once a write has begun.
    :ivar released: the write ends once it is set.
    """

    def __init__(self, folder, clock):
        super().__init__(folder, clock)
        self.writing = threading.Event()
        self.released = threading.Event()

    def append(self, origins):
        self.writing.set()
        self.released.wait(5)
        super().append(origins)


async def stop_writing(writing):
    writing.cancel()
    await asyncio.gather(writing, return_exceptions=True)


async def test_origins_are_written_as_their_process_stops(
    open_log, clock, monkeypatch
):
    # Guards against streams that nobody can resume once all were stopped.
    monkeypatch.setattr(_origins, 'WRITE_INTERVAL_S', 30.0)
    server = start_server(open_log(), clock, Transport())
    writing = asyncio.ensure_future(server.write_log())
    await server._on_report(messages.OriginReport(origins(1)))
    await wait_until(lambda: open_log().load() == origins(1))
    await server._on_report(messages.OriginReport(origins(2)))
    await stop_writing(writing)
    assert open_log().load() == origins(1, 2)


async def test_a_write_that_has_begun_ends_before_its_log_is_closed(
    tmp_path, clock, open_log
):
    # Guards against a record torn by a process that stops.
    log = SlowLog(tmp_path, clock)
    server = start_server(log, clock, Transport())
    writing = asyncio.ensure_future(server.write_log())
    await server._on_report(messages.OriginReport(origins(1)))
    await wait_until(log.writing.is_set)
    await server._on_report(messages.OriginReport(origins(2)))
    asyncio.get_running_loop().call_later(0.2, log.released.set)
    await stop_writing(writing)
    log.close()
    log.released.set()
    assert open_log().load() == origins(1, 2)


async def test_a_full_disk_does_not_delay_a_stop(tmp_path, clock):
    # Guards against a process that is killed before it has closed its files.
    log = StalledLog(tmp_path, clock)
    server = start_server(log, clock, Transport())
    writing = asyncio.ensure_future(server.write_log())
    await server._on_report(messages.OriginReport(origins(1)))
    await asyncio.sleep(0.1)
    async with asyncio.timeout(1.0):
        await stop_writing(writing)


async def test_a_stop_writes_what_a_full_disk_has_refused_before(
    tmp_path, clock, open_log
):
    # Guards against streams that nobody can resume once all were stopped.
    log = StalledLog(tmp_path, clock)
    server = start_server(log, clock, Transport())
    writing = asyncio.ensure_future(server.write_log())
    await server._on_report(messages.OriginReport(origins(1)))
    await asyncio.sleep(0.1)
    log.full = False
    await stop_writing(writing)
    assert open_log().load() == origins(1)
