"""The exception hierarchy; each error names the failed step and the peer."""

import enum
import typing as t

import attrs


class Ran(enum.StrEnum):
    """Whether a refused or failed request was executed by a backend server.

    ``NO`` is certain: no byte of the request reached a backend server, or
    its claim was closed before it was executed.
    """

    NO = 'no'
    YES = 'yes'
    UNKNOWN = 'unknown'


@attrs.define(slots=False)
class BulrushholdError(Exception):
    """Base class of all errors of this package.

    :param reason: a one-line message.
    :param step: the operation that failed, or ``''``.
    :param peer: the remote process or the file involved, or ``''``.
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
    """A settings file can't be read or holds an invalid value."""


class StorageError(BulrushholdError):
    """The data folder is damaged or can't be written."""


class PeerError(BulrushholdError):
    """A peer process sent no valid reply in time."""


class NotLeaderError(PeerError):
    """The control process is not the leader or lost its lease."""


class RouteMapError(BulrushholdError):
    """A route map is invalid and was not applied."""


class RolloutOrderError(BulrushholdError):
    """An order to roll out a version is invalid and was not accepted."""


class CellError(BulrushholdError):
    """A cell of a pushed table is invalid; ``step`` is row and column."""


class BackendError(BulrushholdError):
    """A backend server failed or sent an invalid reply."""


class InvalidResponseError(BackendError):
    """A backend server sent something that is no valid response.

    Nothing shows whether it ran the request, nor that it crashed.
    """


class OversizedResponseError(InvalidResponseError):
    """A backend server sent more than a response may hold.

    It may send without end, and was not read any further.
    """


class CutOffError(BackendError):
    """No backend server of a service can be reached, and no entry that can."""


class ProxyRefusedError(BackendError):
    """Another entry did not try to send a request to a backend server."""


@attrs.define(slots=False)
class NoPermitError(BackendError):
    """A request was not sent, as its server allows none now.

    :param wait_s: time until it allows one, if known.
    """

    wait_s: float = 0.0


class RequestBlockedError(BulrushholdError):
    """A request was not sent on, as engines crashed under it."""


class EngineLostError(BackendError):
    """An engine's stream broke off or stalled before its end."""


@attrs.define(slots=False)
class EngineRefusedError(BackendError):
    """An engine refused a request.

    :param final: whether every engine would refuse it.
    """

    final: bool = False


@attrs.define(slots=False)
class RequestError(BulrushholdError):
    """An error response to a caller's request.

    :param ran: whether the request was executed.
    :param status: HTTP status of the response.
    :param retry_after: seconds to wait before a retry, if one may help.
    """

    ran: Ran = Ran.NO
    status: int = 400
    retry_after: float | None = None

    def body(self) -> dict[str, t.Any]:
        """Return the JSON body of the error response, or of an error event.

        An event has no other place for the status.
        """
        error: dict[str, t.Any] = {
            'status': self.status,
            'ran': self.ran.value,
            'step': self.step,
            'peer': self.peer,
            'reason': self.reason,
        }
        if self.retry_after is not None:
            error['retry_after'] = self.retry_after
        return {'error': error}
