"""Source text that the proofs replace.

A proof disables a mechanism by replacing a piece of source text. If the text is
missing or occurs more than once, the proof tests something else.
"""

from pathlib import Path

import pytest

from proofs.mechanisms import MECHANISMS

SOURCE = Path(__file__).parent.parent / "src" / "pepperstep"
CUTS = [cut for mechanism in MECHANISMS for cut in mechanism.cuts]


@pytest.mark.parametrize("cut", CUTS, ids=lambda cut: f"{cut.file}: {cut.old[:40]}")
def test_replaced_text_occurs_once(cut):
    assert (SOURCE / cut.file).read_text().count(cut.old) == 1
