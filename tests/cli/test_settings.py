"""Validation of the daemon's settings reports all findings at once."""

from pathlib import Path

import pytest
import tomli_w
import trustme
from hypothesis import given, settings, strategies as st

from pepperstep.errors import InvalidDocument
from pepperstep.settings import read_settings
from tests.api.fake_node import BASE_TEXT, OVERLAY_TEXT

HOST = {
    "name": "entry-0",
    "zone": "zone-a",
    "region": "dosanko",
    "site": "kitahara",
    "peer_address": "127.0.0.1:7000",
    "caller_address": "127.0.0.1:8080",
}
SEED = {"name": "entry-1", "peer_address": "127.0.0.1:7001"}
CONTROL = {"voters": ["entry-0", "entry-1"], "data_folder": "data"}


def find_faults(folder: Path, table: dict) -> list[str]:
    """Return the findings in the settings `table`, formatted as PATH: TEXT."""
    path = folder / "settings.toml"
    if "host" in table:
        table = {"control": {"voters": ["entry-0"]}} | table
    path.write_text(tomli_w.dumps(table))
    try:
        read_settings(path)
    except InvalidDocument as error:
        return [f"{found.path}: {found.text}" for found in error.findings]
    return []


@pytest.mark.parametrize(
    ("table", "paths"),
    [
        ({"host": HOST}, []),
        ({"host": HOST, "seeds": [SEED], "control": CONTROL}, []),
        ({}, ["host: is missing"]),
        ({"host": HOST, "hosts": {}}, ["hosts: is not a known key"]),
        ({"host": HOST, "seeds": 7}, ["seeds: must be an array"]),
        ({"host": HOST, "tls": []}, ["tls: must be a table"]),
        (
            {"host": {"name": "A", "zone": "b c", "other": 1}, "requests": {"x": 1}},
            ["host.name", "host.zone", "host.region", "host.site"]
            + ["host.peer_address", "host.caller_address", "host.other", "requests.x"],
        ),
        ({"host": HOST | {"peer_address": "nowhere"}}, ["host.peer_address"]),
        ({"host": HOST | {"peer_address": "h:70000"}}, ["host.peer_address: the port"]),
        (
            {"host": HOST | {"peer_address": HOST["caller_address"]}},
            ["host.caller_address: is the address for peers"],
        ),
        ({"host": HOST | {"caller_url": "ftp://x"}}, ["host.caller_url"]),
        ({"host": HOST, "control": {}}, ["control.voters: is missing"]),
        ({"host": HOST | {"roles": []}}, ["host.roles"]),
        ({"host": HOST | {"roles": ["king"]}}, ["host.roles[0]"]),
        (
            {"host": HOST | {"roles": ["control"]}, "control": {}},
            ["control.data_folder", "control.voters"],
        ),
        (
            {"host": HOST, "control": {"voters": ["entry-9", "entry-0", "entry-0"]}},
            ["control.voters[0]: entry-9 is not", "control.voters[2]: entry-0 stands"],
        ),
        (
            {"host": HOST, "seeds": [SEED, SEED, SEED | {"name": "entry-0"}]},
            ["seeds[1].name", "seeds[1].peer_address"]
            + ["seeds[2].name: is this host itself", "seeds[2].peer_address"],
        ),
        (
            {"host": HOST, "seeds": [SEED | {"peer_address": "h:0"}]},
            ["seeds[0].peer_address: the port"],
        ),
        (
            {"host": HOST, "requests": {"is_single": 1, "drain_seconds": -1}},
            ["requests.is_single", "requests.drain_seconds"],
        ),
        ({"host": HOST, "cloud": {"cloud_url": "x"}}, ["cloud.cloud_url"]),
        ({"host": HOST, "upstream_key": "a b"}, ["upstream_key"]),
        (
            {"host": HOST, "tls": {"caller_key": "k", "peer_certificate": "c"}},
            ["tls.caller_certificate", "tls.peer_key", "tls.peer_authority"],
        ),
        (
            {"host": HOST, "tls": {"caller_key": "k", "caller_certificate": "c"}},
            ["tls.caller_certificate: there is no", "tls.caller_key: there is no"],
        ),
        ({"host": HOST, "tls": {"upstream_authority": "a"}}, ["tls.upstream_auth"]),
        ({"host": HOST, "documents": {"overlays": ["x"]}}, ["documents.base: is miss"]),
        ({"host": HOST, "documents": {"base": "x"}}, ["documents: x: No such file"]),
    ],
)
def test_all_findings_have_their_key_path(tmp_path, table, paths):
    found = find_faults(tmp_path, table)
    assert len(found) == len(paths)
    for text, path in zip(found, paths, strict=True):
        assert text.startswith(path)


def test_findings_in_configuration_documents(tmp_path):
    base, overlay = tmp_path / "base.toml", tmp_path / "overlay.toml"
    base.write_text(BASE_TEXT)
    overlay.write_text(OVERLAY_TEXT)
    documents = {"base": str(base), "overlays": [str(overlay)]}
    table = {"host": HOST, "documents": documents}
    assert find_faults(tmp_path, table) == []
    overlay.write_text(OVERLAY_TEXT + "min_replicas = -1\n")
    (found,) = find_faults(tmp_path, table)
    assert found.startswith("deployments.zaseki-model.min_replicas: ")


def test_certificate_must_match_its_key(tmp_path):
    files = {}
    for name in ("one", "other"):
        certificate = trustme.CA().issue_cert("127.0.0.1")
        for kind, blob in (
            ("chain", certificate.cert_chain_pems[0]),
            ("key", certificate.private_key_pem),
        ):
            path = tmp_path / f"{name}-{kind}.pem"
            blob.write_to_path(path)
            files[name, kind] = str(path)
    tls = {"caller_certificate": files["one", "chain"]}
    good = {"host": HOST, "tls": tls | {"caller_key": files["one", "key"]}}
    bad = {"host": HOST, "tls": tls | {"caller_key": files["other", "key"]}}
    assert find_faults(tmp_path, good) == []
    (found,) = find_faults(tmp_path, bad)
    assert found.startswith("tls.caller_certificate: can't be used with caller_key")


@settings(max_examples=100, derandomize=True, deadline=None)
@given(data=st.binary(max_size=100) | st.from_regex(r"[a-z.=\[\]\" \n0-9]{0,80}"))
def test_any_file_gives_findings(tmp_path_factory, data):
    path = tmp_path_factory.getbasetemp() / "any.toml"
    path.write_bytes(data if isinstance(data, bytes) else data.encode())
    with pytest.raises(InvalidDocument) as caught:
        read_settings(path)
    assert caught.value.findings
