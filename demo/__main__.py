"""Runs the main job: requests by the `openai` client while hosts vanish."""

import sys
import time
from concurrent.futures import ThreadPoolExecutor
from pathlib import Path

import openai
import tomli_w

from demo.documents import CALLER_KEY, base_document
from demo.launcher import (
    DaemonPlace,
    EnginePlace,
    Launcher,
    free_ports,
    wait_ready,
)
from standins.text import answer_tokens

ZONES = ("sapporo-hall", "asahikawa-hall", "hakodate-hall")
FOLDER = Path(__file__).parent / "run"


def main() -> int:
    """Return the exit code."""
    ports = free_ports(12)
    daemons = [
        DaemonPlace(
            f"entry-{n}",
            zone,
            "dosanko",
            "kitahara",
            ports.pop(),
            ports.pop(),
            ("entry", "control"),
        )
        for n, zone in enumerate(ZONES)
    ]
    engines = [
        EnginePlace(
            f"engine-{n}", ZONES[n % 3], "dosanko", ports.pop(), ("zaseki-7b::1",)
        )
        for n in range(6)
    ]
    FOLDER.mkdir(exist_ok=True)
    base = FOLDER / "base.toml"
    base.write_text(tomli_w.dumps(base_document()))
    with Launcher(FOLDER) as launcher:
        for place in daemons:
            launcher.start_daemon(place, daemons, base)
        for place in engines:
            launcher.start_engine(place, [each.url for each in daemons])
        wait_ready(daemons)
        time.sleep(2)
        return _run_load(launcher, daemons)


def _run_load(launcher: Launcher, daemons: list[DaemonPlace]) -> int:
    count = 60
    with ThreadPoolExecutor(count) as pool:
        futures = [
            pool.submit(_ask, daemons[n % len(daemons)].url, n) for n in range(count)
        ]
        time.sleep(1)
        launcher.kill("engine-0")
        results = [future.result() for future in futures]
    print(f"requests: {count}, answered whole: {sum(results)}")
    return 0 if all(results) else 1


def _ask(url: str, seed: int) -> bool:
    client = openai.OpenAI(base_url=f"{url}/v1", api_key=CALLER_KEY)
    prompt = f"Seat {seed} guests."
    stream = client.chat.completions.create(
        model="zaseki-model",
        messages=[{"role": "user", "content": prompt}],
        max_tokens=100,
        seed=seed,
        stream=True,
    )
    text = "".join(
        chunk.choices[0].delta.content or "" for chunk in stream if chunk.choices
    )
    right = answer_tokens("zaseki-7b", "", "1", seed, f"user: {prompt}", 100)
    return text == "".join(right)


if __name__ == "__main__":
    sys.exit(main())
