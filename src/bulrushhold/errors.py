"""The one exception tree; each error tells the step and the peer."""

import enum
import typing as t

import attrs


class Ran(enum.StrEnum):
    """Whether a refused or failed request ran on a backend server.

    ``NO`` is said only where no byte of the request can have reached a
    backend server, or where a claim that was never run has been closed.
    """

    NO = 'no'
    YES = 'yes'
    UNKNOWN = 'unknown'


@attrs.define(slots=False)
class BulrushholdError(Exception):
    """Root of all errors of this project.

    :param reason: one line for the person who reads it.
    :param step: the step of the work at which the error arose.
    :param peer: the process or file with which it arose, or ``''``.
    """

    reason: str
    step: str = ''
    peer: str = ''

    def __attrs_post_init__(self) -> None:
        super().__init__(self.reason)

    def __str__(self) -> str:
        where = ' '.join(part for part in (self.step, self.peer) if part)
        return f'{where}: {self.reason}' if where else self.reason


class SettingsError(BulrushholdError):
    """A settings file can't be read or holds a wrong value."""


class StorageError(BulrushholdError):
    """The data folder can't be trusted or written; the process stops."""


class PeerError(BulrushholdError):
    """Another process of the system gave no usable answer in time."""


class NotLeaderError(PeerError):
    """The control instance asked isn't the leader, or lost its lease."""


class RouteMapError(BulrushholdError):
    """An operator's route map can't be read or obeyed; nothing changed."""


class CellError(BulrushholdError):
    """One wrong cell of a pushed table; ``step`` is row and column."""


class BackendError(BulrushholdError):
    """A backend server failed, or its reply can't be used."""


class EngineLostError(BackendError):
    """An engine died or went silent before its end mark."""


@attrs.define(slots=False)
class EngineRefusedError(BackendError):
    """An engine answered, but won't run the request.

    :param final: the request itself is at fault, for any engine.
    """

    final: bool = False


@attrs.define(slots=False)
class RequestError(BulrushholdError):
    """The final, honest refusal of a caller's request.

    :param ran: whether the request ran.
    :param status: HTTP status of the refusal.
    :param retry_after: seconds after which to come back, if that helps.
    """

    ran: Ran = Ran.NO
    status: int = 400
    retry_after: float | None = None

    def body(self) -> dict[str, t.Any]:
        """Return the JSON error shape that every caller sees."""
        error: dict[str, t.Any] = {
            'ran': self.ran.value,
            'step': self.step,
            'peer': self.peer,
            'reason': self.reason,
        }
        if self.retry_after is not None:
            error['retry_after'] = self.retry_after
        return {'error': error}
