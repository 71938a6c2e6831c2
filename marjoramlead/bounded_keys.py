"""Keys of a bounded size for what is kept of a request after its end.

An id or URI may be as long as the head of a request, or longer in a query of
another node. Thousands of them are kept at a time.
"""

from hashlib import blake2b
from typing import Final

__all__ = ('MAX_KEY_CHARS', 'bounded_key')

# Longest text that is its own key: more than an id that clients generate.
MAX_KEY_CHARS: Final = 128
DIGEST_BYTES: Final = 16


def bounded_key(text: str) -> str:
    """Return a text itself if it is short, or else its begin and a digest.

    Parameters
    ----------
    text
        An id, or a text that identifies a request.
    """
    if len(text) <= MAX_KEY_CHARS:
        return text
    digest = blake2b(
        text.encode(errors='surrogatepass'), digest_size=DIGEST_BYTES
    )
    return f'{text[:MAX_KEY_CHARS]}...{digest.hexdigest()}'
