"""Rules that select the engines for a request by their versions."""

import enum
import math
import typing as t

import attrs

from bulrushhold.decisions import _backendserver
from bulrushhold.decisions import _rendezvous

# More than one, so that a faulty engine is distinguished from a bad version.
MIN_CANARY_ENGINES: t.Final = 2


class Rule(enum.Enum):
    ONLY = 'only'
    WITHOUT = 'without'
    PREFERRED = 'preferred'
    CANARY = 'canary'


@attrs.frozen
class VersionRule:
    """Which engines of a service may get a request, by their versions.

    :param versions: the versions that the rule names.
    :param share: share of the requests that a rollout's target gets.
    """

    rule: Rule
    versions: frozenset[str] = frozenset()
    share: float = 0.0

    def select(
        self, backends: list[_backendserver.BackendServer]
    ) -> list[_backendserver.BackendServer]:
        """Return the engines that may get a request."""
        if self.rule is Rule.WITHOUT:
            return self._others(backends)
        named = [b for b in backends if b.version in self.versions]
        if self.rule is Rule.CANARY:
            return self._canary_engines(named)
        if self.rule is Rule.PREFERRED:
            return named or self._others(backends)
        return named

    def _others(
        self, backends: list[_backendserver.BackendServer]
    ) -> list[_backendserver.BackendServer]:
        if not self.versions:
            return backends
        return [b for b in backends if b.version not in self.versions]

    def _canary_engines(
        self, targets: list[_backendserver.BackendServer]
    ) -> list[_backendserver.BackendServer]:
        """Return the engines that all entries use for the target's share.

        Few engines work under as much load as those of the other version, so
        that faults under load show while the share is small.
        """
        count = max(MIN_CANARY_ENGINES, math.ceil(self.share * len(targets)))
        (target,) = self.versions
        ranking = _rendezvous.rendezvous_order(
            target, targets, lambda backend: backend.ident
        )
        return ranking[:count]


NO_ENGINE: t.Final = VersionRule(Rule.ONLY)
ANY_ENGINE: t.Final = VersionRule(Rule.WITHOUT)
