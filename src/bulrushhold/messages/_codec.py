"""Encodes and decodes messages as MessagePack."""

import typing as t

import attrs
import msgspec

from bulrushhold import errors
from bulrushhold.messages import _entries
from bulrushhold.messages import _fleet
from bulrushhold.messages import _lists
from bulrushhold.messages import _loads
from bulrushhold.messages import _log
from bulrushhold.messages import _origins
from bulrushhold.messages import _packing
from bulrushhold.messages import _peerproxy
from bulrushhold.messages import _places
from bulrushhold.messages import _retries
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
    _fleet.NodeWatch,
    _fleet.PermitAsk,
    _fleet.PermitGrant,
    _fleet.Watch,
    _fleet.WatchReply,
    _loads.LoadReport,
    _loads.NodeLoad,
    _loads.Received,
    _origins.OriginReport,
    _origins.OriginRead,
    _origins.OriginReply,
    _peerproxy.ProxiedAttempt,
    _peerproxy.ProxiedHead,
    _peerproxy.ProxyFailure,
    _peerproxy.ProxiedProbe,
    _peerproxy.ProxiedConnect,
    _peerproxy.ProxiedEndCheck,
    _peerproxy.ProxiedStartRead,
    _peerproxy.ProxiedSegmentsRead,
    _peerproxy.ProxiedCopy,
    _peerproxy.ProxiedCopyDrop,
    _peerproxy.ProxyAnswer,
    _places.PlaceAsk,
    _places.PlaceGrant,
    _places.PlaceReport,
    _retries.RetryAsk,
    _retries.RetryGrant,
    _retries.RetryPoolCopy,
    _retries.RetryPoolUpdate,
    _retries.RetryDelay,
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


def encode(message: Message) -> bytes:
    """Return the wire format of a message: class name and fields."""
    return _packing.ENCODER.encode((type(message).__name__, message))


def decode(data: bytes) -> Message:
    """Decode a message.

    :raises PeerError: if it is malformed or of an unknown class.
    """
    try:
        name, body = _ENVELOPE.decode(data)
        return _DECODERS[name].decode(body)
    except (msgspec.DecodeError, KeyError, RecursionError) as error:
        raise errors.PeerError(
            f'malformed message: {error}', 'decode'
        ) from error


@attrs.frozen
class _MapServices:
    """The part of a route map that describes its services."""

    services: list[routes.Service] = attrs.field(factory=list)


@attrs.frozen
class _MapRoutes:
    """The part of a route map that describes its routes."""

    # Quoted, as the field hides the module in this class.
    routes: 'list[routes.Route]' = attrs.field(factory=list)


_MAP_DECODER = msgspec.msgpack.Decoder(routes.RouteMap)
_SERVICES_DECODER = msgspec.msgpack.Decoder(_MapServices)
_ROUTES_DECODER = msgspec.msgpack.Decoder(_MapRoutes)

BACKEND_LIST: t.Final = _lists.ListCodec(_fleet.ListedBackend, 'backend list')
ENTRY_LIST: t.Final = _lists.ListCodec(_fleet.ListedEntry, 'entry list')


def pack_map(route_map: routes.RouteMap) -> bytes:
    """Encode and compress a route map, as links to entries may be slow."""
    return _packing.pack(route_map)


def unpack_map(data: bytes) -> routes.RouteMap:
    """Decompress and decode a route map.

    :raises PeerError: if it is malformed.
    """
    return t.cast(
        routes.RouteMap, _packing.unpack(data, _MAP_DECODER, 'route map')
    )


def unpack_services(data: bytes) -> list[routes.Service]:
    """Return a packed route map's services, without decoding the rest.

    :raises PeerError: if the map is malformed.
    """
    described = _packing.unpack(data, _SERVICES_DECODER, 'route map')
    return t.cast(_MapServices, described).services


def unpack_routes(data: bytes) -> list[routes.Route]:
    """Return a packed route map's routes, without decoding the rest.

    :raises PeerError: if the map is malformed.
    """
    described = _packing.unpack(data, _ROUTES_DECODER, 'route map')
    return t.cast(_MapRoutes, described).routes
