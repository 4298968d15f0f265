"""Bounds what all clients of a process hold, at all of its HTTP listeners."""

import asyncio
import collections.abc as cabc
import resource
import time
import typing as t

import loguru

from bulrushhold import decisions
from bulrushhold import node
from bulrushhold import ports
from bulrushhold import settings
from bulrushhold.web import _buffers
from bulrushhold.web import _refusals

if t.TYPE_CHECKING:
    from bulrushhold.web import _clientconnection

CHECK_INTERVAL_S: t.Final = 1.0
LOG_INTERVAL_S: t.Final = 10.0
# Share of the descriptors that clients may take, and of requests handled at a
# time, each of which needs one towards a backend server. As many connections
# to servers are kept for later requests.
CONNECTION_SHARE: t.Final = 0.6
REQUEST_SHARE: t.Final = 0.15
# Share of an instance's memory for connections, and what one needs.
CONNECTION_MEMORY_SHARE: t.Final = 0.25
CONNECTION_BYTES: t.Final = 16 << 10
# Those that a process has without clients.
OWN_FILES: t.Final = 40
# If the system doesn't bound the descriptors of a process.
DEFAULT_FILES: t.Final = 65536

_Connection: t.TypeAlias = '_clientconnection.ClientConnection'
_State: t.TypeAlias = decisions.ClientState


class ClientGuard:
    """Counts the connections of all listeners and the memory of requests.

    While places or memory are short, connections give way in the order of
    :mod:`bulrushhold.decisions._clienteviction`.

    :param limits: what one client may send, and how long it may take.
    :param budget: bounds the memory of all requests together.
    :param max_files: file descriptors of the process; 0 if not given.
    :param memory: bytes of memory of the instance; 0 if it isn't bounded.
    """

    def __init__(
        self,
        limits: settings.Clients,
        budget: _buffers.BufferBudget,
        metrics: ports.Metrics,
        max_files: int = 0,
        memory: int = 0,
        clock: cabc.Callable[[], float] = time.monotonic,
    ) -> None:
        self.limits = limits
        self.budget = budget
        self.metrics = metrics
        self.clock = clock
        files = _max_files(max_files)
        self.max_connections = limits.max_connections or _max_connections(
            files, memory
        )
        self.max_requests = limits.max_requests or max(
            1, int(REQUEST_SHARE * files)
        )
        self.requests = 0
        self.connections: dict[_Connection, None] = {}
        # In the order of the last survey, the first to go at the end.
        self.replaceable: list[tuple[_Connection, _State]] = []
        self.unlogged: dict[str, int] = {}
        self.logged_at: dict[str, float] = {}
        budget.reclaim = self.free_memory

    def add(self, connection: _Connection) -> None:
        """Take a new connection; close another one, or it, if needed."""
        self.connections[connection] = None
        if len(self.connections) > self.max_connections:
            self.record('connections')
            self._pick_replaced(connection).drop()

    def _pick_replaced(self, new: _Connection) -> _Connection:
        """Return the connection that gives way to a new one, or that one."""
        for is_fresh in (False, True):
            while self.replaceable:
                connection, state = self.replaceable.pop()
                if connection.is_open() and connection.state() == state:
                    return connection
            if not is_fresh:
                states = dict(self._states())
                order = decisions.free_place_order(
                    states.items(), self.clock()
                )
                self.replaceable = [(c, states[c]) for c in reversed(order)]
        return new

    def _states(self) -> cabc.Iterator[tuple[_Connection, _State]]:
        return ((c, c.state()) for c in self.connections if c.is_open())

    def remove(self, connection: _Connection) -> None:
        """Forget a connection that has closed."""
        self.connections.pop(connection, None)

    def begin_request(self) -> None:
        """Count a request that will need a connection to a server.

        :raises RequestError: if there are too many; it did not run.
        """
        if self.requests >= self.max_requests:
            self.record('requests')
            raise _refusals.requests_error()
        self.requests += 1

    def end_request(self) -> None:
        """Note the end of a request that was counted."""
        self.requests -= 1

    def check_memory(self, connection: _Connection) -> None:
        """Keep the memory of requests within its bound.

        :param connection: the one that has just received something.
        """
        holder = connection.holder
        if not self.budget.is_exceeded or self.budget.is_alone(
            holder, holder.held
        ):
            return
        self.free_memory(self.budget.limit)
        if not self.budget.is_exceeded:
            return
        for large in decisions.large_requests(self._states()):
            self._free(large)
            if not self.budget.is_exceeded:
                return
        self._free(connection)

    def free_memory(self, target: int) -> None:
        """Let requests that have stalled give way.

        :param target: bytes that may be held afterwards.
        """
        order = decisions.free_memory_order(self._states(), self.clock())
        for connection in order:
            if self.budget.used <= target:
                return
            self._free(connection)

    def _free(self, connection: _Connection) -> None:
        self.record('memory')
        connection.give_way(_refusals.memory_error())

    async def watch(self) -> None:
        """End what takes too long, forever."""
        while True:
            await asyncio.sleep(CHECK_INTERVAL_S)
            self.check()

    def check(self) -> None:
        """End requests and connections that take longer than the limits."""
        now = self.clock()
        self.replaceable.clear()
        for connection in list(self.connections):
            connection.check(now)
        self.metrics.gauge('clients.connections', len(self.connections))
        self.metrics.gauge('clients.request_bytes', self.budget.used)
        for reason in list(self.unlogged):
            self._log(reason)

    def record(self, reason: str) -> None:
        """Count a request or connection that was ended for a limit.

        :param reason: which limit; a constant.
        """
        self.metrics.count('clients.ended', labels={'reason': reason})
        self.unlogged[reason] = self.unlogged.get(reason, 0) + 1
        self._log(reason)

    def _log(self, reason: str) -> None:
        now = self.clock()
        if now < self.logged_at.get(reason, float('-inf')) + LOG_INTERVAL_S:
            return
        self.logged_at[reason] = now
        loguru.logger.bind(
            reason=reason,
            count=self.unlogged.pop(reason, 0),
            connections=len(self.connections),
            used=self.budget.used,
            limit=self.budget.limit,
        ).warning('client connections ended')


def make_guard(
    budget: _buffers.BufferBudget | None = None,
    limits: settings.Clients | None = None,
    metrics: ports.Metrics | None = None,
    max_files: int = 0,
    memory: int = 0,
) -> ClientGuard:
    """Return a guard.

    :param budget: ``None`` for a fixed one, of the limits.
    """
    _buffers.map_large_blocks()
    limits = limits or settings.Clients()
    metrics = metrics or node.NullMetrics()
    if budget is None:
        budget = _buffers.BufferBudget(limits.max_request_memory, metrics)
    return ClientGuard(limits, budget, metrics, max_files, memory)


def _max_files(max_files: int) -> int:
    """Return the descriptors that clients and their requests may take."""
    soft_limit, _ = resource.getrlimit(resource.RLIMIT_NOFILE)
    if soft_limit == resource.RLIM_INFINITY:
        soft_limit = DEFAULT_FILES
    return max(1, min(max_files or soft_limit, soft_limit) - OWN_FILES)


def _max_connections(files: int, memory: int) -> int:
    bounds = [int(CONNECTION_SHARE * files)]
    if memory:
        bounds.append(int(CONNECTION_MEMORY_SHARE * memory / CONNECTION_BYTES))
    return max(1, min(bounds))
