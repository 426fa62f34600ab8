"""Measures how much of its resources a router uses."""

from collections.abc import Iterable
import math
import os
import resource
import time
from typing import Any

from waxwingrack.core import data
from waxwingrack.daemons import event_loop
from waxwingrack.operations import saturation

_DESCRIPTOR_FOLDER = "/proc/self/fd"


class ResourceMeter:
    """Measures the use of a router's resources between two samples."""

    def __init__(self, settings: data.Settings):
        """Starts to measure.

        Args:
          settings: Settings with the capacities.
        """
        self._settings = settings
        self._busy_meter = event_loop.BusyMeter()
        self._sampled_s = time.monotonic()
        self._processor_s = time.process_time()
        self._relayed_bytes = 0
        self._max_descriptors = find_descriptor_limit(settings.max_descriptors)

    def count_relayed(self, size: int) -> None:
        """Counts received bytes of requests and answers."""
        self._relayed_bytes += size

    def sample(
        self, buffered_bytes: int
    ) -> tuple[saturation.ResourceUse, float]:
        """Measures the use since the last sample.

        Args:
          buffered_bytes: Bytes of requests and answers that are held now.

        Returns:
          The use and the time since the last sample in seconds.
        """
        now_s, processor_s = time.monotonic(), time.process_time()
        elapsed_s, self._sampled_s = now_s - self._sampled_s, now_s
        worked_s = processor_s - self._processor_s
        self._processor_s = processor_s
        relayed_bytes, self._relayed_bytes = self._relayed_bytes, 0
        settings = self._settings
        use = saturation.ResourceUse(
            loop=self._busy_meter.read(),
            link=saturation.compute_link_use(
                relayed_bytes, elapsed_s, settings.link_mbps
            ),
            processor=saturation.compute_use(
                # The router runs on one core at a time.
                worked_s,
                elapsed_s * min(1.0, settings.processor_cores),
            ),
            memory=saturation.compute_memory_use(
                buffered_bytes, settings.max_buffered_bytes
            ),
            descriptors=saturation.compute_use(
                count_descriptors(), self._max_descriptors
            ),
        )
        return use, elapsed_s


def find_descriptor_limit(setting: int) -> float:
    """Returns the number of descriptors that the process may open.

    Args:
      setting: Limit of the settings; 0 if there is none.

    Returns:
      The lower one of the limits of the settings and of the process.
    """
    soft, _ = resource.getrlimit(resource.RLIMIT_NOFILE)
    own = math.inf if soft == resource.RLIM_INFINITY else soft
    return min(own, setting or math.inf)


def count_descriptors() -> int:
    """Returns the number of open descriptors; 0 where it cannot be read."""
    try:
        # Recent kernels give the number as the size of the folder.
        return os.stat(_DESCRIPTOR_FOLDER).st_size or len(
            os.listdir(_DESCRIPTOR_FOLDER)
        )
    except OSError:
        return 0


def count_unsent_bytes(channels: Iterable[Any]) -> int:
    """Returns the bytes of answers that callers have not taken yet.

    Args:
      channels: Connections of callers.
    """
    return sum(channel.unsent_bytes for channel in channels)
