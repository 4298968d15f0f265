"""Where streams began, on disk.

The folder holds segments, named ``origins-`` and a number that increases.
After a loss of power the end of a segment may be torn; each start and each
failed write therefore begins a new one.
"""

import collections
import collections.abc as cabc
import os
import pathlib
import time
import typing as t

import attrs
import loguru

from bulrushhold import errors
from bulrushhold import messages
from bulrushhold.node import _records
from bulrushhold import ports

PREFIX: t.Final = 'origins-'
# Longer than any stream may be resumed.
RETENTION_S: t.Final = 150.0
MAX_SEGMENT_BYTES: t.Final = 4 << 20
MAX_SEGMENTS: t.Final = 32
MAX_TOTAL_BYTES: t.Final = 12 << 20


@attrs.define
class _Segment:
    path: pathlib.Path
    size: int
    # Its newest record is at least as old.
    closed_at: float


class FileOriginLog(ports.OriginLog):
    """Stores origins in segments, and removes those that have expired.

    :param folder: the data folder; used by one process at a time.
    """

    def __init__(
        self,
        folder: str | os.PathLike[str],
        clock: cabc.Callable[[], float] = time.monotonic,
    ) -> None:
        self.folder = pathlib.Path(folder)
        self.clock = clock
        self.segments: collections.deque[_Segment] = collections.deque()
        self.next_number = 0
        self.file: t.IO[bytes] | None = None
        self.file_size = 0
        self.opened_at = 0.0

    def load(self) -> list[messages.StreamOrigin]:
        """Return all stored origins; see :meth:`ports.OriginLog.load`."""
        origins: list[messages.StreamOrigin] = []
        for path in sorted(self.folder.glob(f'{PREFIX}*'), key=_number):
            self.next_number = _number(path) + 1
            try:
                data = path.read_bytes()
            except OSError as error:
                self._log(path, str(error))
                continue
            self.segments.append(_Segment(path, len(data), self.clock()))
            origins += self._decode(path, data)
        return origins

    def _decode(
        self, path: pathlib.Path, data: bytes
    ) -> list[messages.StreamOrigin]:
        origins: list[messages.StreamOrigin] = []
        offset = 0
        while offset < len(data):
            payload = _records.decode_record_at(data, offset)
            if payload is None:
                self._log(path, f'torn at offset {offset} of {len(data)}')
                break
            offset += _records.record_length(payload)
            try:
                report = messages.decode(payload)
            except errors.PeerError as error:
                self._log(path, str(error))
                continue
            if isinstance(report, messages.OriginReport):
                origins += report.origins
        return origins

    def append(self, origins: list[messages.StreamOrigin]) -> None:
        """Store origins; see :meth:`ports.OriginLog.append`."""
        record = _records.encode_record(
            messages.encode(messages.OriginReport(origins))
        )
        try:
            file = self._open_segment()
            _records.write_all(file.fileno(), record)
            os.fdatasync(file.fileno())
        except OSError as error:
            # The segment may end in a part of the record.
            self.close()
            raise errors.StorageError(
                str(error), 'origins', str(self.folder)
            ) from error
        self.file_size += len(record)

    def close(self) -> None:
        """Close the current segment."""
        if self.file is None:
            return
        self.file.close()
        self.file = None
        self.segments[-1].size = self.file_size
        self.segments[-1].closed_at = self.clock()

    def _open_segment(self) -> t.IO[bytes]:
        now = self.clock()
        is_full = self.file_size >= MAX_SEGMENT_BYTES
        if is_full or now - self.opened_at >= RETENTION_S:
            self.close()
        if self.file is None:
            self._remove_expired(now)
            path = self.folder / f'{PREFIX}{self.next_number}'
            self.file = open(path, 'xb', buffering=0)
            self.next_number += 1
            self.file_size = 0
            self.opened_at = now
            self.segments.append(_Segment(path, 0, now))
            _records.sync_folder(self.folder)
        return self.file

    def _remove_expired(self, now: float) -> None:
        while self.segments and (
            now - self.segments[0].closed_at >= RETENTION_S
            or len(self.segments) >= MAX_SEGMENTS
            or sum(s.size for s in self.segments) > MAX_TOTAL_BYTES
        ):
            self.segments.popleft().path.unlink(missing_ok=True)

    def _log(self, path: pathlib.Path, reason: str) -> None:
        loguru.logger.bind(file=path.name, reason=reason).warning(
            'origins not loaded'
        )


def _number(path: pathlib.Path) -> int:
    suffix = path.name.removeprefix(PREFIX)
    return int(suffix) if suffix.isdigit() else -1
