"""Pace of the bytes that a router relays on its network link.

Load that this answers: bodies or streams that fill the link of a router.
Reports and updates of the leader then wait in the network behind them, the
router loses its leader although it is alive, and its callers are refused.

The bytes of requests and answers therefore get a bounded share of the link.
Each direction has a token bucket. Bytes are never dropped or refused here: what
exceeds the pace waits with its sender, as the router reads or writes it later.
Pieces are small enough that a message of the leader waits only briefly behind
one.
"""

import dataclasses

from waxwingrack.operations import saturation

# Bytes that may pass without a wait after a pause, as time on the link. It is
# far below the shortest silence after which a router leaves its leader (0.5 s).
BURST_S = 0.02
# Longest time on the link of one piece. All connections that relay at the same
# time may each have one under way.
PIECE_S = 0.005
# Bounds of a piece in bytes. A smaller one costs a call for few bytes; the
# larger one is what a connection reads at once without a pace.
MIN_PIECE_BYTES = 4_096
MAX_PIECE_BYTES = 65_536
# Longest wait of one piece. It is shorter than any time limit of a transfer, so
# that a slow link alone never ends one.
MAX_WAIT_S = 1.0


@dataclasses.dataclass(frozen=True, slots=True)
class Pace:
    """Token bucket of one direction of a link.

    Attributes:
      bytes_per_s: Rate at which relayed bytes may pass.
      debt_bytes: Bytes that have passed ahead of the rate; negative after a
        pause, down to those of a burst.
      updated_s: Time of the latest change, in seconds.
    """

    bytes_per_s: float
    debt_bytes: float = 0.0
    updated_s: float = 0.0

    @property
    def piece_bytes(self) -> int:
        """Most bytes to read or write at once."""
        return max(
            MIN_PIECE_BYTES,
            min(MAX_PIECE_BYTES, int(self.bytes_per_s * PIECE_S)),
        )


def create_pace(link_mbps: float) -> Pace | None:
    """Creates the pace of one direction of a link.

    Args:
      link_mbps: Capacity in megabits per second; 0 if it is not known.

    Returns:
      The pace, None if the capacity is not known.
    """
    if not link_mbps > 0:
        return None
    return Pace(link_mbps * 1e6 / 8 * saturation.USABLE_LINK_SHARE)


def add_bytes(pace: Pace, size: int, now_s: float) -> Pace:
    """Charges bytes that are read or written now.

    Args:
      pace: Pace before.
      size: Number of bytes.
      now_s: Time on a monotonic clock.
    """
    elapsed_s = max(0.0, now_s - pace.updated_s)
    burst_bytes = pace.bytes_per_s * BURST_S
    paid = max(-burst_bytes, pace.debt_bytes - elapsed_s * pace.bytes_per_s)
    return dataclasses.replace(
        pace, debt_bytes=paid + max(0, size), updated_s=now_s
    )


def find_backlog_s(pace: Pace, now_s: float) -> float:
    """Returns the time in seconds that the link needs for what has passed.

    Args:
      pace: Pace of the direction.
      now_s: Time on the clock of `add_bytes`.
    """
    due_s = pace.updated_s + pace.debt_bytes / pace.bytes_per_s
    return max(0.0, due_s - now_s)


def find_wait_s(pace: Pace, now_s: float) -> float:
    """Returns the time until the next piece may pass.

    Args:
      pace: Pace of the direction.
      now_s: Time on the clock of `add_bytes`.

    Returns:
      Seconds, from 0 to `MAX_WAIT_S`.
    """
    return min(MAX_WAIT_S, find_backlog_s(pace, now_s))
