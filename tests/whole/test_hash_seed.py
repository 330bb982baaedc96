"""The behaviour of hosts doesn't depend on Python's hash seed.

Iterating over a set or another hash-ordered collection would make the messages between
hosts differ from process to process.
"""

import hashlib
import os
import subprocess
import sys
from pathlib import Path

import trio
import trio.testing
from trio._core import _run

from tests.whole.test_whole_hosts import start_hosts

ROOT = Path(__file__).parents[2]


async def run_scenario(digest) -> None:
    """Run hosts with crashes, a drain and a move; add each message to `digest`."""

    def record_message(sender: str, receiver: str, message) -> None:
        text = f"{trio.current_time()} {sender} {receiver} {message.DESCRIPTOR.name} "
        digest.update(text.encode())
        digest.update(message.SerializeToString(deterministic=True))

    async with start_hosts() as hosts:
        hosts.network.before = record_message
        await trio.sleep(2)
        owner = hosts.hosts["entry-4"].node.requests
        await owner.submit(hosts.request("entry-4"))
        await trio.sleep(0.2)
        busy_engines = [each for each in hosts.upstreams.engines if each.load.running]
        busy_engines[0].leave()
        hosts.crash("entry-4")
        await trio.sleep(10)
        other_requests = hosts.hosts["entry-3"].node.requests
        for number in range(20):
            await other_requests.submit(hosts.request("entry-3", number + 10))
        await hosts.drain("entry-3")
        hosts.crash(hosts.leader)
        await trio.sleep(5)


def main() -> None:
    """Run the scenario and print the digest of its messages."""
    _run._ALLOW_DETERMINISTIC_SCHEDULING = True
    _run._r.seed(0)
    digest = hashlib.sha256()
    trio.run(run_scenario, digest, clock=trio.testing.MockClock(autojump_threshold=0))
    print(digest.hexdigest())


def run_with_hash_seed(seed: int) -> str:
    """Return the digest that a process with this hash seed prints."""
    path = os.pathsep.join((str(ROOT), str(ROOT / "src")))
    result = subprocess.run(
        [sys.executable, "-m", "tests.whole.test_hash_seed"],
        cwd=ROOT,
        env=os.environ | {"PYTHONHASHSEED": str(seed), "PYTHONPATH": path},
        capture_output=True,
        text=True,
        check=True,
    )
    return result.stdout


def test_messages_are_the_same_for_any_hash_seed():
    assert len({run_with_hash_seed(seed) for seed in (0, 1, 77)}) == 1


if __name__ == "__main__":
    main()
