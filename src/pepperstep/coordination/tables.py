"""Operators' route tables: agreed on by the control hosts, the highest in force."""

from collections.abc import Callable, Generator, Iterator

import trio
from absl import logging

from pepperstep.coordination.table_updates import (
    Document,
    apply_update,
    compress,
    decompress,
    encode_steps,
    encode_whole,
    make_step,
)
from pepperstep.entities.routes import RouteTable
from pepperstep.errors import Code, Failure
from pepperstep.observability.decisions import TableInForce
from pepperstep.ports import Agreement, Timers
from pepperstep.proto import coordination_pb2 as pb

__all__ = ["TABLE_MACHINE", "Decoder", "TableMachine", "TableStore", "propose_table"]

TABLE_MACHINE = "tables"

# Reads an operator's document in steps, between which others may run; raises
# `InvalidDocument` for one with faults.
Decoder = Callable[[bytes], Generator[None, None, RouteTable]]


class TableMachine:
    """The document with the highest version; one not higher changes nothing."""

    def __init__(self, on_change: Callable[[Document], None]):
        self._on_change = on_change
        self.document = Document()

    def apply(self, index: int, command: bytes) -> bytes:
        """Take an update and return a `TableResult`."""
        message = pb.TableCommand.FromString(command)
        result = pb.TableResult()
        if message.version > self.document.version:
            result.needs_whole = not self._apply_update(message)
        result.version = self.document.version
        return result.SerializeToString()

    def snapshot(self) -> bytes:
        """Return the document with its version."""
        state = pb.TableState(
            version=self.document.version, document=compress(self.document.data)
        )
        return state.SerializeToString()

    def restore(self, data: bytes) -> None:
        """Take the state that `snapshot` returned."""
        state = pb.TableState.FromString(data)
        if state.version > self.document.version:
            self._set(Document(state.version, decompress(state.document)))

    def _apply_update(self, message: pb.TableCommand) -> bool:
        """Return whether the update fits the document held."""
        try:
            document = apply_update(self.document, message.update)
        except Failure as failure:
            logging.info("tables: Version %d: %s", message.version, failure.text)
            return False
        if document.version != message.version:
            return False
        self._set(document)
        return True

    def _set(self, document: Document) -> None:
        self.document = document
        self._on_change(document)


class TableStore:
    """The table in force on this host; within a process it never goes back."""

    def __init__(self, decode: Decoder):
        self._decode = decode
        self._subscribers: list[Callable[[RouteTable], None]] = []
        self._first = trio.Event()
        self.current = RouteTable(0)
        self.document = Document()

    @property
    def is_known(self) -> bool:
        """Whether any table has reached this host."""
        return self.current.version > 0

    async def wait_known(self) -> None:
        """Return once a table has reached this host."""
        await self._first.wait()

    def subscribe(self, subscriber: Callable[[RouteTable], None]) -> None:
        """Call `subscriber` with each table that comes in force."""
        self._subscribers.append(subscriber)

    def install(self, document: Document) -> None:
        """Put an agreed document in force, unless it isn't newer."""
        for _ in self._take(document):
            pass

    async def install_in_steps(self, document: Document) -> None:
        """Do the same, and let requests run while a large document is read."""
        for _ in self._take(document):
            await trio.lowlevel.checkpoint()

    def _take(self, document: Document) -> Iterator[None]:
        if document.version > self.current.version:
            table = yield from self._decode(document.data)
            self._put_in_force(document, table)

    def _put_in_force(self, document: Document, table: RouteTable) -> None:
        if document.version <= self.current.version:
            # Overtaken while it was read.
            return
        event = TableInForce(
            document.version,
            self.current.version,
            len(table.routes),
            len(table.workspaces),
        )
        logging.info("tables: %s", event)
        self.current = table
        self.document = document
        self._first.set()
        for subscriber in self._subscribers:
            subscriber(table)


async def propose_table(
    agreement: Agreement,
    timers: Timers,
    held: Document,
    document: Document,
    timeout: float,
) -> None:
    """Return once the document is agreed on, or known as not higher.

    `held` is the document that this host has agreed on last; where another one came
    between, the whole document is proposed. Raise `Failure` with `NO_QUORUM` after
    `timeout` seconds.
    """
    deadline = timers.now() + timeout
    update = _update_from(held, document)
    if not await _propose(agreement, document.version, update, timeout):
        return
    rest = deadline - timers.now()
    if not await _propose(agreement, document.version, encode_whole(document), rest):
        return
    raise Failure(Code.INTERNAL, "The document isn't taken in whole either.")


def _update_from(held: Document, document: Document) -> bytes:
    if document.version <= held.version:
        return b""
    if not held.version:
        return encode_whole(document)
    return encode_steps([make_step(held, document)])


async def _propose(
    agreement: Agreement, version: int, update: bytes, timeout: float
) -> bool:
    """Return whether the whole document is needed."""
    command = pb.TableCommand(version=version, update=update)
    data = await agreement.propose(TABLE_MACHINE, command.SerializeToString(), timeout)
    return pb.TableResult.FromString(data).needs_whole
