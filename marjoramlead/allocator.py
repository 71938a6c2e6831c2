"""How the C library gives memory back to the operating system."""

import ctypes
from typing import Final

__all__ = ('set_block_threshold',)

# Option of glibc, from malloc.h.
M_MMAP_THRESHOLD: Final = -3
# Size from which a block of memory is the operating system's own: it is
# extended without a copy, and given back whole. By default, glibc raises its
# threshold with each block that is freed, up to 32 MB.
BLOCK_BYTES: Final = 131_072


def set_block_threshold() -> bool:
    """Fix the size from which blocks are given back; return whether it is."""
    mallopt = getattr(ctypes.CDLL(None), 'mallopt', None)
    return bool(mallopt and mallopt(M_MMAP_THRESHOLD, BLOCK_BYTES))
