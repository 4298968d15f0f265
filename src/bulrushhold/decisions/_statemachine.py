"""The replicated state: table, claims and quarantine, from commands."""

import attrs
import msgspec

from bulrushhold.decisions import _claims
from bulrushhold.decisions import _table
from bulrushhold import messages


@attrs.define
class ReplicatedState:
    """What every replica holds after the same commands.

    :param quarantined: request fingerprint to why it is refused.
    """

    table: _table.TableState = attrs.field(factory=_table.TableState)
    claims: _claims.ClaimState = attrs.field(factory=_claims.ClaimState)
    quarantined: dict[str, str] = attrs.field(factory=dict)
    quarantine_revision: int = 0

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
        return messages.encode(messages.Failure('not a command'))

    def _quarantine(self, order: messages.Quarantine) -> None:
        if order.lift:
            self.quarantined.pop(order.fingerprint, None)
        else:
            self.quarantined[order.fingerprint] = order.reason
        self.quarantine_revision += 1

    def dump(self) -> bytes:
        """Return the whole state, for a snapshot."""
        return msgspec.msgpack.encode(self)

    @classmethod
    def restore(cls, data: bytes) -> 'ReplicatedState':
        """Return the state that :meth:`dump` wrote; empty from ``b''``."""
        if not data:
            return cls()
        return msgspec.msgpack.decode(data, type=cls)
