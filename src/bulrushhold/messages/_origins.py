"""Messages about where streams began."""

import attrs
import msgspec


@attrs.frozen
class StreamOrigin:
    """The service and the software version that began a stream.

    :param key: see :func:`decisions.origin_key`.
    :param version: empty if it isn't known.
    :param lifetime_s: time for which the stream may be resumed.
    :param version_unknown: ``True`` if the version will never be known; not
        encoded otherwise.
    """

    key: bytes
    service: str
    version: str
    lifetime_s: float
    version_unknown: bool | msgspec.UnsetType = attrs.field(
        default=msgspec.UNSET,
        converter=lambda unknown: unknown or msgspec.UNSET,
    )

    @property
    def version_known(self) -> bool:
        """Whether the version is known."""
        return not self.version_unknown


@attrs.frozen
class PendingOrigin:
    """A stream that has begun at an engine whose version isn't known yet.

    :param pending_s: time within which its origin may follow; 0 if none will.
    """

    key: bytes
    pending_s: float


@attrs.frozen
class OriginReport:
    """Sent to the control processes that keep these origins."""

    origins: list[StreamOrigin] = attrs.field(factory=list)
    pending: list[PendingOrigin] = attrs.field(factory=list)


@attrs.frozen
class OriginRead:
    """Asks a control process for the origin of a stream."""

    key: bytes


@attrs.frozen
class OriginReply:
    """Reply to :class:`OriginRead`.

    :param origin: ``None`` if it is unknown.
    :param age_s: time since the stream began, or was last resumed.
    :param settled: whether the process has run for long enough to have been
        sent what others know.
    :param pending_s: time within which an unknown origin may follow.
    """

    origin: StreamOrigin | None = None
    age_s: float = 0.0
    settled: bool = True
    pending_s: float = 0.0
