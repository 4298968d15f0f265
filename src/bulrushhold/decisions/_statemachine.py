"""Replicated state: table, claims, quarantine, route map and rollouts."""

import typing as t

import attrs
import msgspec

from bulrushhold.decisions import _claims
from bulrushhold.decisions import _rolloutstate
from bulrushhold.decisions import _table
from bulrushhold.decisions import _versionhistory
from bulrushhold import errors
from bulrushhold import messages

MAX_SUSPECTS: t.Final = 500


@attrs.define
class ReplicatedState:
    """State built by applying the committed commands in order.

    :param quarantined: request fingerprint to the reason for quarantine.
    :param suspects: fingerprint of a possible poison request to the number
        of engine crashes that it was running in.
    :param refusals_revision: incremented when ``quarantined`` or ``suspects``
        changes.
    :param service_versions: versions of engines that may have begun running
        streams, by service.
    """

    table: _table.TableState = attrs.field(factory=_table.TableState)
    claims: _claims.ClaimState = attrs.field(factory=_claims.ClaimState)
    quarantined: dict[str, str] = attrs.field(factory=dict)
    suspects: dict[str, int] = attrs.field(factory=dict)
    refusals_revision: int = 0
    service_versions: dict[str, list[str]] = attrs.field(factory=dict)
    route_map: messages.RouteMapPut | None = None
    rollouts: _rolloutstate.RolloutTable = attrs.field(
        factory=_rolloutstate.RolloutTable
    )

    def apply(self, command: bytes) -> bytes:
        """Apply one committed command and return its encoded result.

        An unknown or malformed command changes nothing. Raising instead would
        stop every replica at the same log entry after each restart.
        """
        try:
            message = messages.decode(command)
        except errors.PeerError as error:
            return messages.encode(messages.Failure(str(error)))
        if isinstance(message, messages.TableEdit):
            return messages.encode(self.table.apply(message))
        if isinstance(message, messages.Claim):
            return messages.encode(self.claims.claim(message))
        if isinstance(message, messages.ClaimEnd):
            return messages.encode(self.claims.end(message))
        if isinstance(message, messages.ForgetClaims):
            self.claims.advance_watermark(message.before)
            return b''
        if isinstance(message, messages.Quarantine):
            self._quarantine(message)
            return b''
        if isinstance(message, messages.Suspected):
            self._record_suspects(message)
            return b''
        if isinstance(message, messages.VersionsRecord):
            # Routes that a newer map has moved must stay recorded.
            if message.map_version in (-1, self.map_version):
                self.service_versions = message.versions
            return b''
        if isinstance(message, messages.RouteMapPut):
            return messages.encode(self._put_route_map(message))
        if isinstance(message, messages.RolloutStart):
            outcome = self.rollouts.start(message, self.route_map)
            return messages.encode(outcome)
        if isinstance(message, messages.RolloutProgress):
            self.rollouts.record_progress(message)
            return b''
        if isinstance(message, messages.RolloutEnd):
            self.rollouts.end(message)
            return b''
        return messages.encode(messages.Failure('not a command'))

    @property
    def map_version(self) -> int:
        """Version of the current route map; 0 if there is none."""
        return self.route_map.version if self.route_map else 0

    def _put_route_map(
        self, command: messages.RouteMapPut
    ) -> messages.RouteMapOutcome:
        # Ignore an equal version: a resent or concurrent upload must not
        # change the map that entries already use under that version.
        if command.version > self.map_version:
            self._record_moved_routes(command)
            self.route_map = command
        return messages.RouteMapOutcome(self.map_version)

    def _record_moved_routes(self, command: messages.RouteMapPut) -> None:
        if self.route_map is None:
            return
        try:
            moved = _versionhistory.moved_routes(
                messages.unpack_routes(self.route_map.packed),
                messages.unpack_routes(command.packed),
            )
        except errors.PeerError:
            # Entries can't use such a map either.
            return
        recorded = dict(self.service_versions)
        for key, services in moved.items():
            recorded[key] = sorted({*recorded.get(key, ()), *services})
        self.service_versions = recorded

    def _quarantine(self, command: messages.Quarantine) -> None:
        if command.lift:
            self.quarantined.pop(command.fingerprint, None)
            self.suspects.pop(command.fingerprint, None)
        else:
            self.quarantined[command.fingerprint] = command.reason
        self.refusals_revision += 1

    def _record_suspects(self, command: messages.Suspected) -> None:
        """Count an engine crash for each possible poison request.

        The count is replicated, so that a request resent through another
        entry doesn't start from zero there.
        """
        for fingerprint in command.fingerprints:
            crashes = self.suspects.pop(fingerprint, 0)
            self.suspects[fingerprint] = crashes + 1
        while len(self.suspects) > MAX_SUSPECTS:
            del self.suspects[next(iter(self.suspects))]
        self.refusals_revision += 1

    def refusals(self) -> messages.Refusals:
        """Return the requests that entries must refuse or keep apart."""
        return messages.Refusals(
            sorted(self.quarantined), sorted(self.suspects)
        )

    def dump(self) -> bytes:
        """Return the encoded state for a snapshot."""
        return msgspec.msgpack.encode(self)

    @classmethod
    def restore(cls, data: bytes) -> 'ReplicatedState':
        """Decode the output of :meth:`dump`; ``b''`` gives an empty state."""
        if not data:
            return cls()
        return msgspec.msgpack.decode(data, type=cls)
