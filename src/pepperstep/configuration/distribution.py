"""The active configuration of one host and the distribution of newer ones.

Control hosts apply the log. The leader pushes each revision along a tree of the
other hosts, which repair missed pushes by polls. The active revision is
monotonic: neither late messages nor a restart decrease it.
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
from pepperstep.configuration.machine import (
    MACHINE_NAME,
    ConfigurationMachine,
    merge_texts,
)
from pepperstep.configuration.peer_selector import PeerSelector, StoreSettings
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

_CALL_TIMEOUT_SECONDS = 0.3
_CONFIRM_PERIOD_SECONDS = 1.0
_BARRIER_TIMEOUT_SECONDS = 2.0
_RETRY_DELAY_SECONDS = 1.0
# Age of the last confirmation beyond which a host prefers control hosts for its
# polls, and beyond which it considers itself isolated.
_STALE_SECONDS = 5.0
_ISOLATED_SECONDS = 15.0


class ConfigurationStore:
    """The active configuration of one host; `run` keeps it up to date.

    A host is ready once it has the revision that a quorum had committed when the
    host started, or has loaded from its disk the revision that it served before.
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
        # Texts that have arrived and may not be active yet, and the time at which a
        # quorum last confirmed their revision.
        self._received = DocumentVersions()
        self._received_confirmed_at = -math.inf
        # Revision and time of a confirmation, pending until the revision is active.
        self._pending_confirmation: tuple[int, float] | None = None
        self._current = Configuration()
        self._confirmed_at = -math.inf
        self._started_at = math.inf
        self._is_ready = False
        self._is_isolated = False
        self._needs_texts = False
        self._update_received = trio.Event()
        self._activated = trio.Event()
        self._callbacks: list[Callable[[Configuration], None]] = []
        self._confirmation_lock = trio.Lock()
        self._is_pulling_hint = False
        self._nursery: trio.Nursery | None = None
        self._peer_selector = PeerSelector(settings, rng)
        self._tree = PushTree(settings.name, network, self._peer_selector.tree_hosts)

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
        """Return the store of a host; on a control host, register its state machine.

        Call it before the log runs. `storage` keeps the active revision across
        restarts; it is None on hosts without a disk.
        """
        store = cls(settings, agreement, network, timers, rng, storage)
        if settings.is_control:
            store._machine = ConfigurationMachine(store._update_from_machine)
            agreement.register(MACHINE_NAME, store._machine)
        return store

    @property
    def current(self) -> Configuration:
        """The active configuration."""
        return self._current

    @property
    def revision(self) -> int:
        """Revision of the active configuration."""
        return self._current.revision

    @property
    def is_ready(self) -> bool:
        """Whether the host may serve the active configuration."""
        return self._is_ready

    @property
    def staleness(self) -> float:
        """Seconds since a quorum confirmed the active revision, inf if never."""
        return self._timers.now() - self._confirmed_at

    @property
    def is_isolated(self) -> bool:
        """Whether the last confirmation is so old that the revision may be outdated."""
        return self._is_isolated

    @property
    def texts(self) -> Mapping[str, TextVersion]:
        """The latest received documents by name, with their last revisions."""
        return self._received.texts

    def subscribe(self, callback: Callable[[Configuration], None]) -> None:
        """Call `callback` with each configuration that becomes active."""
        self._callbacks.append(callback)

    async def wait_for(self, revision: int) -> Configuration:
        """Return the configuration once `revision` or a later one is active."""
        while self._current.revision < revision:
            await self._activated.wait()
        return self._current

    async def wait_ready(self) -> Configuration:
        """Return the configuration once the host is ready."""
        while not self._is_ready:
            await self._activated.wait()
        return self._current

    def text_of(self, document: str) -> str:
        """Return the text of the base or of a site's overlay, "" if there is none."""
        return self._received.text_of(document)

    async def apply_change(self, change: Change, timeout: float) -> ChangeAnswer:
        """Propose a change and return its result, "accepted" only once committed.

        Raise `Failure` with `NO_QUORUM` after `timeout` seconds. The change may
        still be accepted later; a resend then gets the answer to it.
        """
        last_text = None
        if self._received.revision >= change.from_revision:
            last_text = self._received.text_of(change.document)
        command = encode_change(change, last_text)
        result = await self._agreement.propose(MACHINE_NAME, command, timeout)
        answer = decode_answer(result)
        host = self._peer_selector.control_host()
        if host is not None:
            self.handle_revision_hint(host, answer.revision)
        return answer

    def handle_revision_hint(self, host: str, revision: int) -> None:
        """Start a pull from `host`, which has `revision`, if that is newer.

        At most one such pull runs at a time.
        """
        if (
            revision <= self._received.revision
            or self._is_pulling_hint
            or self._nursery is None
        ):
            return
        self._is_pulling_hint = True
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
            nursery.start_soon(self._run_activation)
            if self._machine is None:
                nursery.start_soon(self._run_polls)
            else:
                nursery.start_soon(self._run_confirming)
                nursery.start_soon(self._run_pushes)
                self._update_from_machine()
            task_status.started()

    # Receiving.

    def _apply_update(self, update: ConfigurationUpdate) -> bool:
        revision = self._received.revision
        is_fitting = self._received.apply(update)
        # The steps follow this revision but result in other texts than the sender's.
        # Only complete texts repair that.
        is_damaged = not is_fitting and update.since <= revision
        self._needs_texts = is_damaged
        if self._received.revision > revision:
            self._update_received.set()
        return is_fitting

    def _update_from_machine(self) -> None:
        if self._nursery is None:
            return
        versions = self._machine.versions
        self._apply_update(versions.update_since(self._received.revision))

    async def _receive_push(
        self, push: ConfigurationPush, sender: str
    ) -> ConfigurationPushed:
        if self._apply_update(push.update):
            self._tree.start_forwarding(self._nursery, push)
        else:
            self._nursery.start_soon(self._pull_and_forward, sender, push)
        return ConfigurationPushed(revision=self._received.revision)

    async def _answer_poll(
        self, poll: ConfigurationPoll, sender: str
    ) -> ConfigurationUpdate:
        if poll.is_confirming and self._machine is not None:
            await self._confirm_since(self._timers.now())
        update = self._received.update_since(poll.revision, poll.needs_texts)
        update.age_seconds = self._timers.now() - self._received_confirmed_at
        if math.isinf(update.age_seconds):
            update.age_seconds = -1.0
        if poll.revision > self._received.revision:
            self.handle_revision_hint(sender, poll.revision)
        return update

    async def _pull(self, host: str, is_confirming: bool = False) -> None:
        """Fetch newer revisions from `host`; ignore a failed call."""
        asked_at = self._timers.now()
        poll = ConfigurationPoll(
            revision=self._received.revision,
            is_confirming=is_confirming,
            needs_texts=self._needs_texts,
        )
        timeout = _BARRIER_TIMEOUT_SECONDS if is_confirming else _CALL_TIMEOUT_SECONDS
        try:
            update = await self._network.call(host, poll, timeout)
        except Failure:
            return
        if not self._apply_update(update) or update.age_seconds < 0:
            return
        # `host` computed the age after this host sent the poll, so the difference
        # is a lower bound of the time of the confirmation.
        self._record_confirmation(asked_at - update.age_seconds)

    async def _pull_hint(self, host: str) -> None:
        try:
            await self._pull(host)
        finally:
            self._is_pulling_hint = False

    async def _pull_and_forward(self, host: str, push: ConfigurationPush) -> None:
        await self._pull(host)
        self._tree.start_forwarding(self._nursery, push)

    async def _run_polls(self) -> None:
        while True:
            host = self._peer_selector.poll_target(self.staleness < _STALE_SECONDS)
            if host is not None:
                await self._pull(host, is_confirming=not self._is_ready)
            self._check_staleness()
            await self._timers.sleep(self._peer_selector.poll_delay(self._is_ready))

    # Confirmation by a quorum.

    async def _run_confirming(self) -> None:
        while True:
            with contextlib.suppress(Failure):
                await self._confirm_since(self._timers.now())
            self._check_staleness()
            await self._timers.sleep(_CONFIRM_PERIOD_SECONDS)

    async def _confirm_since(self, moment: float) -> None:
        """Wait until a quorum has confirmed the state at or after `moment`."""
        async with self._confirmation_lock:
            # A concurrent caller may have obtained a recent enough confirmation.
            if self._received_confirmed_at >= moment:
                return
            asked_at = self._timers.now()
            await self._agreement.barrier(_BARRIER_TIMEOUT_SECONDS)
            self._record_confirmation(asked_at)

    def _record_confirmation(self, moment: float) -> None:
        self._received_confirmed_at = max(self._received_confirmed_at, moment)
        # A later confirmation doesn't replace a pending one, which would postpone
        # readiness.
        if self._pending_confirmation is None:
            self._pending_confirmation = (
                self._received.revision,
                self._received_confirmed_at,
            )
        self._apply_confirmation()

    def _apply_confirmation(self) -> None:
        """Apply the pending confirmation if its revision is active."""
        if (
            self._pending_confirmation is None
            or self.revision < self._pending_confirmation[0]
        ):
            return
        self._confirmed_at = max(self._confirmed_at, self._pending_confirmation[1])
        self._pending_confirmation = None
        if not self._is_ready and self._confirmed_at >= self._started_at:
            logging.info("configuration: Ready at revision %d.", self.revision)
            self._is_ready = True
            self._notify_waiters()

    def _check_staleness(self) -> None:
        is_isolated = self._is_ready and self.staleness > _ISOLATED_SECONDS
        if is_isolated != self._is_isolated:
            text = "Isolated, keeping" if is_isolated else "Reachable again, at"
            logging.warning("configuration: %s revision %d.", text, self.revision)
        self._is_isolated = is_isolated

    # Activation.

    async def _load(self) -> None:
        if self._storage is None:
            return
        stored = await load_stored(self._storage)
        if stored is None:
            return
        self._received.restore(stored.revision, stored.texts)
        self._activate(self._merge_received())
        self._is_ready = True
        logging.info("configuration: Loaded revision %d.", self.revision)

    async def _run_activation(self) -> None:
        while True:
            if self._received.revision == self._current.revision:
                self._update_received = trio.Event()
                await self._update_received.wait()
            try:
                await self._activate_received()
            except (InvalidDocument, OSError) as error:
                logging.error("configuration: Can't activate a revision: %s", error)
                await self._timers.sleep(_RETRY_DELAY_SECONDS)

    async def _activate_received(self) -> None:
        configuration = self._merge_received()
        if self._storage is not None:
            # Saved before activation, so that a restart doesn't lose a revision that
            # was served.
            texts = self._received.changed_texts()
            await save_stored(self._storage, configuration.revision, texts)
        self._activate(configuration)
        self._apply_confirmation()

    def _merge_received(self) -> Configuration:
        machine = self._machine
        if machine and machine.configuration.revision == self._received.revision:
            return machine.configuration
        texts = {name: version.text for name, version in self._received.texts.items()}
        return merge_texts(texts, self._received.revision)

    def _activate(self, configuration: Configuration) -> None:
        self._current = configuration
        logging.info("configuration: Revision %d is active.", self.revision)
        for callback in self._callbacks:
            callback(configuration)
        self._notify_waiters()

    def _notify_waiters(self) -> None:
        self._activated.set()
        self._activated = trio.Event()

    async def _run_pushes(self) -> None:
        pushed = self._received.revision
        while True:
            if self._received.revision > pushed and self._agreement.is_leader:
                push = ConfigurationPush(update=self._received.update_since(pushed))
                self._tree.start_from_root(self._nursery, push)
            pushed = self._received.revision
            await self.wait_for(pushed + 1)
