"""The clock of routers and controllers."""

import time


def monotonic_ms() -> int:
    """Returns the clock that leases, grants and time-outs are measured on.

    It is `CLOCK_BOOTTIME`, which goes on while the VM sleeps. `CLOCK_MONOTONIC`
    stands still then: a leader that wakes up would take its lease, and a router
    its grants, for valid although another leader has been elected and has given
    the slots away. A stopped process (SIGSTOP) sees no difference, as both
    clocks go on. Wall clock time is unfit, as it can be set back.

    Returns:
      Milliseconds since the VM started; not comparable between VMs.
    """
    return time.clock_gettime_ns(time.CLOCK_BOOTTIME) // 1_000_000
