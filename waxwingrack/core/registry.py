"""Registries whose entries are added by decorators."""

from collections.abc import Callable
from collections.abc import Hashable
from collections.abc import Iterator
from typing import Generic
from typing import TypeVar

K = TypeVar("K", bound=Hashable)
V = TypeVar("V")


class Registry(Generic[K, V]):
    """A mapping of keys to registered functions or classes.

    Attributes:
      name: Noun for one entry, used in error messages.
    """

    def __init__(self, name: str):
        self.name = name
        self._entries: dict[K, V] = {}

    def register(self, key: K) -> Callable[[V], V]:
        """Returns a decorator that registers its target under `key`.

        Args:
          key: Key of the entry.

        Returns:
          The decorator; it returns its target unchanged.

        Raises:
          ValueError: The key is registered already.
        """

        def decorate(target: V) -> V:
            if key in self._entries:
                raise ValueError(f"{self.name} {key!r} is registered twice")
            self._entries[key] = target
            return target

        return decorate

    def get(self, key: K) -> V | None:
        """Returns the entry of `key`, or None."""
        return self._entries.get(key)

    def __getitem__(self, key: K) -> V:
        return self._entries[key]

    def __iter__(self) -> Iterator[K]:
        return iter(self._entries)

    def items(self) -> Iterator[tuple[K, V]]:
        """Iterates over keys and entries in order of registration."""
        return iter(self._entries.items())
