"""Split the requests of a service between the versions of its engines.

Bounds what a bad version can harm: while a rollout is running, its target
version gets a limited share of the requests, and nothing from an entry that
no longer hears from control.
"""

import collections.abc as cabc
import random
import typing as t

from bulrushhold.decisions import _backendserver
from bulrushhold.decisions import _rolloutevidence
from bulrushhold.decisions import _versionrules
from bulrushhold import messages

# Without news from control for this time the target version gets nothing.
LEASE_S: t.Final = 1.0
# A version that is listed for this long, with news from control and without
# a rollout, needs none.
WITHHOLD_S: t.Final = 5.0


class VersionSplit:
    """Decides which engine versions may get which requests of this entry.

    :ivar on_evidence: called when there is new evidence to report.
    """

    def __init__(self, rng: random.Random) -> None:
        self.rng = rng
        self.on_evidence: cabc.Callable[[], None] = lambda: None
        self.plans: dict[str, messages.RolloutPlan] = {}
        self.confirmed_at = float('-inf')
        self.known_versions: dict[str, set[str]] = {}
        self.withheld_versions: dict[str, set[str]] = {}
        self.withheld_since: dict[str, float] = {}
        self.recorders: dict[str, _rolloutevidence.EvidenceRecorder] = {}
        self.credits: dict[str, float] = {}

    # News from control

    def apply_plans(self, plans: list[messages.RolloutPlan]) -> None:
        """Replace the plans of all services."""
        for plan in plans:
            known = self.plans.get(plan.service)
            if known is None or known.number != plan.number:
                self._start(plan)
            if plan.state is not messages.RolloutState.RUNNING:
                self.recorders.pop(plan.service, None)
        self.plans = {plan.service: plan for plan in plans}

    def _start(self, plan: messages.RolloutPlan) -> None:
        # A random start spreads the few requests of the target version over
        # all entries, instead of delaying the first one of each.
        self.credits[plan.service] = self.rng.random()
        recorder = _rolloutevidence.EvidenceRecorder(plan.number)
        self.recorders[plan.service] = recorder

    def update_listed(
        self,
        listed: dict[str, set[str]],
        usable: dict[str, set[str]] | None = None,
        recorded: cabc.Mapping[str, cabc.Iterable[str]] | None = None,
    ) -> None:
        """Withhold versions that were added to the list of engines.

        The list may arrive before the news of the rollout that they are for.
        At an entry that has just started a version is new if control hasn't
        recorded it yet.

        :param listed: versions of the engines of each service.
        :param usable: those of engines that can be used instead; all that
            are listed if it isn't given.
        :param recorded: the versions that control has recorded.
        """
        for service, versions in listed.items():
            known = self.known_versions.get(service)
            if known is None:
                known = versions.intersection(
                    (recorded or {}).get(service, ())
                )
                self.known_versions[service] = known = known or versions
            present = versions
            if usable is not None:
                present = usable.get(service, set())
            if not known & present:
                known = self.known_versions[service] = versions
            withheld = versions - known
            if withheld != self.withheld_versions.get(service):
                self.withheld_since.pop(service, None)
            self.withheld_versions[service] = withheld

    def confirm(self, now: float) -> None:
        """Record that the plans are current."""
        self.confirmed_at = now
        for service, withheld in self.withheld_versions.items():
            if not withheld or service in self.plans:
                continue
            since = self.withheld_since.setdefault(service, now)
            if now - since > WITHHOLD_S:
                self.known_versions[service] |= withheld
                self.withheld_versions[service] = set()

    def evidence(self) -> dict[str, messages.RolloutEvidence]:
        """Return the evidence about all running rollouts, by service."""
        return {
            service: recorder.snapshot()
            for service, recorder in self.recorders.items()
        }

    # Requests

    def takes_canary(self, service: str, now: float) -> bool:
        """Count a request; return whether the target version should get it.

        Counting shares per entry keeps their sum within the share of all
        requests, whatever other entries do.
        """
        recorder = self.recorders.get(service)
        if recorder is None:
            # No rollout is running.
            return False
        recorder.received += 1
        if not self._has_lease(now):
            return False
        self.credits[service] += self.plans[service].share
        if self.credits[service] < 1:
            return False
        self.credits[service] -= 1
        return True

    def count_exposed(self, backend: _backendserver.BackendServer) -> None:
        """Count a request that is sent to an engine, if of the target."""
        recorder = self.recorders.get(backend.service)
        if recorder is not None and self._is_target(backend):
            recorder.exposed += 1

    def record(
        self,
        backend: _backendserver.BackendServer,
        route: str,
        *,
        failed: bool,
        latency_s: float,
    ) -> None:
        """Record an engine's response as evidence.

        :param latency_s: for streams, per 1000 tokens of the prompt.
        """
        recorder = self.recorders.get(backend.service)
        if recorder is not None:
            engine = self._engine_label(backend)
            recorder.add(route, engine, failed=failed, latency_s=latency_s)
            self.on_evidence()

    def record_pause(
        self, backend: _backendserver.BackendServer, route: str, mean_s: float
    ) -> None:
        """Record the mean pause between the events of a stream."""
        recorder = self.recorders.get(backend.service)
        if recorder is not None:
            recorder.add_pause(route, self._engine_label(backend), mean_s)
            self.on_evidence()

    def _engine_label(self, backend: _backendserver.BackendServer) -> str:
        return backend.ident if self._is_target(backend) else ''

    def _has_lease(self, now: float) -> bool:
        return now - self.confirmed_at <= LEASE_S

    def _is_target(self, backend: _backendserver.BackendServer) -> bool:
        plan = self.plans.get(backend.service)
        return plan is not None and plan.target == backend.version

    # Engines

    def usable(
        self,
        service: str,
        backends: list[_backendserver.BackendServer],
        now: float,
        *,
        canary: bool = False,
        version: str | None = None,
    ) -> list[_backendserver.BackendServer]:
        """Return the engines whose version may get a request.

        :param canary: the request was selected by :meth:`takes_canary`.
        :param version: the version that began the request's stream.
        """
        rule = self.rule(service, now, canary=canary, version=version)
        return rule.select(backends)

    def rule(
        self,
        service: str,
        now: float,
        *,
        canary: bool = False,
        version: str | None = None,
    ) -> _versionrules.VersionRule:
        """Return the rule of :meth:`usable`, which seldom changes."""
        plan = self.plans.get(service)
        if version is not None:
            if plan is not None and not self._may_resume_on(
                plan, version, now
            ):
                return _versionrules.NO_ENGINE
            return _versionrules.VersionRule(
                _versionrules.Rule.ONLY, frozenset((version,))
            )
        if plan is None:
            withheld = self.withheld_versions.get(service)
            return (
                _versionrules.VersionRule(
                    _versionrules.Rule.WITHOUT, frozenset(withheld)
                )
                if withheld
                else _versionrules.ANY_ENGINE
            )
        target = frozenset((plan.target,))
        if plan.state is messages.RolloutState.SUCCEEDED:
            return _versionrules.VersionRule(
                _versionrules.Rule.PREFERRED, target
            )
        is_running = plan.state is messages.RolloutState.RUNNING
        if canary and is_running and self._has_lease(now):
            return _versionrules.VersionRule(
                _versionrules.Rule.CANARY, target, plan.share
            )
        return _versionrules.VersionRule(_versionrules.Rule.WITHOUT, target)

    def _may_resume_on(
        self, plan: messages.RolloutPlan, version: str, now: float
    ) -> bool:
        """Return whether streams that a version began may go on there.

        A version that was rolled back gets nothing any more.
        """
        if version != plan.target:
            return True
        if plan.state is messages.RolloutState.RUNNING:
            return self._has_lease(now)
        return plan.state is messages.RolloutState.SUCCEEDED


def count_by_version(
    backends: cabc.Iterable[messages.ListedBackend], service: str, target: str
) -> tuple[int, int]:
    """Count a service's engines: those of the target version, and others."""
    versions = [
        b.version for b in backends if b.service == service and not b.leaving
    ]
    targets = versions.count(target)
    return targets, len(versions) - targets
