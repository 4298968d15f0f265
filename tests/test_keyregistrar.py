"""Takeover of a key while its homes and copy holders answer late or never."""

import asyncio
import functools

import attrs
import pytest

from bulrushhold import decisions
from bulrushhold.entry import _generation
from bulrushhold.entry import _keyregistrar
from bulrushhold import errors
from bulrushhold import messages
from bulrushhold import ports
from bulrushhold import settings

KEY = 'vendors/review'
FINGERPRINT = 'content'
NAMES = ('e1', 'e2', 'e3')
START_EPOCH = 7


@attrs.define(slots=False)
class PeerTransport(ports.Transport):
    """Delivers messages to the stores of the other entries.

    :param silent: addresses that never answer.
    :param busy: number of requests for a copy left unanswered, by address.
    :param busy_homes: the same of requests for a pointer.
    """

    stores: dict
    silent: set = attrs.field(factory=set)
    busy: dict = attrs.field(factory=dict)
    busy_homes: dict = attrs.field(factory=dict)

    def handle(self, kind, handler):
        pass

    def send(self, address, message):
        pass

    async def request(self, address, message, timeout):
        if address in self.silent:
            await asyncio.Event().wait()
        store = self.stores[address]
        if isinstance(message, messages.PointerTake):
            if self.busy_homes.get(address):
                self.busy_homes[address] -= 1
                raise errors.PeerError('no answer', 'request', address)
            return store.take_pointer(message, 1.0)
        if self.busy.get(address):
            self.busy[address] -= 1
            raise errors.PeerError('no answer', 'request', address)
        return store.take_copy(message, 1.0)

    async def close(self):
        pass


@pytest.fixture
def stores():
    """The stores of all entries, on which e1 has started an answer."""
    stores = {name: decisions.CopyStore(30.0, -60.0) for name in NAMES}
    take = messages.PointerTake(
        KEY, START_EPOCH, FINGERPRINT, ['e2', 'e3'], True
    )
    append = messages.CopyAppend(KEY, START_EPOCH, 0, ['a', 'b'], 'v1', '')
    for store in stores.values():
        store.take_pointer(take, 0.0)
        store.append(append, 0.0)
    return stores


@pytest.fixture
def make_registrar(stores):
    def make(**faults):
        entries = [
            ports.Instance(name, 'north', name, name, False) for name in NAMES
        ]
        address = settings.Address('127.0.0.1', 1)
        config = settings.Entry(
            'e4', 'north', address, address, [address], 'http://list', 'key'
        )
        return _keyregistrar.KeyRegistrar(
            config,
            PeerTransport(stores, **faults),
            decisions.CopyStore(30.0, -60.0),
            lambda: entries,
            lambda: [],
        )

    return make


def resume(registrar):
    return registrar.acquire(KEY, FINGERPRINT, 2)


async def test_a_takeover_does_not_wait_for_a_lost_home(make_registrar):
    # The lost owner of a key is often one of its homes.
    registrar = make_registrar(silent={'e1'})
    async with asyncio.timeout(5):
        ownership = await resume(registrar)
    assert ownership.previous_copy.tokens == ['a', 'b']


async def test_a_copy_holder_that_answers_late_is_asked_again(make_registrar):
    # A busy holder of the only copy looked like a lost copy.
    registrar = make_registrar(busy={'e2': 2, 'e3': 2})
    async with asyncio.timeout(5):
        ownership = await resume(registrar)
    assert ownership.previous_copy.tokens == ['a', 'b']


async def test_a_home_that_answers_late_is_asked_again(make_registrar, stores):
    # With a restarted home, the busy one decides whether the copy is valid.
    stores['e1'] = decisions.CopyStore(30.0, 0.0)
    registrar = make_registrar(busy_homes={'e3': 2})
    async with asyncio.timeout(5):
        ownership = await resume(registrar)
    assert ownership.previous_copy.tokens == ['a', 'b']


async def test_a_lost_copy_is_reported(make_registrar, stores):
    for store in stores.values():
        store.copies.clear()
    with pytest.raises(errors.RequestError, match='not known up to token 2'):
        await resume(make_registrar())


async def test_a_new_key_is_registered_at_a_majority(make_registrar, stores):
    # With a pointer at fewer homes a takeover may find the text unknown.
    registrar = make_registrar(silent={'e1'})
    async with asyncio.timeout(5):
        assert await registrar.register('vendors/new', 9, FINGERPRINT)
    homes = [name for name in NAMES if 'vendors/new' in stores[name].pointers]
    assert len(homes) >= 2


def test_tokens_are_hidden_until_their_key_is_registered():
    # A caller with the first token may resume the key at another entry.
    spec = functools.partial(
        _generation.GenerationSpec,
        'vendors',
        'chat',
        'small',
        [],
        4,
        'content',
    )
    generation = _generation.Generation(KEY, spec(None), START_EPOCH)
    generation.registered = False
    generation.advance_visible(3)
    assert generation.visible == 0
    generation.registered = True
    generation.advance_visible(3)
    assert generation.visible == 3
