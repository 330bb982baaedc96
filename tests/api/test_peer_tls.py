"""Mutual TLS between hosts."""

import socket
from contextlib import asynccontextmanager

import pytest
import trio
import trustme

from pepperstep.adapters.grpc_peers import GrpcPeers, PeerCredentials
from pepperstep.errors import Code, Failure
from pepperstep.proto import journal_pb2

ADDRESS = "127.0.0.1"


def credentials_of(authority: trustme.CA, trusted: trustme.CA | None = None):
    """Return credentials signed by one authority that trust another."""
    certificate = authority.issue_cert(ADDRESS)
    return PeerCredentials(
        b"".join(blob.bytes() for blob in certificate.cert_chain_pems),
        certificate.private_key_pem.bytes(),
        (trusted or authority).cert_pem.bytes(),
    )


@asynccontextmanager
async def peers_of(*all_credentials: PeerCredentials | None):
    """Run a server and clients that know its address; yields the clients."""
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


async def test_only_peers_with_a_certificate_are_let_in():
    authority, stranger = trustme.CA(), trustme.CA()
    good = credentials_of(authority)
    async with peers_of(
        good, credentials_of(authority), None, credentials_of(stranger, authority)
    ) as (friend, naked, forger):
        message = journal_pb2.ReadAnswer(request_id="entry-0.cmpl-1")
        answer = await friend.call("entry-0", message, 5)
        assert answer.owner == "entry-1"
        for peers in (naked, forger):
            with pytest.raises(Failure) as caught:
                await peers.call("entry-0", message, 5)
            assert caught.value.code is Code.PEER_UNREACHABLE


async def test_host_trusts_no_server_of_a_stranger():
    authority, stranger = trustme.CA(), trustme.CA()
    async with peers_of(credentials_of(stranger), credentials_of(authority)) as (peer,):
        with pytest.raises(Failure) as caught:
            await peer.call("entry-0", journal_pb2.ReadAnswer(), 5)
    assert caught.value.code is Code.PEER_UNREACHABLE
