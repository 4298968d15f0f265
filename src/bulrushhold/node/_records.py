"""Checksummed records in files of the data folder."""

import os
import struct
import typing as t
import zlib

_HEADER: t.Final = struct.Struct('<II')


def encode_record(payload: bytes) -> bytes:
    """Return a record: length and checksum of the payload, and the payload."""
    return _HEADER.pack(len(payload), zlib.crc32(payload)) + payload


def record_length(payload: bytes) -> int:
    """Return the length of a record in bytes."""
    return _HEADER.size + len(payload)


def decode_record_at(data: bytes, offset: int) -> bytes | None:
    """Return the payload of the record at an offset; ``None`` if invalid."""
    start = offset + _HEADER.size
    if start > len(data):
        return None
    length, checksum = _HEADER.unpack_from(data, offset)
    payload = data[start : start + length]
    if length == 0 or len(payload) < length:
        return None
    return payload if zlib.crc32(payload) == checksum else None


def has_valid_record_after(data: bytes, offset: int) -> bool:
    """Whether a valid record starts anywhere after ``offset``."""
    return any(
        decode_record_at(data, start) is not None
        for start in range(offset + 1, len(data) - _HEADER.size)
    )


def write_all(descriptor: int, data: bytes) -> None:
    """Write all bytes to a file.

    :raises OSError: if the disk is full or fails.
    """
    while data:
        data = data[os.write(descriptor, data) :]


def sync_folder(folder: str | os.PathLike[str]) -> None:
    """Make created, renamed and removed names of a folder durable."""
    descriptor = os.open(folder, os.O_RDONLY)
    try:
        os.fsync(descriptor)
    finally:
        os.close(descriptor)
