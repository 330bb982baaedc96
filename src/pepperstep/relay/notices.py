"""Notices from an entry host to the control hosts, which tell all others."""

from collections.abc import Iterable

import trio
from absl import logging
from google.protobuf.message import Message

from pepperstep.errors import Failure
from pepperstep.ports import PeerNetwork

__all__ = ["send_notice"]

_TIMEOUT_SECONDS = 0.3


async def send_notice(
    peers: PeerNetwork, control_hosts: Iterable[str], notice: Message
) -> list[str]:
    """Send a notice to control hosts; return those that have received it."""
    received_by: list[str] = []

    async def send(control_host: str) -> None:
        try:
            await peers.call(control_host, notice, _TIMEOUT_SECONDS)
        except Failure as failure:
            logging.info("notices: notice to %s failed: %s", control_host, failure.text)
        else:
            received_by.append(control_host)

    async with trio.open_nursery() as nursery:
        for control_host in control_hosts:
            nursery.start_soon(send, control_host)
    return received_by
