"""Step for the seeded random runs."""

import behave
import replication_simulation


@behave.then(
    "the replicated random run of seed {seed:d} with {steps:d} steps keeps all"
    " invariants"
)
def random_run(context, seed, steps):
    counts = replication_simulation.run(seed, steps)
    # A run that commits nothing would prove nothing.
    assert counts["entries"] > 50, counts
