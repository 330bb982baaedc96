"""Bootstrap of a control host: it forms a new group or joins an existing one.

A host with an empty disk can't tell whether this is its first start or its disk
was lost. The initial voters therefore create a log only when all of them are
reachable, none has a log, and each has stored that it agrees to the same
identities. If another host already has a log whose initial voters don't include
this host's identity, this host waits until the leader adds it as a learner.

A host that ends during the first start may be started again as one that isn't an
initial voter. It goes on as one if its disk says so. With an empty disk, it becomes
one again if a majority of the initial voters say that they have no log yet: then no
log with its earlier identity has ever had a quorum, so nothing that it may have lost
was acknowledged.
"""

import random
from dataclasses import dataclass

import trio
from absl import logging

from pepperstep.consensus.members import Identity, Membership
from pepperstep.consensus.replica import Replica
from pepperstep.consensus.tuning import Tuning
from pepperstep.errors import Code, Failure
from pepperstep.ports import PeerNetwork, Timers
from pepperstep.proto import consensus_pb2 as pb

__all__ = ["Bootstrap"]

_DISK_ID_BYTES = 16


@dataclass(frozen=True, slots=True)
class _PeerState:
    """State that another host reports.

    `initial` are the initial voters of its log. `pledge` are those that it has
    stored its agreement to while it has no log.
    """

    identity: Identity
    is_member: bool
    initial: tuple[Identity, ...]
    pledge: tuple[Identity, ...]
    first_voters: tuple[str, ...]


class Bootstrap:
    """Prepares the disk of a host and loads its log."""

    def __init__(
        self,
        name: str,
        voters: tuple[str, ...],
        group: str,
        seed_hosts: tuple[str, ...],
        replica: Replica,
        peers: PeerNetwork,
        timers: Timers,
        rng: random.Random,
        tuning: Tuning,
    ):
        self._name = name
        self._voters = voters
        self._group = group
        self._seed_hosts = seed_hosts
        self._replica = replica
        self._peers = peers
        self._timers = timers
        self._rng = rng
        self._tuning = tuning
        self._identity_file = pb.LogIdentityFile()
        self._is_loaded = False
        self._added_as_learner = trio.Event()
        peers.handle(pb.LogHello, self._on_hello)

    @property
    def is_loaded(self) -> bool:
        """Whether the identity of this host's disk is loaded."""
        return self._is_loaded

    @property
    def is_bootstrapping(self) -> bool:
        """Whether this host is an initial voter that has no log yet."""
        return not self._identity_file.is_member and self._name in self._voters

    def mark_added(self) -> None:
        """Record that a leader has added this host as a learner."""
        self._added_as_learner.set()

    async def run(self) -> None:
        """Return once this host has a log and has loaded it."""
        await self._load_identity()
        if not self._identity_file.is_member:
            initial = await self._wait_for_initial_voters()
            await self._create_log(initial)
        initial = Identity.from_messages(self._identity_file.initial)
        await self._replica.load(Membership(initial))

    async def _load_identity(self) -> None:
        file = await self._replica.store.load_identity()
        if file is None:
            disk_id = self._rng.randbytes(_DISK_ID_BYTES).hex()
            file = pb.LogIdentityFile(disk_id=disk_id, first_voters=self._voters)
            await self._replica.store.save_identity(file)
            logging.info(
                "consensus: The disk is empty, created identity %s.", disk_id[:8]
            )
        self._identity_file = file
        self._voters = self._voters or tuple(file.first_voters)
        self._replica.identity = Identity(self._name, file.disk_id)
        self._is_loaded = True

    async def _create_log(self, initial: tuple[Identity, ...]) -> None:
        await self._replica.create(Membership(initial))
        file = pb.LogIdentityFile(disk_id=self._identity_file.disk_id, is_member=True)
        file.initial.extend(identity.to_message() for identity in initial)
        await self._replica.store.save_identity(file)
        self._identity_file = file
        logging.info("consensus: Created a log with %d initial voters.", len(initial))

    async def _wait_for_initial_voters(self) -> tuple[Identity, ...]:
        """Return the initial voters, or () if a leader adds this host as a learner."""
        if self._name not in self._voters:
            await self._wait_added_or_invited()
        while not self._added_as_learner.is_set():
            answers = await self._query_peers()
            found = self._initial_from_members(answers)
            if found:
                return found
            if await self._is_agreed(answers):
                return Identity.from_messages(self._identity_file.pledge)
            await self._timers.sleep(self._tuning.heartbeat_interval)
        return ()

    async def _wait_added_or_invited(self) -> None:
        async with trio.open_nursery() as nursery:

            async def wait_added() -> None:
                await self._added_as_learner.wait()
                nursery.cancel_scope.cancel()

            nursery.start_soon(wait_added)
            await self._wait_invited()
            nursery.cancel_scope.cancel()

    async def _wait_invited(self) -> None:
        """Return once most initial voters take this host for one of them."""
        while self._name not in self._voters:
            await self._timers.sleep(self._tuning.heartbeat_interval)
            answers = await self._query_hosts(self._seed_hosts)
            for voters in {answer.first_voters for answer in answers}:
                inviting = [each for each in answers if each.first_voters == voters]
                if self._name in voters and 2 * len(inviting) > len(voters):
                    await self._become_initial(voters)

    async def _become_initial(self, voters: tuple[str, ...]) -> None:
        file = pb.LogIdentityFile(
            disk_id=self._identity_file.disk_id, first_voters=voters
        )
        await self._replica.store.save_identity(file)
        self._identity_file = file
        self._voters = voters
        logging.info("consensus: Taking part in the first start of %s.", voters)

    def _initial_from_members(self, answers: list[_PeerState]) -> tuple[Identity, ...]:
        for answer in answers:
            if answer.is_member and self._replica.identity in answer.initial:
                return answer.initial
        return ()

    async def _is_agreed(self, answers: list[_PeerState]) -> bool:
        if any(answer.is_member for answer in answers):
            return False
        if len(answers) != len(self._voters) - 1:
            return False
        found = [answer.identity for answer in answers]
        wanted = tuple(sorted([*found, self._replica.identity]))
        if Identity.from_messages(self._identity_file.pledge) != wanted:
            await self._save_pledge(wanted)
            return len(self._voters) == 1
        return all(answer.pledge == wanted for answer in answers)

    async def _save_pledge(self, wanted: tuple[Identity, ...]) -> None:
        file = pb.LogIdentityFile(
            disk_id=self._identity_file.disk_id, first_voters=self._voters
        )
        file.pledge.extend(identity.to_message() for identity in wanted)
        await self._replica.store.save_identity(file)
        self._identity_file = file

    async def _query_peers(self) -> list[_PeerState]:
        """Query each other initial voter once and wait for all answers.

        Rounds don't overlap, so an identity from a later round is never older
        than one from an earlier round.
        """
        return await self._query_hosts(self._voters)

    async def _query_hosts(self, names: tuple[str, ...]) -> list[_PeerState]:
        answers: list[_PeerState] = []
        async with trio.open_nursery() as nursery:
            for peer in names:
                if peer != self._name:
                    nursery.start_soon(self._query_peer, peer, answers)
        return answers

    async def _query_peer(self, peer: str, answers: list[_PeerState]) -> None:
        hello = pb.LogHello(group=self._group)
        try:
            reply = await self._peers.call(peer, hello, self._tuning.call_timeout)
        except Failure:
            return
        answers.append(
            _PeerState(
                Identity.from_message(reply.identity),
                reply.is_member,
                Identity.from_messages(reply.initial),
                Identity.from_messages(reply.pledge),
                tuple(reply.first_voters),
            )
        )

    async def _on_hello(self, request: pb.LogHello, sender: str) -> pb.LogHelloReply:
        if request.group != self._group or not self._is_loaded:
            raise Failure(Code.NOT_READY, "The log is not read yet.")
        return pb.LogHelloReply(
            identity=self._replica.identity.to_message(),
            is_member=self._identity_file.is_member,
            initial=self._identity_file.initial,
            pledge=self._identity_file.pledge,
            first_voters=self._voters if self.is_bootstrapping else (),
        )
