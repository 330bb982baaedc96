"""Peer network over gRPC: one unary method that carries envelopes.

The trio loop never waits on gRPC: calls run as futures of the library, and
the server's small thread pool hands each message to the loop.
"""

from concurrent import futures
from dataclasses import dataclass

import grpc
import outcome
import trio
from absl import logging
from google.protobuf.message import Message

from pepperstep.errors import Code, Failure
from pepperstep.ports.peers import Handler
from pepperstep.proto import codec

__all__ = ["GrpcPeers", "PeerCredentials"]

_METHOD = "/pepperstep.Peer/Call"
_SERVER_THREADS = 8
_MAX_MESSAGE_BYTES = 64 * 1024 * 1024
_OPTIONS = [
    ("grpc.max_receive_message_length", _MAX_MESSAGE_BYTES),
    ("grpc.max_send_message_length", _MAX_MESSAGE_BYTES),
    ("grpc.so_reuseport", 0),
    # A host that returns must be reachable at once.
    ("grpc.initial_reconnect_backoff_ms", 100),
    ("grpc.max_reconnect_backoff_ms", 1000),
]


@dataclass(frozen=True, slots=True)
class PeerCredentials:
    """Certificate, key and authority in PEM, for mutual TLS."""

    certificate: bytes
    key: bytes
    authority: bytes

    def for_server(self) -> grpc.ServerCredentials:
        """Return credentials that ask the client for a certificate."""
        return grpc.ssl_server_credentials(
            [(self.key, self.certificate)], self.authority, require_client_auth=True
        )

    def for_channel(self) -> grpc.ChannelCredentials:
        """Return credentials that show this host's certificate."""
        return grpc.ssl_channel_credentials(self.authority, self.key, self.certificate)


class GrpcPeers:
    """Peer network of the host `name`."""

    def __init__(
        self, name: str, address: str, credentials: PeerCredentials | None = None
    ):
        self._name = name
        self._address = address
        self._credentials = credentials
        self._addresses: dict[str, str] = {}
        self._channels: dict[str, grpc.Channel] = {}
        self._methods: dict[str, grpc.UnaryUnaryMultiCallable] = {}
        self._handlers: dict[type, Handler] = {}
        self._token: trio.lowlevel.TrioToken | None = None

    def set_address(self, peer: str, address: str) -> None:
        """Say where `peer` listens."""
        if self._addresses.get(peer) == address:
            return
        self._addresses[peer] = address
        self._methods.pop(peer, None)
        channel = self._channels.pop(peer, None)
        if channel is not None:
            channel.close()

    def handle(self, message_type: type[Message], handler: Handler) -> None:
        """Register the one handler for `message_type`."""
        self._handlers[message_type] = handler

    async def call(self, peer: str, message: Message, timeout: float) -> Message:
        """Return the answer of `peer`, or raise `Failure`."""
        method = self._method_to(peer)
        data = codec.encode(message, self._name)
        future = method.future(data, timeout=timeout, wait_for_ready=False)
        try:
            answer = await _wait(future)
        except grpc.RpcError as error:
            raise Failure(
                Code.PEER_UNREACHABLE, f"{peer} doesn't answer: {error.code().name}."
            ) from error
        return codec.decode(answer)[0]

    async def serve(self, task_status=trio.TASK_STATUS_IGNORED) -> None:
        """Take calls until cancelled.

        Raise OSError if the address is taken.
        """
        self._token = trio.lowlevel.current_trio_token()
        server = grpc.server(
            futures.ThreadPoolExecutor(_SERVER_THREADS, "peer"), options=_OPTIONS
        )
        method = grpc.unary_unary_rpc_method_handler(self._handle_in_thread)
        service = grpc.method_handlers_generic_handler(
            "pepperstep.Peer", {"Call": method}
        )
        server.add_generic_rpc_handlers((service,))
        self._bind(server)
        server.start()
        task_status.started()
        try:
            await trio.sleep_forever()
        finally:
            server.stop(grace=0)
            for channel in self._channels.values():
                channel.close()

    def _bind(self, server: grpc.Server) -> None:
        try:
            if self._credentials is None:
                server.add_insecure_port(self._address)
            else:
                server.add_secure_port(self._address, self._credentials.for_server())
        except RuntimeError as error:
            raise OSError(f"Can't listen on {self._address}.") from error

    def _method_to(self, peer: str) -> grpc.UnaryUnaryMultiCallable:
        if peer in self._methods:
            return self._methods[peer]
        if peer not in self._addresses:
            raise Failure(Code.PEER_UNREACHABLE, f"{peer} has no known address.")
        channel = self._open_channel(self._addresses[peer])
        self._channels[peer] = channel
        self._methods[peer] = channel.unary_unary(_METHOD)
        return self._methods[peer]

    def _open_channel(self, address: str) -> grpc.Channel:
        if self._credentials is None:
            return grpc.insecure_channel(address, options=_OPTIONS)
        return grpc.secure_channel(
            address, self._credentials.for_channel(), options=_OPTIONS
        )

    def _handle_in_thread(self, data: bytes, context: grpc.ServicerContext) -> bytes:
        try:
            return trio.from_thread.run(
                self._handle_message, data, trio_token=self._token
            )
        except (trio.RunFinishedError, trio.Cancelled):
            context.abort(grpc.StatusCode.UNAVAILABLE, "The host stops.")

    async def _handle_message(self, data: bytes) -> bytes:
        try:
            message, sender = codec.decode(data)
            handler = self._handlers.get(type(message))
            if handler is None:
                raise Failure(
                    Code.NOT_READY, f"No handler for {type(message).__name__}."
                )
            answer = await handler(message, sender)
        except Failure as failure:
            return codec.encode_failure(failure, self._name)
        except Exception:
            logging.exception("peers: Handler failed.")
            failure = Failure(Code.INTERNAL, "The handler failed.")
            return codec.encode_failure(failure, self._name)
        return codec.encode(answer, self._name)


async def _wait(future: grpc.Future) -> bytes:
    """Wait in trio for a future of gRPC, which is cancelled with the task."""
    task = trio.lowlevel.current_task()
    token = trio.lowlevel.current_trio_token()
    is_woken = False

    def wake() -> None:
        nonlocal is_woken
        if not is_woken:
            is_woken = True
            trio.lowlevel.reschedule(task, outcome.Value(None))

    def on_done(_: grpc.Future) -> None:
        try:
            token.run_sync_soon(wake)
        except trio.RunFinishedError:
            return

    def abort(_) -> trio.lowlevel.Abort:
        nonlocal is_woken
        is_woken = True
        future.cancel()
        return trio.lowlevel.Abort.SUCCEEDED

    future.add_done_callback(on_done)
    await trio.lowlevel.wait_task_rescheduled(abort)
    return future.result()
