"""Client of the control instances, and a local copy of the table."""

import asyncio
import collections.abc as cabc
import time
import typing as t

import attrs
import loguru

from bulrushhold import errors
from bulrushhold import messages
from bulrushhold import ports
from bulrushhold import settings

READ_TIMEOUT_S: t.Final = 1.0
PROPOSAL_TIMEOUT_S: t.Final = 3.5
RETRY_DELAY_S: t.Final = 0.1


class ControlClient:
    """Sends requests to the control leader, and finds a new one.

    Commands carry an id (edit id, claim holder), so that one whose reply
    was lost can be sent again.
    """

    def __init__(
        self, addresses: list[str], transport: ports.Transport
    ) -> None:
        self.addresses = addresses
        self.transport = transport
        self.leader = addresses[0]

    async def propose(
        self, command: messages.Message, deadline_s: float
    ) -> t.Any:
        """Commit a command and return its result.

        :param deadline_s: seconds for which to retry.
        :raises PeerError: if no commit was confirmed; the command may
            still be committed.
        """
        proposal = messages.Proposal(messages.encode(command))
        reply = await self._request(proposal, PROPOSAL_TIMEOUT_S, deadline_s)
        if not reply.result:
            return None
        result = messages.decode(reply.result)
        if isinstance(result, messages.Failure):
            raise errors.PeerError(result.reason, 'propose', self.leader)
        return result

    async def read(
        self, request: messages.Message, deadline_s: float
    ) -> t.Any:
        """Send a read that the leader serves under its lease.

        :raises PeerError: if no leader answered in time.
        """
        return await self._request(request, READ_TIMEOUT_S, deadline_s)

    async def read_status(self) -> dict[str, t.Any]:
        """Return the status of the leader, or else of another replica.

        :raises PeerError: if no control instance answered.
        """
        last_error: errors.PeerError | None = None
        status: messages.StatusReply | None = None
        for address in [self.leader, *self.addresses]:
            try:
                status = await self.transport.request(
                    address, messages.StatusRead(), READ_TIMEOUT_S / 2
                )
            except errors.PeerError as error:
                last_error = error
                continue
            if status.role == 'leader':
                break
        if status is None:
            raise last_error or errors.PeerError(
                'no control instance answered', 'status'
            )
        return attrs.asdict(status)

    async def _request(
        self, request: messages.Message, timeout_s: float, deadline_s: float
    ) -> t.Any:
        deadline = time.monotonic() + deadline_s
        last_error: errors.PeerError | None = None
        while True:
            remaining = deadline - time.monotonic()
            if remaining <= 0:
                raise last_error or errors.PeerError(
                    'no control leader answered', 'control', self.leader
                )
            try:
                reply = await self.transport.request(
                    self.leader, request, min(timeout_s, remaining)
                )
            except errors.PeerError as error:
                last_error = error
                self._next_leader('')
                await asyncio.sleep(min(RETRY_DELAY_S, remaining))
                continue
            if reply.status == 'done':
                return reply
            last_error = errors.PeerError(reply.status, 'control', self.leader)
            if reply.status == 'not_leader':
                self._next_leader(reply.leader)
            await asyncio.sleep(min(RETRY_DELAY_S, max(0.0, remaining)))

    def _next_leader(self, hint: str) -> None:
        if hint and hint != self.leader:
            self.leader = hint
            return
        if self.leader not in self.addresses:
            self.leader = self.addresses[0]
            return
        position = self.addresses.index(self.leader) + 1
        self.leader = self.addresses[position % len(self.addresses)]


class TableView:
    """This entry's copy of the table; its revision never decreases.

    ``confirmed_at`` is the monotonic time at which the last poll that a
    leader answered was sent. The callbacks in ``listeners`` run after each
    change. ``poison_candidates`` are the contents that ran on an engine when
    it crashed.
    """

    def __init__(
        self,
        config: settings.Entry,
        control: ControlClient,
        clock: cabc.Callable[[], float] = time.monotonic,
    ) -> None:
        self.config = config
        self.control = control
        self.clock = clock
        self.rows: dict[str, messages.Row] = {}
        self.accounts: dict[str, float] = {}
        self.quarantined: frozenset[str] = frozenset()
        self.poison_candidates: frozenset[str] = frozenset()
        self.refusals_revision = -1
        self.revision = 0
        self.confirmed_at: float | None = None
        self.listeners: list[cabc.Callable[[], None]] = []

    @property
    def confirmed(self) -> bool:
        """Whether a leader has confirmed the table at least once."""
        return self.confirmed_at is not None

    def in_force(self) -> bool:
        """Whether new requests may be admitted under this table.

        A partitioned entry may hold outdated limits; the setting
        ``when_table_stale`` decides whether it keeps serving.
        """
        if self.confirmed_at is None:
            return False
        if self.config.when_table_stale == 'serve':
            return True
        age = self.clock() - self.confirmed_at
        return age < self.config.table_lease_s

    async def run(self) -> None:
        """Poll until cancelled."""
        while True:
            try:
                await self.poll()
            except errors.PeerError as error:
                loguru.logger.warning('table not confirmed: {}', error)
            await asyncio.sleep(self.config.table_poll_s)

    async def poll(self) -> None:
        """Fetch and apply changes once."""
        sent_at = self.clock()
        read = messages.TableRead(
            self.revision, self.config.name, self.refusals_revision
        )
        reply = await self.control.read(read, READ_TIMEOUT_S * 3)
        self.apply(reply, sent_at)

    def apply(self, reply: messages.TableReply, sent_at: float) -> None:
        """Apply a leader's reply to a poll sent at ``sent_at``."""
        if reply.revision < self.revision:
            # Possible only if the control log lost committed entries.
            loguru.logger.error(
                'table revision {} is older than {}; ignored',
                reply.revision,
                self.revision,
            )
            return
        self.confirmed_at = sent_at
        changed = self._apply_refusals(reply)
        if reply.revision != self.revision:
            self._apply_rows(reply)
            changed = True
        if changed:
            for callback in self.listeners:
                callback()

    def _apply_rows(self, reply: messages.TableReply) -> None:
        if reply.whole:
            self.rows = {}
        for key in reply.removed:
            self.rows.pop(key, None)
        for row in reply.rows:
            self.rows[row.key] = row
        self.revision = reply.revision
        self._sum_account_weights()
        loguru.logger.bind(revision=reply.revision).info('table in force')

    def _apply_refusals(self, reply: messages.TableReply) -> bool:
        if reply.refusals is None:
            return False
        self.quarantined = frozenset(reply.refusals.quarantined)
        self.poison_candidates = frozenset(reply.refusals.suspects)
        self.refusals_revision = reply.refusals_revision
        return True

    def _sum_account_weights(self) -> None:
        self.accounts = {}
        for row in self.rows.values():
            weight = self.accounts.get(row.account, 0.0)
            self.accounts[row.account] = weight + row.weight
