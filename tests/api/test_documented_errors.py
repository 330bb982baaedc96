"""The HTTP status of each error code must match the table in docs/INTERFACES.md."""

import re
from pathlib import Path

import pytest

from pepperstep.errors import Code, Failure
from tests.api.fake_node import FakeNode, ask
from tests.api.test_callers import PROMPT, PROMPT_PATH

DOCUMENT = Path(__file__).parents[2] / "docs" / "INTERFACES.md"
ROW = re.compile(r"^\| ((?:`\w+`(?:, )?)+) \| (\d{3}) \|", re.MULTILINE)
# A host with corrupt files stops, so that it never answers with this code.
NEVER_SENT = {Code.CORRUPT_STORAGE}


def documented_statuses() -> dict[str, int]:
    """Return the status by code, as documented in the table."""
    rows = ROW.findall(DOCUMENT.read_text())
    return {
        code: int(status)
        for codes, status in rows
        for code in re.findall(r"\w+", codes)
    }


@pytest.mark.parametrize("code", sorted(set(Code) - NEVER_SENT))
async def test_code_is_sent_as_documented(autojump_clock, code):
    node = FakeNode()
    node.requests.refusal = Failure(code, "A test refuses.")
    answer = await ask(node.api(), "POST", PROMPT_PATH, PROMPT)
    assert (answer.code, answer.status) == (code, documented_statuses()[code])
