"""Admission control: whether a new stream is placed, waits or is refused.

Engines queue prompts in order of arrival. Under overload, e.g. when engines
are lost, an unlimited queue would delay all streams, including those that
arrive after the overload. So an engine only gets prompts that can meet their
aim, the route's target for the time to the first event. A stream that can't
meet it any more waits at the entry for an idle engine; if few engines can meet
the aim, it takes one only after half of its maximum wait. A stream that would
exceed its maximum wait is refused at once with a time to retry after.
"""

import collections
import enum
import typing as t

import attrs

# Maximum wait for an engine, as a multiple of the aim for the first event.
# Leaves time to read the prompt before callers time out at four times the aim.
MAX_WAIT_AIMS: t.Final = 3.4
# Safety margin on the expected time to the first event, which is a mean.
FIRST_EVENT_MARGIN: t.Final = 1.3
# Time for which an overload is assumed to last after a stream had to wait.
OVERLOAD_S: t.Final = 5.0
# Bounds of Retry-After: enough for the queue to shorten, and soon enough for
# callers that retry only once.
MIN_RETRY_AFTER_S: t.Final = 1.0
MAX_RETRY_AFTER_S: t.Final = 8.0
# Reported queue lengths older than this are ignored.
LOAD_REPORT_TTL_S: t.Final = 2.0


# Interval at which a waiting stream looks for an engine.
ADMISSION_CHECK_S: t.Final = 0.05
# Time until other entries know of a placement.
LOAD_REPORT_DELAY_S: t.Final = 0.2


class AdmissionDecision(enum.Enum):
    """What to do with a stream now."""

    PLACE = 'place'
    WAIT = 'wait'
    REFUSE = 'refuse'


@attrs.frozen
class CapacityEstimate:
    """How soon and how often engines can take one more prompt.

    :param first_event_s: time to its first event at the best engine with free
        memory; infinite if there is none.
    :param idle: an engine with free memory has no prompts to read, or can
        read them and the new one well within the aim.
    :param engines: number of healthy engines.
    :param completions_per_s: streams that all of them complete per second.
    :param min_output_s: minimum time from the first event to the last one.
    :param headroom: several engines can meet the aim, or most have no free
        memory; streams that can't meet it may then use an idle engine at once.
    :param ready_engines: engines that can meet the aim of one more prompt.
    """

    first_event_s: float
    idle: bool
    engines: int
    completions_per_s: float
    min_output_s: float = 0.0
    headroom: bool = True
    ready_engines: int = 1


class AdmissionController:
    """Admits streams of this entry to engines and counts the waiting ones."""

    def __init__(self) -> None:
        self.waiting: collections.Counter[str] = collections.Counter()
        self.remote_waiting: dict[str, int] = {}
        self.last_report_at = float('-inf')
        self.last_wait_at = float('-inf')

    def apply_loads(self, remote_waiting: dict[str, int], now: float) -> None:
        """Replace the numbers of streams that wait at other entries."""
        self.remote_waiting = remote_waiting
        self.last_report_at = now

    def record_wait(self, now: float) -> None:
        """Record that a stream has to wait."""
        self.last_wait_at = now

    def overloaded(self, now: float) -> bool:
        """Return whether streams have recently had to wait."""
        return now - self.last_wait_at < OVERLOAD_S

    def decide(
        self,
        estimate: CapacityEstimate,
        *,
        waited_s: float,
        remaining_s: float,
        aim_s: float,
        queue_s: float,
        first_check: bool = False,
        begun: bool = False,
    ) -> AdmissionDecision:
        """Decide on a stream that has waited for ``waited_s``.

        :param remaining_s: time to the stream's deadline.
        :param aim_s: target for the time from arrival to first event.
        :param queue_s: time until all waiting streams are placed.
        :param first_check: the stream has just arrived.
        :param begun: the caller has received some events, so the aim no
            longer applies, and the remaining length is unknown.
        """
        if not estimate.engines or not aim_s:
            # No healthy engine, or no aim to compare the wait with.
            return AdmissionDecision.PLACE
        total_s = estimate.first_event_s + estimate.min_output_s
        if not begun and remaining_s < total_s < float('inf'):
            return AdmissionDecision.REFUSE
        if (
            not begun
            and waited_s + FIRST_EVENT_MARGIN * estimate.first_event_s <= aim_s
        ):
            return AdmissionDecision.PLACE
        max_wait_s = min(MAX_WAIT_AIMS * aim_s, remaining_s)
        if estimate.idle and (estimate.headroom or waited_s >= max_wait_s / 2):
            return AdmissionDecision.PLACE
        if waited_s >= max_wait_s:
            return AdmissionDecision.REFUSE
        if first_check and not begun and queue_s > max_wait_s:
            return AdmissionDecision.REFUSE
        return AdmissionDecision.WAIT

    def queue_s(
        self,
        service: str,
        estimate: CapacityEstimate,
        entries: int,
        now: float,
    ) -> float:
        """Return the seconds until all streams waiting now are placed.

        :param entries: number of entries that use the same engines. Without
            recent reports, each is assumed to have as many waiting streams
            as this one.
        """
        waiting = self._total_waiting(service, entries, now)
        if not waiting:
            return 0.0
        return (
            waiting / estimate.completions_per_s
            if estimate.completions_per_s
            else float('inf')
        )

    def should_admit_now(
        self,
        service: str,
        estimate: CapacityEstimate,
        entries: int,
        now: float,
        draw: float,
        *,
        begun: bool = False,
    ) -> bool:
        """Return whether a waiting stream may use a ready engine now.

        All waiting streams see a free engine at the same moment. Each is
        admitted with a probability that keeps their expected number within
        the engines' capacity until all entries know of the placements. A
        stream of which the caller has received events is always admitted,
        since the caller sees any further wait as a stall.

        :param draw: uniformly distributed random number from 0 to 1.
        """
        if begun:
            return True
        waiting = self._total_waiting(service, entries, now)
        ready_engines = max(1, estimate.ready_engines)
        if waiting <= ready_engines:
            return True
        return (
            draw
            < ready_engines / waiting * ADMISSION_CHECK_S / LOAD_REPORT_DELAY_S
        )

    def _total_waiting(self, service: str, entries: int, now: float) -> int:
        own = self.waiting[service]
        if now - self.last_report_at < LOAD_REPORT_TTL_S:
            return own + self.remote_waiting.get(service, 0)
        return own * max(1, entries)


def retry_after_s(queue_s: float) -> float:
    """Return the value of Retry-After for a refused caller, in seconds."""
    return min(MAX_RETRY_AFTER_S, max(MIN_RETRY_AFTER_S, queue_s))
