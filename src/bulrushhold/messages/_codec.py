"""Encodes and decodes messages as MessagePack."""

import typing as t
import zlib

import attrs
import msgspec
import xxhash

from bulrushhold import errors
from bulrushhold.messages import _entries
from bulrushhold.messages import _fleet
from bulrushhold.messages import _log
from bulrushhold.messages import _origins
from bulrushhold.messages import _peerproxy
from bulrushhold.messages import _places
from bulrushhold.messages import _rollouts
from bulrushhold.messages import _scheduling
from bulrushhold.messages import _state
from bulrushhold import routes


@attrs.frozen
class Failure:
    """Error reply to a request whose handler failed."""

    reason: str


Message = t.Any

_CLASSES: t.Final[tuple[type, ...]] = (
    _log.VoteRequest,
    _log.VoteReply,
    _log.AppendRequest,
    _log.AppendReply,
    _log.InstallSnapshot,
    _log.CoreRead,
    _log.CoreReply,
    _log.Found,
    _log.JoinReply,
    _log.JoinRequest,
    _state.TableEdit,
    _state.EditOutcome,
    _state.Claim,
    _state.ClaimEnd,
    _state.ClaimOutcome,
    _state.ForgetClaims,
    _state.Quarantine,
    _state.Suspected,
    _state.VersionsRecord,
    _state.Proposal,
    _state.ProposalReply,
    _state.TableRead,
    _state.TableReply,
    _state.HistoryRead,
    _state.HistoryReply,
    _state.StatusRead,
    _state.StatusReply,
    _entries.PointerTake,
    _entries.PointerState,
    _entries.CopyBatch,
    _entries.CopyBatchAck,
    _entries.CopyTake,
    _entries.CopyState,
    _entries.QuotaAsk,
    _entries.QuotaGrant,
    _entries.MemberNews,
    _entries.Probe,
    _entries.ProbeFor,
    _entries.ProbeReply,
    _fleet.RouteMapPut,
    _fleet.RouteMapOutcome,
    _fleet.RouteMapRead,
    _fleet.RouteMapReply,
    _fleet.LoadReport,
    _fleet.NodeLoad,
    _fleet.NodeWatch,
    _fleet.PermitAsk,
    _fleet.PermitGrant,
    _fleet.Received,
    _fleet.Watch,
    _fleet.WatchReply,
    _origins.OriginReport,
    _origins.OriginRead,
    _origins.OriginReply,
    _peerproxy.ProxiedAttempt,
    _peerproxy.ProxiedHead,
    _peerproxy.ProxyFailure,
    _peerproxy.ProxiedProbe,
    _peerproxy.ProxiedConnect,
    _peerproxy.ProxiedSegmentsRead,
    _peerproxy.ProxiedCopy,
    _peerproxy.ProxiedCopyDrop,
    _peerproxy.ProxyAnswer,
    _places.PlaceAsk,
    _places.PlaceGrant,
    _places.PlaceReport,
    _rollouts.RolloutOrder,
    _rollouts.RolloutStart,
    _rollouts.RolloutOutcome,
    _rollouts.RolloutProgress,
    _rollouts.RolloutEnd,
    _rollouts.RolloutRead,
    _rollouts.RolloutReply,
    _scheduling.PromisedReturn,
    _scheduling.StreamAsk,
    _scheduling.StreamPoll,
    _scheduling.StreamCancel,
    _scheduling.StreamDecision,
    Failure,
)
_DECODERS = {cls.__name__: msgspec.msgpack.Decoder(cls) for cls in _CLASSES}
_ENVELOPE = msgspec.msgpack.Decoder(tuple[str, msgspec.Raw])


def _encode_other(value: t.Any) -> t.Any:
    """Encode strings of other types, such as names of HTTP headers."""
    if isinstance(value, str):
        return str(value)
    raise NotImplementedError(f'cannot encode {type(value).__name__}')


_ENCODER = msgspec.msgpack.Encoder(enc_hook=_encode_other)


def encode(message: Message) -> bytes:
    """Return the wire format of a message: class name and fields."""
    return _ENCODER.encode((type(message).__name__, message))


def decode(data: bytes) -> Message:
    """Decode a message.

    :raises PeerError: if it is malformed or of an unknown class.
    """
    try:
        name, body = _ENVELOPE.decode(data)
        return _DECODERS[name].decode(body)
    except (msgspec.DecodeError, KeyError) as error:
        raise errors.PeerError(
            f'malformed message: {error}', 'decode'
        ) from error


@attrs.frozen
class _MapServices:
    """The part of a route map that describes its services."""

    services: list[routes.Service] = attrs.field(factory=list)


_MAP_DECODER = msgspec.msgpack.Decoder(routes.RouteMap)
_SERVICES_DECODER = msgspec.msgpack.Decoder(_MapServices)
_ENTRIES_DECODER = msgspec.msgpack.Decoder(list[_fleet.ListedEntry])
_BACKENDS_DECODER = msgspec.msgpack.Decoder(list[_fleet.ListedBackend])
_SPLICES_DECODER = msgspec.msgpack.Decoder(list[_fleet.ListSplice])


def pack_map(route_map: routes.RouteMap) -> bytes:
    """Encode and compress a route map, as links to entries may be slow."""
    return _pack(route_map)


def unpack_map(data: bytes) -> routes.RouteMap:
    """Decompress and decode a route map.

    :raises PeerError: if it is malformed.
    """
    return t.cast(routes.RouteMap, _unpack(data, _MAP_DECODER, 'route map'))


def unpack_services(data: bytes) -> list[routes.Service]:
    """Return a packed route map's services, without decoding the rest.

    :raises PeerError: if the map is malformed.
    """
    described = _unpack(data, _SERVICES_DECODER, 'route map')
    return t.cast(_MapServices, described).services


def pack_entries(entries: list[_fleet.ListedEntry]) -> bytes:
    """Encode and compress a list of entries, keeping its order."""
    return _pack(entries)


def unpack_entries(data: bytes) -> list[_fleet.ListedEntry]:
    """Decompress and decode a list of entries.

    :raises PeerError: if it is malformed.
    """
    return t.cast(
        list[_fleet.ListedEntry],
        _unpack(data, _ENTRIES_DECODER, 'entry list'),
    )


def pack_backends(backends: list[_fleet.ListedBackend]) -> bytes:
    """Encode and compress a list of backend servers, keeping its order."""
    return _pack(backends)


def unpack_backends(data: bytes) -> list[_fleet.ListedBackend]:
    """Decompress and decode a list of backend servers.

    :raises PeerError: if it is malformed.
    """
    return t.cast(
        list[_fleet.ListedBackend],
        _unpack(data, _BACKENDS_DECODER, 'backend list'),
    )


def backends_digest(backends: list[_fleet.ListedBackend]) -> bytes:
    """Return 16 bytes that identify a list of backend servers.

    Lists with equal servers in the same order have equal digests.
    """
    return xxhash.xxh3_128_digest(_ENCODER.encode(backends))


def pack_splices(splices: list[_fleet.ListSplice]) -> bytes:
    """Encode and compress the splices of a list of backend servers."""
    return _pack(splices)


def unpack_splices(data: bytes) -> list[_fleet.ListSplice]:
    """Decompress and decode the splices of a list of backend servers.

    :raises PeerError: if they are malformed.
    """
    return t.cast(
        list[_fleet.ListSplice],
        _unpack(data, _SPLICES_DECODER, 'backend list splices'),
    )


def _pack(value: t.Any) -> bytes:
    return zlib.compress(_ENCODER.encode(value), 3)


def _unpack(
    data: bytes, decoder: 'msgspec.msgpack.Decoder[t.Any]', name: str
) -> t.Any:
    try:
        return decoder.decode(zlib.decompress(data))
    except (msgspec.DecodeError, zlib.error) as error:
        raise errors.PeerError(
            f'malformed {name}: {error}', 'decode'
        ) from error
