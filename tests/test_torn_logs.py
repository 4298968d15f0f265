"""Logs that end in a part of a record, as after a kill in a write."""

import itertools
import os
import random
import re
import struct
import zlib

import hypothesis
import hypothesis.strategies as st
import pytest

from bulrushhold import errors
from bulrushhold import messages
from bulrushhold import node
from bulrushhold.node import _crcranges
from bulrushhold.node import _records

FOUNDING = messages.Config(voters={'c1.founder': '127.0.0.1:1'})
FIRST_FIELDS = [b'\x83\xa4term', b'\x83\xa4vote', b'\x83\xa7entries']
PREFIX = FIRST_FIELDS[0]
START = re.compile(b'|'.join(FIRST_FIELDS))


def entry(index, data):
    return messages.LogEntry(index, 1, messages.KIND_COMMAND, data)


def acknowledged():
    return [entry(1, b'first'), entry(2, b'second')]


@pytest.fixture
def folder(tmp_path):
    log = node.FileLog(tmp_path)
    log.write_identity(node.Identity('c1.founder', FOUNDING))
    log.load(FOUNDING)
    log.save(1, '', acknowledged())
    log.close()
    return tmp_path


def load(folder):
    log = node.FileLog(folder)
    try:
        return log.load(FOUNDING)
    finally:
        log.close()


def record_of(size, folder):
    """Return a record as a write of two large entries appends it."""
    before = (folder / 'log').read_bytes()
    log = node.FileLog(folder)
    log.load(FOUNDING)
    rng = random.Random(86)
    log.save(1, '', [entry(n, rng.randbytes(size // 2)) for n in (3, 4)])
    log.close()
    data = (folder / 'log').read_bytes()
    (folder / 'log').write_bytes(before)
    return data[len(before) :]


def half(record):
    return record[: len(record) // 2]


def nearly_whole(record):
    return record[: len(record) * 99 // 100]


def half_and_zeros(record):
    return half(record) + bytes(len(record) - len(record) // 2)


def zeros_and_half(record):
    return bytes(len(record) // 2) + record[len(record) // 2 :]


def hole(record):
    middle = len(record) // 2
    return record[:middle] + bytes(4096) + record[middle + 4096 :]


def only_zeros(record):
    return bytes(len(record))


def headers_in_a_row(record):
    """Begin a record that seems to fit every few bytes."""
    step = 8 + len(PREFIX)
    return b''.join(
        struct.pack('<II', len(record) - offset - 8, 0) + PREFIX
        for offset in range(0, len(record) - step, step)
    )


PARTS = [
    half,
    nearly_whole,
    half_and_zeros,
    zeros_and_half,
    hole,
    only_zeros,
    headers_in_a_row,
]


@pytest.fixture
def processed(monkeypatch):
    """Counts the bytes that are copied or checksummed in a load."""
    sizes = []
    crc32 = zlib.crc32
    read = node.FileLog._read

    class CountedBytes(bytes):
        def __getitem__(self, key):
            part = super().__getitem__(key)
            if isinstance(key, slice):
                sizes.append(len(part))
            return part

    def count(data, value=0):
        sizes.append(len(data))
        return crc32(data, value)

    def read_counted(self, path):
        data = read(self, path)
        return None if data is None else CountedBytes(data)

    monkeypatch.setattr(zlib, 'crc32', count)
    monkeypatch.setattr(node.FileLog, '_read', read_counted)
    return sizes


@pytest.mark.parametrize('part', PARTS)
def test_a_part_of_a_large_record_does_not_hang_the_start(
    folder, part, processed
):
    # Guards against a search of the rest that grows with its square.
    torn = part(record_of(200_000, folder))
    with (folder / 'log').open('ab') as file:
        file.write(torn)
    size = (folder / 'log').stat().st_size
    processed.clear()
    assert load(folder).entries == acknowledged()
    assert sum(processed) <= 3 * size
    assert len(processed) <= size // 6


@pytest.mark.parametrize('part', PARTS)
def test_a_part_before_a_whole_record_fails_the_load(folder, part):
    # Guards against the loss of what was acknowledged behind damage.
    record = record_of(20_000, folder)
    offset = (folder / 'log').stat().st_size
    with (folder / 'log').open('ab') as file:
        file.write(part(record) + record)
    with pytest.raises(errors.StorageError, match=f'offset {offset}'):
        load(folder)


FIELDS = {
    'term': b'\xa4term\x01',
    'vote': b'\xa4vote\xa0',
    'entries': b'\xa7entries\x91\x84'
    b'\xa4data\xc4\x06data 1\xa5index\x01\xa4kind\x01\xa4term\x01',
}


@pytest.fixture(params=itertools.permutations(FIELDS), ids='-'.join)
def earlier_record(request):
    """A record as versions wrote it that encode the fields in some order."""
    payload = b'\x83' + b''.join(FIELDS[name] for name in request.param)
    return struct.pack('<II', len(payload), zlib.crc32(payload)) + payload


def test_logs_of_earlier_versions_are_read(folder, earlier_record):
    (folder / 'log').write_bytes(earlier_record + earlier_record[:-1])
    assert load(folder).entries == [entry(1, b'data 1')]


def test_damage_in_a_log_of_an_earlier_version_fails_the_load(
    folder, earlier_record
):
    # Guards against a search that knows only how this version encodes.
    damaged = earlier_record[:-1] + b'?'
    (folder / 'log').write_bytes(damaged + earlier_record)
    with pytest.raises(errors.StorageError, match='offset 0'):
        load(folder)


@pytest.mark.parametrize('term', [0, 1, 200, 1 << 40])
def test_the_search_finds_a_record_of_many_entries(folder, term):
    log = node.FileLog(folder)
    log.load(FOUNDING)
    log.save(term, 'c1', [entry(n, b'x') for n in range(1, 100)])
    log.close()
    with (folder / 'log').open('r+b') as file:
        file.write(b'?')
    with pytest.raises(errors.StorageError, match='offset 0'):
        load(folder)


def contains_record(data, offset):
    """Search at each offset, as a reference."""
    return any(
        payload is not None and START.match(payload)
        for payload in (
            _records.decode_record_at(data, start)
            for start in range(offset + 1, len(data) - 8)
        )
    )


@hypothesis.given(
    st.lists(
        st.one_of(
            st.binary(max_size=8),
            st.sampled_from(FIRST_FIELDS),
            st.integers(0, 30).map(lambda n: struct.pack('<I', n)),
            st.binary(max_size=6).map(
                lambda data: _records.encode_record(FIRST_FIELDS[1] + data)
            ),
        ),
        max_size=12,
    ).map(b''.join),
    st.integers(0, 40),
)
def test_the_search_finds_what_a_search_at_each_offset_finds(data, offset):
    found = _records.has_valid_record_after(data, offset, START)
    assert found == contains_record(data, offset)


@hypothesis.given(st.binary(max_size=2000), st.data())
def test_checksums_of_ranges_are_those_of_their_bytes(data, draw):
    bound = st.integers(0, len(data))
    ranges = draw.draw(st.lists(st.tuples(bound, bound).map(sorted)))
    assert _crcranges.range_checksums(data, ranges) == [
        zlib.crc32(data[begin:end]) for begin, end in ranges
    ]


def test_a_checksum_of_a_long_range_is_that_of_its_bytes():
    data = os.urandom((1 << 24) + 5)
    [checksum] = _crcranges.range_checksums(data, [(3, len(data))])
    assert checksum == zlib.crc32(data[3:])
