"""Runs every check of the project and counts the results.

Each of formatter, linter and binary build counts as one check; every scenario
of behave counts as one. Cases listed in KNOWN-RED.txt are excluded by their tag
`known_red` and printed.
"""

import json
import pathlib
import subprocess
import sys
import tempfile

ROOT = pathlib.Path(__file__).resolve().parent.parent
TOOLS = pathlib.Path(sys.executable).parent

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


def run_features(arguments: list[str]) -> list[str]:
    """Runs behave.

    Args:
      arguments: Further arguments for behave.

    Returns:
      The status of each scenario that was selected. A run that ends without a
      report counts as one failure.
    """
    with tempfile.TemporaryDirectory() as folder:
        report = pathlib.Path(folder) / "report.json"
        subprocess.run(
            [
                sys.executable,
                "-m",
                "behave",
                "--tags=not known_red",
                "--format=json",
                f"--outfile={report}",
                "--format=progress",
                "--no-skipped",
                *arguments,
            ],
            cwd=ROOT,
        )
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
    broken = [
        "failed"
        for feature in features
        if feature.get("status") not in ("passed", "skipped")
        and not any(
            element.get("status") not in ("passed", "skipped")
            for element in feature.get("elements", ())
        )
    ]
    return statuses + broken


def main() -> int:
    """Runs all checks and prints the counts.

    Returns:
      Exit code: 0 if everything passed.
    """
    results = [run_command(name, command) for name, command in CHECKS]
    statuses = run_features(sys.argv[1:])
    results += [
        status == "passed" for status in statuses if status != "skipped"
    ]
    known_red = ROOT / "KNOWN-RED.txt"
    if known_red.exists():
        print("Known red, not run:\n" + known_red.read_text())
    failed = results.count(False)
    if not statuses:
        print("no scenario ran")
        failed += 1
    print(f"{results.count(True)} passed, {failed} failed", flush=True)
    return 1 if failed else 0


if __name__ == "__main__":
    sys.exit(main())
