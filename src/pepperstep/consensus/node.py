"""Raft node of a control host."""

import random

import trio
from absl import logging
from google.protobuf.message import Message

from pepperstep.consensus.bootstrap import Bootstrap
from pepperstep.consensus.election import Election
from pepperstep.consensus.follower import Follower
from pepperstep.consensus.forwarding import Forwarder, new_proposal, no_quorum_failure
from pepperstep.consensus.handover import Handover
from pepperstep.consensus.leadership import Leadership
from pepperstep.consensus.members import Identity
from pepperstep.consensus.repair import Repair
from pepperstep.consensus.replica import PendingProposal, Replica
from pepperstep.consensus.replication import Replication
from pepperstep.consensus.status import MemberStatus, Status
from pepperstep.consensus.tuning import Tuning
from pepperstep.errors import Code, Failure
from pepperstep.ports import Machine, PeerNetwork, Storage, Timers
from pepperstep.proto import consensus_pb2 as pb
from pepperstep.tasks import run_beside
from pepperstep.write_failures import WriteFailures

__all__ = ["Consensus"]

# Upper limit of the timeout that another host may request.
_MAX_REQUEST_WAIT_SECONDS = 60.0
# Time between two attempts to load the log from a disk that fails.
_LOAD_RETRY_SECONDS = 0.5


class Consensus:
    """Member of the replicated log on one control host; see `from_config`."""

    def __init__(
        self,
        name: str,
        voters: tuple[str, ...],
        storage: Storage,
        peers: PeerNetwork,
        timers: Timers,
        rng: random.Random,
        group: str,
        tuning: Tuning,
        seed_hosts: tuple[str, ...],
        target_voter_count: int,
    ):
        self._name = name
        self._group = group
        self._peers = peers
        self._timers = timers
        self._rng = rng
        self._tuning = tuning
        self._leadership: Leadership | None = None
        self._replica = Replica(storage, group, tuning)
        self._bootstrap = Bootstrap(
            name, voters, group, seed_hosts, self._replica, peers, timers, rng, tuning
        )
        self._follower = Follower(self._replica, timers, tuning)
        self._follower.step_down = self._step_down
        self._follower.has_lease = lambda: self._has_lease
        self._election = Election(
            group, self._replica, self._follower, peers, timers, rng, tuning
        )
        self._replication = Replication(
            group, self._replica, self._follower, peers, timers, tuning
        )
        self._seed_hosts = seed_hosts
        self._repair = Repair(self._replica, timers, tuning, target_voter_count)
        self._handover = Handover(
            group,
            self._replica,
            self._follower,
            self._election,
            self._repair,
            peers,
            timers,
            tuning,
            lambda: self._leadership,
        )
        self._forwarder = Forwarder(
            group, seed_hosts or voters, self._call, timers, rng, tuning
        )
        self._register_handlers()

    @classmethod
    def from_config(
        cls,
        *,
        name: str,
        voters: tuple[str, ...],
        storage: Storage,
        peers: PeerNetwork,
        timers: Timers,
        rng: random.Random,
        group: str = "control",
        tuning: Tuning | None = None,
        seed_hosts: tuple[str, ...] = (),
        target_voter_count: int = 0,
    ) -> "Consensus":
        """Return the log member of the control host `name`; `run` starts it.

        `voters` names the initial voters and is the same on each of them. Any
        other host asks one of `seed_hosts` to add it. The leader promotes
        learners until there are `target_voter_count` voters, by default as many
        as initial ones. `rng` must be seeded differently on each host and at
        each start.
        """
        return cls(
            name,
            voters,
            storage,
            peers,
            timers,
            rng,
            group,
            tuning or Tuning(),
            seed_hosts,
            target_voter_count or len(voters),
        )

    @property
    def is_leader(self) -> bool:
        """Whether this host leads with a lease and has applied all earlier commits."""
        return self._has_lease and self._leadership.is_ready

    @property
    def lease_remaining(self) -> float:
        """Seconds left of the leader's lease, 0 on other hosts."""
        return self._leadership.lease_remaining if self.is_leader else 0.0

    @property
    def term(self) -> int:
        """Latest term that this host knows."""
        return self._replica.term

    @property
    def leader(self) -> str:
        """Name of the last known leader, or "" if there is none."""
        if self._leadership is not None and self._leadership.is_active:
            return self._name
        return self._follower.leader

    def register(self, name: str, machine: Machine) -> None:
        """Register a state machine; must be called before `run`."""
        self._replica.machines.register(name, machine)

    async def run(self, task_status=trio.TASK_STATUS_IGNORED) -> None:
        """Run this member until cancelled.

        Raise `Failure` with `CORRUPT_STORAGE` for damaged files. While the disk fails,
        this member neither votes nor acknowledges entries, and retries.
        """
        task_status.started()
        if self._seed_hosts:
            await run_beside(self._request_join_periodically, self._load)
        else:
            await self._load()
        self._follower.start()
        async with trio.open_nursery() as nursery:
            if self._seed_hosts:
                nursery.start_soon(self._request_join_periodically)
            nursery.start_soon(self._replica.run)
            nursery.start_soon(self._forwarder.run)
            nursery.start_soon(self._run_terms)

    async def leave(self) -> None:
        """Return once this host may stop: it leads no longer and was replaced.

        If no host can replace it, it stays a member of the group.
        """
        await self._handover.leave()

    async def propose(self, name: str, command: bytes, timeout: float) -> bytes:
        """Return the state machine's result once the command is applied.

        Raise `Failure` with `NO_QUORUM` after `timeout` seconds. The command may
        still be committed later if the failure's execution is `MAY_HAVE_RUN`.
        """
        deadline = self._timers.now() + timeout
        proposal = new_proposal(self._rng, name, command, self._replica.commit_index)
        self._forwarder.set_target(self.leader)
        leadership = self._leadership
        if leadership is None or not leadership.admits_proposals:
            return await self._forwarder.propose(proposal, deadline)
        result = await self._propose_locally(proposal, timeout)
        if result.status == pb.LogProposeReply.DONE:
            return result.data
        if result.status == pb.LogProposeReply.REFUSED:
            raise Failure(Code(result.code), result.text)
        return await self._forwarder.propose(
            proposal, deadline, is_possibly_committed=True
        )

    async def barrier(self, timeout: float) -> int:
        """Apply all entries committed before this call and return their last index.

        Raise `Failure` with `NO_QUORUM` after `timeout` seconds.
        """
        deadline = self._timers.now() + timeout
        self._forwarder.set_target(self.leader)
        with self._timers.move_on_after(timeout):
            index = await self._forwarder.barrier(deadline)
            await self._replica.wait_applied(index)
            return index
        raise no_quorum_failure(is_possibly_committed=False)

    async def replace_voter(self, old: str, new: str) -> None:
        """Start to replace the lost voter `old` by the host `new`.

        `status` shows when the change is complete. Raise `Failure` with
        `NOT_LEADER`, `NOT_READY` while another change is in progress,
        `UNKNOWN_NAME` or `PEER_UNREACHABLE`.
        """
        hello = pb.LogHello(group=self._group)
        reply = await self._peers.call(new, hello, self._tuning.call_timeout)
        if not self._has_lease:
            raise Failure(Code.NOT_LEADER, "Only the leader replaces a voter.")
        identity = Identity.from_message(reply.identity)
        self._repair.replace_voter(self._leadership, old, identity)

    def status(self) -> Status:
        """Return the state of the log on this host."""
        replica = self._replica
        membership = replica.membership
        return Status(
            name=self._name,
            disk_id=replica.identity.disk_id,
            is_leader=self.is_leader,
            leader=self.leader,
            term=replica.term,
            last_index=replica.log.last_index,
            commit_index=replica.commit_index,
            applied_index=replica.applied_index,
            snapshot_index=replica.store.snapshot_index,
            voters=tuple(map(self._member_status, membership.voters)),
            learners=tuple(map(self._member_status, membership.learners)),
            is_redundant=self._is_redundant,
        )

    def members(self) -> list[str]:
        """Return the names of all voters and learners."""
        return [identity.name for identity in self._replica.membership.members]

    def voters(self) -> list[str]:
        """Return the names of the voters."""
        return [identity.name for identity in self._replica.membership.voters]

    @property
    def _has_lease(self) -> bool:
        return self._leadership is not None and self._leadership.has_lease

    @property
    def _is_redundant(self) -> bool | None:
        if not self.is_leader:
            return None
        return self._repair.is_redundant(self._leadership)

    def _member_status(self, identity: Identity) -> MemberStatus:
        match_index, contact_age = 0, None
        if identity == self._replica.identity:
            match_index, contact_age = self._replica.synced_index, 0.0
        elif self._leadership is not None:
            progress = self._leadership.progress.get(identity)
            if progress is not None:
                match_index = progress.match_index
                contact_age = progress.contact_age(self._timers.now())
        return MemberStatus(identity.name, identity.disk_id, match_index, contact_age)

    async def _load(self) -> None:
        """Return once this host has a log and has loaded it."""
        failures = WriteFailures("consensus", "the files of a new or loaded log")
        while True:
            try:
                await self._bootstrap.run()
            except OSError as error:
                failures.record_failure(error)
                await self._timers.sleep(_LOAD_RETRY_SECONDS)
            else:
                failures.record_success()
                return

    async def _run_terms(self) -> None:
        while True:
            await self._election.wait_until_elected()
            await self._lead()

    async def _lead(self) -> None:
        leadership = Leadership(
            self._replica,
            self._timers,
            self._tuning,
            self._replication.run,
            self._repair.run,
            self._follower.silent_leader,
        )
        self._leadership = leadership
        self._replica.on_synced = leadership.handle_progress
        try:
            await leadership.run()
        finally:
            self._replica.on_synced = lambda: None
            self._leadership = None
            self._follower.forget_leader()
            self._replica.abandon_pending()

    async def _request_join_periodically(self) -> None:
        """Ask to join the group whenever no leader has sent a message for a while."""
        targets = list(self._seed_hosts)
        async for _ in self._timers.subscribe(self._tuning.join_interval):
            if not self._bootstrap.is_loaded or not self._has_lost_leader:
                continue
            if self._handover.is_leaving:
                return
            known = {*self._seed_hosts, *self.members()} - {self._name}
            targets = [each for each in targets if each in known] or sorted(known)
            await self._request_join(targets)

    @property
    def _has_lost_leader(self) -> bool:
        if self._leadership is not None or self._bootstrap.is_bootstrapping:
            return False
        silence = self._timers.now() - self._follower.leader_contact_at
        return silence > 2 * self._tuning.election_timeout

    async def _request_join(self, targets: list[str]) -> None:
        """Ask the first target to add this host, and update the targets."""
        target = targets.pop(0)
        identity = self._replica.identity
        request = pb.LogJoinRequest(
            group=self._group, name=identity.name, disk_id=identity.disk_id
        )
        try:
            reply = await self._peers.call(target, request, self._tuning.call_timeout)
        except Failure as failure:
            logging.info(
                "consensus: Join request to %s failed: %s", target, failure.text
            )
            return
        self._seed_hosts = tuple(sorted({*self._seed_hosts, *reply.members}))
        if reply.leader and reply.leader != self._name:
            targets.insert(0, reply.leader)

    async def _on_join(self, request: pb.LogJoinRequest, sender: str) -> Message:
        self._check_group(request.group)
        reply = pb.LogJoinReply(leader=self.leader, members=self.members())
        leadership = self._leadership
        if leadership is not None and leadership.is_active:
            identity = Identity(request.name, request.disk_id)
            reply.is_taken = self._repair.add_learner(leadership, identity)
        return reply

    def _step_down(self) -> None:
        if self._leadership is not None:
            self._leadership.step_down()

    async def _propose_locally(
        self, proposal: pb.LogProposal, timeout: float
    ) -> pb.LogProposeReply.Result:
        results = await self._propose_all([proposal], timeout)
        return results[0]

    async def _propose_all(
        self, proposals: list[pb.LogProposal], timeout: float
    ) -> list[pb.LogProposeReply.Result]:
        """Append proposals and return their results, UNKNOWN if late."""
        admitted = [self._leadership.admit(proposal) for proposal in proposals]
        with self._timers.move_on_after(timeout):
            for item in admitted:
                if isinstance(item, PendingProposal):
                    await item.done.wait()
        return [_result_message(item) for item in admitted]

    async def _call(self, peer: str, message: Message, timeout: float) -> Message:
        """Call a peer, or this host itself without the network."""
        if peer != self._name:
            return await self._peers.call(peer, message, timeout)
        if isinstance(message, pb.LogProposeRequest):
            return await self._on_propose(message, self._name)
        return await self._on_barrier(message, self._name)

    def _register_handlers(self) -> None:
        self._peers.handle(pb.LogVoteRequest, self._on_vote)
        self._peers.handle(pb.LogAppendRequest, self._on_append)
        self._peers.handle(pb.LogSnapshotRequest, self._on_snapshot)
        self._peers.handle(pb.LogProposeRequest, self._on_propose)
        self._peers.handle(pb.LogBarrierRequest, self._on_barrier)
        self._peers.handle(pb.LogTakeOverRequest, self._on_take_over)
        self._peers.handle(pb.LogLeaveRequest, self._on_leave)
        if self._seed_hosts:
            # Hosts can't join a group with a fixed membership.
            self._peers.handle(pb.LogJoinRequest, self._on_join)

    async def _on_vote(self, request: pb.LogVoteRequest, sender: str) -> Message:
        self._check_group(request.header.group)
        return await self._follower.on_vote(request)

    async def _on_append(self, request: pb.LogAppendRequest, sender: str) -> Message:
        self._check_leader_header(request.header)
        return await self._follower.on_append(request)

    async def _on_snapshot(
        self, request: pb.LogSnapshotRequest, sender: str
    ) -> Message:
        self._check_leader_header(request.header)
        return await self._follower.on_snapshot(request)

    async def _on_take_over(
        self, request: pb.LogTakeOverRequest, sender: str
    ) -> Message:
        self._check_group(request.header.group)
        return self._handover.on_take_over(request)

    async def _on_leave(self, request: pb.LogLeaveRequest, sender: str) -> Message:
        self._check_group(request.group)
        return await self._handover.on_leave(request)

    async def _on_propose(
        self, request: pb.LogProposeRequest, sender: str
    ) -> pb.LogProposeReply:
        self._check_group(request.group)
        reply = pb.LogProposeReply()
        leadership = self._leadership
        if leadership is not None and leadership.admits_proposals:
            reply.is_leader = True
            reply.results.extend(
                await self._propose_all(list(request.proposals), _wait_seconds(request))
            )
        reply.leader = self.leader
        reply.term = self._replica.term
        reply.commit_index = self._replica.commit_index
        return reply

    async def _on_barrier(
        self, request: pb.LogBarrierRequest, sender: str
    ) -> pb.LogBarrierReply:
        self._check_group(request.group)
        reply = pb.LogBarrierReply()
        leadership = self._leadership
        if leadership is not None and leadership.is_active:
            with self._timers.move_on_after(_wait_seconds(request)):
                reply.index = await leadership.read_index()
            reply.is_leader = True
        reply.leader = self.leader
        reply.term = self._replica.term
        return reply

    def _check_leader_header(self, header: pb.LogHeader) -> None:
        """Check a leader's message; raise `Failure` if this host can't handle it."""
        self._check_group(header.group)
        if not self._replica.is_member:
            if header.target_disk_id == self._replica.identity.disk_id:
                self._bootstrap.mark_added()
            elif self._replica.identity.disk_id:
                return
            raise Failure(Code.NOT_READY, "The log isn't read yet.")
        if self._has_lease and header.term == self._replica.term:
            raise Failure(Code.INTERNAL, "Two leaders in one term.")

    def _check_group(self, group: str) -> None:
        if group != self._group:
            raise Failure(Code.UNKNOWN_NAME, f"No log {group} on this host.")


def _wait_seconds(request: pb.LogProposeRequest | pb.LogBarrierRequest) -> float:
    """Return the limited timeout of a request, 0 unless it is positive."""
    return (
        min(request.timeout, _MAX_REQUEST_WAIT_SECONDS) if request.timeout > 0 else 0.0
    )


def _result_message(
    item: PendingProposal | pb.LogProposeReply.Result,
) -> pb.LogProposeReply.Result:
    if isinstance(item, pb.LogProposeReply.Result):
        return item
    if item.outcome is None or item.outcome.result is None:
        return pb.LogProposeReply.Result(status=pb.LogProposeReply.UNKNOWN)
    return pb.LogProposeReply.Result(data=item.outcome.result)
