"""CRC-32 checksums of many ranges of the same data, in one pass over it.

CRC-32 is linear over GF(2): for the concatenation of two byte strings, the
checksum is that of the second, plus that of the first times ``x`` to the power
of the second's length in bits, modulo the polynomial of the CRC. So a range's
checksum follows from those of the two prefixes that end at its bounds.

Source: Ross Williams, "A painless guide to CRC error detection algorithms";
Mark Adler's ``crc32_combine`` in zlib uses the same identity.
"""

import collections.abc as cabc
import functools
import typing as t
import zlib

# Reflected, as in zlib: the most significant bit is the coefficient of x**0.
_POLYNOMIAL: t.Final = 0xEDB88320
_ONE: t.Final = 1 << 31
_X_TO_THE_8: t.Final = 1 << 23


def range_checksums(
    data: bytes, ranges: cabc.Sequence[tuple[int, int]]
) -> list[int]:
    """Return the CRC-32 of each of some ranges, which may overlap.

    Takes time proportional to the length of the data plus, but for sorting,
    the number of ranges.

    :param ranges: begin and end of each, as offsets in bytes.
    """
    prefixes = _prefix_checksums(
        data, {x for bounds in ranges for x in bounds}
    )
    return [
        prefixes[end] ^ _multiply(_power(end - begin), prefixes[begin])
        for begin, end in ranges
    ]


def _prefix_checksums(data: bytes, ends: set[int]) -> dict[int, int]:
    view = memoryview(data)
    checksums = {}
    checksum = previous = 0
    for end in sorted(ends):
        checksum = zlib.crc32(view[previous:end], checksum)
        checksums[end] = checksum
        previous = end
    return checksums


def _power(length: int) -> int:
    """Return what multiplies a checksum that ``length`` bytes follow."""
    power = _ONE
    for position, byte in enumerate(length.to_bytes(8, 'little')):
        if byte:
            power = _multiply(_byte_powers(position)[byte], power)
    return power


@functools.cache
def _byte_powers(position: int) -> list[int]:
    """Return ``x`` to the powers of ``8 * 256 ** position * n``.

    :return: for each ``n``, the value of the length's byte at a position.
    """
    if position == 0:
        step = _X_TO_THE_8
    else:
        previous = _byte_powers(position - 1)
        step = _multiply(previous[255], previous[1])
    powers = [_ONE]
    for _ in range(255):
        powers.append(_multiply(powers[-1], step))
    return powers


def _multiply(a: int, b: int) -> int:
    """Multiply two polynomials modulo that of the CRC."""
    product = 0
    while a:
        if a & _ONE:
            product ^= b
        a = a << 1 & 0xFFFFFFFF
        b = b >> 1 ^ _POLYNOMIAL if b & 1 else b >> 1
    return product
