"""The configuration in force on one host, and how it learns of newer ones.

A control host follows the log; its leader pushes each revision down a tree of
the other hosts, which repair what they missed by polls. The revision in force
never goes down: not by late messages, and not by a restart.
"""

import contextlib
import math
import random
from collections.abc import Callable, Mapping

import trio
from absl import logging

from pepperstep.configuration.changes import (
    Change,
    ChangeAnswer,
    decode_answer,
    encode_change,
)
from pepperstep.configuration.choice import HostChoice, StoreSettings
from pepperstep.configuration.machine import (
    MACHINE_NAME,
    ConfigurationMachine,
    merge_texts,
)
from pepperstep.configuration.push import PushTree
from pepperstep.configuration.schema import Configuration
from pepperstep.configuration.stored import load_stored, save_stored
from pepperstep.configuration.versions import DocumentVersions, TextVersion
from pepperstep.errors import Failure, InvalidDocument
from pepperstep.ports import Agreement, PeerNetwork, Storage, Timers
from pepperstep.proto.configuration_pb2 import (
    ConfigurationPoll,
    ConfigurationPush,
    ConfigurationPushed,
    ConfigurationUpdate,
)

__all__ = ["ConfigurationStore", "StoreSettings"]

_CALL_SECONDS = 0.3
_CONFIRM_SECONDS = 1.0
_BARRIER_SECONDS = 2.0
_RETRY_SECONDS = 1.0
# Age of the last confirmation from which a host asks control hosts, and from
# which it says that it's cut off.
_STALE_SECONDS = 5.0
_CUT_OFF_SECONDS = 15.0


class ConfigurationStore:
    """Configuration in force on one host; `run` keeps it up to date.

    A host is ready once it knows what a quorum had agreed on when the host
    started, or has the revision on its disk that it served before.
    """

    def __init__(
        self,
        settings: StoreSettings,
        agreement: Agreement,
        network: PeerNetwork,
        timers: Timers,
        rng: random.Random,
        storage: Storage | None = None,
    ):
        self._agreement = agreement
        self._network = network
        self._timers = timers
        self._storage = storage
        self._machine: ConfigurationMachine | None = None
        # What has arrived; it comes in force a little later.
        self._held = DocumentVersions()
        self._held_confirmed_at = -math.inf
        # Confirmation that waits until a revision is in force.
        self._awaited: tuple[int, float] | None = None
        self._current = Configuration()
        self._confirmed_at = -math.inf
        self._started_at = math.inf
        self._is_ready = False
        self._is_isolated = False
        self._needs_texts = False
        self._arrived = trio.Event()
        self._in_force = trio.Event()
        self._callbacks: list[Callable[[Configuration], None]] = []
        self._confirming = trio.Lock()
        self._hinted = False
        self._nursery: trio.Nursery | None = None
        self._choice = HostChoice(settings, rng)
        self._tree = PushTree(settings.name, network, self._choice.tree_hosts)

    @classmethod
    def from_config(
        cls,
        settings: StoreSettings,
        agreement: Agreement,
        network: PeerNetwork,
        timers: Timers,
        rng: random.Random,
        storage: Storage | None = None,
    ) -> "ConfigurationStore":
        """Return the store of a host; a control host's machine joins the log.

        Call it before the log runs. `storage` keeps the revision in force
        through restarts, None on hosts without a disk.
        """
        store = cls(settings, agreement, network, timers, rng, storage)
        if settings.is_control:
            store._machine = ConfigurationMachine(store._follow_machine)
            agreement.register(MACHINE_NAME, store._machine)
        return store

    @property
    def current(self) -> Configuration:
        """The configuration in force."""
        return self._current

    @property
    def revision(self) -> int:
        """Revision of the configuration in force."""
        return self._current.revision

    @property
    def is_ready(self) -> bool:
        """Whether the configuration in force may be served."""
        return self._is_ready

    @property
    def staleness(self) -> float:
        """Seconds since a quorum confirmed the revision in force, inf for never."""
        return self._timers.now() - self._confirmed_at

    @property
    def is_isolated(self) -> bool:
        """Whether no confirmation came for long; the revision may be old."""
        return self._is_isolated

    @property
    def texts(self) -> Mapping[str, TextVersion]:
        """The documents by name, each with the revision of its last change."""
        return self._held.texts

    def subscribe(self, callback: Callable[[Configuration], None]) -> None:
        """Call `callback` with each configuration that comes in force."""
        self._callbacks.append(callback)

    async def wait_for(self, revision: int) -> Configuration:
        """Return the configuration once `revision` or a later one is in force."""
        while self._current.revision < revision:
            await self._in_force.wait()
        return self._current

    async def wait_ready(self) -> Configuration:
        """Return the configuration once the host is ready."""
        while not self._is_ready:
            await self._in_force.wait()
        return self._current

    def text_of(self, document: str) -> str:
        """Return the text of the base or of a site's overlay, "" for none."""
        return self._held.text_of(document)

    async def apply_change(self, change: Change, timeout: float) -> ChangeAnswer:
        """Return how the change ended, "accepted" only once it's committed.

        Raise `Failure` with `NO_QUORUM` after `timeout` seconds; the change may
        then still be accepted, and a resend of it gets its answer.
        """
        last_text = None
        if self._held.revision >= change.from_revision:
            last_text = self._held.text_of(change.document)
        command = encode_change(change, last_text)
        result = await self._agreement.propose(MACHINE_NAME, command, timeout)
        answer = decode_answer(result)
        host = self._choice.control_host()
        if host is not None:
            self.note_revision(host, answer.revision)
        return answer

    def note_revision(self, host: str, revision: int) -> None:
        """Say that `host` holds `revision`, as a heartbeat told."""
        if revision <= self._held.revision or self._hinted or self._nursery is None:
            return
        self._hinted = True
        self._nursery.start_soon(self._pull_hint, host)

    async def run(
        self, task_status: trio.TaskStatus[None] = trio.TASK_STATUS_IGNORED
    ) -> None:
        """Keep the configuration up to date until cancelled."""
        await self._load()
        self._started_at = self._timers.now()
        async with trio.open_nursery() as nursery:
            self._nursery = nursery
            self._network.handle(ConfigurationPush, self._receive_push)
            self._network.handle(ConfigurationPoll, self._answer_poll)
            nursery.start_soon(self._run_switching)
            if self._machine is None:
                nursery.start_soon(self._run_polls)
            else:
                nursery.start_soon(self._run_confirming)
                nursery.start_soon(self._run_pushes)
                self._follow_machine()
            task_status.started()

    # Receiving.

    def _take(self, update: ConfigurationUpdate) -> bool:
        revision = self._held.revision
        is_fitting = self._held.take(update)
        # Steps that follow on but lead elsewhere: this host needs whole texts.
        is_damaged = not is_fitting and update.since <= revision
        self._needs_texts = is_damaged
        if self._held.revision > revision:
            self._arrived.set()
        return is_fitting

    def _follow_machine(self) -> None:
        if self._nursery is None:
            return
        versions = self._machine.versions
        self._take(versions.update_since(self._held.revision))

    async def _receive_push(
        self, push: ConfigurationPush, sender: str
    ) -> ConfigurationPushed:
        if self._take(push.update):
            self._tree.start_forwarding(self._nursery, push)
        else:
            self._nursery.start_soon(self._pull_and_forward, sender, push)
        return ConfigurationPushed(revision=self._held.revision)

    async def _answer_poll(
        self, poll: ConfigurationPoll, sender: str
    ) -> ConfigurationUpdate:
        if poll.is_confirming and self._machine is not None:
            await self._confirm_after(self._timers.now())
        update = self._held.update_since(poll.revision, poll.needs_texts)
        update.age_seconds = self._timers.now() - self._held_confirmed_at
        if math.isinf(update.age_seconds):
            update.age_seconds = -1.0
        if poll.revision > self._held.revision:
            self.note_revision(sender, poll.revision)
        return update

    async def _pull(self, host: str, is_confirming: bool = False) -> None:
        """Fetch what `host` has beyond this one; no error if it fails."""
        asked_at = self._timers.now()
        poll = ConfigurationPoll(
            revision=self._held.revision,
            is_confirming=is_confirming,
            needs_texts=self._needs_texts,
        )
        timeout = _BARRIER_SECONDS if is_confirming else _CALL_SECONDS
        try:
            update = await self._network.call(host, poll, timeout)
        except Failure:
            return
        if not self._take(update) or update.age_seconds < 0:
            return
        # The sender's age was taken after the question left.
        self._note_confirmed(asked_at - update.age_seconds)

    async def _pull_hint(self, host: str) -> None:
        try:
            await self._pull(host)
        finally:
            self._hinted = False

    async def _pull_and_forward(self, host: str, push: ConfigurationPush) -> None:
        await self._pull(host)
        self._tree.start_forwarding(self._nursery, push)

    async def _run_polls(self) -> None:
        while True:
            host = self._choice.host(self.staleness < _STALE_SECONDS)
            if host is not None:
                await self._pull(host, is_confirming=not self._is_ready)
            self._watch_age()
            await self._timers.sleep(self._choice.pause(self._is_ready))

    # Confirming.

    async def _run_confirming(self) -> None:
        while True:
            with contextlib.suppress(Failure):
                await self._confirm_after(self._timers.now())
            self._watch_age()
            await self._timers.sleep(_CONFIRM_SECONDS)

    async def _confirm_after(self, moment: float) -> None:
        """Return once a quorum has confirmed the state later than `moment`."""
        async with self._confirming:
            # Another caller's wait may have covered this one.
            if self._held_confirmed_at >= moment:
                return
            asked_at = self._timers.now()
            await self._agreement.barrier(_BARRIER_SECONDS)
            self._note_confirmed(asked_at)

    def _note_confirmed(self, moment: float) -> None:
        self._held_confirmed_at = max(self._held_confirmed_at, moment)
        # A first one that still waits isn't put off by later ones.
        if self._awaited is None:
            self._awaited = (self._held.revision, self._held_confirmed_at)
        self._settle()

    def _settle(self) -> None:
        """Count the confirmation that waits, if its revision is in force."""
        if self._awaited is None or self.revision < self._awaited[0]:
            return
        self._confirmed_at = max(self._confirmed_at, self._awaited[1])
        self._awaited = None
        if not self._is_ready and self._confirmed_at >= self._started_at:
            logging.info("configuration: Ready at revision %d.", self.revision)
            self._is_ready = True
            self._wake()

    def _watch_age(self) -> None:
        is_isolated = self._is_ready and self.staleness > _CUT_OFF_SECONDS
        if is_isolated != self._is_isolated:
            text = "Cut off, keeps" if is_isolated else "Reachable again, has"
            logging.warning("configuration: %s revision %d.", text, self.revision)
        self._is_isolated = is_isolated

    # Putting in force.

    async def _load(self) -> None:
        if self._storage is None:
            return
        stored = await load_stored(self._storage)
        if stored is None:
            return
        self._held.restore(stored.revision, stored.texts)
        self._put_in_force(self._merged())
        self._is_ready = True
        logging.info("configuration: Loaded revision %d.", self.revision)

    async def _run_switching(self) -> None:
        while True:
            if self._held.revision == self._current.revision:
                self._arrived = trio.Event()
                await self._arrived.wait()
            try:
                await self._switch()
            except (InvalidDocument, OSError) as error:
                logging.error("configuration: Can't switch: %s", error)
                await self._timers.sleep(_RETRY_SECONDS)

    async def _switch(self) -> None:
        configuration = self._merged()
        if self._storage is not None:
            # First on the disk: what was served once must not be gone.
            texts = self._held.changed_texts()
            await save_stored(self._storage, configuration.revision, texts)
        self._put_in_force(configuration)
        self._settle()

    def _merged(self) -> Configuration:
        machine = self._machine
        if machine and machine.configuration.revision == self._held.revision:
            return machine.configuration
        texts = {name: version.text for name, version in self._held.texts.items()}
        return merge_texts(texts, self._held.revision)

    def _put_in_force(self, configuration: Configuration) -> None:
        self._current = configuration
        logging.info("configuration: Revision %d is in force.", self.revision)
        for callback in self._callbacks:
            callback(configuration)
        self._wake()

    def _wake(self) -> None:
        self._in_force.set()
        self._in_force = trio.Event()

    async def _run_pushes(self) -> None:
        pushed = self._held.revision
        while True:
            if self._held.revision > pushed and self._agreement.is_leader:
                push = ConfigurationPush(update=self._held.update_since(pushed))
                self._tree.start_from_root(self._nursery, push)
            pushed = self._held.revision
            await self.wait_for(pushed + 1)
