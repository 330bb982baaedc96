"""Mutual TLS between hosts: peers without a trusted certificate are refused."""

import socket
from contextlib import asynccontextmanager

import pytest
import trio
import trustme

from pepperstep.adapters.grpc_peers import GrpcPeers, PeerCredentials
from pepperstep.errors import Code, Failure
from pepperstep.proto import journal_pb2

ADDRESS = "127.0.0.1"


def make_credentials(authority: trustme.CA, trusted: trustme.CA | None = None):
    """Return credentials issued by `authority` that trust `trusted` instead of it."""
    certificate = authority.issue_cert(ADDRESS)
    return PeerCredentials(
        b"".join(blob.bytes() for blob in certificate.cert_chain_pems),
        certificate.private_key_pem.bytes(),
        (trusted or authority).cert_pem.bytes(),
    )


@asynccontextmanager
async def running_peers(*all_credentials: PeerCredentials | None):
    """Run a server and clients connected to it; yield the clients."""
    ports = []
    for _ in all_credentials:
        with socket.create_server((ADDRESS, 0)) as server:
            ports.append(server.getsockname()[1])
    all_peers = [
        GrpcPeers(f"entry-{n}", f"{ADDRESS}:{port}", credentials)
        for n, (port, credentials) in enumerate(
            zip(ports, all_credentials, strict=True)
        )
    ]

    async def answer(message, sender):
        return journal_pb2.AnswerPart(owner=sender)

    all_peers[0].handle(journal_pb2.ReadAnswer, answer)
    async with trio.open_nursery() as nursery:
        for peers in all_peers:
            await nursery.start(peers.serve)
            peers.set_address("entry-0", f"{ADDRESS}:{ports[0]}")
        yield all_peers[1:]
        nursery.cancel_scope.cancel()


async def test_server_accepts_only_trusted_client_certificates():
    authority, untrusted_authority = trustme.CA(), trustme.CA()
    good = make_credentials(authority)
    async with running_peers(
        good,
        make_credentials(authority),
        None,
        make_credentials(untrusted_authority, authority),
    ) as (trusted_peer, peer_without_certificate, untrusted_peer):
        message = journal_pb2.ReadAnswer(request_id="entry-0.cmpl-1")
        answer = await trusted_peer.call("entry-0", message, 5)
        assert answer.owner == "entry-1"
        for peers in (peer_without_certificate, untrusted_peer):
            with pytest.raises(Failure) as caught:
                await peers.call("entry-0", message, 5)
            assert caught.value.code is Code.PEER_UNREACHABLE


async def test_client_refuses_untrusted_server_certificate():
    authority, untrusted_authority = trustme.CA(), trustme.CA()
    async with running_peers(
        make_credentials(untrusted_authority), make_credentials(authority)
    ) as (peer,):
        with pytest.raises(Failure) as caught:
            await peer.call("entry-0", journal_pb2.ReadAnswer(), 5)
    assert caught.value.code is Code.PEER_UNREACHABLE
