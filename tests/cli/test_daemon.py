"""Exit code and message of a daemon that fails at its start."""

import socket
import subprocess
import sys

import tomli_w

from demo.launcher import free_ports


def run_daemon(folder, peer_port: int, caller_port: int) -> subprocess.CompletedProcess:
    """Run a control host that fails at its start."""
    host = {
        "name": "entry-0",
        "zone": "zone-a",
        "region": "dosanko",
        "site": "kitahara",
        "peer_address": f"127.0.0.1:{peer_port}",
        "caller_address": f"127.0.0.1:{caller_port}",
        "roles": ["control"],
    }
    control = {"voters": ["entry-0"], "data_folder": str(folder / "data")}
    path = folder / "entry-0.toml"
    path.write_text(tomli_w.dumps({"host": host, "control": control}))
    command = [sys.executable, "-m", "pepperstep.daemon", "--config", str(path)]
    return subprocess.run(command, capture_output=True, text=True, timeout=60)


def test_message_names_corrupt_file(tmp_path):
    (tmp_path / "data").mkdir()
    damaged = b"damaged, and long enough for a frame"
    (tmp_path / "data" / "control-identity").write_bytes(damaged)
    result = run_daemon(tmp_path, *free_ports(2))
    assert result.returncode == 4
    assert "corrupt_storage: control-identity, offset 0" in result.stderr


def test_message_names_address_in_use(tmp_path):
    (free,) = free_ports(1)
    with socket.create_server(("127.0.0.1", 0)) as taken:
        port = taken.getsockname()[1]
        result = run_daemon(tmp_path, port, free)
    assert result.returncode == 3
    assert f"127.0.0.1:{port}" in result.stderr
