"""Arbitrary settings, documents, event ids and stored files.

Invalid input must be reported as an error of its kind, not as another exception.
"""

import tempfile
from pathlib import Path

import pytest
import tomli_w
import trio
from hypothesis import HealthCheck, example, given, settings, strategies as st
from trio.testing import MockClock

from demo.documents import overlay_document, shared_document
from pepperstep.configuration import BASE, merge, parse
from pepperstep.configuration.stored import load_stored, save_stored
from pepperstep.errors import Code, InvalidDocument
from pepperstep.fakes import FakeDisk
from pepperstep.proto.configuration_pb2 import DocumentText
from pepperstep.settings import read_settings
from tests.api.fake_node import FakeNode, ask
from tests.cli.test_settings import CONTROL, HOST, SEED
from tests.fuzz.messages import cut_or_flipped

FUZZ = settings(
    max_examples=150,
    derandomize=True,
    deadline=None,
    suppress_health_check=list(HealthCheck),
)
SETTINGS = {
    "host": HOST,
    "seeds": [SEED],
    "control": CONTROL,
    "tls": {"caller_certificate": "c.pem", "peer_authority": "a.pem"},
    "documents": {"base": "base.toml", "overlays": ["kitahara.toml"]},
    "requests": {"drain_seconds": 5.0},
    "cloud": {"cloud_url": "http://10.0.0.1:80"},
    "upstream_key": "key",
}
VALUES = st.one_of(
    st.booleans(),
    st.sampled_from([0, -1, 2**70, 0.5, "", "a", "kitahara", "a\0b", "é", "10.0.0.1"]),
    st.floats(),
    st.lists(st.sampled_from(["entry", 1, {}]), max_size=2),
    st.dictionaries(st.sampled_from(["name", "model", "é", ""]), st.just("x")),
    st.datetimes(),
)


@st.composite
def changed(draw, table: dict) -> dict:
    """Draw a copy of the table with one to three values replaced at any depth."""
    table = _copy(table)
    for _ in range(draw(st.integers(1, 3))):
        subtable = table
        key = draw(st.sampled_from(sorted(subtable)))
        while isinstance(subtable[key], dict) and subtable[key] and draw(st.booleans()):
            subtable = subtable[key]
            key = draw(st.sampled_from(sorted(subtable)))
        subtable[key] = draw(VALUES)
    return table


def _copy(value):
    return {k: _copy(v) for k, v in value.items()} if isinstance(value, dict) else value


@FUZZ
@given(table=changed(SETTINGS))
@example(table=SETTINGS | {"tls": {"peer_authority": "a\0b"}})
@example(table=SETTINGS | {"documents": {"base": "a\0b"}})
def test_settings(table):
    with tempfile.TemporaryDirectory() as folder:
        path = Path(folder) / "settings.toml"
        path.write_text(tomli_w.dumps(table))
        with pytest.raises(InvalidDocument) as caught:
            # The files that they name aren't there.
            read_settings(path)
    assert all(finding.file and finding.text for finding in caught.value.findings)


@FUZZ
@given(base=changed(shared_document()), overlay=changed(overlay_document("kitahara")))
def test_base_and_overlay(base, overlay):
    try:
        documents = [
            parse(tomli_w.dumps(table), name, f"{name}.toml")
            for name, table in ((BASE, base), ("kitahara", overlay))
        ]
        merge(documents[0], documents[1:])
    except InvalidDocument as error:
        assert all(finding.file and finding.text for finding in error.findings)


@FUZZ
@given(
    text=st.text(max_size=9).map(str.encode)
    | st.binary(max_size=20)
    | st.from_regex(rb"entry-0\.a/[-+0-9_.e]{0,25}", fullmatch=True)
)
def test_event_ids(text):
    async def run() -> None:
        headers = [(b"last-event-id", text)]
        path = "/v1/requests/entry-0.a/events"
        api = FakeNode().api()
        answer = await ask(api, "GET", path, b"", key="caller-key", headers=headers)
        assert answer.code in (Code.INVALID_REQUEST, Code.UNKNOWN_REQUEST)

    trio.run(run, clock=MockClock(autojump_threshold=0))


@FUZZ
@given(data=st.data())
def test_stored_configuration(data):
    async def run() -> None:
        disk = FakeDisk()
        texts = [DocumentText(name="base", text="x = 1", revision=3)]
        await save_stored(disk, 3, texts)
        whole = await disk.read("configuration")
        damaged = data.draw(cut_or_flipped(whole))
        await disk.replace("configuration", damaged)
        assert await load_stored(disk) is None or damaged == whole

    trio.run(run)
