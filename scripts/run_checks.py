"""Runs every check of the project and counts the results.

Each of formatter, linter and binary build counts as one check; every scenario
of behave counts as one. Features run side by side, each in a behave process
of its own. Cases listed in KNOWN-RED.txt are excluded by their tag `known_red`
and printed.

Usage: run_checks.py [FEATURE ...]; without features all checks run.
"""

from concurrent import futures
import dataclasses
import itertools
import json
import pathlib
import subprocess
import sys
import tempfile

ROOT = pathlib.Path(__file__).resolve().parent.parent
TOOLS = pathlib.Path(sys.executable).parent
# Features that run at the same time; a fleet has about ten processes.
PARALLEL = 6
# These measure times, so they run alone after the others.
ALONE = "@alone"
# Longest run of one feature, in seconds.
FEATURE_TIMEOUT_S = 1_500

CHECKS = (
    ("formatter", (str(TOOLS / "ruff"), "format", "--check", ".")),
    ("linter", (str(TOOLS / "ruff"), "check", ".")),
    ("binary", ("bash", "scripts/build")),
)


def run_command(name: str, command: tuple[str, ...]) -> bool:
    """Runs one command and prints its output if it fails.

    Args:
      name: Name of the check.
      command: Program and arguments.

    Returns:
      Whether it succeeded.
    """
    done = subprocess.run(command, cwd=ROOT, capture_output=True, text=True)
    passed = done.returncode == 0
    print(f"{name}: {'passed' if passed else 'failed'}", flush=True)
    if not passed:
        print(done.stdout, done.stderr, flush=True)
    return passed


@dataclasses.dataclass(frozen=True)
class FeatureResult:
    """Result of a run of a feature.

    Attributes:
      name: File name of the feature.
      statuses: Status of each scenario that was selected. A run that ends
        without a report counts as one failure.
      output: What behave printed, with the messages of failed steps.
    """

    name: str
    statuses: list[str]
    output: str

    @property
    def passed(self) -> bool:
        """Whether all scenarios passed."""
        return all(status == "passed" for status in self.statuses)


def run_feature(path: pathlib.Path) -> FeatureResult:
    """Runs one feature with behave and prints its counts.

    Args:
      path: Path of the feature.
    """
    with tempfile.TemporaryDirectory() as folder:
        report = pathlib.Path(folder) / "report.json"
        command = [
            sys.executable,
            "-m",
            "behave",
            "--tags=not known_red",
            "--format=json",
            f"--outfile={report}",
            "--format=progress",
            "--no-skipped",
            str(path),
        ]
        try:
            done = subprocess.run(
                command,
                cwd=ROOT,
                capture_output=True,
                text=True,
                timeout=FEATURE_TIMEOUT_S,
            )
            output = done.stdout + done.stderr
            statuses = read_report(report, done.returncode)
            # The progress format leaves the messages of failed steps out.
            output += "\n".join(read_messages(report))
        except subprocess.TimeoutExpired:
            output = f"no end within {FEATURE_TIMEOUT_S} s"
            statuses = ["failed"]
    passed = statuses.count("passed")
    print(f"{path.name}: {passed} of {len(statuses)} passed", flush=True)
    return FeatureResult(path.name, statuses, output)


def read_report(report: pathlib.Path, exit_code: int) -> list[str]:
    """Reads the statuses of the scenarios from behave's own report.

    Args:
      report: Path of the JSON report.
      exit_code: Exit code of behave.

    Returns:
      The statuses, with a failure added if behave failed and no scenario did.
    """
    try:
        features = json.loads(report.read_text())
    except (OSError, ValueError):
        return ["failed"]
    statuses = [
        element.get("status", "failed")
        for feature in features
        for element in feature.get("elements", ())
        if element["type"] == "scenario"
    ]
    ran = [status for status in statuses if status != "skipped"]
    if exit_code and all(status == "passed" for status in ran):
        ran.append("failed")
    return ran


def read_messages(report: pathlib.Path) -> list[str]:
    """Reads the messages of failed steps from behave's own report.

    Args:
      report: Path of the JSON report.

    Returns:
      One text for each failed step, empty if there is no report.
    """
    try:
        features = json.loads(report.read_text())
    except (OSError, ValueError):
        return []
    elements = itertools.chain.from_iterable(
        feature.get("elements", ()) for feature in features
    )
    return [
        f"{element['location']} {step['name']}\n"
        + _text(step["result"].get("error_message", "no message"))
        for element in elements
        for step in element.get("steps", ())
        if step.get("result", {}).get("status") in ("failed", "error")
    ]


def _text(message: str | list[str]) -> str:
    # The JSON report holds longer messages as a list of lines.
    return message if isinstance(message, str) else "\n".join(message)


def run_features(paths: list[pathlib.Path]) -> list[FeatureResult]:
    """Runs features, most of them side by side.

    Args:
      paths: Paths of the features.
    """
    alone = [path for path in paths if ALONE in path.read_text()]
    together = [path for path in paths if path not in alone]
    # The fault matrix takes longest, so it starts first.
    together.sort(key=lambda path: "fault_matrix" not in path.name)
    with futures.ThreadPoolExecutor(PARALLEL) as pool:
        results = list(pool.map(run_feature, together))
    return results + [run_feature(path) for path in alone]


def main() -> int:
    """Runs all checks and prints the counts.

    Returns:
      Exit code: 0 if everything passed.
    """
    named = [pathlib.Path(name) for name in sys.argv[1:]]
    results = [] if named else [run_command(*check) for check in CHECKS]
    known_red = ROOT / "KNOWN-RED.txt"
    if known_red.exists():
        print("Known red, not run:\n" + known_red.read_text(), flush=True)
    features = run_features(
        named or sorted((ROOT / "features").glob("*.feature"))
    )
    # Logs of checks may be cut at their beginning, so failures come last.
    for feature in features:
        if not feature.passed:
            print(f"failed: {feature.name}\n{feature.output}", flush=True)
    statuses = [status for feature in features for status in feature.statuses]
    results += [status == "passed" for status in statuses]
    if not statuses:
        print("no scenario ran")
        results.append(False)
    failed = results.count(False)
    print(f"{results.count(True)} passed, {failed} failed", flush=True)
    return 1 if failed else 0


if __name__ == "__main__":
    sys.exit(main())
