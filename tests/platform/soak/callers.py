"""Callers of streams that return once, and what they got."""

import asyncio
import contextlib
import math

import aiohttp
import attrs
import yarl

from tests.platform.soak import fakes
from tests.platform.soak import routemap
from tests.platform.soak import serial
from tests.platform.soak import takeups

MAX_TRIES = 2
DEADLINE_S = 25.0
# Callers honour Retry-After up to this share of their remaining time.
MAX_WAIT_SHARE = 1 / 3
OUTPUT_TOKENS = 400
MIN_PROMPT_TOKENS = 4000
MAX_PROMPT_TOKENS = 12000
SHARED_TOKENS = 500
REFUSED = (429, 503)
LOST = 'lost'


@attrs.frozen
class Arrival:
    """One caller's request.

    :param at: seconds since the start of the load.
    """

    ident: str
    at: float
    priority: int
    account: str
    tokens: int


@attrs.frozen
class Refusal:
    """A refusal as its caller saw it.

    :param seconds: from the arrival of the try.
    :param retry_after_s: as told; ``None`` if it wasn't.
    """

    ident: str
    seconds: float
    retry_after_s: float | None


@attrs.define
class Outcome:
    """What one caller got.

    :param counts: whether it arrived after the load had built up.
    :param first_event_s: from the first attempt.
    :param ended_s: from the first attempt.
    :param whole: it received all events.
    :param statuses: status of each try, or :data:`LOST`.
    :param returned_as_told: its second try was after exactly the
        ``Retry-After`` that it had been given.
    :param fault: a missing or repeated event.
    """

    arrival: Arrival
    counts: bool = True
    first_event_s: float = math.inf
    ended_s: float = math.inf
    whole: bool = False
    statuses: list = attrs.field(factory=list)
    refusals: list = attrs.field(factory=list)
    returned_as_told: bool = False
    fault: str = ''

    @property
    def on_time(self):
        """Whether its first event met the objective of its priority."""
        target_s = routemap.TARGETS_MS[self.arrival.priority] / 1000
        return self.whole and self.first_event_s <= target_s

    @property
    def refused(self):
        """Whether its last try was refused."""
        return bool(self.statuses) and self.statuses[-1] in REFUSED

    @property
    def broken(self):
        """Whether it neither ended whole nor was refused.

        A stream of which the caller has events can't be refused any more.
        """
        begun = math.isfinite(self.first_event_s)
        return not self.whole and (begun or not self.refused)


def plan_arrivals(rng, priorities, accounts, seconds, count):
    """Return Poisson arrivals, given their number.

    :param priorities: share of each priority; kept exactly, as few requests
        of one priority would otherwise vary by a tenth.
    :param accounts: share of each account.
    """
    drawn = [
        priority
        for priority, share in priorities.items()
        for _ in range(round(share * count))
    ]
    rng.shuffle(drawn)
    times = sorted(seconds * rng.random() for _ in drawn)
    names = rng.choices(list(accounts), list(accounts.values()), k=len(drawn))
    return [
        Arrival(
            f'c{number}',
            at,
            priority,
            account,
            rng.randint(MIN_PROMPT_TOKENS, MAX_PROMPT_TOKENS),
        )
        for number, (at, priority, account) in enumerate(
            zip(times, drawn, names, strict=True)
        )
    ]


class Caller:
    """Sends one request, and once more after a refusal or a loss.

    :param pick_entry: returns the address of an entry.
    """

    def __init__(self, arrival, session, observations, pick_entry):
        self.outcome = Outcome(arrival)
        self.session = session
        self.observations = observations
        self.pick_entry = pick_entry
        self.stream = takeups.ResumedStream(arrival.ident)
        self.loop = asyncio.get_running_loop()
        self.started_at = self.loop.time()

    @property
    def elapsed_s(self):
        return self.loop.time() - self.started_at

    async def run(self):
        outcome = self.outcome
        for number in range(MAX_TRIES):
            status = await self._try(number)
            outcome.statuses.append(status)
            if outcome.whole or number == MAX_TRIES - 1:
                break
            if status in REFUSED:
                await self._wait_as_told(outcome.refusals[-1].retry_after_s)
        outcome.ended_s = self.elapsed_s
        outcome.fault = self.stream.error
        if self.stream.joined:
            outcome.fault = 'two versions'

    async def _wait_as_told(self, retry_after_s):
        longest_s = MAX_WAIT_SHARE * (DEADLINE_S - self.elapsed_s)
        self.outcome.returned_as_told = (
            retry_after_s is not None and retry_after_s <= longest_s
        )
        await asyncio.sleep(
            retry_after_s if self.outcome.returned_as_told else longest_s
        )

    async def _try(self, number):
        ident = f'{self.stream.ident}.{number}'
        remaining_s = DEADLINE_S - self.elapsed_s
        if remaining_s <= 0:
            return LOST
        tried_at = self.loop.time()
        arrival = self.outcome.arrival
        if arrival.account != fakes.DEFAULT_ACCOUNT:
            self.observations.accounts[ident] = arrival.account
        self.observations.priorities[ident] = arrival.priority
        with contextlib.suppress(*fakes.CONNECTION_ERRORS):
            async with self._post(ident, remaining_s) as response:
                if response.status == 200:
                    await self._read(ident, response)
                elif response.status in REFUSED:
                    retry_after = response.headers.get('Retry-After')
                    self.outcome.refusals.append(
                        Refusal(
                            ident,
                            self.loop.time() - tried_at,
                            float(retry_after) if retry_after else None,
                        )
                    )
                else:
                    await response.read()
                return response.status
        return LOST

    def _post(self, ident, remaining_s):
        arrival = self.outcome.arrival
        path = f'{routemap.stream_path(arrival.priority)}{arrival.ident}'
        unique_tokens = arrival.tokens - SHARED_TOKENS
        headers = {
            'Host': 'soak.example',
            'Bulrushhold-Request-Id': ident,
            'Bulrushhold-Credential': routemap.account_key(arrival.account),
            'Bulrushhold-Deadline-Ms': str(round(remaining_s * 1000)),
            'Bulrushhold-Token-Counts': f'{arrival.tokens},{OUTPUT_TOKENS}',
            'Bulrushhold-Prompt-Prefix': (
                f'shared:{SHARED_TOKENS},{arrival.ident}:{unique_tokens}'
            ),
            'Bulrushhold-Tenant': 'forged',
            fakes.PRIORITY_HEADER: '0',
        }
        received = len(self.stream.versions)
        if received:
            headers['Last-Event-Id'] = str(received)
            headers['Resumes'] = self.stream.first_ident
        return self.session.post(
            yarl.URL(f'http://{self.pick_entry()}{path}', encoded=True),
            data=b'body',
            headers=headers,
            timeout=aiohttp.ClientTimeout(total=remaining_s + 1.0),
        )

    async def _read(self, ident, response):
        buffer = b''
        while chunk := await response.content.readany():
            if math.isinf(self.outcome.first_event_s):
                self.outcome.first_event_s = self.elapsed_s
            buffer += chunk
            *events, buffer = buffer.split(b'\n\n')
            for event in events:
                self.stream.add(ident, event)
        if len(self.stream.versions) == serial.EVENT_COUNT and not buffer:
            self.outcome.whole = True
