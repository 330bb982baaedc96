"""Fixtures of the HTTP interface's tests."""

import socket

import pytest


@pytest.fixture
def unused_tcp_port() -> int:
    """Return a port of loopback that is free now."""
    with socket.create_server(("127.0.0.1", 0)) as server:
        return server.getsockname()[1]
