"""The proofs' list of mechanisms against the code that they take them out of."""

from pathlib import Path

import pytest

from proofs.mechanisms import MECHANISMS

SOURCE = Path(__file__).parent.parent / "src" / "pepperstep"
CUTS = [cut for mechanism in MECHANISMS for cut in mechanism.cuts]


@pytest.mark.parametrize("cut", CUTS, ids=lambda cut: f"{cut.file}: {cut.old[:40]}")
def test_text_to_be_replaced_stands_once(cut):
    assert (SOURCE / cut.file).read_text().count(cut.old) == 1
