"""Checksummed records in files of the data folder."""

import os
import re
import struct
import typing as t
import zlib

from bulrushhold.node import _crcranges

_HEADER: t.Final = struct.Struct('<II')


def encode_record(payload: bytes) -> bytes:
    """Return a record: length and checksum of the payload, and the payload."""
    return _HEADER.pack(len(payload), zlib.crc32(payload)) + payload


def record_length(payload: bytes) -> int:
    """Return the length of a record in bytes."""
    return _HEADER.size + len(payload)


def decode_record_at(data: bytes, offset: int) -> bytes | None:
    """Return the payload of the record at an offset; ``None`` if invalid."""
    bounds = _payload_bounds(data, offset)
    if bounds is None:
        return None
    payload = data[slice(*bounds)]
    return (
        payload if zlib.crc32(payload) == _checksum_at(data, offset) else None
    )


def has_valid_record_after(
    data: bytes, offset: int, payload_start: re.Pattern[bytes]
) -> bool:
    """Whether a valid record starts anywhere after ``offset``.

    Takes time proportional to the length of the data, whatever it holds.

    :param payload_start: what the payloads of all records begin with; its
        matches don't overlap.
    """
    found: dict[int, tuple[int, int]] = {}
    for match in payload_start.finditer(data, offset + 1 + _HEADER.size):
        record = match.start() - _HEADER.size
        bounds = _payload_bounds(data, record)
        if bounds is not None:
            found[record] = bounds
    checksums = _crcranges.range_checksums(data, list(found.values()))
    return any(
        _checksum_at(data, record) == checksum
        for record, checksum in zip(found, checksums, strict=True)
    )


def _payload_bounds(data: bytes, offset: int) -> tuple[int, int] | None:
    """Return begin and end of a record's payload, if the data holds it."""
    begin = offset + _HEADER.size
    if begin > len(data):
        return None
    length: int = _HEADER.unpack_from(data, offset)[0]
    end = begin + length
    return (begin, end) if length and end <= len(data) else None


def _checksum_at(data: bytes, offset: int) -> int:
    checksum: int = _HEADER.unpack_from(data, offset)[1]
    return checksum


def write_all(descriptor: int, data: bytes) -> None:
    """Write all bytes to a file.

    :raises OSError: if the disk is full or fails.
    """
    rest = memoryview(data)
    while rest:
        rest = rest[os.write(descriptor, rest) :]


def sync_folder(folder: str | os.PathLike[str]) -> None:
    """Make created, renamed and removed names of a folder durable."""
    descriptor = os.open(folder, os.O_RDONLY)
    try:
        os.fsync(descriptor)
    finally:
        os.close(descriptor)
