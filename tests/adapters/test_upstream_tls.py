"""Upstreams with TLS: certificates must be issued by the configured authority."""

import ssl

import pytest
import trio
import trustme

from demo.launcher import free_ports
from pepperstep.adapters.http_upstreams import HttpUpstreams
from pepperstep.daemon import _upstream_tls_context
from pepperstep.entities import Upstream, UpstreamKind
from pepperstep.ports.upstreams import UpstreamRefused
from pepperstep.settings import TlsSettings

ANSWER = b'HTTP/1.1 200 OK\r\nContent-Length: 17\r\n\r\n{"is_ended":true}'


async def _answer(stream: trio.SSLStream) -> None:
    await stream.receive_some(10_000)
    await stream.send_all(ANSWER)


@pytest.mark.parametrize("is_trusted", [True, False])
async def test_only_upstreams_with_trusted_certificate_are_called(is_trusted, tmp_path):
    authority = trustme.CA()
    trusted = authority if is_trusted else trustme.CA()
    trusted.cert_pem.write_to_path(tmp_path / "authority.pem")
    context = ssl.create_default_context(ssl.Purpose.CLIENT_AUTH)
    authority.issue_cert("127.0.0.1").configure_cert(context)
    (port,) = free_ports(1)
    upstream = Upstream("e", 1, f"127.0.0.1:{port}", UpstreamKind.ENGINE, "h", "zone")
    trust = _upstream_tls_context(
        TlsSettings(upstream_authority=str(tmp_path / "authority.pem"))
    )
    async with trio.open_nursery() as nursery:
        serve = trio.serve_ssl_over_tcp
        await nursery.start(serve, _answer, port, context)
        client = HttpUpstreams("key", trust)
        if is_trusted:
            assert await client.cancel(upstream, "a.1")
        else:
            with pytest.raises(UpstreamRefused):
                await client.cancel(upstream, "a.1")
        nursery.cancel_scope.cancel()


def test_no_tls_without_authority():
    assert _upstream_tls_context(TlsSettings()) is None
