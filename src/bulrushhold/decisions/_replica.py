"""Raft replica without I/O.

Implements Raft (Ongaro and Ousterhout, 2014) with pre-vote, check quorum,
leader leases and single-server membership changes (Ongaro's thesis,
chapters 4, 6 and 9). The driver passes in messages and ticks, and takes what
to save, send and apply from :meth:`Replica.take_ready`. It must save before
it sends.
"""

import random
import typing as t

import attrs
import msgspec

from bulrushhold.decisions import _raftlog
from bulrushhold.decisions import _raftstate
from bulrushhold import messages

MAX_ENTRIES_PER_APPEND: t.Final = 512
# Log entries can hold whole route maps. The limit keeps one append to a
# lagging follower within a heartbeat interval on a 100 Mbit/s link.
MAX_BYTES_PER_APPEND: t.Final = 1 << 20


class Replica:
    """Raft state machine of one replica.

    :param ident: identity of the replica; a replica that lost its disk must
        use a new one.
    :param persisted_state: persisted state read at start-up.
    :param now: monotonic seconds.
    """

    def __init__(
        self,
        ident: str,
        persisted_state: _raftstate.PersistedState,
        timing: _raftstate.Timing,
        rng: random.Random,
        now: float,
    ) -> None:
        self.ident = ident
        self.timing = timing
        self.rng = rng
        self.term = persisted_state.term
        self.vote = persisted_state.vote
        snapshot = persisted_state.snapshot or messages.InstallSnapshot(
            0, '', 0, 0, persisted_state.founding, b'', 0
        )
        self.log = _raftlog.RaftLog(snapshot, list(persisted_state.entries))
        self.commit = snapshot.index
        self.applied = snapshot.index
        self.saved = self.last_index
        self.role = _raftstate.Role.FOLLOWER
        self.leader = ''
        self.votes: set[str] = set()
        self.progress: dict[str, _raftstate.Progress] = {}
        self.heartbeat_number = 0
        self.sent_commit = 0
        # Send times of the numbers from the oldest one on.
        self.heartbeat_sent_at: dict[int, float] = {}
        self.oldest_heartbeat = 1
        self.next_heartbeat_at = 0.0
        # A restart loses the record of acknowledged heartbeats. Voting right
        # away could elect a second leader during the lease of the first, so
        # a replica starts as if it had just had contact with a leader.
        self.leader_contact_at = now
        self.started_at = now
        self.term_leader = self.log.leader_of(self.term)
        self.election_at = 0.0
        self._reset_election(now)
        self._ready = _raftstate.Ready(term=self.term, vote=self.vote)

    @property
    def last_index(self) -> int:
        """Index of the last entry, whether persisted or not."""
        return self.log.last_index

    @property
    def config(self) -> messages.Config:
        """Members according to the latest configuration in the log."""
        return self.log.config

    @property
    def committed_in_term(self) -> bool:
        """Whether this leader has committed an entry of its own term."""
        return (
            self.role is _raftstate.Role.LEADER
            and self.log.term_of(self.commit) == self.term
        )

    def lease_holds(self, now: float) -> bool:
        """Whether the leader lease is valid, so no other leader can exist.

        Pass a clock reading taken after the last wait; otherwise a process
        that was suspended in between could act on an expired lease.
        """
        lease_end = self._quorum_acked_at() + self.timing.lease_s
        return self.committed_in_term and now < lease_end

    def may_read(self, now: float) -> bool:
        """Whether the applied state is the newest, and no other leader exists.

        After an election the state may be that of an old snapshot until the
        entries of earlier terms are applied, up to the first one of this
        term. Pass a clock reading as for :meth:`lease_holds`.
        """
        has_applied_own = self.log.term_of(self.applied) == self.term
        return has_applied_own and self.lease_holds(now)

    def seconds_since_leader(self, now: float) -> float:
        """Return seconds since the last contact with a leader; 0 as leader."""
        return (
            0.0
            if self.role is _raftstate.Role.LEADER
            else now - self.leader_contact_at
        )

    def leader_address(self) -> str:
        """Return the address of the leader, or ``''`` if unknown."""
        return self.config.voters.get(self.leader, '')

    def propose(self, data: bytes) -> tuple[int, int] | None:
        """Append a command as leader and return its index and term.

        Returns ``None`` and does nothing if this replica isn't the leader.
        """
        if self.role is not _raftstate.Role.LEADER:
            return None
        self._append(messages.KIND_COMMAND, data)
        return self.last_index, self.term

    def change_config(self, config: messages.Config) -> bool:
        """Start a membership change; return whether it was started.

        Refused while another change is uncommitted and before an entry of
        the current term is committed. Otherwise two disjoint majorities
        could form.
        """
        if not self.committed_in_term or self.log.config_index > self.commit:
            return False
        self._append(messages.KIND_CONFIG, msgspec.msgpack.encode(config))
        return True

    def tick(self, now: float) -> None:
        """Handle timers: heartbeats, elections and the quorum check."""
        if self.role is _raftstate.Role.LEADER:
            if now >= self.next_heartbeat_at:
                self._broadcast(now)
            if now > self._quorum_acked_at() + self.timing.election_s:
                self._become_follower(self.term, '', now)
        elif now >= self.election_at:
            if self.ident in self.config.voters:
                self._start_election(now, pre=True)
            else:
                self._reset_election(now)

    def seconds_until_tick(self, now: float) -> float:
        """Return seconds until the next timer that :meth:`tick` handles."""
        is_leader = self.role is _raftstate.Role.LEADER
        return (
            self.next_heartbeat_at if is_leader else self.election_at
        ) - now

    def receive(self, message: messages.Message, now: float) -> None:
        """Handle a message from another replica."""
        if isinstance(message, messages.VoteRequest):
            self._on_vote_request(message, now)
        elif isinstance(message, messages.VoteReply):
            self._on_vote_reply(message, now)
        elif isinstance(message, messages.AppendRequest):
            self._on_append(message, now)
        elif isinstance(message, messages.AppendReply):
            self._on_append_reply(message, now)
        elif isinstance(message, messages.InstallSnapshot):
            self._on_snapshot(message, now)

    def flush(self, now: float) -> None:
        """Send new entries and commits as leader, without a heartbeat's wait.

        Followers apply a command as soon as the leader does.
        """
        if self.role is not _raftstate.Role.LEADER:
            return
        if self.commit > self.sent_commit or any(
            p.next <= self.last_index for p in self.progress.values()
        ):
            self._broadcast(now)

    def take_ready(self) -> _raftstate.Ready:
        """Return the pending work of the driver.

        The driver calls ``mark_saved`` once the entries are synced.

        :returns: entries to save, messages to send after that, and committed
            entries to apply.
        """
        ready = self._ready
        ready.term, ready.vote = self.term, self.vote
        last = min(self.commit, self.saved)
        first = self.applied + 1
        if last >= first:
            ready.committed = self.log.slice(first, last - first + 1)
            self.applied = last
        self._ready = _raftstate.Ready(term=self.term, vote=self.vote)
        return ready

    def mark_saved(self, index: int) -> None:
        """Record that all entries up to ``index`` are synced to disk."""
        self.saved = min(index, self.last_index)
        if self.role is _raftstate.Role.LEADER:
            self._advance_commit()

    def compact(self, index: int, state: bytes) -> messages.InstallSnapshot:
        """Replace the entries up to ``index`` by a snapshot."""
        return self.log.compact(index, self.term, self.ident, state)

    # Elections

    def _start_election(self, now: float, *, pre: bool) -> None:
        self._reset_election(now)
        self.leader = ''
        if pre:
            self.role = _raftstate.Role.PRE_CANDIDATE
        else:
            self.role = _raftstate.Role.CANDIDATE
            self.term += 1
            self.term_leader = ''
            self.vote = self.ident
            self._ready.must_save = True
        self.votes = {self.ident}
        request = messages.VoteRequest(
            self.term + 1 if pre else self.term,
            self.ident,
            self.last_index,
            self.log.term_of(self.last_index),
            pre,
        )
        for peer in self._peers():
            self._send(peer, request)
        self._count_votes(now)

    def _on_vote_request(
        self, request: messages.VoteRequest, now: float
    ) -> None:
        # During an election timeout after contact with a leader, grant no
        # vote and adopt no term, so that a partitioned replica can't depose
        # a working leader or break its lease. A request from the leader of
        # this term shows that it no longer leads: consider it right away, so
        # that a cluster recovers quickly after all replicas restart.
        leader_active = now < self.leader_contact_at + self.timing.election_s
        leader_active = leader_active and request.candidate != self.term_leader
        if leader_active or self.lease_holds(now) or request.term < self.term:
            self._reply_vote(request, granted=False)
            return
        if not request.pre and request.term > self.term:
            self._become_follower(request.term, '', now)
        up_to_date = (request.last_term, request.last_index) >= (
            self.log.term_of(self.last_index),
            self.last_index,
        )
        vote_available = request.pre or self.vote in ('', request.candidate)
        granted = up_to_date and vote_available
        if granted and not request.pre:
            self.vote = request.candidate
            self._ready.must_save = True
            self._reset_election(now)
        self._reply_vote(request, granted=granted)

    def _reply_vote(
        self, request: messages.VoteRequest, *, granted: bool
    ) -> None:
        self._send(
            request.candidate,
            messages.VoteReply(
                self.term, self.ident, granted, request.pre, request.term
            ),
        )

    def _on_vote_reply(self, reply: messages.VoteReply, now: float) -> None:
        if reply.term > self.term:
            self._become_follower(reply.term, '', now)
            return
        if not reply.granted:
            return
        if reply.pre:
            role_matches = self.role is _raftstate.Role.PRE_CANDIDATE
            term_matches = reply.asked == self.term + 1
        else:
            role_matches = self.role is _raftstate.Role.CANDIDATE
            term_matches = reply.asked == self.term
        if role_matches and term_matches:
            self.votes.add(reply.voter)
            self._count_votes(now)

    def _count_votes(self, now: float) -> None:
        voters = self.config.voters
        if len(self.votes & voters.keys()) <= len(voters) // 2:
            return
        if self.role is _raftstate.Role.PRE_CANDIDATE:
            self._start_election(now, pre=False)
        elif self.role is _raftstate.Role.CANDIDATE:
            self._become_leader(now)

    def _become_leader(self, now: float) -> None:
        self.role = _raftstate.Role.LEADER
        self.leader = self.ident
        self.progress = {
            peer: _raftstate.Progress(next=self.last_index + 1)
            for peer in self._peers()
        }
        self.heartbeat_sent_at = {}
        self.oldest_heartbeat = self.heartbeat_number + 1
        # There is no lease yet, but the quorum check allows one round.
        for progress in self.progress.values():
            progress.acked_at = now - self.timing.lease_s
        # Entries of earlier terms are committed only together with an entry
        # of the current term (Raft, section 5.4.2).
        self.term_leader = self.ident
        self._append(messages.KIND_NOOP, self.ident.encode())
        self._broadcast(now)

    def _become_follower(self, term: int, leader: str, now: float) -> None:
        if term > self.term:
            self.term = term
            self.vote = ''
            self.term_leader = ''
            self._ready.must_save = True
        self.role = _raftstate.Role.FOLLOWER
        self.leader = leader
        self._reset_election(now)

    def _reset_election(self, now: float) -> None:
        min_timeout = self.timing.election_s
        if self._resumes_leadership(now):
            self.election_at = now + self.timing.heartbeat_s
            return
        self.election_at = now + min_timeout * (1 + self.rng.random())

    def _resumes_leadership(self, now: float) -> bool:
        """Whether this replica restarted recently and led its last term.

        No other leader can hold a lease in that term, so it may start an
        election without waiting for the election timeout.
        """
        recently_started = now - self.started_at < 2 * self.timing.election_s
        return recently_started and self.term_leader == self.ident

    # Replication

    def _append(self, kind: int, data: bytes) -> None:
        entry = messages.LogEntry(self.last_index + 1, self.term, kind, data)
        self.log.append(entry)
        self._ready.entries.append(entry)
        self._ready.must_save = True
        if kind == messages.KIND_CONFIG:
            self._track_members()

    def _track_members(self) -> None:
        peers = self._peers()
        for peer in peers:
            self.progress.setdefault(
                peer, _raftstate.Progress(next=self.last_index)
            )
        for peer in set(self.progress) - set(peers):
            del self.progress[peer]

    def _broadcast(self, now: float) -> None:
        self.sent_commit = self.commit
        self.heartbeat_number += 1
        self.heartbeat_sent_at[self.heartbeat_number] = now
        self.next_heartbeat_at = now + self.timing.heartbeat_s
        oldest = now - 2 * self.timing.election_s
        while self.heartbeat_sent_at[self.oldest_heartbeat] < oldest:
            del self.heartbeat_sent_at[self.oldest_heartbeat]
            self.oldest_heartbeat += 1
        for peer in self.progress:
            self._send_append(peer)

    def _send_append(self, peer: str) -> None:
        progress = self.progress[peer]
        previous = progress.next - 1
        if previous < self.log.snapshot.index:
            self._send(
                peer,
                attrs.evolve(
                    self.log.snapshot,
                    term=self.term,
                    leader=self.ident,
                    beat=self.heartbeat_number,
                ),
            )
            progress.next = self.log.snapshot.index + 1
            return
        entries = self.log.slice_within(
            progress.next, MAX_ENTRIES_PER_APPEND, MAX_BYTES_PER_APPEND
        )
        self._send(
            peer,
            messages.AppendRequest(
                self.term,
                self.ident,
                previous,
                self.log.term_of(previous),
                entries,
                self.commit,
                self.heartbeat_number,
            ),
        )
        # Advance optimistically. A rejection, or a loss detected at the next
        # heartbeat, moves it back.
        progress.next += len(entries)

    def _on_append(self, request: messages.AppendRequest, now: float) -> None:
        if request.term < self.term:
            self._reply_append(request, success=False, match=self.last_index)
            return
        self._accept_leader(request.term, request.leader, now)
        if request.prev_index < self.log.snapshot.index:
            self._reply_append(request, success=False, match=self.commit)
            return
        if (
            request.prev_index > self.last_index
            or self.log.term_of(request.prev_index) != request.prev_term
        ):
            hint = min(self.last_index, request.prev_index - 1)
            self._reply_append(
                request, success=False, match=max(hint, self.commit)
            )
            return
        self._store_entries(request.entries)
        match = request.prev_index + len(request.entries)
        self.commit = max(self.commit, min(request.commit, match))
        self._reply_append(request, success=True, match=match)

    def _store_entries(self, entries: list[messages.LogEntry]) -> None:
        for entry in entries:
            if entry.index <= self.last_index:
                if self.log.term_of(entry.index) == entry.term:
                    continue
                self.log.truncate(entry.index)
                self.saved = min(self.saved, entry.index - 1)
            self.log.append(entry)
            self._ready.entries.append(entry)
            self._ready.must_save = True
            if entry.kind == messages.KIND_NOOP and entry.term == self.term:
                self.term_leader = entry.data.decode()

    def _accept_leader(self, term: int, leader: str, now: float) -> None:
        self._become_follower(term, leader, now)
        self.leader_contact_at = now

    def _reply_append(
        self, request: t.Any, *, success: bool, match: int
    ) -> None:
        self._send(
            request.leader,
            messages.AppendReply(
                self.term, self.ident, success, match, request.beat
            ),
        )

    def _on_append_reply(
        self, reply: messages.AppendReply, now: float
    ) -> None:
        if reply.term > self.term:
            self._become_follower(reply.term, '', now)
            return
        progress = self.progress.get(reply.follower)
        if (
            self.role is not _raftstate.Role.LEADER
            or progress is None
            or reply.term < self.term
        ):
            return
        sent = self.heartbeat_sent_at.get(reply.beat)
        if sent is not None:
            progress.acked_at = max(progress.acked_at, sent)
        if not reply.success:
            progress.next = max(progress.match, reply.match) + 1
            if progress.next > self.last_index + 1:
                progress.next = self.last_index + 1
            self._send_append(reply.follower)
            return
        if reply.match > progress.match:
            progress.match = reply.match
            self._advance_commit()
        progress.next = max(progress.next, progress.match + 1)
        if (
            reply.beat == self.heartbeat_number
            and progress.match + 1 < progress.next
        ):
            # An append before the latest heartbeat was lost: resend it.
            progress.next = progress.match + 1

    def _advance_commit(self) -> None:
        voters = self.config.voters
        matches = sorted(
            (
                self.saved if voter == self.ident else self._match(voter)
                for voter in voters
            ),
            reverse=True,
        )
        index = matches[len(voters) // 2]
        if index > self.commit and self.log.term_of(index) == self.term:
            self.commit = index

    def _match(self, peer: str) -> int:
        progress = self.progress.get(peer)
        return progress.match if progress else 0

    def _quorum_acked_at(self) -> float:
        """Return the send time of the latest heartbeat acked by a quorum."""
        voters = self.config.voters
        times = sorted(
            (
                float('inf')
                if voter == self.ident
                else self.progress[voter].acked_at
                for voter in voters
                if voter == self.ident or voter in self.progress
            ),
            reverse=True,
        )
        quorum = len(voters) // 2
        return times[quorum] if quorum < len(times) else -1e9

    def _on_snapshot(
        self, request: messages.InstallSnapshot, now: float
    ) -> None:
        if request.term < self.term:
            self._reply_append(request, success=False, match=self.last_index)
            return
        self._accept_leader(request.term, request.leader, now)
        if request.index > self.commit:
            self.log.replace(request)
            self.commit = self.applied = self.saved = request.index
            self._ready.entries = []
            self._ready.snapshot = request
            self._ready.must_save = True
        self._reply_append(request, success=True, match=request.index)

    def _peers(self) -> list[str]:
        config = self.config
        members = {**config.learners, **config.voters}
        return [peer for peer in members if peer != self.ident]

    def _send(self, peer: str, message: messages.Message) -> None:
        self._ready.outbox.append((peer, message))
