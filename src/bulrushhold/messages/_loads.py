"""Load reports of entries, and their sums at control processes."""

import typing as t

import attrs
import msgspec

from bulrushhold.messages import _rollouts


@attrs.frozen
class EngineLoad:
    """Load on one engine.

    :param reading: prompt tokens of requests without a first event.
    :param running: number of running streams.
    :param memory: tokens held for streams and for copies.
    """

    reading: int
    running: int
    memory: int = 0


@attrs.frozen
class ServiceTraffic:
    """Requests to a service within the window of the retry budget.

    :param firsts: requests from callers.
    :param repeats: retries sent to backend servers.
    :param waiting: streams queued until an engine has capacity.
    """

    firsts: int
    repeats: int
    waiting: int = 0


@attrs.frozen
class CrashReport:
    """A crash of a single engine that was running a request.

    :param fingerprint: identifies the request across retries.
    :param run_s: time from sending the request to the crash.
    :param age_s: time since the crash.
    """

    fingerprint: str
    engine: str
    run_s: float = 0.0
    age_s: float = 0.0


@attrs.frozen
class RequestBlock:
    """A request that is sent to no engine, as several crashed under it.

    :param remaining_s: time until the block ends.
    :param duration_s: its whole duration.
    """

    fingerprint: str
    remaining_s: float
    duration_s: float


@attrs.frozen
class EngineSpeed:
    """Recent speed of a service's engines.

    All fields are sums with exponential decay, so that reports of several
    entries can be added.

    :param tokens: tokens of prompts read, and of prompts queued before them.
    :param read_s: time from sending prompts to their first events.
    :param pauses: number of gaps between the events of streams.
    :param pause_s: total duration of the gaps.
    :param pause_sq: sum of the squared durations of the gaps.
    :param runs: streams completed by a single engine.
    :param run_s: time from sending them to their last events.
    :param prompt_tokens: tokens of prompts read, each counted once; only of
        services with ordered admission.
    """

    tokens: float = 0.0
    read_s: float = 0.0
    pauses: float = 0.0
    pause_s: float = 0.0
    pause_sq: float = 0.0
    runs: float = 0.0
    run_s: float = 0.0
    prompt_tokens: float = 0.0


@attrs.frozen
class SpeedSample:
    """How long one engine took to read prompts.

    :param expected_s: at the mean speed of its service.
    :param observed_s: from sending the prompts to their first events.
    """

    expected_s: float
    observed_s: float


@attrs.frozen
class FailureSample:
    """How many attempts at one plain server failed.

    :param attempts: with exponential decay, except in an entry's report.
    :param failures: those of the attempts that failed.
    :param age_s: time since the newest attempt, at which the counts hold.
    """

    attempts: float
    failures: float
    age_s: float = 0


FailureSamples = dict[str, FailureSample] | msgspec.UnsetType
Idents = list[str] | msgspec.UnsetType
_Collection = t.TypeVar('_Collection')


def _omit_empty(items: _Collection) -> _Collection | msgspec.UnsetType:
    return items or msgspec.UNSET


def _failures_field() -> t.Any:
    """Return a field that isn't encoded if there are no samples.

    Messages of deployments whose servers state no pace don't grow by it.
    """
    return attrs.field(default=msgspec.UNSET, converter=_omit_empty)


def _answering_field() -> t.Any:
    """Return a field that isn't encoded where no engine answers again."""
    return attrs.field(default=msgspec.UNSET, converter=_omit_empty)


@attrs.frozen
class ServerLimit:
    """The request limit of a backend server, which holds for all entries.

    :param per_s: requests per second; ``None`` if it has ended.
    :param age_s: time since the server named it, or was without one.
    """

    server: str
    per_s: float | None
    age_s: float


@attrs.frozen
class LoadReport:
    """The load of one entry; replaces its previous report.

    :param engines: load by engine.
    :param lost: engines lost since the previous report.
    :param replaced: engines replaced by another one at the same address
        since the previous report.
    :param traffic: traffic by service.
    :param crashes: crash reports since the previous report.
    :param speeds: engine speed by service.
    :param evidence: results of running rollouts by service.
    :param limits: request limits that have changed since the previous report.
    :param blocks: blocks of requests since the previous report.
    :param samples: speed of single engines since the previous report.
    :param failures: attempts at plain servers since the previous report.
    :param answering: engines that were reported as lost, and have answered
        since the previous report.
    """

    entry: str
    engines: dict[str, EngineLoad]
    lost: list[str]
    replaced: list[str] = attrs.field(factory=list)
    traffic: dict[str, ServiceTraffic] = attrs.field(factory=dict)
    crashes: list[CrashReport] = attrs.field(factory=list)
    speeds: dict[str, EngineSpeed] = attrs.field(factory=dict)
    evidence: dict[str, _rollouts.RolloutEvidence] = attrs.field(factory=dict)
    limits: list[ServerLimit] = attrs.field(factory=list)
    blocks: list[RequestBlock] = attrs.field(factory=list)
    samples: dict[str, SpeedSample] = attrs.field(factory=dict)
    failures: FailureSamples = _failures_field()
    answering: Idents = _answering_field()

    @property
    def urgent(self) -> bool:
        """Whether it holds events that no later report repeats."""
        return bool(
            self.lost
            or self.replaced
            or self.crashes
            or self.limits
            or self.blocks
            or self.answering
        )


@attrs.frozen
class Received:
    """Acknowledges a message, which is resent otherwise."""


@attrs.frozen
class NodeLoad:
    """The total load of the entries attached to one control process.

    :param node: peer address of the sender.
    :param incarnation: differs between starts of the sender.
    :param number: sequence number of the sum.
    :param since: sequence number that the sum is a difference to; it holds
        the events and engines that changed after it. With 0 it holds all.
    :param acknowledged: incarnation and sequence number of the newest sum
        received, by peer address.
    """

    node: str
    data_centre: str
    incarnation: int
    number: int
    since: int
    sum: LoadReport
    acknowledged: dict[str, tuple[int, int]] = attrs.field(factory=dict)


@attrs.frozen
class LoadSummary:
    """The total load of all other entries.

    :param number: sequence number; restarts with the control process.
    :param engines: load by engine.
    :param lost: engines lost since the number given in the request.
    :param replaced: engines replaced since the number given in the request.
    :param traffic: traffic by service.
    :param crashes: crash reports since the number given in the request.
    :param speeds: engine speed by service.
    :param age_s: age of the oldest sum included.
    :param silent: data centres whose sums are missing.
    :param since: sequence number of the summary that this one is a
        difference to; it holds the engines that changed. With 0 it holds
        all.
    :param limits: request limits that changed since the number given in the
        request.
    :param blocks: blocks of requests since the number given in the request.
    :param slowness: by engine, the time that it needs relative to the mean of
        its service; engines whose value has changed.
    :param failures: by plain server, the attempts of all other entries;
        servers whose share of failures has changed.
    :param answering: engines that were lost, and have answered since the
        number given in the request; none of those in ``lost``.
    """

    number: int
    engines: dict[str, EngineLoad]
    lost: list[str]
    replaced: list[str] = attrs.field(factory=list)
    traffic: dict[str, ServiceTraffic] = attrs.field(factory=dict)
    crashes: list[CrashReport] = attrs.field(factory=list)
    speeds: dict[str, EngineSpeed] = attrs.field(factory=dict)
    age_s: float = 0.0
    silent: list[str] = attrs.field(factory=list)
    since: int = 0
    limits: list[ServerLimit] = attrs.field(factory=list)
    blocks: list[RequestBlock] = attrs.field(factory=list)
    slowness: dict[str, float] = attrs.field(factory=dict)
    failures: FailureSamples = _failures_field()
    answering: Idents = _answering_field()
