"""Parsing, merging and validation of documents; origins of values; keys.

Guards against documents that are accepted although invalid in combination, and
against partners that change or refer to another partner's entries.
"""

import pytest
from hypothesis import given, settings, strategies as st

from pepperstep.configuration import (
    find_caller,
    find_operator,
    is_upstream_key,
    may_change,
    merge,
    origins,
    parse,
)
from pepperstep.configuration.documents import MAX_DOCUMENT_BYTES
from pepperstep.errors import InvalidDocument
from tests.configuration.texts import BANTAYOG, BASE_TEXT, KITAHARA, SAPPORO


def documents(base=BASE_TEXT, kitahara=KITAHARA, bantayog=BANTAYOG):
    return parse(base, "base", "base.toml"), [
        parse(kitahara, "kitahara", "k.toml"),
        parse(bantayog, "bantayog", "b.toml"),
    ]


def findings(**texts):
    with pytest.raises(InvalidDocument) as caught:
        merge(*documents(**texts))
    return [str(finding) for finding in caught.value.findings]


def test_overlay_overrides_values_of_the_base():
    configuration = merge(*documents(), revision=7)
    assert configuration.revision == 7
    zaseki = configuration.deployments["zaseki"]
    assert (zaseki.max_replicas, zaseki.model) == (9, "zaseki-model")
    assert configuration.workspaces["halls"].weight == 2.0
    assert configuration.callers["desk"].site == "kitahara"
    assert configuration.operator_sites == {
        "root": "",
        "sapporo": "kitahara",
        "manila": "bantayog",
    }


def test_origin_of_each_value():
    found = {origin.path: origin for origin in origins(*documents())}
    expected = {
        "deployments.zaseki.max_replicas": ("9", "kitahara"),
        "deployments.zaseki.model": ('"zaseki-model"', "base"),
        "deployments.zaseki.min_replicas": ("1", "default"),
        "services.quote-api.workspaces": ('["quotes","shared"]', "bantayog"),
        "sites.ncr.regions": None,
        "sites.bantayog.regions": ('["ncr"]', "base"),
        "limits.max_queue": ("256", "default"),
    }
    for path, value in expected.items():
        origin = found.get(path)
        assert (origin and (origin.value, origin.document)) == value, path


def test_findings_of_all_files_are_collected():
    found = findings(
        base=BASE_TEXT.replace("weight = 2.0", "weight = -1")
        + "min_replicas = 'two'\n[limits]\nmax_que = 3\nclaim_seconds = 500\n",
        kitahara=KITAHARA + "[limits]\nmax_queue = 1\n[workspaces.'Big Hall']\n",
        bantayog=BANTAYOG + "[callers.c]\nworkspace = 'nowhere'\n"
        "[deployments.d]\nworkspaces = ['quotes']\n",
    )
    assert found == [
        "base.toml: limits.max_que: is not a known key",
        "base.toml: workspaces.halls.weight: Input should be greater than 0",
        "base.toml: deployments.zaseki.min_replicas: Input should be a valid integer",
        'k.toml: workspaces."Big Hall": String should match pattern '
        "'^[a-z0-9][a-z0-9._-]{0,62}$'",
        "k.toml: limits: stands in the base only",
        "b.toml: callers.c.key_sha256: is missing",
        "b.toml: deployments.d.model: is missing",
        "base.toml: limits.claim_seconds: must be longer than outcome_seconds, "
        "or a repeat could run again",
    ]


# Documents that are valid alone but not in combination with the others.
INVALID_COMBINATIONS = {
    "unknown workspace": (
        "bantayog",
        BANTAYOG.replace('"shared"', '"lost"'),
        "services.quote-api.workspaces: lost is no workspace",
    ),
    "other site's workspace": (
        "bantayog",
        BANTAYOG.replace('"shared"', '"desks"'),
        "services.quote-api.workspaces: desks belongs to site kitahara",
    ),
    "other site's workspace in the base": (
        "bantayog",
        BANTAYOG.replace('"shared"', '"halls"'),
        "services.quote-api.workspaces: halls belongs to site kitahara",
    ),
    "other site's deployment": (
        "bantayog",
        BANTAYOG + "[deployments.zaseki]\nmax_replicas = 1",
        "deployments.zaseki: belongs to site kitahara",
    ),
    "same name in two overlays": (
        "bantayog",
        BANTAYOG + "[workspaces.desks]",
        "workspaces.desks: belongs to site kitahara",
    ),
    "the base's own workspace": (
        "bantayog",
        BANTAYOG + "[workspaces.shared]\nweight = 9",
        "workspaces.shared: belongs to the base, which names no site for it",
    ),
    "the base's operator": (
        "bantayog",
        BANTAYOG + f"[operators.root]\nkey_sha256 = '{'0' * 64}'",
        "operators.root: belongs to the base, which names no site for it",
    ),
    "operator of the base made in an overlay": (
        "bantayog",
        BANTAYOG + f"[operators.o]\nkey_sha256 = '{'0' * 64}'\nmay_change_base = true",
        "operators.o.may_change_base: can be set in the base only",
    ),
    "own operator raised in the overlay": (
        "bantayog",
        BANTAYOG + "[operators.manila]\nmay_change_base = true",
        "operators.manila.may_change_base: can be set in the base only",
    ),
    "entry given to another site": (
        "bantayog",
        BANTAYOG.replace("[workspaces.quotes]", "[workspaces.quotes]\nsite='kitahara'"),
        "workspaces.quotes.site: must be bantayog",
    ),
    "another site's overlay": (
        "bantayog",
        BANTAYOG.replace('"bantayog"', '"kitahara"', 1),
        "site: must be bantayog, not kitahara",
    ),
    "replica bounds crossed": (
        "kitahara",
        KITAHARA.replace("max_replicas = 9", "min_replicas = 7"),
        "deployments.zaseki.min_replicas: is above max_replicas, 6",
    ),
    "key used twice": (
        "bantayog",
        BANTAYOG + f"[callers.c]\nworkspace = 'quotes'\nkey_sha256 = '{SAPPORO}'",
        "callers.c: has the same key as operators.sapporo",
    ),
    "no site": (
        "base",
        "sites = {}",
        "sites: must name at least one site",
    ),
    "site named base": (
        "base",
        BASE_TEXT + "[sites.base]\nregions = []",
        "sites.base: is the base's own name",
    ),
    "entry of no site": (
        "base",
        BASE_TEXT.replace("[workspaces.shared]", "[workspaces.shared]\nsite = 'x'"),
        "workspaces.shared.site: x is no site",
    ),
    "claims shorter than repeats": (
        "base",
        BASE_TEXT + "[limits]\nclaim_seconds = 400",
        "limits.claim_seconds: must be longer than outcome_seconds, "
        "or a repeat could run again",
    ),
}


@pytest.mark.parametrize("name", INVALID_COMBINATIONS)
def test_invalid_combination(name):
    document, text, expected = INVALID_COMBINATIONS[name]
    file = {"base": "base.toml", "kitahara": "k.toml", "bantayog": "b.toml"}[document]
    assert f"{file}: {expected}" in findings(**{document: text})


def test_overlay_without_site_and_duplicate_overlay():
    base, overlays = documents()
    stray = parse("site = 'else'", "else")
    with pytest.raises(InvalidDocument) as caught:
        merge(base, [*overlays, overlays[0], stray])
    assert [str(finding) for finding in caught.value.findings] == [
        "k.toml: site: kitahara has another overlay",
        "else: site: else is no site of the base",
    ]


@pytest.mark.parametrize(
    ("data", "path", "text"),
    [
        (b"a = [\nb = 3", "line 2, column 1", "Invalid value"),
        (b"\xff", "byte 0", "is not UTF-8"),
        ("\ud800", "character 0", "is no Unicode text"),
        (b"a = " + b"[" * 5000, "document", "nests too deep"),
        (b"a = " + b"9" * 5000, "document", "is no TOML: Exceeds the limit"),
        (b" " * (MAX_DOCUMENT_BYTES + 1), "document", "is longer than 262144 bytes"),
        (b"a = ", "end of document", "is no TOML"),
    ],
)
def test_text_that_is_not_toml(data, path, text):
    with pytest.raises(InvalidDocument) as caught:
        parse(data, "base", "base.toml")
    (finding,) = caught.value.findings
    assert (finding.file, finding.path) == ("base.toml", path)
    assert text in finding.text


_VALUES = st.recursive(
    st.sampled_from(["1", "-1", "1e999", "nan", "true", "'x'", "''", "1979-05-27"]),
    lambda inner: st.one_of(
        st.lists(inner, max_size=3).map(lambda items: f"[{', '.join(items)}]"),
        inner.map(lambda item: f"{{ a = {item} }}"),
    ),
    max_leaves=6,
)
_KEYS = ["site", "sites", "limits", "callers.c", "deployments.zaseki.model", "x"]
_LINES = st.tuples(st.sampled_from(_KEYS), _VALUES).map(" = ".join)


@settings(derandomize=True, max_examples=300, deadline=None)
@given(st.one_of(st.binary(max_size=60), st.lists(_LINES, max_size=5).map("\n".join)))
def test_any_text_is_valid_or_gives_findings(data):
    for base, overlay in ((data, KITAHARA), (BASE_TEXT, data)):
        try:
            merge(parse(base, "base"), [parse(overlay, "kitahara")])
        except InvalidDocument as error:
            assert error.findings
            assert all(finding.path for finding in error.findings)


def test_keys_are_found_by_hash_only():
    configuration = merge(*documents())
    assert find_caller(configuration, "desk").workspace == "desks"
    assert find_operator(configuration, "sapporo") == "sapporo"
    assert is_upstream_key(configuration, "engine")
    for wrong in ("", "sapporo", "engine", SAPPORO, "\ud800"):
        assert find_caller(configuration, wrong) is None
        assert not is_upstream_key(configuration, wrong) or wrong == "engine"
    assert find_operator(configuration, "desk") is None


@pytest.mark.parametrize(
    ("operator", "site", "document", "is_allowed"),
    [
        ("root", "", "base", True),
        ("root", "", "kitahara", False),
        ("sapporo", "kitahara", "kitahara", True),
        ("sapporo", "kitahara", "bantayog", False),
        ("sapporo", "bantayog", "bantayog", False),
        ("sapporo", "kitahara", "base", False),
        ("nobody", "kitahara", "kitahara", False),
        ("root", "", "", False),
    ],
)
def test_operator_permissions(operator, site, document, is_allowed):
    configuration = merge(*documents())
    assert may_change(configuration, operator, site, document) is is_allowed
