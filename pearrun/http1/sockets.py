"""Socket options of client and server connections."""

import socket
import struct

# TCP keep-alive probes, in seconds (the kernel's unit).  With a user timeout
# the kernel ignores the number of probes: a peer is dead if the first probe
# after that time finds an earlier one unanswered.
PROBE_IDLE_S = 1
PROBE_INTERVAL_S = 1
# SO_LINGER with a timeout of 0: close discards unsent bytes and sends RST.
RESET_ON_CLOSE = struct.pack('ii', 1, 0)


def detect_dead_peer(sock, user_timeout_ms):
    """Make the kernel close a connection whose peer stops responding.

    Also disables Nagle's algorithm, so that small writes are sent at once.

    :param sock: the connection's socket.
    :param user_timeout_ms: how long sent bytes may stay unacknowledged.
    """
    tcp = socket.IPPROTO_TCP
    sock.setsockopt(socket.SOL_SOCKET, socket.SO_KEEPALIVE, 1)
    sock.setsockopt(tcp, socket.TCP_KEEPIDLE, PROBE_IDLE_S)
    sock.setsockopt(tcp, socket.TCP_KEEPINTVL, PROBE_INTERVAL_S)
    sock.setsockopt(tcp, socket.TCP_NODELAY, 1)
    set_user_timeout(sock, user_timeout_ms)


def bind(host, port, receive_buffer_bytes):
    """Return a socket bound to an address, to listen on.

    :param receive_buffer_bytes: size of the receive buffers of accepted
        connections.
    """
    sock = socket.socket(socket.AF_INET, socket.SOCK_STREAM)
    try:
        sock.setsockopt(socket.SOL_SOCKET, socket.SO_REUSEADDR, 1)
        sock.setsockopt(
            socket.SOL_SOCKET, socket.SO_RCVBUF, receive_buffer_bytes
        )
        sock.bind((host, port))
    except BaseException:
        sock.close()
        raise
    return sock


def set_user_timeout(sock, user_timeout_ms):
    """Set for how long a silent peer is waited for.

    :param user_timeout_ms: how long sent bytes and keep-alive probes may
        stay unacknowledged.
    """
    sock.setsockopt(
        socket.IPPROTO_TCP, socket.TCP_USER_TIMEOUT, user_timeout_ms
    )


def reset_on_close(sock):
    """Make closing discard unsent bytes and reset the connection."""
    sock.setsockopt(socket.SOL_SOCKET, socket.SO_LINGER, RESET_ON_CLOSE)
