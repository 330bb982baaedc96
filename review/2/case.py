"""A valid configuration with a quota but no burst ends all entry hosts."""

import asyncio
import sys
from collections import Counter
from pathlib import Path

sys.path.insert(0, str(Path(__file__).resolve().parent.parent))

import harness
from harness import Deployment, Message, Record, Replica

SERVICE = "venue-desk"
ENTRIES = 6
RATE_PER_SECOND = 50
REQUEST_PAUSE_SECONDS = 0.1
BEFORE_SECONDS = 4.0
AFTER_SECONDS = 25.0
# The rule: three ends without a disruption, on a tenth of the machines, two at least.
ENDS = 3
MACHINES = 2


async def handle(
    replica: Replica,
    request: Message,
    reader: asyncio.StreamReader,
    writer: asyncio.StreamWriter,
) -> bool:
    """Run a request."""
    other = harness.refusal_of_other(replica, request)
    answer = harness.answer_of(replica, request, 200, b"chart " * 133)
    writer.write(other or answer)
    return True


async def play(deployment: Deployment, record: Record) -> bool:
    """Change a tenant's quota under traffic; no process may end by itself."""
    route = harness.route("chart-fetch", "/lohu930/", "unsafe", SERVICE)
    document = harness.configuration(7, [route], [SERVICE])
    await deployment.start(document)
    address = deployment.replica_address(0)
    replica = Replica("i-7f3a91c2", SERVICE, address, harness.ZONES[0], handle)
    await replica.start(deployment.controls)
    await asyncio.sleep(3.0)
    await send(deployment, record, "before the change", BEFORE_SECONDS)
    document["version"] = 11
    tenant = document["tenants"][0]
    tenant["rate_per_s"] = RATE_PER_SECOND
    if not harness.TROUBLE:
        tenant["burst"] = RATE_PER_SECOND
    record.write(f"operator: sends version 11 with the tenant {tenant}")
    await deployment.configure(document)
    await send(deployment, record, "after the change", AFTER_SECONDS)
    ends = {each.name: each.own_ends for each in deployment.processes.values()}
    record.write(f"Fault: ends without a disruption: {ends}")
    often = [name for name, count in ends.items() if count >= ENDS]
    return len(often) < max(MACHINES, len(ends) / 10)


async def send(
    deployment: Deployment, record: Record, when: str, seconds: float
) -> None:
    """Send requests to all entry hosts in turn, well within the quota."""
    results: Counter[str] = Counter()
    loop = asyncio.get_running_loop()
    until = loop.time() + seconds
    number = 0
    while loop.time() < until:
        entry = deployment.entries[number % ENTRIES]
        headers = harness.request_headers(f"9c41{int(until):06x}{number:06x}")
        line = f"POST /lohu930/{number} HTTP/1.1"
        answer = await harness.call(entry, line, headers, b"x" * 600)
        results["no answer" if answer is None else str(answer.status)] += 1
        number += 1
        await asyncio.sleep(REQUEST_PAUSE_SECONDS)
    record.write(f"client: {number} requests {when}, answered {dict(results)}")


harness.run_case(Path(__file__).resolve().parent, play, ENTRIES)
