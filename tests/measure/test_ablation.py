"""Mechanisms that can be taken out of a copy."""

import shutil
from pathlib import Path

import pytest

from measure.ablation import ABLATIONS, ablate, main

ROOT = Path(__file__).resolve().parents[2]


@pytest.mark.parametrize("ablation", ABLATIONS, ids=lambda each: each.name)
def test_each_is_taken_out_of_a_copy_once(tmp_path, ablation):
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


def test_names_are_told_apart():
    assert len({each.name for each in ABLATIONS}) == len(ABLATIONS)


@pytest.mark.parametrize(
    "arguments", [["ablation"], ["ablation", "nothing", "."], ["ablation", "a"]]
)
def test_wrong_calls_are_told(arguments):
    with pytest.raises(SystemExit) as caught:
        main(arguments)
    assert isinstance(caught.value.code, str)
