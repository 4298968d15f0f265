"""Division of engine capacity among priorities and client accounts.

Capacity and demand are seconds of work of an engine of mean speed per second.
A flow is a pair of priority (0 is the most urgent) and client account.
Priorities are served in order, except for a minimum share of each; within a
priority, capacity is divided by max-min fairness (Bertsekas and Gallager, Data
Networks, 1992, section 6.5.2).
"""

import collections.abc as cabc
import math
import typing as t

import attrs

Flow: t.TypeAlias = tuple[int, str]

# Share of the capacity that each lower priority with demand keeps, so that
# sustained demand of more urgent priorities doesn't starve it.
MIN_PRIORITY_SHARE: t.Final = 0.05
# Long enough to count several requests of a flow, short enough to follow a
# change of load while queued streams can still be on time.
DEMAND_HALF_LIFE_S: t.Final = 4.0
# A flow is forgotten after this time without requests; its rate has then
# decayed to below a hundredth.
IDLE_FLOW_S: t.Final = 7 * DEMAND_HALF_LIFE_S
# Estimates restart after a pause, since entries don't ask under light load.
RESTART_S: t.Final = 3 * DEMAND_HALF_LIFE_S
# Shortest observation that a rate is computed from.
MIN_OBSERVED_S: t.Final = 1.0
# Demands that differ by less than a factor of 2 ** (1 / 4) are grouped.
GROUPS_PER_OCTAVE: t.Final = 4
# Weights grow by 2 ** 200 before they are scaled down again.
MAX_WEIGHT_OCTAVES: t.Final = 200.0


@attrs.frozen
class PriorityShare:
    """What one priority may use.

    :param demand: work per second that it requests.
    :param budget: work per second that it may use if it requests it.
    :param level: most work per second for one account; infinite if the
        demand of all accounts is met.
    """

    demand: float
    budget: float
    level: float


def fair_level(
    demands: cabc.Iterable[tuple[float, int]], capacity: float
) -> float:
    """Return the most that one flow gets under max-min fairness.

    :param demands: pairs of a demand and the number of flows that have it.
    :return: infinity if the capacity covers all demands.
    """
    ordered = sorted(demands)
    flows = sum(count for _, count in ordered)
    for demand, count in ordered:
        if demand * flows > capacity:
            return max(0.0, capacity) / flows
        capacity -= demand * count
        flows -= count
    return math.inf


def divide(
    demands: cabc.Mapping[int, cabc.Sequence[tuple[float, int]]],
    capacity: float,
) -> dict[int, PriorityShare]:
    """Divide capacity among priorities.

    :param demands: by priority, pairs of a demand and the number of flows
        that have it.
    """
    totals = {
        priority: sum(demand * count for demand, count in demands[priority])
        for priority in sorted(demands)
    }
    minimum = MIN_PRIORITY_SHARE * capacity
    reserved = sum(min(total, minimum) for total in totals.values())
    remaining = capacity
    shares = {}
    for priority, total in totals.items():
        reserved -= min(total, minimum)
        budget = max(0.0, remaining - reserved)
        level = fair_level(demands[priority], budget)
        shares[priority] = PriorityShare(total, budget, level)
        remaining -= min(total, budget)
    return shares


def allocate(
    flows: cabc.Mapping[Flow, float], capacity: float
) -> dict[Flow, float]:
    """Return the work per second that each flow gets.

    :param flows: the work per second that each flow requests.
    """
    demands: dict[int, list[tuple[float, int]]] = {}
    for (priority, _), demand in flows.items():
        demands.setdefault(priority, []).append((demand, 1))
    shares = divide(demands, capacity)
    return {
        flow: min(demand, shares[flow[0]].level)
        for flow, demand in flows.items()
    }


@attrs.define
class _FlowDemand:
    """Decayed sum of a flow's work, in units of the weight at the origin."""

    weighted: float
    group: int
    last_at: float


class DemandRates:
    """Work per second requested by each flow, as decayed sums.

    Uses forward decay (Cormode et al., 2009): new work gets a growing weight
    instead of old sums being reduced, so that the order of flows by demand
    changes only for the flow that sends a request. Flows of about equal demand
    are grouped; the cost of dividing capacity doesn't grow with the number of
    accounts.
    """

    def __init__(self) -> None:
        self.last_at = -math.inf
        self._restart(0.0)

    def _restart(self, now: float) -> None:
        self.origin = self.started_at = now
        # In the order of their last requests.
        self.flows: dict[Flow, _FlowDemand] = {}
        # By priority and group: sum of the flows' demands, and their number.
        self.groups: dict[int, dict[int, tuple[float, int]]] = {}

    def add(self, flow: Flow, work: float, now: float) -> None:
        """Count requested work."""
        if now - self.last_at > RESTART_S:
            self._restart(now)
        self.last_at = now
        self._forget_idle(now)
        octaves = (now - self.origin) / DEMAND_HALF_LIFE_S
        if octaves > MAX_WEIGHT_OCTAVES:
            octaves -= self._rescale(math.floor(octaves))
        weighted = work * 2**octaves
        demand = self.flows.pop(flow, None)
        if demand is not None:
            self._change_group(flow[0], demand, -1)
            weighted += demand.weighted
        group = math.floor(
            math.log2(max(weighted, 1e-300)) * GROUPS_PER_OCTAVE
        )
        self.flows[flow] = demand = _FlowDemand(weighted, group, now)
        self._change_group(flow[0], demand, 1)

    def demands(self, now: float) -> dict[int, list[tuple[float, int]]]:
        """Return demands and numbers of flows by priority for `divide`."""
        rate = self._rate_per_weight(now)
        return {
            priority: [
                (weighted * rate / count, count)
                for weighted, count in groups.values()
            ]
            for priority, groups in self.groups.items()
        }

    def rate(self, flow: Flow, now: float) -> float:
        """Return the work per second that a flow requests."""
        demand = self.flows.get(flow)
        return demand.weighted * self._rate_per_weight(now) if demand else 0.0

    def _rate_per_weight(self, now: float) -> float:
        observed_s = max(MIN_OBSERVED_S, now - self.started_at)
        observed = 1 - 2 ** (-observed_s / DEMAND_HALF_LIFE_S)
        decay = 2 ** ((self.origin - now) / DEMAND_HALF_LIFE_S)
        return decay * math.log(2) / DEMAND_HALF_LIFE_S / observed

    def _change_group(
        self, priority: int, demand: _FlowDemand, sign: int
    ) -> None:
        groups = self.groups.setdefault(priority, {})
        weighted, count = groups.get(demand.group, (0.0, 0))
        if count + sign:
            groups[demand.group] = (
                weighted + sign * demand.weighted,
                count + sign,
            )
        else:
            del groups[demand.group]
            if not groups:
                del self.groups[priority]

    def _forget_idle(self, now: float) -> None:
        while self.flows:
            flow, demand = next(iter(self.flows.items()))
            if now - demand.last_at < IDLE_FLOW_S:
                return
            del self.flows[flow]
            self._change_group(flow[0], demand, -1)

    def _rescale(self, octaves: int) -> int:
        self.origin += octaves * DEMAND_HALF_LIFE_S
        flows = self.flows
        self.flows, self.groups = {}, {}
        for flow, demand in flows.items():
            demand.weighted *= 2.0**-octaves
            demand.group -= octaves * GROUPS_PER_OCTAVE
            self.flows[flow] = demand
            self._change_group(flow[0], demand, 1)
        return octaves
