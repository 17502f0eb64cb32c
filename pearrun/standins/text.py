"""Deterministic token text for the engine stand-in.

An answer depends only on the prompt, the seed and the token index, so
a test can compute the whole expected answer and compare.
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
    """Split a prompt into tokens (whitespace words)."""
    return prompt.split()


def _digest(text):
    return hashlib.blake2b(text.encode('utf-8'), digest_size=8).hexdigest()


def answer_token(prompt, seed, index):
    """Return the token an engine emits at ``index`` for a prompt.

    :param prompt: the whole prompt text.
    :param seed: an integer seed from the request.
    :param index: 0-based position in the answer.
    :returns: one word.
    """
    digest = hashlib.blake2b(
        f'{seed}:{index}:{prompt}'.encode(), digest_size=4
    ).digest()
    return VOCABULARY[int.from_bytes(digest, 'big') % len(VOCABULARY)]


def answer_tokens(prompt, seed, count, start=0):
    """Return tokens ``start`` .. ``count - 1`` of the answer."""
    return [answer_token(prompt, seed, i) for i in range(start, count)]


def answer_text(prompt, seed, count):
    """Return the whole answer as text, tokens joined by spaces."""
    return ' '.join(answer_tokens(prompt, seed, count))


def block_hashes(tokens, block=BLOCK_TOKENS):
    """Return chained hashes of the prompt's full blocks.

    Block ``i`` hashes block ``i - 1``'s hash with its own tokens, so
    equal hashes mean equal prefixes.
    """
    hashes = []
    previous = ''
    for start in range(0, len(tokens) - block + 1, block):
        previous = _digest(previous + ' '.join(tokens[start : start + block]))
        hashes.append(previous)
    return hashes
