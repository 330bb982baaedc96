"""A valid configuration with a quota but no burst ends all entry hosts."""

import asyncio
import sys
from collections import Counter
from pathlib import Path

sys.path.insert(0, str(Path(__file__).resolve().parent.parent))

import harness
from harness import Deployment, Message, Record, Replica

SERVICE = "zaseki-model"
ENTRIES = 6
REPLICAS = 3
# Clients of each entry host, each with one connection that it keeps.
CLIENTS = 16
# Until the first event of a stream, which has to come within 1 s.
PROMPT_SECONDS = 0.9
EVENTS = 13
# Requests a second; the clients send about a tenth of it.
RATE_PER_SECOND = 1000
NUMBERS = range(1, EVENTS + 1)
BEFORE_SECONDS = 6.0
AFTER_SECONDS = 15.0
# Of a client whose connection was refused or cut.
PAUSE_SECONDS = 1.0
# The rule allows a machine this many requests that it passes on and doesn't answer.
ALLOWED = 3


class Site:
    """What replicas have run, and what clients got."""

    def __init__(self, record: Record):
        self.record = record
        self.runs: Counter[str] = Counter()
        # By entry host: requests of kept connections that were run, and whose
        # connection was closed without an answer.
        self.lost: Counter[int] = Counter()
        self.answers: Counter[str] = Counter()

    async def handle(
        self,
        replica: Replica,
        request: Message,
        reader: asyncio.StreamReader,
        writer: asyncio.StreamWriter,
    ) -> bool:
        """Read a prompt, then send a stream."""
        other = harness.refusal_of_other(replica, request)
        if other is not None:
            writer.write(other)
            return True
        self.runs[request.get("Pepperstep-Attempt-Id")] += 1
        await asyncio.sleep(PROMPT_SECONDS)
        events = b"".join(b"id: %d\ndata: seats\n\n" % each for each in NUMBERS)
        more = [("Content-Type", "text/event-stream")]
        writer.write(harness.answer_of(replica, request, 200, events, more))
        return True

    async def connect(self, deployment: Deployment, entry: int, client: int) -> None:
        """Send requests on one connection after the other, until cancelled."""
        host, _, port = deployment.entries[entry].rpartition(":")
        number = 0
        while True:
            try:
                reader, writer = await asyncio.open_connection(host, int(port))
            except OSError:
                self.answers["no connection"] += 1
                await asyncio.sleep(PAUSE_SECONDS)
                continue
            answered = 0
            while True:
                number += 1
                attempt = f"9c41{entry:02x}{client:02x}{number:08x}"
                headers = harness.request_headers(attempt)
                line = f"POST /lohu930/{number} HTTP/1.1"
                writer.write(harness.encode(line, headers, b"x" * 600))
                answer = await harness.read_message(reader)
                if answer is None:
                    self._record_cut(entry, attempt, answered)
                    break
                self.answers[str(answer.status)] += 1
                answered += 1
            writer.close()
            await asyncio.sleep(PAUSE_SECONDS)

    def _record_cut(self, entry: int, attempt: str, answered: int) -> None:
        self.answers["cut"] += 1
        has_run = bool(self.runs[attempt])
        text = f"after {answered} answers, run by a replica: {has_run}"
        self.record.write(f"client of entry host {entry}: {attempt} cut {text}")
        if answered and has_run:
            self.lost[entry] += 1


async def play(deployment: Deployment, record: Record) -> bool:
    """Change a tenant's quota under traffic; what is passed on has to be answered."""
    route = harness.route("layouts", "/lohu930/", "stream", SERVICE, gap_target_ms=500)
    document = harness.configuration(7, [route], [SERVICE])
    await deployment.start(document)
    site = Site(record)
    replicas = []
    for number in range(REPLICAS):
        address = deployment.replica_address(number)
        zone = harness.ZONES[number]
        name = f"i-7f3a91c{number}"
        replica = Replica(name, SERVICE, address, zone, site.handle, slots=64)
        await replica.start(deployment.controls)
        replicas.append(replica)
    await deployment.wait_announced(*replicas)
    clients = [
        asyncio.create_task(site.connect(deployment, entry, client))
        for entry in range(ENTRIES)
        for client in range(CLIENTS)
    ]
    await asyncio.sleep(BEFORE_SECONDS)
    record.write(f"clients before the change: {dict(site.answers)}")
    site.answers.clear()
    document["version"] = 11
    tenant = document["tenants"][0]
    tenant["rate_per_s"] = RATE_PER_SECOND
    if not harness.TROUBLE:
        tenant["burst"] = RATE_PER_SECOND
    record.write(f"operator: sends version 11 with the tenant {tenant}")
    await deployment.configure(document)
    await asyncio.sleep(AFTER_SECONDS)
    record.write(f"clients after the change: {dict(site.answers)}")
    for task in clients:
        task.cancel()
    ends = {each.name: each.own_ends for each in deployment.processes.values()}
    record.write(f"processes that ended by themselves: {ends}")
    record.write(f"LOST: run, and closed without an answer: {dict(site.lost)}")
    if not site.runs:
        raise harness.NotRun("no request ran")
    return all(count <= ALLOWED for count in site.lost.values())


harness.run_case(Path(__file__).resolve().parent, play, ENTRIES)
