"""Cluster of hosts with a configuration store each, in one process."""

import contextlib
import random

import trio

from pepperstep.configuration import ConfigurationStore, StoreSettings
from pepperstep.fakes import (
    FakeAgreement,
    FakeDisk,
    FakeLog,
    FakeNetwork,
    FakePeers,
    FakeTimers,
)
from tests.configuration.texts import BANTAYOG, BASE_TEXT, KITAHARA, change


class Cluster:
    """Control hosts c0, c1, ... with disks and entry hosts e0, e1, ... without."""

    def __init__(self, nursery, controls=3, entries=17):
        self.nursery = nursery
        self.log = FakeLog()
        self.log.leader = "c0"
        self.network = FakeNetwork(random.Random(1))
        self.controls = [f"c{number}" for number in range(controls)]
        self.names = self.controls + [f"e{number}" for number in range(entries)]
        self.disks = {name: FakeDisk() for name in self.controls}
        self.stores = {}
        self.timers = {}
        self._scopes = {}

    async def start(self, *names):
        for name in names or self.names:
            await self.nursery.start(self._run_host, name)

    def stop(self, name):
        self._scopes.pop(name).cancel()
        self.network.detach(name)
        if name in self.disks:
            self.disks[name].crash()

    async def _run_host(self, name, task_status):
        rng = random.Random(name)
        timers = self.timers[name] = FakeTimers(rng)
        with trio.CancelScope() as self._scopes[name]:
            async with trio.open_nursery() as nursery:
                peers = FakePeers(name, self.network, timers, nursery)
                store = ConfigurationStore.from_config(
                    StoreSettings(
                        name,
                        name in self.controls,
                        lambda: self.names,
                        lambda: self.controls,
                    ),
                    FakeAgreement(name, self.log),
                    peers,
                    timers,
                    rng,
                    self.disks.get(name),
                )
                self.stores[name] = store
                await nursery.start(store.run)
                task_status.started()

    async def apply(self, document, text, host="c0"):
        store = self.stores[host]
        value = change(document, text, store.revision, change_id=text[-40:])
        answer = await store.apply_change(value, 1.0)
        assert answer.is_accepted, answer
        return answer.revision

    async def apply_all(self):
        """Apply the three documents and wait until they are active on c0."""
        for document, text in [
            ("base", BASE_TEXT),
            ("kitahara", KITAHARA),
            ("bantayog", BANTAYOG),
        ]:
            revision = await self.apply(document, text)
            await self.stores["c0"].wait_for(revision)

    def lagging_hosts(self, revision):
        return [
            name
            for name, store in self.stores.items()
            if store.revision < revision or not store.is_ready
        ]


@contextlib.asynccontextmanager
async def open_cluster(**sizes):
    """Yield a cluster in which all hosts are ready at revision 3."""
    async with trio.open_nursery() as nursery:
        cluster = Cluster(nursery, **sizes)
        await cluster.start()
        await cluster.apply_all()
        await trio.sleep(2.0)
        assert cluster.lagging_hosts(3) == []
        yield cluster
        nursery.cancel_scope.cancel()
