"""Chooses the engines that run generations."""

import collections.abc as cabc
import time

from bulrushhold import decisions
from bulrushhold.entry import _generation
from bulrushhold import ports


class EngineChooser:
    """Asks the router for an engine that fits a generation."""

    def __init__(
        self,
        router: decisions.Router,
        engines: ports.EngineClient,
        crash_tracker: decisions.EngineCrashTracker,
    ) -> None:
        self.router = router
        self.engines = engines
        self.crash_tracker = crash_tracker

    def choose(
        self, generation: _generation.Generation, avoid: cabc.Set[str]
    ) -> decisions.Choice:
        """Choose an engine for the next attempt.

        :param avoid: names of further engines to avoid.
        """
        spec, transcript = generation.spec, generation.transcript
        return self.router.choose_engine(
            spec.model,
            spec.affinity,
            time.monotonic(),
            version=transcript.version if transcript.tokens else '',
            avoid=generation.failed_engines | avoid,
            may_be_poison=self.crash_tracker.may_be_poison(spec.fingerprint),
        )

    def has_other(
        self, generation: _generation.Generation, in_use: cabc.Set[str]
    ) -> bool:
        """Whether an engine that doesn't run the generation is available."""
        choice = self.choose(generation, in_use)
        return choice.state is not None and choice.chosen not in in_use

    def is_listed(self, generation: _generation.Generation) -> bool:
        """Whether an engine with the required model version is listed."""
        spec = generation.spec
        version = generation.transcript.version
        return any(
            spec.model in state.server.models
            and version in ('', state.server.models[spec.model])
            for state in self.router.states.values()
        )

    def apply_load_report(self, state: decisions.BackendState) -> None:
        """Apply an engine's newest load report, if there is one."""
        report = self.engines.reports.pop(state.server.address, None)
        if report is None:
            return
        state.report(report.running, time.monotonic())
        if report.leaving:
            self.router.mark_leaving(state.server.name, time.monotonic())
