"""Deterministic token generation for the engine stand-in.

Each token depends only on the prompt, the seed and the token index, so
that tests can compute the complete answer they expect.
"""

import hashlib

BLOCK_TOKENS = 16
VOCABULARY = (
    'antenna carrier check crew draft fault field filter grid hum '
    'link log mast meter noise panel power relay repair route signal '
    'site spare swap tower tube valve volt wire appeal board driver '
    'file fee licence permit record renewal route status taxi'
).split()


def split_tokens(prompt):
    """Split a prompt into tokens, the words between white space."""
    return prompt.split()


def _digest(text):
    return hashlib.blake2b(text.encode('utf-8'), digest_size=8).hexdigest()


def generate_token(prompt, seed, index):
    """Return the token at one position of the answer to a prompt.

    :param prompt: the complete prompt.
    :param seed: an integer seed from the request.
    :param index: 0-based position in the answer.
    :returns: one word.
    """
    digest = hashlib.blake2b(
        f'{seed}:{index}:{prompt}'.encode(), digest_size=4
    ).digest()
    return VOCABULARY[int.from_bytes(digest, 'big') % len(VOCABULARY)]


def generate_tokens(prompt, seed, count, start=0):
    """Return tokens ``start`` .. ``count - 1`` of the answer."""
    return [generate_token(prompt, seed, i) for i in range(start, count)]


def generate_answer(prompt, seed, count):
    """Return the complete answer, its tokens joined by spaces."""
    return ' '.join(generate_tokens(prompt, seed, count))


def hash_blocks(tokens, block_tokens=BLOCK_TOKENS):
    """Return chained hashes of the full blocks of a token sequence.

    The hash of a block covers the hash of the block before and its own
    tokens, so equal hashes mean equal prefixes.

    :param block_tokens: tokens per block.
    """
    hashes = []
    previous = ''
    for start in range(0, len(tokens) - block_tokens + 1, block_tokens):
        previous = _digest(
            previous + ' '.join(tokens[start : start + block_tokens])
        )
        hashes.append(previous)
    return hashes
