"""Return of freed memory to the system."""

import functools

from topazlug import _logs

_log = _logs.logger("daemon")
# The C library's option M_MMAP_THRESHOLD.
_MMAP_THRESHOLD_OPTION = -3
_MMAP_THRESHOLD_BYTES = 131072


@functools.cache
def return_large_blocks() -> None:
    """Have each large block returned to the system as soon as it is freed.

    By default the C library raises its threshold to the largest block that
    was ever freed, and keeps all blocks below it for reuse.
    """
    # Imported here, as a daemon that never reads a long body does not need it.
    import ctypes

    try:
        mallopt = ctypes.CDLL(None).mallopt
    except (OSError, AttributeError):
        _log.info("the C library has no option to return freed memory")
        return
    mallopt(_MMAP_THRESHOLD_OPTION, _MMAP_THRESHOLD_BYTES)
