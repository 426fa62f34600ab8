"""Command lines of the operators' pages."""

import pathlib
import re
import shlex

ROOT = pathlib.Path(__file__).resolve().parents[2]


def commands(page, heading=""):
    """Reads the indented command lines of a page.

    Args:
      page: Path below the root of the repository.
      heading: Text of a heading, to read only its section with its
        subsections; empty for the whole page.

    Returns:
      Words of each command line, in the order of the page.

    Raises:
      AssertionError: The page has no such heading.
    """
    text = (ROOT / page).read_text()
    section = _section(text, heading) if heading else text
    section = re.sub(r"\\\n +", "", section)
    # Blocks within a numbered list are indented further.
    found = re.findall(r"^ {4,}((?:waxwingrack|kill|curl) .*)$", section, re.M)
    return [shlex.split(line) for line in found]


def _section(text, heading):
    start = re.search(rf"^(#+) {re.escape(heading)}$", text, re.M)
    assert start, f"no heading {heading!r}"
    rest = text[start.end() :]
    end = re.search(rf"^#{{1,{len(start[1])}}} ", rest, re.M)
    return rest[: end.start()] if end else rest
