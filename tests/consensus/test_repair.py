"""Bootstrap, lost disks and replaced voters."""

import pytest
import trio

from pepperstep.errors import Code, Failure
from tests.consensus.cluster import Cluster, open_cluster


def _disk_ids(cluster: Cluster) -> dict[str, str]:
    return {
        host.name: host.consensus.status().disk_id for host in cluster.running_hosts
    }


async def test_bootstrap_requires_all_voters(autojump_clock):
    async with open_cluster() as cluster:
        await cluster.start("a", "b")
        await trio.sleep(60)
        assert not cluster.leader
        # A disk that is lost before the log exists changes the identities to which
        # the voters must agree.
        await cluster.restart("b", is_disk_lost=True)
        await cluster.start("c")
        await cluster.wait_leader(10)
        await cluster.heal_and_compare()


async def test_bootstrap_requires_agreement(autojump_clock):
    """Hosts that are reachable but haven't agreed don't form a group."""
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
async def test_crash_during_bootstrap(autojump_clock, step, is_disk_lost):
    async with open_cluster() as cluster:
        await cluster.start("b", "c")
        await trio.sleep(0.1)
        await cluster.start("a")
        cluster.crash_before_write("a", step)
        await trio.sleep(1.5)
        if not cluster.hosts["a"].is_up:
            if is_disk_lost:
                cluster.hosts["a"].disk.lose()
            await cluster.start("a")
        await cluster.heal_and_compare()


async def test_every_disk_lost_in_turn(autojump_clock):
    """Each disk is lost in turn, right after the previous repair.

    The leader's own disk is among them, and each repair must remove the lost
    identity from the voters.
    """
    async with open_cluster(5) as cluster:
        await cluster.start()
        await cluster.propose_many(60)
        for name in cluster.names * 2:
            old = _disk_ids(cluster)[name]
            await cluster.restart(name, is_disk_lost=True)
            await cluster.wait_leader()
            await cluster.propose_many(20)
            await cluster.wait_until(cluster.is_redundant)
            status = cluster.consensus(cluster.leader).status()
            assert old not in [voter.disk_id for voter in status.voters]
            assert len(status.voters) == 5
        await cluster.heal_and_compare()


@pytest.mark.parametrize("count", [3, 5])
async def test_disk_loss_right_after_repair(autojump_clock, count):
    async with open_cluster(count) as cluster:
        await cluster.start()
        await cluster.propose_many(30)
        for _ in range(6):
            leader = await cluster.wait_leader()
            others = [name for name in cluster.names if name != leader]
            await cluster.restart(others[0], is_disk_lost=True)
            await cluster.propose_many(10)
            await cluster.wait_until(cluster.is_redundant)
            # The leader that made the repair loses its disk next.
            await cluster.propose(cluster.leader)
            await cluster.restart(cluster.leader, is_disk_lost=True)
            await cluster.wait_until(cluster.is_redundant)
        await cluster.heal_and_compare()


async def test_majority_of_disks_lost(autojump_clock):
    """The remaining host may lack committed entries, so no leader is elected."""
    async with open_cluster() as cluster:
        await cluster.start()
        await cluster.propose_many(10)
        cluster.crash("a", is_disk_lost=True)
        cluster.crash("b", is_disk_lost=True)
        await cluster.start("a", "b")
        await trio.sleep(120)
        assert not cluster.leader
        commands = cluster.hosts["c"].machine.commands
        for name in "ab":
            taken = cluster.hosts[name].machine.commands
            assert taken == commands[: len(taken)]
        with pytest.raises(Failure) as caught:
            await cluster.propose("a", 1)
        assert caught.value.code == Code.NO_QUORUM


async def test_learner_does_not_count_for_quorum(autojump_clock):
    """A host with a new disk doesn't count for the quorum until it catches up."""
    async with open_cluster() as cluster:
        await cluster.start()
        leader = await cluster.wait_leader()
        await cluster.propose_many(100)
        lost, other = (name for name in cluster.names if name != leader)
        cluster.hosts[lost].disk.before = _fail_log_writes
        await cluster.restart(lost, is_disk_lost=True)
        await trio.sleep(5)
        status = cluster.consensus(leader).status()
        assert [voter.name for voter in status.voters] == sorted([leader, other])
        assert [learner.name for learner in status.learners] == [lost]
        assert not status.is_redundant
        cluster.crash(other)
        with pytest.raises(Failure):
            await cluster.propose(leader, 2)
        await cluster.heal_and_compare()


async def test_membership_never_shrinks_to_one_voter(autojump_clock):
    """Two disks are lost before the repair; one voter must not commit alone."""
    async with open_cluster() as cluster:
        await cluster.start()
        leader = await cluster.wait_leader()
        lost, other = (name for name in cluster.names if name != leader)
        cluster.hosts[lost].disk.before = _fail_log_writes
        await cluster.restart(lost, is_disk_lost=True)
        await trio.sleep(5)
        await cluster.restart(other, is_disk_lost=True)
        with pytest.raises(Failure):
            await cluster.propose(leader, 5)
        assert len(cluster.consensus(leader).status().voters) == 2


def _fail_log_writes(operation: str, name: str) -> None:
    if "-log-" in name:
        raise OSError("No space left.")


async def test_replace_voter(autojump_clock):
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
        await cluster.heal_and_compare()
