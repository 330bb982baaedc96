"""Peer network over gRPC: streams of frames or unary calls between hosts."""

import threading
from collections.abc import Iterator
from concurrent import futures
from dataclasses import dataclass

import grpc
import trio
from absl import logging
from google.protobuf.message import Message

from pepperstep.adapters.peer_calls import AnswerSlot, PeerCalls
from pepperstep.adapters.peer_streams import FrameQueue, PeerStream
from pepperstep.errors import Code, Failure
from pepperstep.ports.peers import Handler
from pepperstep.proto import codec
from pepperstep.proto.envelope_pb2 import Frame, Frames

__all__ = ["GrpcPeers", "PeerCredentials"]

_SERVICE = "pepperstep.Peer"
_STREAM_METHOD = "Exchange"
_UNARY_METHOD = "Call"
# Size of the server's thread pool: each stream from another host occupies one thread.
_MAX_STREAMS = 512
_MAX_MESSAGE_BYTES = 64 * 1024 * 1024
# A connection without calls for this long is closed, because each connection keeps
# threads at both ends.
_IDLE_SECONDS = 20.0
# Interval between searches for idle connections.
_IDLE_CHECK_SECONDS = 5.0
_OPTIONS = [
    ("grpc.max_receive_message_length", _MAX_MESSAGE_BYTES),
    ("grpc.max_send_message_length", _MAX_MESSAGE_BYTES),
    ("grpc.so_reuseport", 0),
    # A host that restarts must be reachable at once. Callers back off on their own
    # between calls to an unreachable host.
    ("grpc.initial_reconnect_backoff_ms", 100),
    ("grpc.max_reconnect_backoff_ms", 250),
    # Timeout of one connection attempt. A SYN to a host without power is lost, and the
    # kernel resends it only after a second. After a power failure of all hosts, entry
    # hosts had their routes 0.6 s after the control hosts were up.
    ("grpc.min_reconnect_backoff_ms", 300),
    # Channels share no connections, so that a new channel doesn't reuse a connection
    # that stopped answering.
    ("grpc.use_local_subchannel_pool", 1),
    # Keepalive pings break a stream whose packets are dropped silently, long before
    # the kernel's TCP timeout.
    ("grpc.keepalive_time_ms", 10_000),
    ("grpc.keepalive_timeout_ms", 5_000),
    ("grpc.http2.max_pings_without_data", 0),
    ("grpc.http2.min_ping_interval_without_data_ms", 5_000),
]


@dataclass(frozen=True, slots=True)
class PeerCredentials:
    """Certificate, private key and CA certificate in PEM, for mutual TLS."""

    certificate: bytes
    key: bytes
    authority: bytes

    def for_server(self) -> grpc.ServerCredentials:
        """Return server credentials that require a client certificate."""
        return grpc.ssl_server_credentials(
            [(self.key, self.certificate)], self.authority, require_client_auth=True
        )

    def for_channel(self) -> grpc.ChannelCredentials:
        """Return channel credentials that present this host's certificate."""
        return grpc.ssl_channel_credentials(self.authority, self.key, self.certificate)


class GrpcPeers:
    """Sends messages from host `name` to its peers and serves theirs."""

    def __init__(
        self, name: str, address: str, credentials: PeerCredentials | None = None
    ):
        self._name = name
        self._address = address
        self._credentials = credentials
        self._addresses: dict[str, str] = {}
        self._channels: dict[str, grpc.Channel] = {}
        self._streams: dict[str, PeerStream] = {}
        self._calls: dict[str, PeerCalls] = {}
        self._handlers: dict[type, Handler] = {}
        self._token: trio.lowlevel.TrioToken | None = None
        self._nursery: trio.Nursery | None = None
        self._is_serving = False
        self._idle_checked_at = 0.0

    def set_address(self, peer: str, address: str) -> None:
        """Set the address of `peer`; a new one closes the connection to the old."""
        if self._addresses.get(peer) == address:
            return
        self._addresses[peer] = address
        self._close(peer)

    def handle(self, message_type: type[Message], handler: Handler) -> None:
        """Register the handler for `message_type`, replacing any earlier one."""
        self._handlers[message_type] = handler

    async def call(self, peer: str, message: Message, timeout: float) -> Message:
        """Send `message` on the stream to `peer` and return the answer.

        Raise `Failure`, with `PEER_UNREACHABLE` after `timeout` seconds.
        """
        self._close_idle()
        stream = self._get_stream(peer)
        try:
            answer = await stream.call(codec.encode(message, self._name), timeout)
        except Failure:
            if stream.is_silent:
                self._close_silent(peer, stream)
            raise
        return codec.decode(answer)[0]

    async def call_single(self, peer: str, message: Message, timeout: float) -> Message:
        """Send `message` to `peer` as a unary call and return the answer.

        Raise `Failure`, with `PEER_UNREACHABLE` after `timeout` seconds.
        """
        self._close_idle()
        calls = self._get_calls(peer)
        try:
            answer = await calls.call(codec.encode(message, self._name), timeout)
        except Failure:
            if calls.is_silent and self._calls.get(peer) is calls:
                logging.info("peers: %s does not answer; closing connection.", peer)
                self._close(peer)
            raise
        return codec.decode(answer)[0]

    def _close_silent(self, peer: str, stream: PeerStream) -> None:
        """Close the connection of `stream` unless it has been replaced already.

        The next call opens a new connection and stream.
        """
        if self._streams.get(peer) is not stream:
            return
        logging.info("peers: %s does not answer; closing connection.", peer)
        self._close(peer)

    def _close_idle(self) -> None:
        now = trio.current_time()
        if now - self._idle_checked_at < _IDLE_CHECK_SECONDS:
            return
        self._idle_checked_at = now
        for peer in list(self._channels):
            uses = (self._streams.get(peer), self._calls.get(peer))
            if all(each is None or each.is_idle(_IDLE_SECONDS) for each in uses):
                self._close(peer)

    def _close(self, peer: str) -> None:
        self._calls.pop(peer, None)
        stream = self._streams.pop(peer, None)
        if stream is not None:
            stream.close()
        channel = self._channels.pop(peer, None)
        if channel is not None:
            channel.close()

    async def serve(self, task_status=trio.TASK_STATUS_IGNORED) -> None:
        """Serve calls until cancelled.

        Raise OSError if the address can't be bound.
        """
        self._token = trio.lowlevel.current_trio_token()
        server = self._make_server()
        self._bind(server)
        try:
            async with trio.open_nursery() as self._nursery:
                self._is_serving = True
                server.start()
                task_status.started()
                try:
                    await trio.sleep_forever()
                finally:
                    # A closed nursery can't start handlers; gRPC threads may still ask.
                    self._is_serving = False
        finally:
            server.stop(grace=0)
            for stream in self._streams.values():
                stream.close()
            for channel in self._channels.values():
                channel.close()

    def _make_server(self) -> grpc.Server:
        server = grpc.server(
            futures.ThreadPoolExecutor(_MAX_STREAMS, "peer"), options=_OPTIONS
        )
        methods = {
            _STREAM_METHOD: grpc.stream_stream_rpc_method_handler(self._serve_stream),
            _UNARY_METHOD: grpc.unary_unary_rpc_method_handler(self._serve_unary),
        }
        service = grpc.method_handlers_generic_handler(_SERVICE, methods)
        server.add_generic_rpc_handlers((service,))
        return server

    def _bind(self, server: grpc.Server) -> None:
        try:
            if self._credentials is None:
                server.add_insecure_port(self._address)
            else:
                server.add_secure_port(self._address, self._credentials.for_server())
        except RuntimeError as error:
            raise OSError(f"Can't listen on {self._address}.") from error

    def _get_stream(self, peer: str) -> PeerStream:
        stream = self._streams.get(peer)
        if stream is not None and not stream.is_broken:
            return stream
        method = self._get_channel(peer).stream_stream(f"/{_SERVICE}/{_STREAM_METHOD}")
        self._streams[peer] = PeerStream(peer, method)
        return self._streams[peer]

    def _get_calls(self, peer: str) -> PeerCalls:
        if peer not in self._calls:
            channel = self._get_channel(peer)
            method = channel.unary_unary(f"/{_SERVICE}/{_UNARY_METHOD}")
            self._calls[peer] = PeerCalls(peer, method)
        return self._calls[peer]

    def _get_channel(self, peer: str) -> grpc.Channel:
        if peer not in self._channels:
            self._channels[peer] = self._open_channel(self._get_address(peer))
        return self._channels[peer]

    def _get_address(self, peer: str) -> str:
        """Return the address of a peer, its name if no address was set."""
        address = self._addresses.get(peer, peer)
        if ":" not in address:
            raise Failure(Code.PEER_UNREACHABLE, f"{peer} has no known address.")
        return address

    def _open_channel(self, address: str) -> grpc.Channel:
        if self._credentials is None:
            return grpc.insecure_channel(address, options=_OPTIONS)
        return grpc.secure_channel(
            address, self._credentials.for_channel(), options=_OPTIONS
        )

    def _serve_stream(
        self, requests: Iterator[bytes], context: grpc.ServicerContext
    ) -> Iterator[bytes]:
        """Serve the frames of one stream; runs in a thread of the server."""
        answers = FrameQueue()
        threading.Thread(
            target=self._read_requests, args=(requests, answers), daemon=True
        ).start()
        return answers.batches()

    def _serve_unary(self, data: bytes, context: grpc.ServicerContext) -> bytes:
        """Serve one unary call; runs in a thread of the server."""
        slot = AnswerSlot()
        self._token.run_sync_soon(self._start_unary_handler, data, slot)
        answer = slot.wait()
        if answer is None:
            context.abort(grpc.StatusCode.UNAVAILABLE, "no answer")
        return answer

    def _start_unary_handler(self, data: bytes, slot: AnswerSlot) -> None:
        if self._is_serving:
            self._nursery.start_soon(self._answer_unary, data, slot)
        else:
            slot.put(None)

    async def _answer_unary(self, data: bytes, slot: AnswerSlot) -> None:
        answer = None
        try:
            answer = await self._handle_message(data)
        finally:
            # The process can't exit while a thread of the server waits.
            slot.put(answer)

    def _read_requests(self, requests: Iterator[bytes], answers: FrameQueue) -> None:
        try:
            for data in requests:
                frames = Frames.FromString(data).frames
                self._token.run_sync_soon(self._start_frame_handlers, frames, answers)
        except Exception:
            # gRPC raises a bare Exception when a stream breaks.
            logging.info("peers: A stream from a peer was closed.")
        answers.close()

    def _start_frame_handlers(self, frames: list[Frame], answers: FrameQueue) -> None:
        if not self._is_serving:
            return
        for frame in frames:
            self._nursery.start_soon(self._answer_frame, frame, answers)

    async def _answer_frame(self, frame: Frame, answers: FrameQueue) -> None:
        answer = await self._handle_message(frame.envelope)
        answers.put(Frame(call=frame.call, envelope=answer))

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
            logging.exception("peers: A message handler raised an exception.")
            failure = Failure(Code.INTERNAL, "The handler failed.")
            return codec.encode_failure(failure, self._name)
        return codec.encode(answer, self._name)
