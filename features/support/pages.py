"""Command lines of the operators' pages."""

import pathlib
import re
import shlex

ROOT = pathlib.Path(__file__).resolve().parents[2]


def commands(page, heading):
    """Reads the indented command lines of a section.

    Args:
      page: Path below the root of the repository.
      heading: Text of the section's heading; its subsections are included.

    Returns:
      Words of each command line, in the order of the page.

    Raises:
      AssertionError: The page has no such heading.
    """
    text = (ROOT / page).read_text()
    start = re.search(rf"^(#+) {re.escape(heading)}$", text, re.M)
    assert start, f"{page} has no heading {heading!r}"
    rest = text[start.end() :]
    end = re.search(rf"^#{{1,{len(start[1])}}} ", rest, re.M)
    section = rest[: end.start()] if end else rest
    section = re.sub(r"\\\n +", "", section)
    # Blocks within a numbered list are indented further.
    found = re.findall(r"^ {4,}((?:waxwingrack|kill|curl) .*)$", section, re.M)
    return [shlex.split(line) for line in found]
