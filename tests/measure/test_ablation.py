"""Ablations: mechanisms that are disabled in a copy of the source.

An ablation whose text is missing from the source, or that leaves invalid Python,
would measure something else.
"""

import shutil
from pathlib import Path

import pytest

from measure.ablation import ABLATIONS, ablate, main

ROOT = Path(__file__).resolve().parents[2]


@pytest.mark.parametrize("ablation", ABLATIONS, ids=lambda each: each.name)
def test_ablation_changes_a_copy_once(tmp_path, ablation):
    copy = tmp_path / ablation.path
    copy.parent.mkdir(parents=True)
    shutil.copy(ROOT / ablation.path, copy)
    before = copy.read_text()
    ablate(ablation.name, tmp_path)
    assert copy.read_text() != before
    if copy.suffix == ".py":
        compile(copy.read_text(), str(copy), "exec")
    if ablation.old not in ablation.new:
        with pytest.raises(ValueError, match="once"):
            ablate(ablation.name, tmp_path)


def test_names_are_unique():
    assert len({each.name for each in ABLATIONS}) == len(ABLATIONS)


@pytest.mark.parametrize(
    "arguments", [["ablation"], ["ablation", "nothing", "."], ["ablation", "a"]]
)
def test_invalid_arguments_exit_with_a_message(arguments):
    with pytest.raises(SystemExit) as caught:
        main(arguments)
    assert isinstance(caught.value.code, str)
