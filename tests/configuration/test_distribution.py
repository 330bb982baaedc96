"""How hosts learn of revisions, and that none goes back."""

import math
import random

import pytest
import trio
from hypothesis import given, settings, strategies as st

from pepperstep.configuration import choice as choice_module
from pepperstep.configuration.stored import load_stored, save_stored
from pepperstep.configuration.versions import DocumentVersions
from pepperstep.errors import Code, Failure
from pepperstep.fakes import FakeDisk, FakeLog
from pepperstep.proto.configuration_pb2 import (
    ConfigurationPush,
    ConfigurationUpdate,
    DocumentText,
    Splice,
)
from tests.configuration.cluster import open_cluster
from tests.configuration.texts import BANTAYOG, KITAHARA, change

# Seconds in which a revision is in force on every host that can be reached.
IN_FORCE_SECONDS = 2.0


def more(text, number):
    return text + f"[workspaces.more-{number}]\n"


@pytest.fixture
def no_polls(monkeypatch):
    monkeypatch.setattr(choice_module, "_POLL_SECONDS", 1000.0)


async def test_in_force_everywhere_with_losses_and_an_isolated_host(autojump_clock):
    async with open_cluster() as cluster:
        cluster.network.loss = 0.1
        cluster.network.duplication = 0.1
        cluster.network.max_delay = 0.05
        cluster.network.isolate("e5")
        for number in range(20):
            host = f"e{number % 5}"
            await cluster.stores[host].wait_for(3 + number)
            revision = await cluster.apply("kitahara", more(KITAHARA, number), host)
            await trio.sleep(IN_FORCE_SECONDS)
            assert cluster.lagging(revision) == ["e5"]
        isolated = cluster.stores["e5"]
        assert (isolated.revision, isolated.is_ready) == (3, True)
        assert isolated.is_isolated
        assert isolated.staleness > 20 * IN_FORCE_SECONDS
        assert "more-19" in cluster.stores["e1"].current.workspaces
        cluster.network.heal()
        await trio.sleep(IN_FORCE_SECONDS)
        assert cluster.lagging(revision) == []
        await trio.sleep(5.0)
        assert not isolated.is_isolated
        assert all(store.staleness < 5.0 for store in cluster.stores.values())


async def test_push_alone_reaches_all_hosts_past_dead_ones(autojump_clock, no_polls):
    async with open_cluster(entries=30) as cluster:
        # Two of the tree's inner hosts and two others.
        order = cluster.stores["c0"]._tree._order(4)
        dead = sorted([order[0], order[6], order[9], order[20]])
        for name in dead:
            cluster.stop(name)
        await trio.sleep(1.0)
        revision = await cluster.apply("bantayog", more(BANTAYOG, 1))
        await trio.sleep(IN_FORCE_SECONDS)
        assert sorted(cluster.lagging(revision)) == dead


async def test_polls_alone_reach_all_hosts_after_the_leader_died(autojump_clock):
    async with open_cluster() as cluster:
        # No leader pushes: it died right after the commit.
        cluster.log.leader = ""
        revision = await cluster.apply("bantayog", more(BANTAYOG, 1))
        cluster.stop("c0")
        await trio.sleep(IN_FORCE_SECONDS)
        assert cluster.lagging(revision) == []


async def test_one_change_of_a_long_document_costs_little(autojump_clock):
    async with open_cluster() as cluster:
        text = KITAHARA + "".join(f"[workspaces.w{n}]\n" for n in range(2000))
        revision = await cluster.apply("kitahara", text)
        await trio.sleep(IN_FORCE_SECONDS)
        sent = cluster.network.bytes_sent["ConfigurationPush"]
        count = cluster.network.sent["ConfigurationPush"]
        await cluster.apply("kitahara", more(text, 1))
        assert len(cluster.log.entries[-1][1]) < 300
        await trio.sleep(IN_FORCE_SECONDS)
        assert cluster.lagging(revision + 1) == []
        count = cluster.network.sent["ConfigurationPush"] - count
        sent = cluster.network.bytes_sent["ConfigurationPush"] - sent
        assert sent / count < 300


async def test_diskless_host_is_not_ready_before_it_read_the_quorums_revision(
    autojump_clock,
):
    async with open_cluster(entries=6) as cluster:
        # e0 stays behind; e1 has served more, and comes back beside e0 only.
        cluster.network.isolate("e0")
        revision = await cluster.apply("bantayog", more(BANTAYOG, 1))
        await trio.sleep(IN_FORCE_SECONDS)
        cluster.stop("e1")
        cluster.network.heal()
        for name in cluster.names[:3] + cluster.names[5:]:
            for lost in ("e0", "e1"):
                cluster.network.cut(name, lost)
                cluster.network.cut(lost, name)
        await cluster.start("e1")
        await trio.sleep(20.0)
        assert not cluster.stores["e1"].is_ready
        assert cluster.stores["e1"].staleness > 20.0
        # Control hosts without a quorum can't say what it agreed on.
        cluster.stop("e1")
        cluster.log.has_quorum = False
        await trio.sleep(1.0)
        await cluster.start("e1")
        cluster.network.heal()
        await trio.sleep(20.0)
        assert not cluster.stores["e1"].is_ready
        cluster.log.has_quorum = True
        with trio.fail_after(3.0):
            current = await cluster.stores["e1"].wait_ready()
        assert current.revision == revision


async def test_host_with_disk_keeps_what_it_served(autojump_clock):
    async with open_cluster(entries=1) as cluster:
        cluster.stop("c1")
        # Cut off, with a log that has lost its end.
        log, cluster.log = cluster.log, FakeLog()
        cluster.log.has_quorum = False
        await cluster.start("c1")
        store = cluster.stores["c1"]
        assert (store.revision, store.is_ready) == (3, True)
        assert "desks" in store.current.workspaces
        await trio.sleep(20.0)
        assert (store.revision, store.is_isolated) == (3, True)
        # A lost or damaged disk is no ground to serve something.
        for harm in ("lose", "damage"):
            cluster.stop("c1")
            cluster.log = FakeLog()
            cluster.log.has_quorum = False
            disk = cluster.disks["c1"]
            disk.lose() if harm == "lose" else disk.damage("configuration", 9)
            cluster.network.isolate("c1")
            await cluster.start("c1")
            await trio.sleep(5.0)
            assert not cluster.stores["c1"].is_ready
            assert cluster.stores["c1"].staleness == math.inf
            cluster.stop("c1")
            cluster.network.heal()
            cluster.log = log
            await cluster.start("c1")
            await trio.sleep(2.0)
            assert cluster.lagging(3) == []


async def test_file_that_was_cut_short_is_not_taken():
    disk = FakeDisk()
    await save_stored(disk, 7, [DocumentText(name="base", text="", revision=7)])
    assert (await load_stored(disk)).revision == 7
    # Whole as a message, but without its texts.
    await disk.truncate("configuration", 6)
    assert await load_stored(disk) is None


async def test_paused_and_half_cut_hosts(autojump_clock):
    async with open_cluster(entries=6) as cluster:
        frozen, deaf = cluster.stores["e0"], cluster.stores["e1"]
        cluster.timers["e0"].pause()
        # What e1 sends is lost, what is sent to it arrives.
        for name in cluster.names:
            cluster.network.cut("e1", name)
        await trio.sleep(60.0)
        revision = await cluster.apply("bantayog", more(BANTAYOG, 1))
        await trio.sleep(IN_FORCE_SECONDS)
        assert cluster.lagging(revision) == ["e0"]
        assert deaf.is_isolated and deaf.staleness > 55.0
        cluster.timers["e0"].resume()
        await trio.sleep(0.0)
        assert frozen.staleness > 55.0
        await trio.sleep(IN_FORCE_SECONDS)
        assert cluster.lagging(revision) == []
        assert frozen.staleness < 5.0


async def test_answer_from_before_a_pause_confirms_that_time_only(autojump_clock):
    async with open_cluster(entries=1) as cluster:
        cluster.network.min_delay = cluster.network.max_delay = 0.1
        sent = cluster.network.sent["ConfigurationPoll"]
        while cluster.network.sent["ConfigurationPoll"] == sent:
            await trio.sleep(0.01)
        cluster.timers["e0"].pause()
        await trio.sleep(60.0)
        cluster.timers["e0"].resume()
        await trio.sleep(0.05)
        assert cluster.stores["e0"].staleness > 59.0


async def test_no_revision_is_served_before_it_is_on_the_disk(autojump_clock):
    async with open_cluster(entries=1) as cluster:
        disk = cluster.disks["c2"]

        def fail(operation, name):
            raise OSError("Disk fails.")

        disk.before = fail
        revision = await cluster.apply("bantayog", more(BANTAYOG, 1))
        await trio.sleep(3.0)
        assert cluster.lagging(revision) == ["c2"]
        # It knows of the newer one, so nobody confirms what it serves.
        assert cluster.stores["c2"].staleness > 2.0
        disk.before = lambda operation, name: None
        await trio.sleep(2.0)
        assert cluster.lagging(revision) == []


async def test_late_and_doubled_pushes_neither_revert_nor_refresh(autojump_clock):
    async with open_cluster(entries=4) as cluster:
        store = cluster.stores["e0"]
        old = store._held.update_since(0, needs_texts=True)
        await cluster.apply("bantayog", more(BANTAYOG, 1))
        await trio.sleep(IN_FORCE_SECONDS)
        cluster.network.isolate("e0")
        await trio.sleep(5.0)
        before = store.staleness
        for _ in range(2):
            await store._receive_push(ConfigurationPush(update=old), "c0")
            await trio.sleep(0.5)
        assert store.revision == 4
        assert store.staleness >= before + 1.0


async def test_step_that_leads_elsewhere_is_mended_by_whole_texts(autojump_clock):
    async with open_cluster(entries=4) as cluster:
        store = cluster.stores["e0"]
        texts = store._held.changed_texts()
        assert texts[0].name == "bantayog"
        texts[0].text += "# Not what the others hold.\n"
        store._held.restore(3, texts)
        revision = await cluster.apply("bantayog", more(BANTAYOG, 1))
        await trio.sleep(IN_FORCE_SECONDS)
        assert cluster.lagging(revision) == []
        for name in ("base", "bantayog"):
            assert store.texts[name] == cluster.stores["c0"].texts[name]


async def test_resend_after_a_lost_reply_and_doubled_commits(autojump_clock):
    async with open_cluster(entries=2) as cluster:
        cluster.log.lost_replies = 1
        cluster.log.copies = 2
        value = change("kitahara", more(KITAHARA, 1), 3)
        with pytest.raises(Failure) as caught:
            await cluster.stores["e0"].apply_change(value, 1.0)
        assert caught.value.code == Code.NO_QUORUM
        answer = await cluster.stores["e1"].apply_change(value, 1.0)
        assert (answer.status, answer.revision) == ("accepted", 4)


async def test_without_a_quorum_nothing_is_accepted(autojump_clock):
    async with open_cluster(entries=2) as cluster:
        cluster.log.has_quorum = False
        with pytest.raises(Failure):
            await cluster.apply("kitahara", more(KITAHARA, 1))
        await trio.sleep(5.0)
        assert {store.revision for store in cluster.stores.values()} == {3}


async def test_callbacks_get_each_configuration_once_and_in_order(autojump_clock):
    async with open_cluster(entries=2) as cluster:
        seen = []
        cluster.stores["e1"].subscribe(lambda each: seen.append(each.revision))
        for number in range(5):
            await cluster.apply("kitahara", more(KITAHARA, number))
            await trio.sleep(IN_FORCE_SECONDS)
        assert seen == [4, 5, 6, 7, 8]


class Sender:
    """A history of texts, and updates as hosts at any point of it send them."""

    def __init__(self, length):
        self.versions = [DocumentVersions()]
        rng = random.Random(length)
        for revision in range(length):
            following = DocumentVersions()
            following.take(self.versions[-1].update_since(0))
            name = rng.choice("ab")
            following.put(name, following.text_of(name) + f"{revision}\n")
            self.versions.append(following)

    def update(self, since, revision, needs_texts):
        return self.versions[max(since, revision)].update_since(since, needs_texts)


_SENDER = Sender(8)
_UPDATES = st.builds(
    _SENDER.update, st.integers(0, 8), st.integers(0, 8), st.booleans()
)


@settings(derandomize=True, max_examples=300, deadline=None)
@given(st.lists(_UPDATES, max_size=12), st.integers(0, 8))
def test_updates_in_any_order_only_lead_forward(updates, start):
    held = DocumentVersions()
    held.take(_SENDER.versions[start].update_since(0))
    for update in updates:
        before = held.revision
        fits = held.take(update)
        assert held.revision == (max(before, update.revision) if fits else before)
        assert fits or update.since > before
        assert held.texts == _SENDER.versions[held.revision].texts


def test_damaged_updates_change_nothing():
    held = DocumentVersions()
    update = _SENDER.versions[8].update_since(0)
    gap = ConfigurationUpdate(since=0, revision=8, steps=update.steps[1:])
    wrong = ConfigurationUpdate(since=0, revision=8, steps=update.steps)
    wrong.steps[0].splice.CopyFrom(Splice(start=5, inserted="x"))
    short = ConfigurationUpdate(since=0, revision=9, steps=update.steps)
    for damaged, revision in ((gap, 0), (wrong, 0), (short, 8)):
        assert not held.take(damaged)
        assert held.revision == revision
