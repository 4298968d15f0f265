"""Encodes values as MessagePack, and compresses large ones."""

import typing as t
import zlib

import msgspec

from bulrushhold import errors


def _encode_other(value: t.Any) -> t.Any:
    """Encode strings of other types, such as names of HTTP headers."""
    if isinstance(value, str):
        return str(value)
    raise NotImplementedError(f'cannot encode {type(value).__name__}')


ENCODER: t.Final = msgspec.msgpack.Encoder(enc_hook=_encode_other)


def pack(value: t.Any) -> bytes:
    """Encode and compress a value."""
    return zlib.compress(ENCODER.encode(value), 3)


def unpack(
    data: bytes, decoder: 'msgspec.msgpack.Decoder[t.Any]', name: str
) -> t.Any:
    """Decompress and decode a value.

    :param name: what the value is, for error messages.
    :raises PeerError: if it is malformed.
    """
    try:
        return decoder.decode(zlib.decompress(data))
    except (msgspec.DecodeError, zlib.error) as error:
        raise errors.PeerError(
            f'malformed {name}: {error}', 'decode'
        ) from error
