"""Rollouts: moving a service to engines of another software version."""

import enum

import attrs


class RolloutState(enum.StrEnum):
    """Progress of a rollout; all states but ``running`` are final."""

    RUNNING = 'running'
    SUCCEEDED = 'succeeded'
    ROLLED_BACK = 'rolled_back'


@attrs.frozen
class Rollout:
    """The newest rollout of a service, as kept in the replicated state.

    :param number: differs between the rollouts of a service.
    :param target: version of the engines that take over.
    :param duration_s: time limit, from the acceptance of the order.
    :param elapsed_s: time since the acceptance, as last recorded.
    """

    service: str
    number: int
    target: str
    duration_s: float
    state: RolloutState = RolloutState.RUNNING
    elapsed_s: float = 0.0


@attrs.frozen
class RolloutOrder:
    """Operator's order to roll out a version, sent to the leader."""

    service: str
    target: str
    duration_s: float


@attrs.frozen
class RolloutStart:
    """Starts a rollout unless another one is running.

    :param may_be_resend: the order may be a resend of one that has ended, and
        then does not start another rollout.
    """

    order: RolloutOrder
    may_be_resend: bool


class OrderStatus(enum.StrEnum):
    """Outcome of a :class:`RolloutStart`."""

    ACCEPTED = 'accepted'
    IN_PROGRESS = 'in_progress'
    UNKNOWN_SERVICE = 'unknown_service'
    NO_ROUTE_MAP = 'no_route_map'


@attrs.frozen
class RolloutOutcome:
    """Result of a :class:`RolloutStart`."""

    status: OrderStatus


@attrs.frozen
class RolloutProgress:
    """Records the elapsed time, from which the next leader continues."""

    service: str
    number: int
    elapsed_s: float


@attrs.frozen
class RolloutEnd:
    """Ends a running rollout with a final state."""

    service: str
    number: int
    state: RolloutState


@attrs.frozen
class RolloutRead:
    """Requests the newest rollout of a service from the leader."""

    service: str


@attrs.frozen
class RolloutReply:
    """Reply to :class:`RolloutRead`; without a rollout if there is none."""

    status: str
    leader: str = ''
    rollout: Rollout | None = None


@attrs.frozen
class RolloutPlan:
    """How entries split a service's requests between engine versions.

    :param share: share of the requests that the target version gets while
        the rollout is running.
    """

    service: str
    number: int
    target: str
    state: RolloutState
    share: float = 0.0


@attrs.frozen
class VersionSample:
    """Results of a route's requests on one version.

    :param engine: ident of the engine, or ``''`` for all engines of the
        versions that are being replaced.
    :param failures: responses with which the engine reported a failure.
    :param latencies: number of successes by latency bucket, see
        :func:`decisions.latency_bucket`; for streams, of first events.
    :param pauses: number of streams by the bucket of their mean pause.
    """

    route: str
    engine: str
    requests: int = 0
    failures: int = 0
    latencies: dict[int, int] = attrs.field(factory=dict)
    pauses: dict[int, int] = attrs.field(factory=dict)


@attrs.frozen
class RolloutEvidence:
    """What entries have seen of a running rollout, added up since its start.

    :param received: requests for the service.
    :param exposed: requests sent to engines of the target version.
    """

    number: int
    received: int = 0
    exposed: int = 0
    samples: list[VersionSample] = attrs.field(factory=list)
