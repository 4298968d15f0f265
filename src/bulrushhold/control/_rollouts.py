"""Runs the rollouts of all services while this process is the leader."""

import collections.abc as cabc
import typing as t

import attrs

from bulrushhold.control import _clusterview
from bulrushhold.control import _server
from bulrushhold import decisions
from bulrushhold import messages
from bulrushhold import node

PROGRESS_INTERVAL_S: t.Final = 1.0
# An order equal to the last one may be a resend until this long after the
# last one was accepted.
RESEND_WINDOW_S: t.Final = 12.0
# A new leader decides nothing before all entries have reported to it.
FIRST_DECISION_DELAY_S: t.Final = 1.5
# A proposal that isn't committed by then is made again.
END_RETRY_S: t.Final = 1.0
_NO_EVIDENCE: t.Final = messages.RolloutEvidence(0)


@attrs.define
class _Run:
    """A running rollout.

    :param started_at: time of the order, as far as this process knows.
    :param driven_since: when this process began to drive it.
    """

    driver: decisions.RolloutDriver
    started_at: float
    driven_since: float
    progress_at: float
    end_proposed_at: float = float('-inf')


class RolloutManager:
    """Drives rollouts and publishes their plans in the cluster view.

    :param evidence: returns the evidence of all entries, by service.
    """

    def __init__(
        self,
        server: _server.ControlServer,
        view: _clusterview.ClusterView,
        evidence: cabc.Callable[[], dict[str, messages.RolloutEvidence]],
        limits: decisions.ExposureLimits,
    ) -> None:
        self.server = server
        self.view = view
        self.evidence = evidence
        self.limits = limits
        self.term = 0
        self.runs: dict[tuple[str, int], _Run] = {}
        self.first_seen: dict[tuple[str, int], float] = {}
        server.applied_hooks.append(self._record_applied)
        server.transport.handle(messages.RolloutOrder, self.on_order)
        server.transport.handle(messages.RolloutRead, self.on_read)

    @property
    def rollouts(self) -> dict[str, messages.Rollout]:
        """The newest rollout of each service."""
        return self.server.state.rollouts.rollouts

    def update(self, now: float) -> None:
        """Drive all rollouts; called while this process is the leader."""
        if self.term != self.server.replica.term:
            self.term = self.server.replica.term
            self.runs.clear()
        if not self.rollouts:
            return
        evidence = self.evidence()
        plans = [
            self._update_one(rollout, evidence, now)
            for rollout in self.rollouts.values()
        ]
        self.view.update_rollouts(plans, self.term)

    def _record_applied(self) -> None:
        """Record when an order was applied, also while not leading."""
        now = self.server.clock()
        for rollout in self.rollouts.values():
            self.first_seen.setdefault((rollout.service, rollout.number), now)

    def _update_one(
        self,
        rollout: messages.Rollout,
        evidence: dict[str, messages.RolloutEvidence],
        now: float,
    ) -> messages.RolloutPlan:
        key = (rollout.service, rollout.number)
        self.first_seen.setdefault(key, now)
        if rollout.state is not messages.RolloutState.RUNNING:
            self.runs.pop(key, None)
            return _plan(rollout, 0.0)
        run = self.runs.get(key)
        if run is None:
            driver = decisions.RolloutDriver(rollout, self.limits)
            started_at = min(self.first_seen[key], now - rollout.elapsed_s)
            run = _Run(driver, started_at, now, now)
            self.runs[key] = run
        seen = evidence.get(rollout.service, _NO_EVIDENCE)
        if seen.number != rollout.number:
            seen = messages.RolloutEvidence(rollout.number)
        elapsed_s = now - run.started_at
        step = run.driver.step(elapsed_s, seen, *self._count_engines(rollout))
        is_blind = now - run.driven_since < FIRST_DECISION_DELAY_S
        if step.state is not messages.RolloutState.RUNNING and not is_blind:
            self._propose_end(rollout, run, step, seen, now)
        elif now - run.progress_at >= PROGRESS_INTERVAL_S:
            run.progress_at = now
            self._propose(
                messages.RolloutProgress(
                    rollout.service, rollout.number, round(elapsed_s, 3)
                )
            )
        return _plan(rollout, step.share)

    def _count_engines(self, rollout: messages.Rollout) -> tuple[int, int]:
        return decisions.count_by_version(
            self.view.backends or [], rollout.service, rollout.target
        )

    def _propose_end(
        self,
        rollout: messages.Rollout,
        run: _Run,
        step: decisions.RolloutStep,
        seen: messages.RolloutEvidence,
        now: float,
    ) -> None:
        if now - run.end_proposed_at < END_RETRY_S:
            return
        run.end_proposed_at = now
        node.log_decision(
            'rollout ended',
            service=rollout.service,
            target=rollout.target,
            state=step.state.value,
            reason=step.reason,
            elapsed_s=round(now - run.started_at, 3),
            received=seen.received,
            exposed=seen.exposed,
        )
        self._propose(
            messages.RolloutEnd(rollout.service, rollout.number, step.state)
        )

    def _propose(self, command: messages.Message) -> None:
        self.server.replica.propose(messages.encode(command))
        self.server.wakeup.set()

    # Operators

    async def on_order(
        self, order: messages.RolloutOrder
    ) -> messages.ProposalReply:
        """Commit an operator's order, if this process leads."""
        start = messages.RolloutStart(order, self._may_be_resend(order))
        reply = await self.server.propose(messages.encode(start))
        node.log_decision(
            'rollout ordered',
            service=order.service,
            target=order.target,
            duration_s=order.duration_s,
            may_be_resend=start.may_be_resend,
            status=reply.status,
        )
        return reply

    def _may_be_resend(self, order: messages.RolloutOrder) -> bool:
        existing = self.rollouts.get(order.service)
        if existing is None:
            return False
        now = self.server.clock()
        key = (existing.service, existing.number)
        seen_at = self.first_seen.setdefault(key, now)
        return now - seen_at < RESEND_WINDOW_S

    async def on_read(
        self, read: messages.RolloutRead
    ) -> messages.RolloutReply:
        """Return the newest rollout of a service, if this process leads."""
        replica = self.server.replica
        if not replica.may_read(self.server.clock()):
            return messages.RolloutReply(
                'not_leader', replica.leader_address()
            )
        return messages.RolloutReply(
            'done', rollout=self.rollouts.get(read.service)
        )


def _plan(rollout: messages.Rollout, share: float) -> messages.RolloutPlan:
    return messages.RolloutPlan(
        rollout.service,
        rollout.number,
        rollout.target,
        rollout.state,
        share,
    )
