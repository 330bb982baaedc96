"""First start, lost disks, and voters that are replaced."""

import pytest
import trio

from pepperstep.errors import Code, Failure
from tests.consensus.cluster import Cluster, open_cluster


def _disks(cluster: Cluster) -> dict[str, str]:
    return {host.name: host.consensus.status().disk_id for host in cluster.up}


async def test_first_start_needs_all(autojump_clock):
    async with open_cluster() as cluster:
        await cluster.start("a", "b")
        await trio.sleep(60)
        assert not cluster.leader
        # A disk that is lost before the log has started changes the pledge.
        await cluster.restart("b", is_disk_lost=True)
        await cluster.start("c")
        await cluster.wait_leader(10)
        await cluster.settle()


async def test_first_start_needs_agreement(autojump_clock):
    """Hosts that are there but have agreed to nothing don't make a start."""
    async with open_cluster() as cluster:
        for name in cluster.names:
            await cluster.start(name)
            if name != "a":
                bootstrap = cluster.consensus(name)._bootstrap
                bootstrap._query_peers = trio.sleep_forever
        await trio.sleep(10)
        assert not cluster.consensus("a")._replica.is_member


@pytest.mark.parametrize("step", range(12))
@pytest.mark.parametrize("is_disk_lost", [False, True])
async def test_crash_in_first_start(autojump_clock, step, is_disk_lost):
    async with open_cluster() as cluster:
        await cluster.start("b", "c")
        await trio.sleep(0.1)
        await cluster.start("a")
        cluster.crash_at("a", step)
        await trio.sleep(1.5)
        if not cluster.hosts["a"].is_up:
            if is_disk_lost:
                cluster.hosts["a"].disk.lose()
            await cluster.start("a")
        await cluster.settle()


async def test_leader_among_first_voters_replaced(autojump_clock):
    """Each disk is lost in turn, right after the repair of the one before."""
    async with open_cluster(5) as cluster:
        await cluster.start()
        await cluster.propose_many(60)
        for name in cluster.names * 2:
            old = _disks(cluster)[name]
            await cluster.restart(name, is_disk_lost=True)
            await cluster.wait_leader()
            await cluster.propose_many(20)
            await cluster.wait_until(cluster.is_redundant)
            status = cluster.consensus(cluster.leader).status()
            assert old not in [voter.disk_id for voter in status.voters]
            assert len(status.voters) == 5
        await cluster.settle()


@pytest.mark.parametrize("count", [3, 5])
async def test_lost_disk_right_after_repair(autojump_clock, count):
    async with open_cluster(count) as cluster:
        await cluster.start()
        await cluster.propose_many(30)
        for _ in range(6):
            leader = await cluster.wait_leader()
            others = [name for name in cluster.names if name != leader]
            await cluster.restart(others[0], is_disk_lost=True)
            await cluster.propose_many(10)
            await cluster.wait_until(cluster.is_redundant)
            # The two that took part in the repair are the ones to go.
            await cluster.propose(cluster.leader)
            await cluster.restart(cluster.leader, is_disk_lost=True)
            await cluster.wait_until(cluster.is_redundant)
        await cluster.settle()


async def test_majority_of_disks_lost(autojump_clock):
    """The rest can't know what was acknowledged, so nothing starts anew."""
    async with open_cluster() as cluster:
        await cluster.start()
        await cluster.propose_many(10)
        cluster.crash("a", is_disk_lost=True)
        cluster.crash("b", is_disk_lost=True)
        await cluster.start("a", "b")
        await trio.sleep(120)
        assert not cluster.leader
        commands = cluster.hosts["c"].ledger.commands
        for name in "ab":
            taken = cluster.hosts[name].ledger.commands
            assert taken == commands[: len(taken)]
        with pytest.raises(Failure) as caught:
            await cluster.propose("a", 1)
        assert caught.value.code == Code.NO_QUORUM


async def test_learner_has_no_vote(autojump_clock):
    """While the host with a new disk can't catch up, it doesn't count."""
    async with open_cluster() as cluster:
        await cluster.start()
        leader = await cluster.wait_leader()
        await cluster.propose_many(100)
        lost, other = (name for name in cluster.names if name != leader)
        cluster.hosts[lost].disk.before = _refuse_log
        await cluster.restart(lost, is_disk_lost=True)
        await trio.sleep(5)
        status = cluster.consensus(leader).status()
        assert [voter.name for voter in status.voters] == sorted([leader, other])
        assert [learner.name for learner in status.learners] == [lost]
        assert not status.is_redundant
        cluster.crash(other)
        with pytest.raises(Failure):
            await cluster.propose(leader, 2)
        await cluster.settle()


async def test_no_repair_to_a_single_voter(autojump_clock):
    """Two disks lost before the repair: one that is left can't go on alone."""
    async with open_cluster() as cluster:
        await cluster.start()
        leader = await cluster.wait_leader()
        lost, other = (name for name in cluster.names if name != leader)
        cluster.hosts[lost].disk.before = _refuse_log
        await cluster.restart(lost, is_disk_lost=True)
        await trio.sleep(5)
        await cluster.restart(other, is_disk_lost=True)
        with pytest.raises(Failure):
            await cluster.propose(leader, 5)
        assert len(cluster.consensus(leader).status().voters) == 2


def _refuse_log(operation: str, name: str) -> None:
    if "-log-" in name:
        raise OSError("No space left.")


async def test_replace(autojump_clock):
    async with open_cluster() as cluster:
        await cluster.start()
        leader = await cluster.wait_leader()
        await cluster.propose_many(100)
        gone, other = (name for name in cluster.names if name != leader)
        await cluster.start("g")
        await trio.sleep(0.1)
        with pytest.raises(Failure) as caught:
            await cluster.consensus(other).replace_voter(gone, "g")
        assert caught.value.code == Code.NOT_LEADER
        cluster.crash(gone)
        await cluster.consensus(leader).replace_voter(gone, "g")
        await cluster.wait_until(cluster.is_redundant)
        status = cluster.consensus(leader).status()
        assert [v.name for v in status.voters] == sorted([leader, other, "g"])
        cluster.crash(other)
        await cluster.propose(leader)
        del cluster.hosts[gone]
        await cluster.settle()
