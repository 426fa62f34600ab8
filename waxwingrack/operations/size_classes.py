"""Fair treatment of large requests of a kind.

Load that this answers: a service that refuses what cannot come in time refuses
large requests first, as they take longer. Here a kind is a route. Its largest
tenth and the next fifth below are two classes. A class may be refused at most
twice as often as the kind, and is served at least half as often.
"""

import dataclasses
import math

from waxwingrack.core import data

# Shares of the requests of a kind that are below its largest tenth, and below
# the fifth next to it.
QUANTILES = (0.7, 0.9)
# Relative change of a learned size by one request.
SIZE_STEP = 0.02
# Bounds of a size, in the unit of the sizes.
MIN_SIZE = 1.0
MAX_SIZE = 1e9
# Factor by which older decisions count less with each decision of a kind. The
# rates are over about the last 500 decisions, of which a class sees 50.
DECAY = 0.998
# Decisions of a class below which it is not compared, as each would move its
# rate too far.
MIN_DECISIONS = 10.0
# A class may be refused at most this many times as often as its kind.
MAX_REFUSED_RATIO = 2.0
# A class is served at least this many times as often as its kind.
MIN_SERVED_RATIO = 0.5


@dataclasses.dataclass(frozen=True, slots=True)
class Decisions:
    """Decaying counts of decisions.

    Attributes:
      count: Number of decisions.
      refused: Number of refusals among them.
    """

    count: float = 0.0
    refused: float = 0.0

    def add(self, refused: bool, counted: bool = True) -> "Decisions":
        """Returns the counts after one more decision of the kind."""
        return Decisions(
            self.count * DECAY + counted,
            self.refused * DECAY + (counted and refused),
        )

    def get_rate(self) -> float:
        """Returns the rate of refusals, from 0 to 1."""
        return self.refused / self.count if self.count else 0.0


@dataclasses.dataclass(frozen=True)
class Kind:
    """Sizes and refusals of the requests of a kind.

    Attributes:
      sizes: Learned sizes at `QUANTILES`; 0 before the first request.
      total: Decisions on all requests.
      classes: Decisions on those of each class, the smaller sizes first.
    """

    sizes: tuple[float, float] = (0.0, 0.0)
    total: Decisions = Decisions()
    classes: tuple[Decisions, Decisions] = (Decisions(), Decisions())


def find_class(kind: Kind, size: float) -> int | None:
    """Returns the index of the class of a size; None for smaller requests."""
    if not MIN_SIZE <= size <= MAX_SIZE or not kind.sizes[0]:
        return None
    lower, upper = kind.sizes
    if size >= upper and upper > lower:
        return 1
    return 0 if size >= lower and upper > lower else None


def add_size(kind: Kind, size: float) -> Kind:
    """Updates the learned sizes with a new request.

    Args:
      kind: The kind.
      size: Size of the request; not counted outside the bounds.
    """
    if not MIN_SIZE <= size <= MAX_SIZE:
        return kind
    if not kind.sizes[0]:
        return data.evolve(kind, sizes=(size, size))
    sizes = tuple(
        min(MAX_SIZE, max(MIN_SIZE, learned * math.exp(exponent)))
        for learned, quantile in zip(kind.sizes, QUANTILES, strict=True)
        for exponent in (
            SIZE_STEP * (quantile if size > learned else quantile - 1),
        )
    )
    return data.evolve(kind, sizes=(sizes[0], max(sizes)))


def add_decision(kind: Kind, size: float, refused: bool) -> Kind:
    """Adds a decision on a request of a size to the counts."""
    own_index = find_class(kind, size)
    lower, upper = (
        counts.add(refused, index == own_index)
        for index, counts in enumerate(kind.classes)
    )
    return data.evolve(
        kind, total=kind.total.add(refused), classes=(lower, upper)
    )


def must_be_kept(kind: Kind, size: float) -> bool:
    """Tells whether the refusal of a request would break the minimum share."""
    index = find_class(kind, size)
    if index is None or kind.classes[index].count < MIN_DECISIONS:
        return False
    rate = kind.total.add(True).get_rate()
    limit = min(MAX_REFUSED_RATIO * rate, 1 - MIN_SERVED_RATIO * (1 - rate))
    return kind.classes[index].add(True).get_rate() > limit
