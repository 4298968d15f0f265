"""Odd items of the platform's list, beside requests and planned work."""

import asyncio
import collections
import json
import random

from aiohttp import web
import attrs

from tests.platform.soak import fakes
from tests.platform.soak import figures
from tests.platform.soak import odditems
from tests.platform.soak import result
from tests.platform.soak import silence
from tests.platform.soak import strangers
from tests.platform.soak import system

FIRST_ODD_S = 2.0
LAST_ODD_S = 14.0
NEXT_LIST_S = 1.0
MAX_ITEMS = 3


@attrs.frozen
class OddListPlan:
    """Which items the list has, and what happens meanwhile.

    :param kinds: names in :data:`odditems.KINDS`.
    :param strangers: kinds of listed servers that are none.
    :param slots: that strangers' items name.
    :param beside: names in :data:`plannedwork.WORK`.
    """

    kinds: tuple = tuple(odditems.KINDS)
    strangers: tuple = ()
    slots: int = 16
    beside: tuple = ()
    entries: int = 4
    stream_s: float = 0.4
    work_s: float | None = None
    requests_per_s: float = 60.0
    seconds: float = 18.0

    requests = silence.ALL_KINDS


class OddListServer(fakes.PlatformListServer):
    """A list with odd items among those of engines.

    :ivar odd: bytes of the odd items.
    :ivar listed: strangers that the list shows.
    """

    def __init__(self, engines, rng):
        super().__init__(engines, rng)
        self.odd = []
        self.listed = []

    async def _list(self, request):
        items = [json.dumps(e.to_json()).encode() for e in self.engines]
        items += [json.dumps(s.to_json()).encode() for s in self.listed]
        odd = list(self.odd)
        await asyncio.sleep(self.delay_s)
        for item in odd:
            items.insert(self.rng.randint(0, len(items)), item)
        body = b'{"instances":[' + b','.join(items) + b'],"next":null}'
        return web.Response(body=body, content_type='application/json')


class OddListRun(silence.SilenceRun):
    """Sends requests while the list has odd items."""

    def __init__(self, seed, folder, network_number, plan):
        base = silence.SilencePlan(
            kinds=plan.requests,
            beside=plan.beside,
            entries=plan.entries,
            stream_s=plan.stream_s,
        )
        super().__init__(seed, folder, network_number, base)
        self.seconds = plan.seconds
        self.requests_per_s = plan.requests_per_s
        self.odd_plan = plan
        self.odd_rng = random.Random(f'odd {seed}')
        self.strangers = [
            strangers.Stranger(kind, service, plan.slots, f'{n}-{service}')
            for n, kind in enumerate(plan.strangers)
            for service in silence.SERVERS_PER_SERVICE
        ]
        for engine in self.engines:
            engine.work_s = plan.work_s
        self.odd_drawn = []

    async def execute(self):
        for stranger in self.strangers:
            await stranger.start()
        try:
            return await super().execute()
        finally:
            for stranger in self.strangers:
                await stranger.stop()

    def _make_list(self):
        self.list_server = OddListServer(self.engines, self.odd_rng)
        return self.list_server

    async def _fall_silent(self, started_at):
        """Put odd items on the list, instead of silences."""
        del started_at
        loop = asyncio.get_running_loop()
        begun = loop.time()
        await asyncio.sleep(FIRST_ODD_S)
        self.list_server.listed = self.strangers
        while loop.time() < begun + LAST_ODD_S:
            sound = self.odd_rng.choice(self.engines).to_json()
            count = self.odd_rng.randint(1, MAX_ITEMS)
            if self.odd_plan.kinds:
                self.list_server.odd = [
                    odditems.draw_listed(
                        self.odd_rng, sound, self.odd_plan.kinds
                    )
                    for _ in range(count)
                ]
            self.odd_drawn += self.list_server.odd
            await asyncio.sleep(NEXT_LIST_S)
        self.list_server.odd = []
        self.list_server.listed = []

    def checks(self):
        failed = collections.Counter()
        for (_, outcome), count in self.outcomes.items():
            if outcome not in (silence.WHOLE, silence.NOT_SENT):
                failed[outcome] += count
        return [
            figures.Check('lost', len(self.lost), 0, at_least=False),
            figures.Check(
                'not served', sum(failed.values()), 0, at_least=False
            ),
            figures.Check(
                'violated guarantees',
                len(self.report.violations),
                0,
                at_least=False,
            ),
        ]

    def lines(self):
        requests = {
            f'{s.kind} {s.service}': len(s.requests) for s in self.strangers
        }
        return [
            *super().lines(),
            f'requests at strangers: {requests}',
        ]


async def play(seed, folder, plan):
    """Return the result of a plan, with the logs in a folder."""
    folder.mkdir(exist_ok=True)
    with system.LoopbackNetwork() as network:
        odd_run = OddListRun(seed, folder, network.number, plan)
        await odd_run.execute()
    (folder / 'odd.json').write_text(
        json.dumps([item[:300].hex() for item in odd_run.odd_drawn])
    )
    return result.Result(odd_run.checks(), odd_run.lines())


VARIANTS = {
    **{kind: OddListPlan(kinds=(kind,)) for kind in odditems.KINDS},
    'none': OddListPlan(kinds=()),
    'all': OddListPlan(),
    'all-maps': OddListPlan(beside=('route_maps',)),
    'all-term': OddListPlan(beside=('term',)),
    'all-drained': OddListPlan(beside=('drain',)),
    'all-replaced': OddListPlan(beside=('replace',)),
    'all-planned': OddListPlan(beside=('route_maps', 'hup', 'term', 'drain')),
    'planned': OddListPlan(
        kinds=(), beside=('route_maps', 'hup', 'term', 'drain')
    ),
    'restarts': OddListPlan(
        kinds=(), beside=('route_maps', 'restarts', 'drain'), stream_s=1.2
    ),
    'all-restarts': OddListPlan(
        beside=('route_maps', 'restarts', 'drain', 'replace'), stream_s=1.2
    ),
    **{
        f'stranger-{kind.replace(" ", "-")}': OddListPlan(
            kinds=(), strangers=(kind,), slots=64, work_s=0.15
        )
        for kind in strangers.KINDS
    },
    'strangers': OddListPlan(strangers=strangers.KINDS, slots=64, work_s=0.15),
    'strangers-planned': OddListPlan(
        strangers=strangers.KINDS,
        slots=64,
        beside=('route_maps', 'hup', 'term', 'drain'),
    ),
}


async def play_variant(seed, folder, variant, entries=4, seconds=None):
    """Play a variant; its duration is fixed."""
    del seconds
    plan = attrs.evolve(VARIANTS[variant], entries=entries)
    return await play(seed, folder, plan)
