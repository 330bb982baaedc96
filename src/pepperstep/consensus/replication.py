"""The leader's task for one follower: entries, heartbeats and snapshots."""

from dataclasses import dataclass

import trio
from absl import logging

from pepperstep.consensus.follower import Follower
from pepperstep.consensus.leadership import Leadership, Progress
from pepperstep.consensus.replica import Replica
from pepperstep.consensus.tuning import Tuning
from pepperstep.errors import Code, Failure
from pepperstep.ports import PeerNetwork, Timers
from pepperstep.proto import consensus_pb2 as pb

__all__ = ["Replication"]


@dataclass(slots=True)
class _Transfer:
    """A snapshot on its way to a follower."""

    index: int
    data: bytes
    offset: int = 0


class Replication:
    """Sends one message at a time to a follower, with all that is new."""

    def __init__(
        self,
        group: str,
        replica: Replica,
        follower: Follower,
        peers: PeerNetwork,
        timers: Timers,
        tuning: Tuning,
    ):
        self._group = group
        self._replica = replica
        self._follower = follower
        self._peers = peers
        self._timers = timers
        self._tuning = tuning

    async def run(self, leadership: Leadership, progress: Progress) -> None:
        """Keep one follower up to date until cancelled."""
        while True:
            await self._wait_due(progress)
            progress.sent_at = self._timers.now()
            try:
                await self._send(leadership, progress)
            except Failure:
                await self._wait_heartbeat(progress)

    async def _wait_due(self, progress: Progress) -> None:
        while self._replica.log.last_index < progress.next_index:
            rest = progress.sent_at + self._pause(progress) - self._timers.now()
            if rest <= 0:
                return
            progress.wake = trio.Event()
            with self._timers.move_on_after(rest):
                await progress.wake.wait()

    async def _wait_heartbeat(self, progress: Progress) -> None:
        due = progress.sent_at + self._tuning.heartbeat_interval
        await self._timers.sleep(due - self._timers.now())

    def _pause(self, progress: Progress) -> float:
        """Return the time between two messages without entries."""
        has_commits = self._replica.commit_index > progress.commit_index
        if has_commits and progress.match_index > progress.commit_index:
            return self._tuning.commit_delay
        return self._tuning.heartbeat_interval

    async def _send(self, leadership: Leadership, progress: Progress) -> None:
        if progress.next_index <= self._replica.log.base_index:
            await self._send_snapshot(leadership, progress)
        else:
            await self._send_entries(leadership, progress)

    async def _send_entries(self, leadership: Leadership, progress: Progress) -> None:
        log = self._replica.log
        previous = progress.next_index - 1
        request = pb.LogAppendRequest(
            header=self._header(leadership, progress),
            previous_index=previous,
            previous_term=log.term_at(previous),
            entries=log.entries_from(
                progress.next_index,
                self._tuning.batch_entries,
                self._tuning.batch_bytes,
            ),
            commit_index=self._replica.commit_index,
        )
        reply = await self._call(progress, request)
        if not self._take_contact(leadership, progress, reply):
            return
        if not reply.is_accepted:
            lower = min(previous, reply.next_index)
            progress.next_index = max(progress.match_index + 1, lower, 1)
            return
        progress.match_index = max(progress.match_index, reply.match_index)
        progress.next_index = progress.match_index + 1
        progress.commit_index = min(request.commit_index, progress.match_index)
        leadership.acknowledge()

    async def _send_snapshot(self, leadership: Leadership, progress: Progress) -> None:
        snapshot = await self._replica.store.load_snapshot()
        transfer = _Transfer(snapshot.index, snapshot.SerializeToString())
        logging.info(
            "consensus: Sends the snapshot of entry %d to %s.",
            transfer.index,
            progress.identity,
        )
        while await self._send_part(leadership, progress, transfer):
            progress.sent_at = self._timers.now()

    async def _send_part(
        self, leadership: Leadership, progress: Progress, transfer: _Transfer
    ) -> bool:
        """Send one part of a snapshot and return whether more is to come."""
        end = transfer.offset + self._tuning.chunk_bytes
        request = pb.LogSnapshotRequest(
            header=self._header(leadership, progress),
            index=transfer.index,
            size=len(transfer.data),
            offset=transfer.offset,
            data=transfer.data[transfer.offset : end],
        )
        reply = await self._call(progress, request)
        if not self._take_contact(leadership, progress, reply):
            return False
        if not reply.is_installed:
            transfer.offset = reply.offset
            return True
        progress.match_index = max(progress.match_index, transfer.index)
        progress.next_index = progress.match_index + 1
        leadership.acknowledge()
        return False

    def _header(self, leadership: Leadership, progress: Progress) -> pb.LogHeader:
        return pb.LogHeader(
            group=self._group,
            term=leadership.term,
            sender=self._replica.identity.to_message(),
            target_disk_id=progress.identity.disk_id,
        )

    async def _call(self, progress: Progress, request):
        return await self._peers.call(
            progress.identity.name, request, self._tuning.call_timeout
        )

    def _take_contact(self, leadership: Leadership, progress: Progress, reply) -> bool:
        """Return whether the answer is from this follower in this term."""
        if reply.disk_id != progress.identity.disk_id:
            progress.other_disk_id = reply.disk_id
            raise Failure(Code.FENCED, f"{progress.identity} has lost its disk.")
        self._follower.see_term(reply.term)
        if reply.term != leadership.term:
            return False
        progress.contact = progress.sent_at
        return True
