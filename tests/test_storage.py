"""The data folder: durability, and detection of damaged files."""

import asyncio
import os

import attrs
import loguru
import pytest

from bulrushhold import control
from bulrushhold.control import _server as control_server
from bulrushhold import errors
from bulrushhold import messages
from bulrushhold import node
from bulrushhold import settings
from tests import conftest

FOUNDING = messages.Config(voters={'c1.founder': '127.0.0.1:1'})


def entries(first, last, term=1):
    return [
        messages.LogEntry(n, term, messages.KIND_COMMAND, b'data %d' % n)
        for n in range(first, last + 1)
    ]


@pytest.fixture
def store(tmp_path):
    log = node.FileLog(tmp_path)
    log.write_identity(node.Identity('c1.founder', FOUNDING))
    log.load(FOUNDING)
    yield log
    log.close()


def reload(store):
    store.close()
    reopened = node.FileLog(store.folder)
    persisted_state = reopened.load(FOUNDING)
    reopened.close()
    return persisted_state


def test_saved_records_are_loaded(store):
    store.save(1, 'c1', entries(1, 3))
    store.save(2, 'c2', [])
    persisted_state = reload(store)
    assert (persisted_state.term, persisted_state.vote) == (2, 'c2')
    assert persisted_state.entries == entries(1, 3)


def test_an_entry_replaces_all_from_its_index_on(store):
    store.save(1, '', entries(1, 5))
    store.save(2, '', entries(3, 3, term=2))
    assert reload(store).entries == entries(1, 2) + entries(3, 3, term=2)


@pytest.mark.parametrize('missing_bytes', [1, 5, 20])
def test_an_incomplete_last_record_is_truncated(store, missing_bytes):
    # The process crashed during a write that was not acknowledged.
    store.save(1, '', entries(1, 1))
    store.save(1, '', entries(2, 2))
    size = store.log_path.stat().st_size
    os.truncate(store.log_path, size - missing_bytes)
    assert reload(store).entries == entries(1, 1)
    reopened = node.FileLog(store.folder)
    reopened.load(FOUNDING)
    reopened.save(1, '', entries(2, 2))
    reopened.close()
    assert reload(store).entries == entries(1, 2)


def test_a_damaged_record_before_the_last_fails_the_load(store):
    # The damaged record was acknowledged: truncating the log before it would
    # lose committed entries.
    store.save(1, '', entries(1, 1))
    offset = store.log_path.stat().st_size
    store.save(1, '', entries(2, 2))
    store.save(1, '', entries(3, 3))
    with store.log_path.open('r+b') as file:
        file.seek(offset + 12)
        file.write(b'\xff')
    with pytest.raises(errors.StorageError) as raised:
        reload(store)
    assert f'offset {offset}' in raised.value.reason
    assert raised.value.peer == str(store.log_path)


@pytest.fixture
def log_lines():
    lines = []
    sink = loguru.logger.add(
        lambda line: lines.append(
            (line.record['message'], line.record['extra'])
        )
    )
    yield lines
    loguru.logger.remove(sink)


def test_a_start_that_hangs_in_its_files_tells_their_size(store, log_lines):
    # Guards against a start that hangs without any line in the log.
    store.save(1, '', entries(1, 2))
    size = store.log_path.stat().st_size
    reload(store)
    [loading, loaded] = log_lines
    assert loading[0] == 'storage loading'
    assert loading[1]['log_bytes'] == size
    assert loaded[0] == 'storage loaded'
    assert (loaded[1]['records'], loaded[1]['entries']) == (1, 2)


def test_an_incomplete_last_record_is_logged(store, log_lines):
    store.save(1, '', entries(1, 1))
    with store.log_path.open('ab') as file:
        file.write(b'torn')
    reload(store)
    assert log_lines[1][1]['truncated_bytes'] == 4


async def test_a_command_that_holds_up_the_process_is_logged(
    make_system, log_lines, monkeypatch
):
    # Guards against silent seconds in which a control process answers nothing.
    system = await make_system()
    monkeypatch.setattr(control_server, 'SLOW_COMMAND_S', 0.0)
    await system.entries['e1'].control.propose(messages.ForgetClaims(0.0), 5)
    slow = [x for name, x in log_lines if name == 'command applied slowly']
    assert slow[-1]['index'] == system.control.replica.applied


def test_a_disk_that_takes_little_at_a_time_gets_no_copies_of_the_rest(
    store, monkeypatch
):
    # Guards against a write of n bytes in k parts that copies n * k bytes.
    write = os.write
    sources = set()

    def write_little(descriptor, data):
        sources.add(id(memoryview(data).obj))
        return write(descriptor, data[:1000])

    monkeypatch.setattr(os, 'write', write_little)
    written = [messages.LogEntry(1, 1, messages.KIND_COMMAND, bytes(50_000))]
    store.save(1, '', written)
    monkeypatch.undo()
    assert len(sources) == 1
    assert reload(store).entries == written


@pytest.mark.parametrize('name', ['identity', 'snapshot'])
def test_a_damaged_identity_or_snapshot_fails_the_load(store, name):
    state = messages.InstallSnapshot(1, '', 2, 1, FOUNDING, b'state', 0)
    store.save_snapshot(state, [])
    path = store.folder / name
    path.write_bytes(path.read_bytes()[:-1] + b'\x00')
    with pytest.raises(errors.StorageError, match=name):
        store.identity()
        reload(store)


def test_a_log_without_an_identity_fails_the_load(store):
    store.save(1, '', entries(1, 1))
    store.identity_path.unlink()
    with pytest.raises(errors.StorageError, match='identity is missing'):
        store.identity()


def test_a_crash_between_snapshot_and_log_loses_nothing(store):
    # The snapshot is in place but the log not yet replaced: entries that the
    # snapshot covers must be skipped, later ones loaded.
    store.save(3, 'c1', entries(1, 5))
    old_log = store.log_path.read_bytes()
    state = messages.InstallSnapshot(3, '', 3, 1, FOUNDING, b'state', 0)
    store.save_snapshot(state, entries(4, 5))
    store.log_path.write_bytes(old_log)
    persisted_state = reload(store)
    assert persisted_state.snapshot.index == 3
    assert persisted_state.entries == entries(4, 5)
    assert (persisted_state.term, persisted_state.vote) == (3, 'c1')


def test_a_failed_sync_raises_a_storage_error(store, monkeypatch):
    # A retried sync may succeed although the kernel dropped the pages.
    def fail(descriptor):
        raise OSError(5, 'Input/output error')

    monkeypatch.setattr(os, 'fdatasync', fail)
    with pytest.raises(errors.StorageError, match='Input/output error'):
        store.save(1, '', entries(1, 1))


def test_a_folder_in_use_is_not_bootstrapped_again(store):
    address = settings.Address('127.0.0.1', 1)
    config = settings.Control(
        'c1', 'north', address, str(store.folder), {'c1': address}
    )
    with pytest.raises(errors.StorageError, match='already belongs'):
        control.bootstrap(config, store)


def test_an_empty_folder_gets_a_new_identity(tmp_path):
    # A replica that lost its disk and kept its identity could vote twice in
    # a term.
    address = settings.Address('127.0.0.1', 1)
    config = settings.Control(
        'c1', 'north', address, str(tmp_path), {'c1': address}
    )
    store = node.FileLog(tmp_path)
    persisted_state, ident = control.open_replica(config, store)
    store.close()
    assert ident.startswith('c1.')
    assert ident != 'c1.founder'
    assert persisted_state.founding == messages.Config()


async def test_a_full_disk_stops_the_control_process(make_system):
    # A command that was not stored must not be acknowledged.
    system = await make_system()

    def fail(*args):
        raise errors.StorageError('No space left on device', 'storage', 'log')

    system.control.store.save = fail
    with pytest.raises(errors.PeerError):
        await system.entries['e1'].control.propose(
            messages.ForgetClaims(0.0), 0.3
        )
    assert isinstance(system.control_task.exception(), errors.StorageError)


async def test_the_table_survives_a_restart_after_500_edits(make_system):
    system = await make_system()
    entry = system.entries['e1']
    rows = list(system.control.state.table.rows())
    for number in range(500):
        row = attrs.evolve(rows[0], priority=number + 1)
        edit = messages.TableEdit(f'n{number}', number + 1, '', 0.0, [row])
        outcome = await entry.control.propose(edit, 5)
        assert outcome.accepted, outcome
    before = system.control.state.table
    await system.restart_control()
    await wait_for_leader(system)
    after = system.control.state.table
    assert after.revision == before.revision == 501
    assert after.rows() == before.rows()
    assert after.outcomes == before.outcomes


async def wait_for_leader(system):
    await conftest.wait_until(
        lambda: system.control.replica.committed_in_term
        and system.control.replica.applied == system.control.replica.commit
    )


async def test_control_stops_if_a_message_arrives_with_the_cancellation(
    system,
):
    # asyncio.wait_for of Python 3.11 may swallow such a cancellation, and the
    # process would never stop.
    system.control.wakeup.set()
    system.control_task.cancel()
    await asyncio.wait([system.control_task], timeout=2.0)
    assert system.control_task.cancelled()


def test_a_partial_write_on_a_full_disk_is_discarded(tmp_path, monkeypatch):
    # Closing the file must not retry the write and raise a second error, and
    # the partial record must be truncated.
    store = node.FileLog(tmp_path)
    store.write_identity(node.Identity('a.founder'))
    store.load(messages.Config())
    store.save(1, 'a', [messages.LogEntry(1, 1, 1, b'kept')])
    real_write = os.write

    def write_half(descriptor, data):
        if len(data) < 20:
            raise OSError(28, 'No space left on device')
        return real_write(descriptor, data[: len(data) // 2])

    monkeypatch.setattr(os, 'write', write_half)
    with pytest.raises(errors.StorageError):
        store.save(1, 'a', [messages.LogEntry(2, 1, 1, bytes(50))])
    store.close()
    monkeypatch.setattr(os, 'write', real_write)
    reopened = node.FileLog(tmp_path)
    persisted_state = reopened.load(messages.Config())
    assert [entry.data for entry in persisted_state.entries] == [b'kept']
    reopened.save(1, 'a', [messages.LogEntry(2, 1, 1, b'next')])
    reopened.close()
    entries = node.FileLog(tmp_path).load(messages.Config()).entries
    assert [entry.data for entry in entries] == [b'kept', b'next']
