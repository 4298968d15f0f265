"""Lists that processes copy from each other, and their encoding."""

import typing as t

import attrs
import msgspec
import xxhash

from bulrushhold.messages import _packing


class ListItem(t.Protocol):
    """An item of a list, with what identifies it among the others."""

    @property
    def ident(self) -> str:
        """Equal in lists that hold the same item, with other fields too."""


Item = t.TypeVar('Item', bound=ListItem)


@attrs.frozen
class ListSplice(t.Generic[Item]):
    """Replaces items ``start`` to ``end``, exclusive, of a list by others.

    :param start: index in the list before all splices.
    :param end: likewise.
    :param items: the items that take their place.
    """

    start: int
    end: int
    items: list[Item]


@attrs.frozen
class ListUpdate:
    """A list, or its difference to an earlier list.

    :param digest: digest of the list, by :meth:`ListCodec.digest`.
    :param packed: the list as encoded by :meth:`ListCodec.pack`, or its
        splices as encoded by :meth:`ListCodec.pack_splices`.
    :param base: digest of the list to which the splices apply; empty for a
        full list.
    """

    digest: bytes
    packed: bytes
    base: bytes = b''


class ListCodec(t.Generic[Item]):
    """Encodes and decodes lists of one class of items.

    :param name: what the list is, for error messages.
    """

    def __init__(self, item_class: type[Item], name: str) -> None:
        self.name = name
        self.decoder = msgspec.msgpack.Decoder(t.cast(t.Any, list)[item_class])
        self.splices_decoder = msgspec.msgpack.Decoder(
            t.cast(t.Any, list)[t.cast(t.Any, ListSplice)[item_class]]
        )

    def pack(self, items: list[Item]) -> bytes:
        """Encode and compress a list, keeping its order."""
        return _packing.pack(items)

    def unpack(self, data: bytes) -> list[Item]:
        """Decompress and decode a list.

        :raises PeerError: if it is malformed.
        """
        return t.cast(
            list[Item], _packing.unpack(data, self.decoder, self.name)
        )

    def digest(self, items: list[Item]) -> bytes:
        """Return 16 bytes that identify a list.

        Lists with equal items in the same order have equal digests.
        """
        return xxhash.xxh3_128_digest(_packing.ENCODER.encode(items))

    def pack_splices(self, splices: list[ListSplice[Item]]) -> bytes:
        """Encode and compress the splices of a list."""
        return _packing.pack(splices)

    def unpack_splices(self, data: bytes) -> list[ListSplice[Item]]:
        """Decompress and decode the splices of a list.

        :raises PeerError: if they are malformed.
        """
        return t.cast(
            list[ListSplice[Item]],
            _packing.unpack(
                data, self.splices_decoder, f'{self.name} splices'
            ),
        )
