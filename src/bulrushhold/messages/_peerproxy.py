"""Messages between entries that proxy requests to backend servers."""

import enum

import attrs

from bulrushhold import calls


class ProxyFailureKind(enum.StrEnum):
    """Why a proxied request has no response.

    ``REFUSED``: the entry can't proxy it; another one may. ``BACKEND``: the
    backend server failed. ``PERMIT``: the server wants no requests of that
    entry now. ``BLOCKED``: engines crashed under the request.
    ``OVERSIZED``: the backend server's response exceeded a limit. ``INVALID``:
    what it sent was no valid response.
    """

    REFUSED = 'refused'
    BACKEND = 'backend'
    PERMIT = 'permit'
    BLOCKED = 'blocked'
    OVERSIZED = 'oversized'
    INVALID = 'invalid'


@attrs.frozen
class ProxiedAttempt:
    """Asks an entry to send one attempt of a call to a backend server."""

    call: calls.Call
    attempt: calls.Attempt


@attrs.frozen
class ProxiedHead:
    """Head of the server's response; the body follows."""

    head: calls.ResponseHead


@attrs.frozen
class ProxyFailure:
    """Tells that a proxied request has no response.

    :param step: see :class:`errors.BackendError`.
    :param wait_s: time for which the server wants no requests.
    """

    kind: ProxyFailureKind
    reason: str
    step: str = ''
    wait_s: float = 0.0


@attrs.frozen
class ProxiedProbe:
    """Asks an entry to probe an engine.

    :param timeout: seconds; also in the messages below.
    """

    address: str
    timeout: float
    instance: str = ''


@attrs.frozen
class ProxiedConnect:
    """Asks an entry whether a server accepts connections."""

    address: str
    timeout: float


@attrs.frozen
class ProxiedEndCheck:
    """Asks an entry whether a server's process is known to have ended."""

    address: str
    timeout: float
    instance: str = ''


@attrs.frozen
class ProxiedStartRead:
    """Asks an entry when an engine's process started."""

    address: str
    timeout: float
    instance: str = ''


@attrs.frozen
class ProxiedSegmentsRead:
    """Asks an entry for the prompt segments that an engine has cached."""

    address: str
    timeout: float


@attrs.frozen
class ProxiedCopy:
    """Asks an entry to make an engine copy a run's KV cache."""

    call: calls.Call
    address: str
    target: str
    timeout: float


@attrs.frozen
class ProxiedCopyDrop:
    """Asks an entry to free the memory of a copy."""

    copy: calls.RunCopy
    address: str
    timeout: float


@attrs.frozen
class ProxyAnswer:
    """Answer to all requests above but :class:`ProxiedAttempt`.

    :param success: whether the server responded as expected.
    :param started_ms: see :meth:`calls.BackendClient.read_start`.
    """

    success: bool
    segments: frozenset[str] = frozenset()
    copy: calls.RunCopy | None = None
    started_ms: int | None = None
