"""First start of a control host: a new group, or a place in one that exists.

An empty disk can mean a first start or a lost disk, and a host alone can't
tell. So the first voters start a log only when all of them are there, none
has a log, and each has put on its disk that it agrees to the same identities.
A host that finds a log at another one without being among its first voters
waits until a leader takes it in as a learner, under its new identity.
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

__all__ = ["Formation"]

_DISK_ID_BYTES = 16


@dataclass(frozen=True, slots=True)
class _Answer:
    """What another host says of itself."""

    identity: Identity
    is_member: bool
    initial: tuple[Identity, ...]
    pledge: tuple[Identity, ...]


class Formation:
    """Brings a host from any state of its disk to one with a log."""

    def __init__(
        self,
        name: str,
        voters: tuple[str, ...],
        group: str,
        replica: Replica,
        peers: PeerNetwork,
        timers: Timers,
        rng: random.Random,
        tuning: Tuning,
    ):
        self._name = name
        self._voters = voters
        self._group = group
        self._replica = replica
        self._peers = peers
        self._timers = timers
        self._rng = rng
        self._tuning = tuning
        self._file = pb.LogIdentityFile()
        self._is_loaded = False
        self._invited = trio.Event()
        peers.handle(pb.LogHello, self._on_hello)

    @property
    def is_loaded(self) -> bool:
        """Whether this host knows its disk's identity."""
        return self._is_loaded

    @property
    def forms_group(self) -> bool:
        """Whether this host still waits for the other first voters."""
        return not self._file.is_member and self._name in self._voters

    def invite(self) -> None:
        """Take note that a leader wants this host as a learner."""
        self._invited.set()

    async def run(self) -> None:
        """Return once this host has a log and has read it."""
        await self._load_identity()
        if not self._file.is_member:
            initial = await self._wait_for_log()
            await self._become_member(initial)
        initial = Identity.from_messages(self._file.initial)
        await self._replica.load(Membership(initial))

    async def _load_identity(self) -> None:
        file = await self._replica.store.load_identity()
        if file is None:
            disk_id = self._rng.randbytes(_DISK_ID_BYTES).hex()
            file = pb.LogIdentityFile(disk_id=disk_id)
            await self._replica.store.save_identity(file)
            logging.info("consensus: Empty disk, new identity %s.", disk_id[:8])
        self._file = file
        self._replica.identity = Identity(self._name, file.disk_id)
        self._is_loaded = True

    async def _become_member(self, initial: tuple[Identity, ...]) -> None:
        await self._replica.create(Membership(initial))
        file = pb.LogIdentityFile(disk_id=self._file.disk_id, is_member=True)
        file.initial.extend(identity.to_message() for identity in initial)
        await self._replica.store.save_identity(file)
        self._file = file
        logging.info("consensus: Started a log with %d first voters.", len(initial))

    async def _wait_for_log(self) -> tuple[Identity, ...]:
        """Return the first voters, none if a leader has taken this host in."""
        if self._name not in self._voters:
            await self._invited.wait()
        while not self._invited.is_set():
            answers = await self._ask_all()
            found = self._initial_of_member(answers)
            if found:
                return found
            if await self._is_agreed(answers):
                return Identity.from_messages(self._file.pledge)
            await self._timers.sleep(self._tuning.heartbeat_interval)
        return ()

    def _initial_of_member(self, answers: list[_Answer]) -> tuple[Identity, ...]:
        for answer in answers:
            if answer.is_member and self._replica.identity in answer.initial:
                return answer.initial
        return ()

    async def _is_agreed(self, answers: list[_Answer]) -> bool:
        if any(answer.is_member for answer in answers):
            return False
        if len(answers) != len(self._voters) - 1:
            return False
        found = [answer.identity for answer in answers]
        wanted = tuple(sorted([*found, self._replica.identity]))
        if Identity.from_messages(self._file.pledge) != wanted:
            await self._pledge(wanted)
            return len(self._voters) == 1
        return all(answer.pledge == wanted for answer in answers)

    async def _pledge(self, wanted: tuple[Identity, ...]) -> None:
        file = pb.LogIdentityFile(disk_id=self._file.disk_id)
        file.pledge.extend(identity.to_message() for identity in wanted)
        await self._replica.store.save_identity(file)
        self._file = file

    async def _ask_all(self) -> list[_Answer]:
        """Ask each other first voter once; a later round starts after this one.

        So an identity that was seen later is the newer one of its host.
        """
        answers: list[_Answer] = []
        async with trio.open_nursery() as nursery:
            for peer in self._voters:
                if peer != self._name:
                    nursery.start_soon(self._ask, peer, answers)
        return answers

    async def _ask(self, peer: str, answers: list[_Answer]) -> None:
        hello = pb.LogHello(group=self._group)
        try:
            reply = await self._peers.call(peer, hello, self._tuning.call_timeout)
        except Failure:
            return
        answers.append(
            _Answer(
                Identity.from_message(reply.identity),
                reply.is_member,
                Identity.from_messages(reply.initial),
                Identity.from_messages(reply.pledge),
            )
        )

    async def _on_hello(self, request: pb.LogHello, sender: str) -> pb.LogHelloReply:
        if request.group != self._group or not self._is_loaded:
            raise Failure(Code.NOT_READY, "The log is not read yet.")
        return pb.LogHelloReply(
            identity=self._replica.identity.to_message(),
            is_member=self._file.is_member,
            initial=self._file.initial,
            pledge=self._file.pledge,
        )
