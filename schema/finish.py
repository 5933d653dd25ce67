"""Post-process generated modules where the generator has no option.

Every struct becomes keyword-only. Settings and rows reject unknown keys;
messages ignore them, because a newer daemon may send more fields. Absent
fields get the documented default.
"""

import pathlib
import re
import sys

STRICT = "kw_only=True, forbid_unknown_fields=True"
LENIENT = "kw_only=True, omit_defaults=True"


def finish(text: str, *, options: str) -> str:
    """Return the module with the options and defaults of its structs set.

    Parameters
    ----------
    text : str
        Source of the module as written by the generator.
    options : str
        Class options added to each struct.

    Returns
    -------
    str
        Source of the post-processed module.
    """
    text = text.replace("(Struct):", f"(Struct, {options}):")
    text = re.sub(r"\s*\| UnsetType\b", "", text)
    text = re.sub(
        r"^(    \w+): (\w+) = UNSET$",
        _default_of,
        text,
        flags=re.MULTILINE,
    )
    text = text.replace("from msgspec import UnsetType\n", "")
    if "UNSET" not in text.replace("import UNSET", ""):
        text = text.replace("from msgspec import UNSET\n", "")
    return text.replace("import Struct\n", "import Struct, field\n")


def _default_of(match: re.Match[str]) -> str:
    name, kind = match.groups()
    if kind.endswith("Settings") and kind != "TlsSettings":
        return f"{name}: {kind} = field(default_factory={kind})"
    return f"{name}: {kind} | None = None"


def main() -> None:
    """Post-process the module named by the first argument, in place."""
    path = pathlib.Path(sys.argv[1])
    lenient = path.name == "messages.py"
    options = LENIENT if lenient else STRICT
    path.write_text(finish(path.read_text(), options=options))


if __name__ == "__main__":
    main()
