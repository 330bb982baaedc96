"""Takes each mechanism out of a copy, and shows that its tests fail.

Exits with 1 if tests stay green without a mechanism, or fail with it.
"""

import os
import re
import shutil
import subprocess
import sys
import tempfile
from pathlib import Path

from proofs.mechanisms import MECHANISMS, POINTS, Cut, Mechanism

_ROOT = Path(__file__).parent.parent
_COPIED = ("src", "tests", "standins", "deploy", "measure", "pyproject.toml")
_LONGEST_SECONDS = 120.0
# Lines of pytest and trio that say what failed.
_SAID = re.compile(
    r"^[\s|E]*((?:\w+\.)*\w*(?:Error|Failure|Conflict)\b.*|\([a-g]\) .*)"
)


def main() -> int:
    """Run all proofs and return the exit code."""
    with tempfile.TemporaryDirectory() as folder:
        copy = Path(folder)
        _copy_to(copy)
        _check_texts(copy)
        tests = sorted({test for each in MECHANISMS for test in each.tests})
        code, output = _run_tests(copy, tests)
        if code:
            print(output[-4000:])
            print("The tests fail with all mechanisms in place.")
            return 1
        print(f"With all mechanisms: {_last_line(output)}")
        results = [_prove(copy, each) for each in MECHANISMS]
    print(f"{sum(results)} of {len(results)} mechanisms have tests that fail without.")
    return 0 if all(results) else 1


def _copy_to(copy: Path) -> None:
    skipped = shutil.ignore_patterns("__pycache__", ".hypothesis", "*.egg-info")
    for name in _COPIED:
        source = _ROOT / name
        if source.is_dir():
            shutil.copytree(source, copy / name, ignore=skipped)
        else:
            shutil.copy(source, copy / name)


def _check_texts(copy: Path) -> None:
    """Exit unless each text to be replaced stands there exactly once."""
    for each in (cut for mechanism in MECHANISMS for cut in mechanism.cuts):
        count = _file_of(copy, each).read_text().count(each.old)
        if count != 1:
            sys.exit(f"{each.file}: {count} times instead of once:\n{each.old}")


def _prove(copy: Path, mechanism: Mechanism) -> bool:
    """Return whether a test fails without the mechanism, and print it."""
    texts = {}
    for cut in mechanism.cuts:
        file = _file_of(copy, cut)
        texts[file] = file.read_text()
        file.write_text(texts[file].replace(cut.old, cut.new))
    try:
        code, output = _run_tests(copy, ["-x", *mechanism.tests])
    finally:
        for file, text in texts.items():
            file.write_text(text)
    # 1 is pytest's code for failed tests; others are errors of the run.
    is_red = code == 1
    print(f"\n{mechanism.point}. {POINTS[mechanism.point]}")
    files = ", ".join(cut.file for cut in mechanism.cuts)
    print(f"   without: {mechanism.name} ({files})")
    print(f"   {'red' if is_red else f'NOT RED (exit code {code})'}: {_failed(output)}")
    for line in _said(output):
        print(f"      {line[:160]}")
    sys.stdout.flush()
    return is_red


def _file_of(copy: Path, cut: Cut) -> Path:
    return copy / "src" / "pepperstep" / cut.file


def _run_tests(copy: Path, arguments: list[str]) -> tuple[int, str]:
    command = [sys.executable, "-m", "pytest", "-p", "no:cacheprovider", *arguments]
    environment = {
        **os.environ,
        "PYTHONPATH": f"{copy / 'src'}{os.pathsep}{copy}",
        "PYTHONDONTWRITEBYTECODE": "1",
    }
    try:
        done = subprocess.run(
            command,
            cwd=copy,
            env=environment,
            capture_output=True,
            text=True,
            timeout=_LONGEST_SECONDS,
            check=False,
        )
    except subprocess.TimeoutExpired:
        # A hang is no failed test.
        return -1, "The tests did not end."
    return done.returncode, done.stdout + done.stderr


def _failed(output: str) -> str:
    names = re.findall(r"^FAILED (\S+)", output, re.MULTILINE)
    return ", ".join(names) or _last_line(output)


def _said(output: str) -> list[str]:
    found = (_SAID.match(line) for line in output.splitlines())
    lines = [match[1] for match in found if match]
    return list(dict.fromkeys(lines))[:3]


def _last_line(output: str) -> str:
    lines = output.strip().splitlines()
    return lines[-1] if lines else "no output"


if __name__ == "__main__":
    sys.exit(main())
