"""Replication from the leader to one follower.

Sends entries, heartbeats and snapshots.
"""

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
class _SnapshotTransfer:
    """A snapshot that is being sent to a follower in chunks."""

    index: int
    data: bytes
    offset: int = 0


class Replication:
    """Sends each follower one message at a time, with all new entries up to a limit."""

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
        """Replicate to one follower until cancelled."""
        while True:
            await self._wait_until_due(progress)
            progress.sent_at = self._timers.now()
            try:
                await self._send(leadership, progress)
            except Failure:
                await self._wait_heartbeat(progress)

    async def _wait_until_due(self, progress: Progress) -> None:
        while self._replica.log.last_index < progress.next_index:
            remaining = (
                progress.sent_at + self._send_interval(progress) - self._timers.now()
            )
            if remaining <= 0:
                return
            progress.wake = trio.Event()
            with self._timers.move_on_after(remaining):
                await progress.wake.wait()

    async def _wait_heartbeat(self, progress: Progress) -> None:
        due = progress.sent_at + self._tuning.heartbeat_interval
        await self._timers.sleep(due - self._timers.now())

    def _send_interval(self, progress: Progress) -> float:
        """Return the seconds between two messages without entries."""
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
                self._tuning.max_batch_entries,
                self._tuning.max_batch_bytes,
            ),
            commit_index=self._replica.commit_index,
        )
        reply = await self._call(progress, request)
        if not self._record_contact(leadership, progress, reply):
            return
        if not reply.is_accepted:
            lower = min(previous, reply.next_index)
            progress.next_index = max(progress.match_index + 1, lower, 1)
            return
        progress.match_index = max(progress.match_index, reply.match_index)
        progress.next_index = progress.match_index + 1
        progress.commit_index = min(request.commit_index, progress.match_index)
        leadership.handle_progress()

    async def _send_snapshot(self, leadership: Leadership, progress: Progress) -> None:
        snapshot = await self._replica.store.load_snapshot()
        transfer = _SnapshotTransfer(snapshot.index, snapshot.SerializeToString())
        logging.info(
            "consensus: Sending the snapshot up to entry %d to %s.",
            transfer.index,
            progress.identity,
        )
        while await self._send_chunk(leadership, progress, transfer):
            progress.sent_at = self._timers.now()

    async def _send_chunk(
        self, leadership: Leadership, progress: Progress, transfer: _SnapshotTransfer
    ) -> bool:
        """Send one chunk of a snapshot and return whether another one must follow."""
        end = transfer.offset + self._tuning.snapshot_chunk_bytes
        request = pb.LogSnapshotRequest(
            header=self._header(leadership, progress),
            index=transfer.index,
            size=len(transfer.data),
            offset=transfer.offset,
            data=transfer.data[transfer.offset : end],
        )
        reply = await self._call(progress, request)
        if not self._record_contact(leadership, progress, reply):
            return False
        if not reply.is_installed:
            transfer.offset = reply.offset
            return True
        progress.match_index = max(progress.match_index, transfer.index)
        progress.next_index = progress.match_index + 1
        leadership.handle_progress()
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

    def _record_contact(
        self, leadership: Leadership, progress: Progress, reply
    ) -> bool:
        """Record an answer of the follower and return whether it is of this term.

        Raise `Failure` with `FENCED` if the host has another disk.
        """
        if reply.disk_id != progress.identity.disk_id:
            progress.new_disk_id = reply.disk_id
            raise Failure(Code.FENCED, f"{progress.identity} has lost its disk.")
        self._follower.observe_term(reply.term)
        if reply.term != leadership.term:
            return False
        progress.contact_at = progress.sent_at
        return True
