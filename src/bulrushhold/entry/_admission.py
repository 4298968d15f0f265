"""Admission control: fair queueing by weight and per-row quotas."""

import asyncio
import collections.abc as cabc
import contextlib
import time
import typing as t

import attrs

from bulrushhold import decisions
from bulrushhold import errors
from bulrushhold import messages
from bulrushhold import node
from bulrushhold import ports
from bulrushhold import settings

LEASE_TIMEOUT_S: t.Final = 0.5
SHARE_IDLE_S: t.Final = 10.0
SWEEP_INTERVAL_S: t.Final = 0.25
DEFAULT_EXPECTED_TOKENS: t.Final = 256.0
EXPECTED_TOKENS_GAIN: t.Final = 0.1
ENGINE_QUOTA_WORK: t.Final = 'engine places'


@attrs.define(eq=False)
class Slot:
    """A request's slot, to be given back with :meth:`Admission.release`.

    :param expected: tokens charged in advance.
    :param queued: the request went through the fair queue.
    :param granted: completed once the request may start.
    """

    row: messages.Row
    expected: float
    queued: bool
    granted: asyncio.Future[None]


class Admission:
    """Fair queue and quotas of one entry.

    Each row has one home, an entry chosen by rendezvous hashing, which grants
    quota leases for the row to all entries.
    """

    def __init__(
        self,
        config: settings.Entry,
        transport: ports.Transport,
        rows: cabc.Callable[[], cabc.Mapping[str, messages.Row]],
        accounts: cabc.Callable[[], cabc.Mapping[str, float]],
        entries: cabc.Callable[[], list[ports.Instance]],
        metrics: ports.Metrics,
        clock: cabc.Callable[[], float] = time.monotonic,
    ) -> None:
        self.config = config
        self.transport = transport
        self.rows = rows
        self.accounts = accounts
        self.entries = entries
        self.metrics = metrics
        self.clock = clock
        self.queue = decisions.FairQueue(1)
        self.home = decisions.QuotaHome(clock())
        self.shares: dict[str, decisions.QuotaShare] = {}
        self.expected: dict[str, float] = {}
        self.lease_requests: dict[str, asyncio.Task[None]] = {}
        self.entry_names: list[str] = []
        self.engine_slots = 1
        self.engine_quota = decisions.QuotaShare(self._engine_quota_row(), 1)
        transport.handle(messages.QuotaAsk, self._on_quota_ask)

    def set_capacity(self, engine_slots: int) -> None:
        """Set the total number of engine slots of all engines."""
        names = [entry.name for entry in self.entries()]
        if names != self.entry_names:
            self.entry_names = names
            self.home.homes_changed(self.clock())
        self.engine_slots = engine_slots
        self.engine_quota.row = self._engine_quota_row()
        self.engine_quota.entries = max(1, len(names))
        self._grant_slots()

    async def acquire(self, row: messages.Row) -> Slot:
        """Wait for a slot for a generation.

        :raises RequestError: with ``retry_after``; immediately if the limits
            or the queue allow no start before the deadline, otherwise at
            the deadline.
        """
        expected = self.expected.get(row.key, DEFAULT_EXPECTED_TOKENS)
        share = self._share(row)
        wait = self.queue.expected_wait(row.key, row.weight)
        if wait > row.deadline_s or self.queue.waiting >= (
            self.config.queue_limit
        ):
            raise self._refusal(row, 'the queue is too long', wait)
        await self._await_lease(share)
        delay = (
            0.0
            if share.allows(self.clock())
            else (share.retry_after(self.clock()))
        )
        if delay > row.deadline_s:
            raise self._refusal(
                row, 'the limits of the row are exhausted', delay
            )
        slot = Slot(
            row,
            expected,
            True,
            asyncio.get_running_loop().create_future(),
        )
        if not self.engine_quota.has_leased_slots(self.clock()):
            self._request_lease(self.engine_quota)
        self.queue.push(row.key, row.weight, expected, slot)
        share.waiting += 1
        self._grant_slots()
        await self._await_slot(slot, share)
        return slot

    async def acquire_call(self, row: messages.Row) -> Slot:
        """Take a slot for a plain call, subject to limits but not queued.

        Short calls would otherwise wait behind long generations.

        :raises RequestError: if the row's limits are exhausted.
        """
        share = self._share(row)
        await self._await_lease(share)
        now = self.clock()
        if not share.allows(now):
            raise self._refusal(
                row,
                'the limits of the row are exhausted',
                share.retry_after(now),
            )
        share.start(1.0, now)
        done = asyncio.get_running_loop().create_future()
        return Slot(row, 1.0, False, done)

    def release(self, slot: Slot, tokens: int) -> None:
        """Return a slot and charge the tokens actually used."""
        self._release(slot, tokens)
        if slot.queued:
            key = slot.row.key
            previous = self.expected.get(key, DEFAULT_EXPECTED_TOKENS)
            self.expected[key] = previous + EXPECTED_TOKENS_GAIN * (
                tokens - previous
            )

    def _release(self, slot: Slot, tokens: int) -> None:
        now = self.clock()
        self._share(slot.row).finish(slot.expected, tokens, now)
        if slot.queued:
            self.queue.done(slot.row.key, slot.expected, tokens, now)
            self._grant_slots()

    async def sweep(self) -> None:
        """Renew leases in use and start requests that are now allowed."""
        while True:
            await asyncio.sleep(SWEEP_INTERVAL_S)
            now = self.clock()
            self.home.drop_expired(now)
            self._grant_slots()
            for key, share in list(self.shares.items()):
                in_use = share.running or share.waiting
                if not in_use and now - share.used_at > SHARE_IDLE_S:
                    del self.shares[key]
                elif in_use:
                    self._renew(share, now)
            if self.engine_quota.running or self.engine_quota.waiting:
                self._renew(self.engine_quota, now)

    def _renew(self, share: decisions.QuotaShare, now: float) -> None:
        if now - share.lease_start > decisions.QUOTA_RENEW_S:
            self._request_lease(share)

    async def _await_slot(
        self, slot: Slot, share: decisions.QuotaShare
    ) -> None:
        row = slot.row
        try:
            async with asyncio.timeout(row.deadline_s):
                await slot.granted
        except BaseException as error:
            if slot.granted.done() and not slot.granted.cancelled():
                # Granted in the same event loop iteration as the cancellation.
                self._release(slot, 0)
            else:
                self.queue.remove(row.key, slot)
            if isinstance(error, TimeoutError):
                raise self._refusal(
                    row, 'no free slot before the deadline', row.deadline_s
                ) from None
            raise
        finally:
            share.waiting -= 1

    def _engine_quota_row(self) -> messages.Row:
        """Return a row whose concurrency limit is the engine slots."""
        return messages.Row(
            '', ENGINE_QUOTA_WORK, 1.0, 0.0, self.engine_slots, 1.0, 0, True
        )

    def _capacity(self, now: float) -> int:
        """Return the number of engine slots that this entry may use.

        Slots are leased like a row's limit, in proportion to the weights
        of the rows in use at each entry. Without a lease, they are split
        evenly, which ignores the weights but idles no engine.
        """
        if self.engine_quota.has_leased_slots(now):
            return max(1, self.engine_quota.slots_now(now))
        return max(1, self.engine_slots // self.engine_quota.entries)

    def _weight_in_use(self) -> float:
        """Return the sum of the weights of the rows in use at this entry.

        A large account's callers are spread over several entries, so its
        weight is divided by their number.
        """
        weights = self.accounts()
        total = sum(weights.values()) or 1.0
        weight = 0.0
        for share in self.shares.values():
            if share.running or share.waiting:
                account_share = weights.get(share.row.account, 0.0) / total
                entry_count = decisions.entries_needed(
                    account_share, self.engine_quota.entries
                )
                weight += share.row.weight / entry_count
        return max(weight, 0.001)

    def _grant_slots(self) -> None:
        """Grant free slots to the next requests in the fair queue."""
        now = self.clock()
        self.queue.capacity = self._capacity(now)
        self.engine_quota.running = self.queue.running
        self.engine_quota.waiting = self.queue.waiting

        def ready(key: str) -> bool:
            share = self.shares.get(key)
            return share is None or not share.limited or share.allows(now)

        while (slot := self.queue.pop(ready)) is not None:
            if slot.granted.done():
                # The request was cancelled; its slot is free again.
                self.queue.done(slot.row.key, slot.expected, 0.0, now)
                continue
            self._share(slot.row).start(slot.expected, now)
            slot.granted.set_result(None)

    # Quotas

    def _share(self, row: messages.Row) -> decisions.QuotaShare:
        share = self.shares.get(row.key)
        if share is None:
            share = decisions.QuotaShare(row, len(self.entries()))
            share.refilled_at = share.used_at = self.clock()
            self.shares[row.key] = share
        share.row = row
        share.entries = max(1, len(self.entries()))
        return share

    async def _await_lease(self, share: decisions.QuotaShare) -> None:
        """Wait for the first lease, so that limits can be checked."""
        leased = self.clock() < share.lease_start + decisions.QUOTA_LEASE_S
        if not share.limited or leased or share.allows(self.clock()):
            if share.limited and not leased:
                self._request_lease(share)
            return
        task = self._request_lease(share)
        with contextlib.suppress(TimeoutError):
            async with asyncio.timeout(LEASE_TIMEOUT_S):
                await asyncio.shield(task)

    def _request_lease(
        self, share: decisions.QuotaShare
    ) -> asyncio.Task[None]:
        key = share.row.key
        task = self.lease_requests.get(key)
        if task is None or task.done():
            task = asyncio.get_running_loop().create_task(
                self._fetch_lease(share)
            )
            self.lease_requests[key] = task
            task.add_done_callback(
                lambda _: self.lease_requests.pop(key, None)
            )
        return task

    async def _fetch_lease(self, share: decisions.QuotaShare) -> None:
        if not share.limited:
            return
        entries = self.entries()
        homes = decisions.home_entries(f'quota {share.row.key}', entries, 1)
        if not homes:
            return
        demand = max(1.0, float(share.running + share.waiting))
        if share is self.engine_quota:
            demand = self._weight_in_use()
        ask = messages.QuotaAsk(
            share.row.key,
            self.config.name,
            demand,
            share.need,
            share.running_on_lease,
            len(entries),
        )
        sent_at = self.clock()
        try:
            if homes[0].name == self.config.name:
                grant = await self._on_quota_ask(ask)
            else:
                grant = await self.transport.request(
                    homes[0].peer, ask, LEASE_TIMEOUT_S
                )
        except errors.PeerError:
            self.metrics.count('quota.home_lost')
            return
        share.apply_grant(grant, sent_at)
        self._grant_slots()

    async def _on_quota_ask(
        self, ask: messages.QuotaAsk
    ) -> messages.QuotaGrant:
        row = self.rows().get(ask.row)
        if ask.row == self.engine_quota.row.key:
            row = self.engine_quota.row
        if row is None:
            return messages.QuotaGrant(0.0, 0, decisions.QUOTA_LEASE_S)
        return self.home.grant(ask, row, self.clock())

    def _refusal(
        self, row: messages.Row, reason: str, wait: float
    ) -> errors.RequestError:
        self.metrics.count('shed')
        node.log_decision(
            'shed', row=row.key, reason=reason, wait_s=round(wait, 3)
        )
        return errors.RequestError(
            reason,
            'admission',
            status=429,
            retry_after=max(1.0, wait),
        )
