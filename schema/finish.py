"""Last step of generation: what the generator has no option for.

It makes every struct keyword-only, makes settings and rows refuse unknown
keys, lets messages survive them (a newer daemon may send more), and turns
"absent" into the documented default.
"""

import pathlib
import re
import sys

STRICT = "kw_only=True, forbid_unknown_fields=True"
LENIENT = "kw_only=True, omit_defaults=True"


def finish(text: str, *, options: str) -> str:
    """Give the structs their options and defaults.

    Parameters
    ----------
    text : str
        Module made by the generator.
    options : str
        Options of each struct.

    Returns
    -------
    str
        The finished module.
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
    """Finish the module named by the first argument, in place."""
    path = pathlib.Path(sys.argv[1])
    lenient = path.name == "messages.py"
    options = LENIENT if lenient else STRICT
    path.write_text(finish(path.read_text(), options=options))


if __name__ == "__main__":
    main()
