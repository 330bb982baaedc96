"""Parsing TOML in parts gives the same result as parsing the whole text.

Guards against texts whose parts depend on each other, and against cached parts
that a later parse modifies.
"""

import tomllib

import pytest
from hypothesis import given, settings, strategies as st

from pepperstep.configuration.toml_parts import _read_part, load_toml

_LINES = [
    "[a]",
    "[a.b]",
    "[a.b.c]",
    '[a."b.c"]',
    "[d] # [e]",
    " [a.z]",
    "[[e]]",
    "[[a.e]]",
    "[a.e.f]",
    "x = 1",
    "y = 2",
    "b.c = 3",
    "a.x = 4",
    "b = {c = 1}",
    "a = {}",
    'x = """',
    '"""',
    "y = [",
    "]",
    "[1],",
    "['x'],",
    "# [a]",
    "",
    "[a",
    "[]",
]


def read(load, text):
    try:
        return load(text)
    except ValueError as error:
        return str(error)


@settings(derandomize=True, max_examples=1000, deadline=None)
@given(st.lists(st.sampled_from(_LINES), max_size=8), st.sampled_from(["\n", "\r\n"]))
def test_parts_and_whole_read_the_same(lines, end):
    text = end.join(lines)
    assert read(load_toml, text) == read(tomllib.loads, text)
    # What is kept of the parts isn't changed by that.
    assert read(load_toml, text) == read(tomllib.loads, text)


@pytest.mark.parametrize(
    "text",
    [
        "[a]\nx = 1\n[a.b]\ny = 1\n[a.c]",
        "[a.b]\n[a]\nx = 1",
        "a = {x = 1}\n[a.b]",
        "[a]\nb.c = 1\n[a.b.d]",
        '[a]\nx = """\n[b]\n"""\n[c]',
        "[a]\nx = [\n[1],\n]\n[c]",
        "[a]\n [a.b]\n[a.b]",
        "[a]\n[a]",
        "[[a]]\n[[a]]\nx = 1",
    ],
)
def test_inseparable_parts(text):
    assert read(load_toml, text) == read(tomllib.loads, text)


def test_cached_parts_do_not_change():
    assert load_toml("[a]\n[a.b]\nx = 1") == {"a": {"b": {"x": 1}}}
    assert load_toml("[a]\n[c]") == {"a": {}, "c": {}}


def test_only_changed_parts_are_parsed_again():
    text = "".join(f"[w.n{number}]\nx = 1\n" for number in range(500))
    load_toml(text)
    before = _read_part.cache_info().misses
    load_toml(text.replace("[w.n77]\nx = 1", "[w.n77]\nx = 2"))
    assert _read_part.cache_info().misses == before + 1
