"""Request bodies: their framing, decoded in steps of limited work.

h11 returns an event for each chunk, which takes ten times as long for a body
of tiny chunks, and its reader cannot be stopped in between.
"""

import functools
import re

from pearrun.http1.limits import RejectedError

# Chunks and trailers decoded in one step, which takes up to 10 ms.
MAX_STEP_CHUNKS = 1024
# Chunks in one step beyond which the next step is taken in turn.
MANY_CHUNKS = 64
CRLF = b'\r\n'
CHUNK_LINE = re.compile(rb'([0-9a-fA-F]{1,16})[ \t]*(?:;[^\r\n\x00]*)?')
TRAILER = re.compile(rb'[^\s:]+:[^\r\n\x00]*')
# Chunks up to this size are decoded together while their sizes are equal.
MAX_EQUAL_CHUNK_BYTES = 16
MAX_EQUAL_CHUNKS = 128


class Body:
    """A request body that is being received.

    :param max_bytes: maximum size of the body.

    ``content`` holds what was received so far, unless ``discarded`` is set;
    ``is_declared`` says whether the head declares a body, which may be empty,
    and ``is_costly`` whether the last step had many chunks.
    """

    def __init__(self, max_bytes):
        self.max_bytes = max_bytes
        self.content = bytearray()
        self.discarded = False
        self.size = 0
        self.complete = False
        self.is_declared = True
        self.is_costly = False

    def feed(self, received):
        """Remove the next part of the body from received bytes.

        :param received: a bytearray.
        :returns: whether more can be removed from what is left of it.
        :raises RejectedError: the body is malformed or too large.
        """
        raise NotImplementedError

    def discard(self):
        """Keep nothing of the body, but go on receiving it."""
        self.discarded = True
        self.content = bytearray()

    def _add(self, data):
        self.size += len(data)
        if self.size > self.max_bytes:
            raise RejectedError(413, 'body too large')
        if not self.discarded:
            self.content += data


class FixedBody(Body):
    """A body of a declared length, or none.

    :param length: its length in bytes.
    """

    def __init__(self, max_bytes, length):
        super().__init__(max_bytes)
        self.length = length
        self.complete = not length

    def feed(self, received):
        left = self.length - self.size
        if left >= len(received):
            self._add(received)
            received.clear()
        else:
            self._add(received[:left])
            del received[:left]
        self.complete = self.size == self.length
        return False


class ChunkedBody(Body):
    """A body in chunks.

    :param max_line_bytes: maximum size of a chunk's line, and of all
        trailers together, which are dropped.
    """

    length = None

    def __init__(self, max_bytes, max_line_bytes):
        super().__init__(max_bytes)
        self.max_line_bytes = max_line_bytes
        self._chunk_left = 0
        self._chunk_open = False
        self._trailer_bytes = None

    def feed(self, received):
        position = 0
        taken = 1
        parts = 0
        while taken and parts < MAX_STEP_CHUNKS and not self.complete:
            if self._trailer_bytes is not None:
                taken = self._take_trailer(received, position)
            elif self._chunk_open:
                taken = self._take_data(received, position)
            else:
                taken = self._take_chunk(received, position)
            position += taken
            parts += 1
        del received[:position]
        self.is_costly = parts > MANY_CHUNKS
        return parts == MAX_STEP_CHUNKS and not self.complete

    def _take_chunk(self, received, position):
        """Take a chunk's line, and the chunk if it was received whole.

        :returns: how many bytes were taken.
        """
        end = self._find_line_end(received, position)
        if end < 0:
            return 0
        size = decode_chunk_size(bytes(received[position:end]))
        start = end + len(CRLF)
        if size == 0:
            self._trailer_bytes = 0
            return start - position
        if self.size + size > self.max_bytes:
            raise RejectedError(413, 'body too large')
        if size <= MAX_EQUAL_CHUNK_BYTES:
            taken = self._take_equal_chunks(received, position, start, size)
            if taken:
                return taken
        self._chunk_left = size
        self._chunk_open = True
        return start - position + self._take_data(received, start)

    def _take_equal_chunks(self, received, position, start, size):
        """Take as many chunks as follow with the same line.

        :param start: where the data of the first one starts.
        :param size: the size of each.
        :returns: how many bytes were taken; 0 if no two are equal.
        """
        line = received[position:start]
        unit = len(line) + size + len(CRLF)
        if not received.startswith(line, position + unit):
            return 0
        count = (len(received) - position) // unit
        count = min(count, MAX_EQUAL_CHUNKS)
        block = received[position : position + count * unit]
        framing = [*enumerate(line), *enumerate(CRLF, len(line) + size)]
        for offset, byte in framing:
            column = block[offset::unit]
            equal = len(column) - len(column.lstrip(bytes((byte,))))
            count = min(count, equal)
        if count < 2:
            return 0
        block = block[: count * unit]
        data = bytearray(count * size)
        for offset in range(size):
            data[offset::size] = block[len(line) + offset :: unit]
        self._add(data)
        return len(block)

    def _take_data(self, received, position):
        """Take what was received of a chunk and the line end after it."""
        data = received[position : position + self._chunk_left]
        self._add(data)
        self._chunk_left -= len(data)
        end = position + len(data)
        if self._chunk_left or len(received) < end + len(CRLF):
            return len(data)
        if received[end : end + len(CRLF)] != CRLF:
            raise RejectedError(400, 'chunk without line end')
        self._chunk_open = False
        return len(data) + len(CRLF)

    def _take_trailer(self, received, position):
        end = self._find_line_end(received, position)
        if end < 0:
            return 0
        self._trailer_bytes += end - position
        if end == position:
            self.complete = True
        elif self._trailer_bytes > self.max_line_bytes:
            raise RejectedError(431, 'trailers too large')
        elif not TRAILER.fullmatch(received, position, end):
            raise RejectedError(400, 'malformed trailer')
        return end - position + len(CRLF)

    def _find_line_end(self, received, position):
        end = received.find(CRLF, position)
        size = (end if end >= 0 else len(received)) - position
        if size > self.max_line_bytes:
            raise RejectedError(400, 'line of a chunk too long')
        return end


@functools.lru_cache(maxsize=256)
def decode_chunk_size(line):
    """Return the size of a chunk, given its line without line end.

    :raises RejectedError: the line is malformed.
    """
    match = CHUNK_LINE.fullmatch(line)
    if match is None:
        raise RejectedError(400, 'malformed chunk size')
    return int(match[1], 16)


def make_body(head, limits):
    """Return the :class:`Body` that a request head declares.

    With both framing headers, two parsers could disagree on where the
    request ends (request smuggling).

    :param head: the :class:`h11.Request`, whose framing headers are valid.
    :param limits: the :class:`ServerLimits`.
    :raises RejectedError: both framing headers are present, or the body
        is too large.
    """
    framing = dict(head.headers)
    length = framing.get(b'content-length')
    if b'transfer-encoding' in framing:
        if length is not None:
            raise RejectedError(
                400, 'both Content-Length and Transfer-Encoding'
            )
        return ChunkedBody(limits.max_body_bytes, limits.max_header_bytes)
    if length is None:
        body = FixedBody(limits.max_body_bytes, 0)
        body.is_declared = False
        return body
    if int(length) > limits.max_body_bytes:
        raise RejectedError(413, 'body too large')
    return FixedBody(limits.max_body_bytes, int(length))
