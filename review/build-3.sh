#!/usr/bin/env bash
# Builds the stand-ins of review/11 to review/15. They are Python modules without
# dependencies of their own, so it is enough that they can be imported.
set -euo pipefail
cd "$(dirname "$0")/.."
PYTHONPATH=. python3 -c 'from review.common_3 import fleet, http, workers'
