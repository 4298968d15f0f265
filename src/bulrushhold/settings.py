"""Settings files: JSON5 documents, validated before use."""

import os
import pathlib
import typing as t

import attrs
import json5
import msgspec

from bulrushhold import errors

_V = attrs.validators
_POSITIVE = _V.gt(0)
_NOT_NEGATIVE = _V.ge(0)
_PORT = _V.and_(_V.ge(1), _V.le(65535))
_NAME = _V.matches_re(r'[a-z0-9][a-z0-9-]{0,31}')


@attrs.frozen
class Address:
    """A TCP address: an IP address and a port."""

    host: str = attrs.field(
        validator=_V.matches_re(r'(\d{1,3}\.){3}\d{1,3}|[0-9a-f:]+')
    )
    port: int = attrs.field(validator=_PORT)

    def __str__(self) -> str:
        return f'{self.host}:{self.port}'


@attrs.frozen
class Metrics:
    """Address of the statsd server."""

    host: str = '127.0.0.1'
    port: int = attrs.field(default=8125, validator=_PORT)


@attrs.frozen
class Recovery:
    """How a generation is resumed after its engine is lost.

    The stall timeout is the engine's recent p99 gap between tokens times
    ``gap_factor``, at least ``min_gap_s`` and at most ``max_gap_s``.

    :param first_token_s: timeout for the first token.
    :param orphan_s: how long a stream is kept after its caller disconnects.
    :param extra_share: extra tokens that engines may generate for attempts
        which prove unnecessary, per token delivered.
    """

    policy: t.Literal['thrifty', 'prompt'] = 'thrifty'
    gap_factor: float = attrs.field(default=8.0, validator=_POSITIVE)
    min_gap_s: float = attrs.field(default=0.5, validator=_POSITIVE)
    max_gap_s: float = attrs.field(default=1.5, validator=_POSITIVE)
    first_token_s: float = attrs.field(default=20.0, validator=_POSITIVE)
    max_attempts: int = attrs.field(default=6, validator=_POSITIVE)
    orphan_s: float = attrs.field(default=15.0, validator=_NOT_NEGATIVE)
    extra_share: float = attrs.field(default=0.1, validator=_NOT_NEGATIVE)


@attrs.frozen
class Copies:
    """Copies of a transcript on other entries.

    :param count: copies besides the entry's own, 0 to 3.
    :param batch_s: how long tokens are batched before an append.
    :param ack_s: timeout for the acknowledgement of an append.
    :param keep_s: how long a transcript is kept after its last append.
    """

    count: int = attrs.field(default=2, validator=_V.and_(_V.ge(0), _V.le(3)))
    batch_s: float = attrs.field(default=0.02, validator=_NOT_NEGATIVE)
    ack_s: float = attrs.field(default=0.25, validator=_POSITIVE)
    keep_s: float = attrs.field(default=60.0, validator=_POSITIVE)


@attrs.frozen
class Clients:
    """Bounds on what clients of a process's HTTP listeners send and hold.

    :param max_head_bytes: bytes of a request's head, and of its trailers.
    :param head_timeout_s: from the first byte of a head to its last.
    :param body_timeout_s: time without a further byte of a body.
    :param unread_timeout_s: time in which a client reads none of an answer.
    :param idle_timeout_s: time without a request.
    :param max_connections: at all listeners together; 0 for a share of the
        process's descriptors.
    :param max_requests: handled at a time, of those that need a connection to
        a backend server; 0 for a share of the process's descriptors.
    :param max_request_memory: bytes of all requests together, if the memory
        of the instance isn't set.
    """

    max_head_bytes: int = attrs.field(
        default=64 << 10, validator=_V.ge(1 << 10)
    )
    head_timeout_s: float = attrs.field(default=15.0, validator=_POSITIVE)
    body_timeout_s: float = attrs.field(default=30.0, validator=_POSITIVE)
    unread_timeout_s: float = attrs.field(default=120.0, validator=_POSITIVE)
    idle_timeout_s: float = attrs.field(default=3600.0, validator=_POSITIVE)
    max_connections: int = attrs.field(default=0, validator=_NOT_NEGATIVE)
    max_requests: int = attrs.field(default=0, validator=_NOT_NEGATIVE)
    max_request_memory: int = attrs.field(
        default=32 << 20, validator=_V.ge(1 << 20)
    )


@attrs.frozen
class Entry:
    """Settings of one entry process.

    :param drain_deadline_s: time after the stop signal in which accepted
        requests may finish.
    :param linger_s: time after the stop signal in which new requests are
        refused at least, before the connections are closed.
    """

    name: str = attrs.field(validator=_NAME)
    data_centre: str = attrs.field(validator=_NAME)
    http: Address
    peer: Address
    control: list[Address] = attrs.field(validator=_V.min_len(1))
    platform_url: str = attrs.field(validator=_V.matches_re(r'https?://.+'))
    operator_key_file: str = ''
    recovery: Recovery = attrs.field(factory=Recovery)
    copies: Copies = attrs.field(factory=Copies)
    metrics: Metrics | None = None
    max_body_bytes: int = attrs.field(default=1 << 20, validator=_POSITIVE)
    table_poll_s: float = attrs.field(default=1.0, validator=_POSITIVE)
    table_lease_s: float = attrs.field(default=30.0, validator=_POSITIVE)
    when_table_stale: t.Literal['refuse', 'serve'] = 'refuse'
    answer_ttl_s: float = attrs.field(default=30.0, validator=_POSITIVE)
    drain_deadline_s: float = attrs.field(default=600.0, validator=_POSITIVE)
    linger_s: float = attrs.field(default=1.0, validator=_POSITIVE)
    queue_limit: int = attrs.field(default=512, validator=_POSITIVE)
    clients: Clients = attrs.field(factory=Clients)


@attrs.frozen
class Control:
    """Settings of one control process.

    :param replicas: peer addresses of all control instances by name.
    :param election_s: minimum election timeout.
    :param contacts: control instances to ask in order to join a log whose
        members are unknown; ``replicas`` then holds this instance only.
    :param voters: target number of voters, odd; 0 for as many as the log
        was bootstrapped with.
    :param founds: whether this is the first start of the cluster, so that
        this process may bootstrap the log, which others then join.
    :param snapshot_every: log entries after which the log is compacted.
    :param snapshot_bytes: size of the log after which it is compacted.
    """

    name: str = attrs.field(validator=_NAME)
    data_centre: str = attrs.field(validator=_NAME)
    peer: Address
    data_dir: str = attrs.field(validator=_V.min_len(1))
    replicas: dict[str, Address] = attrs.field(validator=_V.min_len(1))
    metrics: Metrics | None = None
    heartbeat_s: float = attrs.field(default=0.15, validator=_POSITIVE)
    election_s: float = attrs.field(default=1.0, validator=_POSITIVE)
    snapshot_every: int = attrs.field(default=10_000, validator=_POSITIVE)
    claim_keep_s: float = attrs.field(default=3600.0, validator=_POSITIVE)
    contacts: list[Address] = attrs.field(factory=list)
    voters: int = attrs.field(default=0, validator=_NOT_NEGATIVE)
    founds: bool = False
    snapshot_bytes: int = attrs.field(default=8 << 20, validator=_POSITIVE)

    def __attrs_post_init__(self) -> None:
        if len(self.replicas) not in (1, 3, 5, 7):
            raise ValueError('`replicas` must hold 1, 3, 5 or 7 instances')
        if self.replicas.get(self.name) != self.peer:
            raise ValueError('`replicas` must map `name` to `peer`')
        if self.heartbeat_s * 3 > self.election_s:
            raise ValueError('`election_s` must be at least 3 `heartbeat_s`')


@attrs.frozen
class Forwarding:
    """Settings of an entry that forwards opaque requests.

    :param seeds: peer addresses of control processes; some may be stale.
    :param repeat_ratio: retry budget: retries per request, summed over all
        entries.
    :param repeat_allowance: retries allowed per window in addition.
    :param repeat_window_s: length of the retry budget's window.
    :param grace_s: time from the stop signal until the process is killed.
    :param linger_s: time after the stop signal in which new requests are
        still expected.
    :param proxy: listening address for entries that reach no backend server;
        without it, none can use this entry's connections.
    :param memory_bytes: memory of the instance; 0 if it isn't bounded.
    :param max_files: file descriptors of the process; 0 if not bounded.
    :param cpu_share: share of a core that it may use; 0 if not bounded.
    :param weight: capacity of the instance for callers, relative to others.
    :param has_disk: whether the instance runs control too.
    :param list_lag_s: time after which the platform's list shows a change.
    """

    name: str = attrs.field(validator=_NAME)
    data_centre: str = attrs.field(validator=_NAME)
    callers: Address
    peer: Address
    seeds: list[Address] = attrs.field(validator=_V.min_len(1))
    repeat_ratio: float = attrs.field(default=0.5, validator=_NOT_NEGATIVE)
    repeat_allowance: float = attrs.field(
        default=50.0, validator=_NOT_NEGATIVE
    )
    repeat_window_s: float = attrs.field(default=10.0, validator=_POSITIVE)
    grace_s: float = attrs.field(default=8.0, validator=_POSITIVE)
    linger_s: float = attrs.field(default=4.5, validator=_POSITIVE)
    metrics: Address | None = None
    proxy: Address | None = None
    memory_bytes: int = attrs.field(default=0, validator=_NOT_NEGATIVE)
    max_files: int = attrs.field(default=0, validator=_NOT_NEGATIVE)
    cpu_share: float = attrs.field(default=0.0, validator=_NOT_NEGATIVE)
    weight: float = attrs.field(default=1.0, validator=_POSITIVE)
    has_disk: bool = False
    list_lag_s: float = attrs.field(default=1.0, validator=_NOT_NEGATIVE)
    clients: Clients = attrs.field(factory=Clients)


_Role = t.TypeVar('_Role', Entry, Control, Forwarding)


def load(path: str | os.PathLike[str], role: type[_Role]) -> _Role:
    """Read and validate a settings file.

    :param role: the settings class to convert it to.
    :raises SettingsError: with a one-line message that names the file and
        the invalid field.
    """
    document = _parse(path)
    peer = os.fspath(path)
    unknown = _unknown_field(document, role, '$')
    if unknown:
        raise errors.SettingsError(
            f'unknown field at `{unknown}`', 'settings', peer
        )
    try:
        return msgspec.convert(document, role)
    except (msgspec.ValidationError, ValueError) as error:
        reason = ' '.join(str(error).split())
        raise errors.SettingsError(reason, 'settings', peer) from error


def load_any(path: str | os.PathLike[str]) -> Entry | Control:
    """Read a settings file; ``data_dir`` marks that of a control process."""
    document = _parse(path)
    return load(path, Control if 'data_dir' in document else Entry)


def read_key(path: str) -> str:
    """Return the operator key stored in a file.

    :raises SettingsError: if the file is unreadable or the key too short.
    """
    try:
        key = pathlib.Path(path).read_text(encoding='utf-8').strip()
    except OSError as error:
        raise errors.SettingsError(
            error.strerror or 'unreadable', 'operator key', path
        ) from error
    if len(key) < 16:
        raise errors.SettingsError(
            'the key must have at least 16 characters', 'operator key', path
        )
    return key


def _parse(path: str | os.PathLike[str]) -> dict[str, t.Any]:
    peer = os.fspath(path)
    try:
        text = pathlib.Path(path).read_text(encoding='utf-8')
        document = json5.loads(text, allow_duplicate_keys=False)
    except OSError as error:
        raise errors.SettingsError(
            error.strerror or 'unreadable', 'settings', peer
        ) from error
    except ValueError as error:
        reason = ' '.join(str(error).split())
        raise errors.SettingsError(reason, 'settings', peer) from error
    if not isinstance(document, dict):
        raise errors.SettingsError('expected an object', 'settings', peer)
    return document


def _unknown_field(value: t.Any, shape: t.Any, path: str) -> str | None:
    """Return the path of the first field that ``shape`` doesn't define.

    msgspec ignores unknown fields of attrs classes, so that a misspelt
    setting would silently keep its default.
    """
    for option in t.get_args(shape) or (shape,):
        if isinstance(value, list) and attrs.has(option):
            for number, item in enumerate(value):
                found = _unknown_field(item, option, f'{path}[{number}]')
                if found:
                    return found
        elif isinstance(value, dict) and t.get_origin(shape) is dict:
            for key, item in value.items():
                found = _unknown_field(item, option, f'{path}.{key}')
                if found:
                    return found
        elif isinstance(value, dict) and attrs.has(option):
            fields = attrs.fields_dict(option)
            for key, item in value.items():
                if key not in fields:
                    return f'{path}.{key}'
                inner = fields[key].type
                found = _unknown_field(item, inner, f'{path}.{key}')
                if found:
                    return found
    return None
