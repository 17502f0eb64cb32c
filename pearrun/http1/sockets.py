"""What is asked of the kernel for client connections."""

import socket
import struct

# Keep-alive probes, in seconds (the kernel's unit): a connection that
# went silent is found within idle + probes * interval.
PROBE_IDLE_S = 1
PROBE_INTERVAL_S = 1
PROBE_COUNT = 2
# Close without lingering: unsent bytes are dropped, the peer gets a reset.
RESET_ON_CLOSE = struct.pack('ii', 1, 0)


def detect_silence(sock, silence_ms):
    """Make the kernel end a connection whose other end went silent.

    :param sock: the connection's socket.
    :param silence_ms: how long sent bytes may stay unacknowledged.
    """
    tcp = socket.IPPROTO_TCP
    sock.setsockopt(socket.SOL_SOCKET, socket.SO_KEEPALIVE, 1)
    sock.setsockopt(tcp, socket.TCP_KEEPIDLE, PROBE_IDLE_S)
    sock.setsockopt(tcp, socket.TCP_KEEPINTVL, PROBE_INTERVAL_S)
    sock.setsockopt(tcp, socket.TCP_KEEPCNT, PROBE_COUNT)
    sock.setsockopt(tcp, socket.TCP_USER_TIMEOUT, silence_ms)
    sock.setsockopt(tcp, socket.TCP_NODELAY, 1)


def reset_on_close(sock):
    """Make the kernel drop what is unsent when a connection is closed."""
    sock.setsockopt(socket.SOL_SOCKET, socket.SO_LINGER, RESET_ON_CLOSE)
