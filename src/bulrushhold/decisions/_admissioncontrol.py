"""Whether a new stream goes to an engine now, waits here, or is refused.

Answers the load of a crowd: several times the usual streams for some
seconds, while a part of the engines is gone. Engines queue what they get,
in order. Sent there at once, all streams wait as long as the first of the
crowd, also those that come when it is over. So an engine gets only as many
prompts as it shows an event of in time. What is late already waits here, and
goes where it delays nobody else, or after half of the time that its caller
waits; what would wait for longer is refused at once, and told when to come
back.
"""

import collections
import enum
import typing as t

import attrs

# Of the time that a caller waits without an event, as a multiple of the aim
# for the first one: callers leave after four, and what is left is for reading
# the prompt at an idle engine.
MAX_WAIT_AIMS: t.Final = 3.4
# Half of the prompts take longer than their mean: as many times as long is
# allowed for.
FIRST_EVENT_MARGIN: t.Final = 1.3
# For how long after a stream had to wait the crowd counts as still there: a
# stream that went to an engine then has its prompt read by that time.
OVERLOAD_S: t.Final = 5.0
# Callers come back at once otherwise, and only once: not before a part of
# the queue is gone, and not after they have left.
MIN_RETRY_AFTER_S: t.Final = 1.0
MAX_RETRY_AFTER_S: t.Final = 8.0
# How many wait elsewhere is told with each change; older news is no news.
LOAD_REPORT_TTL_S: t.Final = 2.0


# How often a stream that waits looks for an engine.
ADMISSION_CHECK_S: t.Final = 0.05
# Until other entries know where a stream went.
LOAD_REPORT_DELAY_S: t.Final = 0.2


class AdmissionDecision(enum.Enum):
    """What becomes of a stream now."""

    PLACE = 'place'
    WAIT = 'wait'
    REFUSE = 'refuse'


@attrs.frozen
class CapacityEstimate:
    """What engines could do for one more prompt.

    :param first_s: until its first event, at the best engine with room;
        infinite where none has room.
    :param idle: an engine with room has nothing to read, or so little that
        the next prompt is in time there as well.
    :param engines: how many take part.
    :param per_s: streams that they end together in a second.
    :param write_s: least time from its first event to its last one.
    :param headroom: more than one engine could show an event in time, or most
        have no room, so that those that have waited longest get what is left.
    :param openings: engines that could take one more prompt in time.
    """

    first_s: float
    idle: bool
    engines: int
    per_s: float
    write_s: float = 0.0
    headroom: bool = True
    ready_engines: int = 1


class AdmissionController:
    """Lets streams of this entry to engines, and counts those that wait."""

    def __init__(self) -> None:
        self.waiting: collections.Counter[str] = collections.Counter()
        self.remote_waiting: dict[str, int] = {}
        self.last_report_at = float('-inf')
        self.last_wait_at = float('-inf')

    def apply_loads(self, remote_waiting: dict[str, int], now: float) -> None:
        """Learn how many streams wait at all other entries, by service."""
        self.remote_waiting = remote_waiting
        self.last_report_at = now

    def held(self, now: float) -> None:
        """Learn that a stream has to wait."""
        self.last_wait_at = now

    def overloaded(self, now: float) -> bool:
        """Whether streams have had to wait lately."""
        return now - self.last_wait_at < OVERLOAD_S

    def decide(
        self,
        estimate: CapacityEstimate,
        *,
        waited_s: float,
        left_s: float,
        aim_s: float,
        queue_s: float,
        arrives: bool = False,
        begun: bool = False,
    ) -> AdmissionDecision:
        """Return what becomes of a stream that has waited for so long.

        :param left_s: until its time is over.
        :param aim_s: from its arrival to its first event.
        :param queue_s: until all that wait are placed.
        :param arrives: it is looked at for the first time.
        :param begun: its caller has a part of it, and so has waited for too
            long already; how much there is to come isn't known.
        """
        if not estimate.engines or not aim_s:
            # There is nothing to wait for that could be foreseen.
            return AdmissionDecision.PLACE
        total_s = estimate.first_s + estimate.write_s
        if not begun and left_s < total_s < float('inf'):
            return AdmissionDecision.REFUSE
        if (
            not begun
            and waited_s + FIRST_EVENT_MARGIN * estimate.first_s <= aim_s
        ):
            return AdmissionDecision.PLACE
        max_wait_s = min(MAX_WAIT_AIMS * aim_s, left_s)
        if estimate.idle and (estimate.headroom or waited_s >= max_wait_s / 2):
            return AdmissionDecision.PLACE
        if waited_s >= max_wait_s:
            return AdmissionDecision.REFUSE
        if arrives and not begun and queue_s > max_wait_s:
            return AdmissionDecision.REFUSE
        return AdmissionDecision.WAIT

    def queue_s(
        self,
        service: str,
        estimate: CapacityEstimate,
        entries: int,
        now: float,
    ) -> float:
        """Return seconds until all that wait at all entries are placed.

        :param entries: that send to the same engines. Callers draw entries
            at random, so that as many wait at others where nothing is heard
            of these.
        """
        waiting = self._total_waiting(service, entries, now)
        if not waiting:
            return 0.0
        return waiting / estimate.per_s if estimate.per_s else float('inf')

    def goes_now(
        self,
        service: str,
        estimate: CapacityEstimate,
        entries: int,
        now: float,
        draw: float,
        *,
        begun: bool = False,
    ) -> bool:
        """Whether one of the streams that wait uses an opening now.

        All that wait see an engine come back at the same moment. Each goes
        by chance, so that no more go than engines can take until all
        entries have heard of it. One whose caller has a part of it goes
        first: its pause grows.

        :param draw: from 0 to 1, evenly.
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
    """Return when a refused caller is to come back, in seconds."""
    return min(MAX_RETRY_AFTER_S, max(MIN_RETRY_AFTER_S, queue_s))
