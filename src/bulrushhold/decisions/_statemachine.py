"""The replicated state: table, claims and quarantine, from commands."""

import typing as t

import attrs
import msgspec

from bulrushhold.decisions import _claims
from bulrushhold.decisions import _table
from bulrushhold import messages

MAX_SUSPECTS: t.Final = 500


@attrs.define
class ReplicatedState:
    """What every replica holds after the same commands.

    :param quarantined: request fingerprint to why it is refused.
    :param suspects: request fingerprint to the deaths it was present at.
    """

    table: _table.TableState = attrs.field(factory=_table.TableState)
    claims: _claims.ClaimState = attrs.field(factory=_claims.ClaimState)
    quarantined: dict[str, str] = attrs.field(factory=dict)
    suspects: dict[str, int] = attrs.field(factory=dict)
    refusals_revision: int = 0
    route_map: messages.RouteMapPut | None = None

    def apply(self, command: bytes) -> bytes:
        """Apply one committed command; return its encoded result.

        A command that can't be read changes nothing. Raising instead
        would stop every replica at the same entry, again and again.
        """
        message = messages.decode(command)
        if isinstance(message, messages.TableEdit):
            return messages.encode(self.table.apply(message))
        if isinstance(message, messages.Claim):
            return messages.encode(self.claims.claim(message))
        if isinstance(message, messages.ClaimEnd):
            return messages.encode(self.claims.end(message))
        if isinstance(message, messages.ForgetClaims):
            self.claims.forget(message.before)
            return b''
        if isinstance(message, messages.Quarantine):
            self._quarantine(message)
            return b''
        if isinstance(message, messages.Suspected):
            self._record_suspects(message)
            return b''
        if isinstance(message, messages.RouteMapPut):
            return messages.encode(self._put_route_map(message))
        return messages.encode(messages.Failure('not a command'))

    @property
    def map_version(self) -> int:
        """Version of the route map in force; 0 where there is none."""
        return self.route_map.version if self.route_map else 0

    def _put_route_map(
        self, command: messages.RouteMapPut
    ) -> messages.RouteMapOutcome:
        # An equal version keeps what is held: an operator that resends after
        # a lost answer, or races another one, must not change what some
        # entries already obey under that number.
        if command.version > self.map_version:
            self.route_map = command
        return messages.RouteMapOutcome(self.map_version)

    def _quarantine(self, command: messages.Quarantine) -> None:
        if command.lift:
            self.quarantined.pop(command.fingerprint, None)
            self.suspects.pop(command.fingerprint, None)
        else:
            self.quarantined[command.fingerprint] = command.reason
        self.refusals_revision += 1

    def _record_suspects(self, command: messages.Suspected) -> None:
        """Remember the contents, so that every entry treats them alike.

        A caller whose request killed one engine may send it again through
        another entry; without this, that entry would count from nothing.
        """
        for fingerprint in command.fingerprints:
            crashes = self.suspects.pop(fingerprint, 0)
            self.suspects[fingerprint] = crashes + 1
        while len(self.suspects) > MAX_SUSPECTS:
            del self.suspects[next(iter(self.suspects))]
        self.refusals_revision += 1

    def refusals(self) -> messages.Refusals:
        """Return what entries need of quarantine and suspects."""
        return messages.Refusals(
            sorted(self.quarantined), sorted(self.suspects)
        )

    def dump(self) -> bytes:
        """Return the whole state, for a snapshot."""
        return msgspec.msgpack.encode(self)

    @classmethod
    def restore(cls, data: bytes) -> 'ReplicatedState':
        """Return the state that :meth:`dump` wrote; empty from ``b''``."""
        if not data:
            return cls()
        return msgspec.msgpack.decode(data, type=cls)
