"""A late extra refusal is taken for the answer to the next request."""

import asyncio
import functools
import random
import sys
from collections import Counter
from collections.abc import Callable
from pathlib import Path

sys.path.insert(0, str(Path(__file__).resolve().parent.parent))

import harness
from harness import Deployment, Message, Record, Replica

SERVICE = "venue-desk"
FAULTY = "i-faulty"
REQUESTS = 600
REQUESTS_PER_SECOND = 50.0
# Of a replica: it works on six requests at once, and some more may wait.
SLOTS = 6
QUEUE = 4
WORK_SECONDS = 0.045
# Replicas have other callers besides the system. They come in clumps that may fill one.
CLUMP = SLOTS + QUEUE
CLUMPS_PER_SECOND = 3.0
# Largest dose of `garble` with `extra late` in the site file: this share of a replica's
# answers, for this long. One replica of two is within its share of 0.6 of the replicas.
EXTRA_SHARE = 0.03
EXTRA_SECONDS = 5.0


class Desk(Replica):
    """A replica that is full when its slots and its queue are taken."""

    # Requests that it works on or that wait.
    taken = 0

    @functools.cached_property
    def free_slots(self) -> asyncio.Semaphore:
        """Its slots."""
        return asyncio.Semaphore(self.slots)

    @property
    def is_full(self) -> bool:
        """Whether nothing more may wait."""
        return self.taken >= self.slots + QUEUE

    async def work(self, has_begun: Callable[[], None]) -> None:
        """Work on a request once a slot is free."""
        self.taken += 1
        async with self.free_slots:
            has_begun()
            await asyncio.sleep(WORK_SECONDS)
        self.taken -= 1

    async def serve_others(self) -> None:
        """Work for other callers, too, until cancelled."""
        async with asyncio.TaskGroup() as tasks:
            while True:
                await asyncio.sleep(random.expovariate(CLUMPS_PER_SECOND))
                for _ in range(CLUMP):
                    if not self.is_full:
                        tasks.create_task(self.work(lambda: None))
                        await asyncio.sleep(0)


class Site:
    """Two replicas, one of which sends extra answers late, and what they ran."""

    def __init__(self, record: Record):
        self.record = record
        self.runs: Counter[str] = Counter()
        # Of the faulty replica.
        self.answers = 0
        self.extras = 0
        self._started_at: float | None = None
        # Extra answers that are still to come, by connection.
        self._late: dict[asyncio.StreamWriter, tuple[str, bytes]] = {}

    async def handle(
        self,
        replica: Desk,
        request: Message,
        reader: asyncio.StreamReader,
        writer: asyncio.StreamWriter,
    ) -> bool:
        """Answer a request; the faulty replica repeats some answers later."""
        attempt = request.get("Pepperstep-Attempt-Id")
        other = harness.refusal_of_other(replica, request)
        if other is not None:
            writer.write(other)
            return True
        if replica.name == FAULTY:
            self.answers += 1
        if writer in self._late:
            earlier, answer = self._late.pop(writer)
            text = f"extra answer to {earlier}, where that to {attempt} is due"
            self.record.write(f"{replica.name}: {text}")
            writer.write(answer)
            await writer.drain()
        if replica.is_full:
            self._refuse(replica, request, writer)
            return True

        def count_run() -> None:
            self.runs[attempt] += 1
            self.record.write(f"{replica.name}: runs {attempt}")

        await replica.work(count_run)
        writer.write(harness.answer_of(replica, request, 200, b"chart " * 133))
        return True

    def _refuse(
        self, replica: Desk, request: Message, writer: asyncio.StreamWriter
    ) -> None:
        attempt = request.get("Pepperstep-Attempt-Id")
        more = [("Pepperstep-Not-Executed", "1")]
        refusal = harness.answer_of(replica, request, 503, b"", more)
        if harness.TROUBLE and replica.name == FAULTY and self._may_add_extra():
            self.extras += 1
            self._late[writer] = attempt, refusal
        self.record.write(f"{replica.name}: full, has not run {attempt}")
        writer.write(refusal)

    def _may_add_extra(self) -> bool:
        now = asyncio.get_running_loop().time()
        if self.extras + 1 > EXTRA_SHARE * self.answers:
            return False
        self._started_at = self._started_at or now
        return now - self._started_at < EXTRA_SECONDS


async def play(deployment: Deployment, record: Record) -> bool:
    """Send unsafe requests; none may run twice, or be refused and run."""
    route = harness.route("chart-fetch", "/lohu930/", "unsafe", SERVICE)
    await deployment.start(harness.configuration(7, [route], [SERVICE]))
    site = Site(record)
    replicas = []
    for number, name in enumerate((FAULTY, "i-sound")):
        address = deployment.replica_address(number)
        zone = harness.ZONES[2]
        replica = Desk(name, SERVICE, address, zone, site.handle, SLOTS)
        await replica.start(deployment.controls)
        replicas.append(replica)
    others = [asyncio.create_task(replica.serve_others()) for replica in replicas]
    await deployment.wait_announced(*replicas)
    refused_and_run: list[str] = []

    async def send(number: int) -> None:
        attempt = f"9c41d07be2{number:06x}"
        answer = await harness.call(
            deployment.entries[number % len(deployment.entries)],
            f"POST /lohu930/{number} HTTP/1.1",
            harness.request_headers(attempt),
            b"x" * 600,
            6.0,
        )
        status = "none" if answer is None else answer.status
        record.write(f"client {number}: {attempt} answered {status}")
        if status in (408, 421, 429, 503) and site.runs[attempt]:
            refused_and_run.append(attempt)

    async with asyncio.TaskGroup() as tasks:
        for number in range(REQUESTS):
            tasks.create_task(send(number))
            await asyncio.sleep(random.expovariate(REQUESTS_PER_SECOND))
    for task in others:
        task.cancel()
    if not site.runs:
        raise harness.NotRun("no request ran")
    twice = [each for each, count in site.runs.items() if count > 1]
    record.write(f"{FAULTY}: {site.answers} answers, {site.extras} extra ones")
    record.write(f"TWICE: ran more than once: {twice}")
    record.write(f"REFUSED: refused and run: {refused_and_run}")
    return not twice and not refused_and_run


harness.run_case(Path(__file__).resolve().parent, play)
