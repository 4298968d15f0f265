"""Runs one replica of the replicated log: disk, network and timers."""

import asyncio
import collections.abc as cabc
import contextlib
import time
import typing as t

import attrs
import loguru

from bulrushhold.control import _statereads
from bulrushhold import decisions
from bulrushhold import errors
from bulrushhold import messages
from bulrushhold import node
from bulrushhold import ports
from bulrushhold import settings

PROPOSAL_TIMEOUT_S: t.Final = 3.0
# Commits take a round trip and two syncs; without a majority they never end.
FINISH_TIMEOUT_S: t.Final = 0.5
JOIN_INTERVAL_S: t.Final = 0.5
# Used while there are too few voters, as a new log accepts no commands then.
BOOTSTRAP_JOIN_INTERVAL_S: t.Final = 0.1
# A new log accepts commands after this time even with too few voters.
BOOTSTRAP_TIMEOUT_S: t.Final = 6.0
# Longer than an election, so that only a replica that was removed from the
# configuration requests to join again.
REJOIN_AFTER_S: t.Final = 2.5
MIN_WAIT_S: t.Final = 0.001
# Commands that take longer are logged: the process answers nothing meanwhile.
SLOW_COMMAND_S: t.Final = 0.1
CLAIM_EXPIRY_INTERVAL_S: t.Final = 30.0
_REPLICA_MESSAGES: t.Final = (
    messages.VoteRequest,
    messages.VoteReply,
    messages.AppendRequest,
    messages.AppendReply,
    messages.InstallSnapshot,
)


@attrs.define
class _PendingProposal:
    """A proposal whose log entry is not applied yet."""

    term: int
    future: 'asyncio.Future[bytes | None]'


class ControlServer:
    """Persists, sends and applies the output of a replica.

    :param replica: the consensus algorithm, without I/O.
    :param state: the state machine that committed commands are applied to.
    """

    def __init__(
        self,
        config: settings.Control,
        replica: decisions.Replica,
        state: decisions.ReplicatedState,
        store: ports.LogStore,
        transport: ports.Transport,
        metrics: ports.Metrics,
        clock: cabc.Callable[[], float] = time.monotonic,
    ) -> None:
        self.config = config
        self.replica = replica
        self.state = state
        self.store = store
        self.transport = transport
        self.metrics = metrics
        self.clock = clock
        self.started_at = clock()
        self.contacts = list(config.contacts)
        self.reported_config = messages.Config()
        self.applied_hooks: list[cabc.Callable[[], None]] = []
        self.bytes_since_snapshot = 0
        self.bootstrapped = False
        self.stopping = False
        self.pending_proposals: dict[int, _PendingProposal] = {}
        self.entries_since_snapshot = 0
        self.wakeup = asyncio.Event()
        self.next_join = 0.0
        self.next_claim_expiry = 0.0
        for kind in _REPLICA_MESSAGES:
            transport.handle(kind, self._on_replica_message)
        transport.handle(messages.JoinRequest, self._on_join)
        transport.handle(messages.JoinReply, self._on_join_reply)
        transport.handle(messages.CoreRead, self._on_core_read)
        transport.handle(messages.Found, self._on_bootstrap_order)
        transport.handle(messages.Proposal, self._on_proposal)
        self.state_reader = _statereads.StateReader(
            replica, lambda: self.state, clock
        )
        self.state_reader.register(transport)

    async def run(self) -> None:
        """Serve until cancelled or until this replica bootstraps the log.

        :raises StorageError: if the disk fails; other replicas take over.
        """
        while True:
            self.replica.tick(self.clock())
            self._maintain_membership()
            self.process_ready()
            # asyncio.wait_for of Python 3.11 may swallow a cancellation that
            # arrives together with the result.
            with contextlib.suppress(TimeoutError):
                async with asyncio.timeout(self._seconds_to_wakeup()):
                    await self.wakeup.wait()
            self.wakeup.clear()
            if self.bootstrapped:
                return

    def _seconds_to_wakeup(self) -> float:
        now = self.clock()
        delay_s = min(
            self.replica.seconds_until_tick(now), self.next_join - now
        )
        return max(MIN_WAIT_S, delay_s)

    def process_ready(self) -> None:
        """Save, send and apply all pending output of the replica."""
        while True:
            self.replica.flush(self.clock())
            ready = self.replica.take_ready()
            if ready.snapshot is not None:
                self._install(ready)
            elif ready.must_save:
                last = self.replica.last_index
                self.store.save(ready.term, ready.vote, ready.entries)
                self.replica.mark_saved(last)
            for peer, message in ready.outbox:
                self._send(peer, message)
            for entry in ready.committed:
                self._apply(entry)
            if ready.committed or ready.snapshot is not None:
                for hook in self.applied_hooks:
                    hook()
            if not (ready.must_save or ready.committed):
                return

    def _install(self, ready: decisions.Ready) -> None:
        snapshot = ready.snapshot
        assert snapshot is not None
        self.store.save(ready.term, ready.vote, [])
        self.store.save_snapshot(snapshot, ready.entries)
        self.replica.mark_saved(self.replica.last_index)
        self.state = decisions.ReplicatedState.restore(snapshot.state)
        self.entries_since_snapshot = 0

    def _send(self, peer: str, message: messages.Message) -> None:
        config = self.replica.config
        address = _address_in(config, peer) or _address_in(
            self.reported_config, peer
        )
        if address is None:
            # A voter that is not yet in this replica's log.
            name = peer.partition('.')[0]
            configured = self.config.replicas.get(name)
            address = str(configured) if configured else None
        if address:
            self.transport.send(address, message)

    def _apply(self, entry: messages.LogEntry) -> None:
        result = b''
        if entry.kind == messages.KIND_COMMAND:
            result = self._apply_command(entry)
        pending = self.pending_proposals.pop(entry.index, None)
        if pending is not None and not pending.future.done():
            same_term = pending.term == entry.term
            pending.future.set_result(result if same_term else None)
        self.entries_since_snapshot += 1
        self.bytes_since_snapshot += len(entry.data)
        snapshot_due = (
            self.entries_since_snapshot >= self.config.snapshot_every
            or self.bytes_since_snapshot >= self.config.snapshot_bytes
        )
        if snapshot_due and entry.index == self.replica.applied:
            self._snapshot(entry.index)

    def _apply_command(self, entry: messages.LogEntry) -> bytes:
        started_at = time.monotonic()
        result = self.state.apply(entry.data)
        seconds = time.monotonic() - started_at
        self.metrics.time('command.apply', seconds)
        if seconds >= SLOW_COMMAND_S:
            loguru.logger.bind(
                index=entry.index,
                bytes=len(entry.data),
                seconds=round(seconds, 3),
            ).warning('command applied slowly')
        return result

    def _snapshot(self, index: int) -> None:
        snapshot = self.replica.compact(index, self.state.dump())
        saved = self.replica.saved - index
        self.store.save_snapshot(snapshot, self.replica.log.entries[:saved])
        self.entries_since_snapshot = 0
        self.bytes_since_snapshot = 0
        loguru.logger.bind(index=index).info('snapshot written')

    # Membership

    def _maintain_membership(self) -> None:
        now = self.clock()
        if now < self.next_join:
            return
        self.next_join = now + JOIN_INTERVAL_S
        self._advertise_leader()
        if self.replica.role is decisions.Role.LEADER:
            if self._has_too_few_voters():
                self.next_join = now + BOOTSTRAP_JOIN_INTERVAL_S
            self._promote_learners()
            self._expire_claims(now)
        elif (
            self.replica.ident not in self.replica.config.voters
            or self.replica.seconds_since_leader(now) > REJOIN_AFTER_S
        ):
            self._request_join()

    def _advertise_leader(self) -> None:
        """Send leader and membership to contacts that are not members.

        Relays store nothing. After a full restart, relays configured with
        the addresses of relays only could not find a replica otherwise.
        """
        config = self.replica.config
        reply = messages.CoreReply(self.replica.leader_address(), config)
        members = {*config.voters.values(), *config.learners.values()}
        non_members = set(map(str, self.contacts)) - members
        for address in sorted(non_members - {str(self.config.peer)}):
            if config.voters:
                self.transport.send(address, reply)

    def _request_join(self) -> None:
        request = messages.JoinRequest(
            self.replica.ident, str(self.config.peer)
        )
        config = self.replica.config
        addresses = {
            *map(str, self.config.replicas.values()),
            *map(str, self.contacts),
            *config.voters.values(),
            *config.learners.values(),
            *self.reported_config.voters.values(),
        }
        for address in sorted(addresses - {str(self.config.peer)}):
            self.transport.send(address, request)

    def _promote_learners(self) -> None:
        change = decisions.next_config(
            self.replica, self.clock(), self.config.voters
        )
        if change is not None and self.replica.change_config(change.config):
            node.log_decision(
                'membership',
                reason=change.reason,
                voters=sorted(change.config.voters),
                learners=sorted(change.config.learners),
            )

    async def _on_join(self, request: messages.JoinRequest) -> None:
        if self.replica.role is not decisions.Role.LEADER:
            # Forward it: the sender may have no other replica's address.
            leader = self.replica.leader_address()
            if leader and leader != str(self.config.peer):
                self.transport.send(leader, request)
            return
        reply = messages.JoinReply(self.replica.config)
        self.transport.send(request.address, reply)
        config = decisions.with_learner(self.replica, request)
        if config is not None and self.replica.change_config(config):
            node.log_decision(
                'membership',
                reason='an empty replica joins as a learner',
                voters=sorted(config.voters),
                learners=sorted(config.learners),
            )
            self.wakeup.set()

    def _has_too_few_voters(self) -> bool:
        return len(self.replica.config.voters) < self.config.voters

    async def _on_core_read(
        self, read: messages.CoreRead
    ) -> messages.CoreReply:
        del read
        replica = self.replica
        return messages.CoreReply(replica.leader_address(), replica.config)

    async def _on_bootstrap_order(self, order: messages.Found) -> None:
        del order
        has_log = self.replica.term or self.replica.last_index
        if not self.config.founds or has_log or self.replica.config.voters:
            return
        voters = {self.replica.ident: str(self.config.peer)}
        identity = node.Identity(
            self.replica.ident, messages.Config(voters=voters)
        )
        self.store.write_identity(identity)
        node.log_decision('log bootstrapped', replica=self.replica.ident)
        self.bootstrapped = True
        self.wakeup.set()

    async def _on_join_reply(self, reply: messages.JoinReply) -> None:
        self.reported_config = reply.config

    def _expire_claims(self, now: float) -> None:
        if now < self.next_claim_expiry:
            return
        self.next_claim_expiry = now + CLAIM_EXPIRY_INTERVAL_S
        cutoff = time.time() - self.config.claim_keep_s
        self.replica.propose(messages.encode(messages.ForgetClaims(cutoff)))

    # Requests

    async def _on_replica_message(self, message: messages.Message) -> None:
        self.replica.receive(message, self.clock())
        self.wakeup.set()

    async def _on_proposal(
        self, proposal: messages.Proposal
    ) -> messages.ProposalReply:
        # Rejects what no replica could apply before it is in the log.
        messages.decode(proposal.command)
        return await self.propose(proposal.command)

    async def propose(self, command: bytes) -> messages.ProposalReply:
        """Commit a command, if this replica leads, and return its result."""
        if self._is_bootstrapping():
            return messages.ProposalReply('unknown')
        if self.stopping:
            return messages.ProposalReply('not_leader')
        proposed = self.replica.propose(command)
        if proposed is None:
            return messages.ProposalReply(
                'not_leader', self.replica.leader_address()
            )
        index, term = proposed
        future: asyncio.Future[bytes | None] = (
            asyncio.get_running_loop().create_future()
        )
        self.pending_proposals[index] = _PendingProposal(term, future)
        self.wakeup.set()
        try:
            async with asyncio.timeout(PROPOSAL_TIMEOUT_S):
                result = await future
        except TimeoutError:
            self.pending_proposals.pop(index, None)
            return messages.ProposalReply('unknown')
        if result is None:
            return messages.ProposalReply(
                'not_leader', self.replica.leader_address()
            )
        return messages.ProposalReply('done', result=result)

    async def finish_proposals(self) -> None:
        """Accept no more commands, and commit those that were accepted.

        Their senders would have to wait for the next leader to learn whether
        they are committed. :meth:`run` must go on meanwhile.
        """
        self.stopping = True
        pending = [
            proposal.future
            for proposal in self.pending_proposals.values()
            if not proposal.future.done()
        ]
        if pending:
            await asyncio.wait(pending, timeout=FINISH_TIMEOUT_S)

    def _is_bootstrapping(self) -> bool:
        """Whether a new log has too few voters to accept commands.

        A command acknowledged by the first voter alone would be lost with
        its disk.
        """
        within_timeout = self.clock() - self.started_at < BOOTSTRAP_TIMEOUT_S
        return (
            self.config.founds
            and within_timeout
            and self._has_too_few_voters()
        )


def _address_in(config: messages.Config, replica: str) -> str | None:
    return config.voters.get(replica) or config.learners.get(replica)


def open_replica(
    config: settings.Control, store: node.FileLog
) -> tuple[decisions.PersistedState, str]:
    """Read the data folder; assign a new identity if it is empty.

    :returns: the persisted state and the replica's identity.
    :raises StorageError: if the folder is damaged or incomplete.
    """
    identity = store.identity()
    if identity is None:
        # Always a new identity: a replica that lost its disk and kept its
        # identity could vote twice in a term and undo committed entries.
        identity = node.Identity(decisions.new_identity(config.name))
        store.write_identity(identity)
    return store.load(identity.founding), identity.replica


def bootstrap(config: settings.Control, store: node.FileLog) -> str:
    """Bootstrap a new log with the configured replicas as its voters.

    :raises StorageError: if the data folder is already in use.
    """
    if store.identity() is not None:
        raise errors.StorageError(
            'the data folder already belongs to a replica',
            'bootstrap',
            str(store.folder),
        )
    voters = {
        f'{name}.founder': str(address)
        for name, address in config.replicas.items()
    }
    identity = node.Identity(
        f'{config.name}.founder', messages.Config(voters=voters)
    )
    store.write_identity(identity)
    return identity.replica
