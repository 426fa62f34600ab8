"""Clock of routers and controllers."""

import time


def monotonic_ms() -> int:
    """Returns the time that leases, grants and time-outs are measured on.

    The clock is `CLOCK_BOOTTIME`, which advances while the VM is suspended.
    `CLOCK_MONOTONIC` stops then: after a resume, a leader would consider its
    lease and a router its grants valid, although another leader may have been
    elected and have granted the same slots. Both clocks advance while a process
    is stopped (SIGSTOP). Wall clock time is unsuitable, as it can be set back.

    Returns:
      Milliseconds since the VM started; not comparable between VMs.
    """
    return time.clock_gettime_ns(time.CLOCK_BOOTTIME) // 1_000_000
