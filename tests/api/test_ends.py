"""The end of a streamed answer must arrive over plain and TLS connections."""

import json
import ssl

import httpcore
import pytest
import trustme

from pepperstep.settings import TlsSettings
from tests.api.fake_node import FakeNode
from tests.api.test_callers import PROMPT
from tests.api.test_server import HEADERS, serving

_STREAM_COUNT = 8
PROMPT_STREAM = json.dumps(PROMPT | {"stream": True}).encode()


@pytest.mark.parametrize("scheme", ["http", "https"])
async def test_streams_arrive_whole(scheme, tmp_path, unused_tcp_port):
    """Guards against streams without their last event.

    Hypercorn signals a disconnect to the application before the end has been sent,
    and the application then cancels the sending.
    """
    authority = trustme.CA()
    pem = tmp_path / "host.pem"
    issued = authority.issue_cert("127.0.0.1")
    issued.private_key_and_cert_chain_pem.write_to_path(pem)
    tls = TlsSettings(caller_certificate=str(pem), caller_key=str(pem))
    context = ssl.create_default_context()
    authority.configure_trust(context)
    url = f"{scheme}://127.0.0.1:{unused_tcp_port}/v1/completions"
    async with serving(FakeNode(), unused_tcp_port, tls if scheme == "https" else None):
        async with httpcore.AsyncConnectionPool(ssl_context=context) as pool:
            for _ in range(_STREAM_COUNT):
                answer = await pool.request(
                    "POST",
                    url,
                    headers=HEADERS,
                    content=PROMPT_STREAM,
                    extensions={"timeout": {"read": 5.0}},
                )
                assert answer.content.endswith(b"data: [DONE]\n\n")
