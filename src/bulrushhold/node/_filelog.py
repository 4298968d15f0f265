"""The replicated log on disk, as checksummed and synced records.

The data folder holds ``identity`` (the replica's identity), ``snapshot``
(the state up to an index) and ``log`` (the entries after it). Files are
replaced atomically: write, sync, rename, sync the folder.
"""

import os
import pathlib
import re
import time
import typing as t

import attrs
import loguru
import msgspec

from bulrushhold import decisions
from bulrushhold import errors
from bulrushhold import messages
from bulrushhold.node import _records
from bulrushhold import ports

# How the encoding of each ``_Record`` begins: a map of three fields, and the
# name of the first. Python and msgspec decide their order, so that logs of
# other versions may have another one.
_RECORD_START: t.Final = re.compile(rb'\x83(?:\xa4term|\xa4vote|\xa7entries)')


@attrs.frozen
class Identity:
    """The identity of a replica; a replaced disk gets a new one.

    :param founding: the initial voters, if this replica is one of them;
        empty for a replica that joined later.
    """

    replica: str
    founding: messages.Config = attrs.field(factory=messages.Config)


@attrs.frozen
class _Record:
    """One synced write: term, vote and entries."""

    term: int
    vote: str
    entries: list[messages.LogEntry]


_RECORD_DECODER = msgspec.msgpack.Decoder(_Record)
_SNAPSHOT_DECODER = msgspec.msgpack.Decoder(messages.InstallSnapshot)


class FileLog(ports.LogStore):
    """Stores log, snapshot and identity of one replica.

    :param folder: the data folder; used by one process at a time.
    """

    def __init__(self, folder: str | os.PathLike[str]) -> None:
        self.folder = pathlib.Path(folder)
        self.log_path = self.folder / 'log'
        self.snapshot_path = self.folder / 'snapshot'
        self.identity_path = self.folder / 'identity'
        self.file: t.IO[bytes] | None = None
        self.term = 0
        self.vote = ''

    def identity(self) -> Identity | None:
        """Return the stored identity, or ``None`` if the folder is empty.

        :raises StorageError: if it is damaged, or is missing while a log
            or a snapshot exists.
        """
        data = self._read(self.identity_path)
        if data is None:
            if self.log_path.exists() or self.snapshot_path.exists():
                raise self._error('identity is missing', self.identity_path)
            return None
        payloads, _ = self._read_records(
            data, self.identity_path, allow_torn_tail=False
        )
        try:
            return msgspec.msgpack.decode(payloads[0], type=Identity)
        except (msgspec.DecodeError, IndexError) as error:
            raise self._error('damaged', self.identity_path) from error

    def write_identity(self, identity: Identity) -> None:
        """Store the identity of a new replica."""
        self.folder.mkdir(parents=True, exist_ok=True)
        payload = msgspec.msgpack.encode(identity)
        self._replace(self.identity_path, _records.encode_record(payload))

    def load(self, founding: messages.Config) -> decisions.PersistedState:
        """Read snapshot and log; truncate an incomplete last record.

        :raises StorageError: for any other damage, with file and offset.
        """
        started_at = time.monotonic()
        persisted_state = decisions.PersistedState(founding=founding)
        snapshot = self._read(self.snapshot_path)
        data = self._read(self.log_path) or b''
        # Written before the files are decoded: a process that hangs there
        # has logged nothing else yet.
        loguru.logger.bind(
            folder=str(self.folder),
            snapshot_bytes=len(snapshot or b''),
            log_bytes=len(data),
        ).info('storage loading')
        if snapshot is not None:
            persisted_state.snapshot = self._load_snapshot(snapshot)
        payloads, valid_length = self._read_records(
            data, self.log_path, allow_torn_tail=True
        )
        for payload in payloads:
            self._replay(_RECORD_DECODER.decode(payload), persisted_state)
        if persisted_state.snapshot is not None:
            persisted_state.term = max(
                persisted_state.term, persisted_state.snapshot.term
            )
        self.term, self.vote = persisted_state.term, persisted_state.vote
        self._open_log(valid_length)
        loguru.logger.bind(
            records=len(payloads),
            entries=len(persisted_state.entries),
            truncated_bytes=len(data) - valid_length,
            seconds=round(time.monotonic() - started_at, 3),
        ).info('storage loaded')
        return persisted_state

    def save(
        self, term: int, vote: str, entries: list[messages.LogEntry]
    ) -> None:
        """Append a record and sync the file."""
        self.term, self.vote = term, vote
        payload = msgspec.msgpack.encode(_Record(term, vote, entries))
        try:
            assert self.file is not None
            _records.write_all(
                self.file.fileno(), _records.encode_record(payload)
            )
            os.fdatasync(self.file.fileno())
        except OSError as error:
            # After a failed sync the kernel may have dropped the pages, and
            # a second sync would succeed without them. So it is not retried:
            # the process has to restart and read the files again.
            raise self._error(str(error), self.log_path) from error

    def save_snapshot(
        self, snapshot: messages.InstallSnapshot, tail: list[messages.LogEntry]
    ) -> None:
        """Store a snapshot, then replace the log by ``tail``.

        A crash between the two leaves the new snapshot with the old log;
        ``load`` skips entries that the snapshot covers.

        :param tail: the log entries after the snapshot.
        """
        self._replace(
            self.snapshot_path,
            _records.encode_record(msgspec.msgpack.encode(snapshot)),
        )
        record = _Record(self.term, self.vote, tail)
        if self.file is not None:
            self.file.close()
        self._replace(
            self.log_path,
            _records.encode_record(msgspec.msgpack.encode(record)),
        )
        self._open_log(self.log_path.stat().st_size)

    def close(self) -> None:
        """Close the log file."""
        if self.file is not None:
            self.file.close()
            self.file = None

    def _load_snapshot(self, data: bytes) -> messages.InstallSnapshot:
        payloads, _ = self._read_records(
            data, self.snapshot_path, allow_torn_tail=False
        )
        try:
            return _SNAPSHOT_DECODER.decode(payloads[0])
        except (msgspec.DecodeError, IndexError) as error:
            raise self._error('damaged', self.snapshot_path) from error

    def _replay(
        self, record: _Record, persisted_state: decisions.PersistedState
    ) -> None:
        persisted_state.term, persisted_state.vote = record.term, record.vote
        snapshot_index = (
            persisted_state.snapshot.index if persisted_state.snapshot else 0
        )
        for entry in record.entries:
            if entry.index <= snapshot_index:
                continue
            position = entry.index - snapshot_index - 1
            if position > len(persisted_state.entries):
                raise self._error(
                    f'entries before {entry.index} are missing', self.log_path
                )
            del persisted_state.entries[position:]
            persisted_state.entries.append(entry)

    def _read_records(
        self, data: bytes, path: pathlib.Path, *, allow_torn_tail: bool
    ) -> tuple[list[bytes], int]:
        """Return the payloads and the length of the valid data.

        An incomplete last record was never acknowledged and may be dropped.
        An invalid record before a valid one may have been acknowledged, so
        loading fails.
        """
        payloads: list[bytes] = []
        offset = 0
        while offset < len(data):
            payload = _records.decode_record_at(data, offset)
            if payload is None:
                if allow_torn_tail and not _records.has_valid_record_after(
                    data, offset, _RECORD_START
                ):
                    break
                raise self._error(f'damaged at offset {offset}', path)
            payloads.append(payload)
            offset += _records.record_length(payload)
        return payloads, offset

    def _open_log(self, length: int) -> None:
        try:
            # Unbuffered, so that close() doesn't retry a write that failed
            # on a full disk.
            self.file = open(self.log_path, 'ab', buffering=0)
            self.file.truncate(length)
            os.fsync(self.file.fileno())
            _records.sync_folder(self.folder)
        except OSError as error:
            raise self._error(str(error), self.log_path) from error

    def _read(self, path: pathlib.Path) -> bytes | None:
        try:
            return path.read_bytes()
        except FileNotFoundError:
            return None
        except OSError as error:
            raise self._error(str(error), path) from error

    def _replace(self, path: pathlib.Path, data: bytes) -> None:
        temporary = path.with_suffix('.new')
        try:
            with open(temporary, 'wb') as file:
                file.write(data)
                file.flush()
                os.fsync(file.fileno())
            os.replace(temporary, path)
            _records.sync_folder(self.folder)
        except OSError as error:
            raise self._error(str(error), path) from error

    def _error(self, reason: str, path: pathlib.Path) -> errors.StorageError:
        return errors.StorageError(reason, 'storage', str(path))
