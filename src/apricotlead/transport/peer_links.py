"""pynng links to the other entry instances.

Each instance pulls from one address and pushes to each peer. The links are
lossy: a message to a peer whose queue is full is dropped and counted. Long
messages are compressed, since gossip about many teams repeats field names.
"""

import zlib
from collections.abc import Callable
from typing import Any

import msgspec
import pynng
from eventlet import kill, spawn
from eventlet.hubs import trampoline

from apricotlead.protocol.decoding import DECODE_ERRORS
from apricotlead.protocol.peers import Envelope, PeerMessage

_SEND_QUEUE_MESSAGES = 256
_RECEIVE_QUEUE_MESSAGES = 1024
_RECONNECT_MIN_MS = 50
_RECONNECT_MAX_MS = 1000
_MAX_MESSAGE_BYTES = 4 * 1024 * 1024
_MIN_COMPRESSED_BYTES = 512
# The fastest level compresses gossip by a factor of four; higher levels gain
# little.
_COMPRESSION_LEVEL = 1
# Every zlib stream with the default window starts with this byte; an encoded
# envelope, which is a MessagePack map, never does.
_ZLIB_FIRST_BYTE = b'\x78'

_ENVELOPE_ERRORS = (zlib.error, *DECODE_ERRORS)

_encoder = msgspec.msgpack.Encoder()
_decoder = msgspec.msgpack.Decoder(Envelope)


def encode_envelope(envelope: Envelope) -> bytes:
    """Return the encoded envelope, compressed if it is long."""
    encoded = _encoder.encode(envelope)
    if len(encoded) < _MIN_COMPRESSED_BYTES:
        return encoded
    return zlib.compress(encoded, _COMPRESSION_LEVEL)


def decode_envelope(received: bytes) -> Envelope:
    """Return the envelope; raise ``DECODE_ERRORS`` or ``zlib.error``.

    Decompression stops at the maximum message size.
    """
    if received.startswith(_ZLIB_FIRST_BYTE):
        received = zlib.decompressobj().decompress(
            received,
            _MAX_MESSAGE_BYTES,
        )
    return _decoder.decode(received)


class PeerLinks:
    """Sends envelopes to peers and passes received ones to a callback.

    ``on_envelope(envelope)`` runs on the loop's thread. Bytes that do not
    decode as an envelope are counted and dropped.
    """

    __slots__ = (
        '_listener',
        '_on_envelope',
        '_receiver',
        '_sockets_by_address',
        '_sender_id',
        'dropped_count',
        'malformed_count',
    )

    def __init__(
        self,
        sender_id: Callable[[], str],
        on_envelope: Callable[[Envelope], None],
    ) -> None:
        """Start without a listener; ``sender_id`` returns the own session."""
        self._sender_id = sender_id
        self._on_envelope = on_envelope
        self._listener: Any = None
        self._receiver: Any = None
        self._sockets_by_address: dict[str, Any] = {}
        self.dropped_count = 0
        self.malformed_count = 0

    def listen(self, address: str) -> str:
        """Bind to ``IP:port`` (port 0 for any); return the bound address."""
        self._listener = pynng.Pull0(
            recv_buffer_size=_RECEIVE_QUEUE_MESSAGES,
            recv_max_size=_MAX_MESSAGE_BYTES,
        )
        listener = self._listener.listen(f'tcp://{address}')
        self._receiver = spawn(self._receive_forever)
        return str(listener.local_address)

    def send(self, address: str, message: PeerMessage) -> bool:
        """Queue a message; return ``False`` if it was dropped."""
        envelope = Envelope(self._sender_id(), message)
        encoded = encode_envelope(envelope)
        try:
            self._socket_to(address).send(encoded, block=False)
        except pynng.NNGException:
            self.dropped_count += 1
            return False
        return True

    def keep_only(self, addresses: set[str]) -> None:
        """Close the links to all other peers."""
        for address in tuple(self._sockets_by_address):
            if address not in addresses:
                self._sockets_by_address.pop(address).close()

    def close(self) -> None:
        """Close all sockets."""
        self.keep_only(set())
        if self._listener is not None:
            # Otherwise the loop would keep waiting on a descriptor that the
            # process may reuse for its next socket.
            kill(self._receiver)
            self._listener.close()

    def _socket_to(self, address: str) -> Any:
        socket = self._sockets_by_address.get(address)
        if socket is None:
            socket = pynng.Push0(
                send_buffer_size=_SEND_QUEUE_MESSAGES,
                reconnect_time_min=_RECONNECT_MIN_MS,
                reconnect_time_max=_RECONNECT_MAX_MS,
            )
            try:
                socket.dial(f'tcp://{address}', block=False)
            except pynng.NNGException:
                socket.close()
                raise
            self._sockets_by_address[address] = socket
        return socket

    def _receive_forever(self) -> None:
        while True:
            try:
                received = self._listener.recv(block=False)
            except pynng.TryAgain:
                # A blocking receive would block the event loop.
                trampoline(self._listener.recv_fd, read=True)
                continue
            except pynng.Closed:
                return
            self._deliver(received)

    def _deliver(self, received: bytes) -> None:
        try:
            envelope = decode_envelope(received)
        except _ENVELOPE_ERRORS:
            self.malformed_count += 1
            return
        self._on_envelope(envelope)
