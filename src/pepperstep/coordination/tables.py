"""The operators' route table: replicated by the log, the highest version in force."""

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

# Decodes an operators' document, yielding between steps so that other tasks can run.
# Raises `InvalidDocument`.
Decoder = Callable[[bytes], Generator[None, None, RouteTable]]


class TableMachine:
    """State machine that holds the document with the highest version."""

    def __init__(self, on_change: Callable[[Document], None]):
        self._on_change = on_change
        self.document = Document()

    def apply(self, index: int, command: bytes) -> bytes:
        """Apply a `TableCommand` and return a `TableResult`."""
        message = pb.TableCommand.FromString(command)
        result = pb.TableResult()
        if message.version > self.document.version:
            result.needs_whole = not self._apply_update(message)
        result.version = self.document.version
        return result.SerializeToString()

    def snapshot(self) -> bytes:
        """Return the document and its version as bytes."""
        state = pb.TableState(
            version=self.document.version, document=compress(self.document.data)
        )
        return state.SerializeToString()

    def restore(self, data: bytes) -> None:
        """Restore the state from the bytes of `snapshot`."""
        state = pb.TableState.FromString(data)
        if state.version > self.document.version:
            self._set(Document(state.version, decompress(state.document)))

    def _apply_update(self, message: pb.TableCommand) -> bool:
        """Apply an update and return whether it fits the current document."""
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
    """The table in force on this host; its version never decreases in a process."""

    def __init__(self, decode: Decoder):
        self._decode = decode
        self._subscribers: list[Callable[[RouteTable], None]] = []
        self._has_table = trio.Event()
        self.current = RouteTable(0)
        self.document = Document()

    @property
    def is_known(self) -> bool:
        """Whether a table has been installed."""
        return self.current.version > 0

    async def wait_known(self) -> None:
        """Return once a table has been installed."""
        await self._has_table.wait()

    def subscribe(self, subscriber: Callable[[RouteTable], None]) -> None:
        """Call `subscriber` with each table that comes into force."""
        self._subscribers.append(subscriber)

    def install(self, document: Document) -> None:
        """Put a replicated document in force if it's newer."""
        for _ in self._install(document):
            pass

    async def install_in_steps(self, document: Document) -> None:
        """Put a replicated document in force if it's newer.

        Other tasks run between the steps of decoding a large document.
        """
        for _ in self._install(document):
            await trio.lowlevel.checkpoint()

    def _install(self, document: Document) -> Iterator[None]:
        if document.version > self.current.version:
            table = yield from self._decode(document.data)
            self._put_in_force(document, table)

    def _put_in_force(self, document: Document, table: RouteTable) -> None:
        if document.version <= self.current.version:
            # A newer document was installed during the decoding.
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
        self._has_table.set()
        for subscriber in self._subscribers:
            subscriber(table)


async def propose_table(
    agreement: Agreement,
    timers: Timers,
    held: Document,
    document: Document,
    timeout: float,
) -> None:
    """Return once the document is committed or known not to be newer.

    `held` is the latest document that this host has committed. If another one was
    committed since, the whole document is proposed. Raise `Failure` with `NO_QUORUM`
    after `timeout` seconds.
    """
    deadline = timers.now() + timeout
    update = _update_from(held, document)
    if not await _propose(agreement, document.version, update, timeout):
        return
    remaining = deadline - timers.now()
    if not await _propose(
        agreement, document.version, encode_whole(document), remaining
    ):
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
    """Propose an update and return whether the whole document is needed."""
    command = pb.TableCommand(version=version, update=update)
    data = await agreement.propose(TABLE_MACHINE, command.SerializeToString(), timeout)
    return pb.TableResult.FromString(data).needs_whole
