"""Fixtures for the tests of the HTTP API."""

import socket

import pytest


@pytest.fixture
def unused_tcp_port() -> int:
    """Return a free TCP port on the loopback interface."""
    with socket.create_server(("127.0.0.1", 0)) as server:
        return server.getsockname()[1]
