"""Generate docs/reference/settings.md from schema/settings.yaml.

With ``--check``, write nothing and fail if the page is out of date.
"""

import argparse
import pathlib
import sys
from typing import Any

import yaml

ROOT = pathlib.Path(__file__).parent.parent
SCHEMA = ROOT / "schema" / "settings.yaml"
PAGE = ROOT / "docs" / "reference" / "settings.md"
INTRODUCTION = """\
# Settings

<!-- Made by schema/settings_page.py from schema/settings.yaml. -->

`topazlugd` reads one file in YAML. Durations are in seconds. A key that is
not on this page, a value of another type or out of its range, and a key that
stands twice are refused at start, with the file, the key, what was found and
what was expected. `topazlugd --check` does only this.

A string may be written as `!env NAME`: it is then taken from that environment
variable, as for `peers.secret`. It is not shown in error messages. A `host`
is an IP number; names are refused, as daemons look up none. The files of a
certificate must be there at start. `limits.default_deadline` is at most
`limits.max_deadline`.
"""
RANGES = {
    "minimum": "≥ {}",
    "exclusiveMinimum": "> {}",
    "maximum": "≤ {}",
    "minLength": "length ≥ {}",
    "maxLength": "length ≤ {}",
}


def page(schema: dict[str, Any]) -> str:
    """Return the text of the page.

    Parameters
    ----------
    schema : dict
        The JSON Schema of the settings.
    """
    parts = [INTRODUCTION]
    for name, reference in schema["properties"].items():
        section = _resolved(reference, schema)
        required = name in schema["required"]
        parts.append(_section(name, section, required, schema))
    return "\n".join(parts)


def main() -> int:
    """Write or check the page."""
    parser = argparse.ArgumentParser(description=__doc__)
    parser.add_argument("--check", action="store_true")
    arguments = parser.parse_args()
    text = page(yaml.safe_load(SCHEMA.read_text(encoding="utf-8")))
    if not arguments.check:
        PAGE.write_text(text, encoding="utf-8")
        return 0
    if PAGE.read_text(encoding="utf-8") == text:
        return 0
    print(f"{PAGE} is not current: run make generate", file=sys.stderr)
    return 1


def _resolved(node: dict[str, Any], schema: dict[str, Any]) -> dict[str, Any]:
    if "$ref" not in node:
        return node
    name = node["$ref"].rpartition("/")[2]
    return {**schema["$defs"][name], **node}


def _section(
    name: str, section: dict[str, Any], required: bool, schema: dict[str, Any]
) -> str:
    need = "Required." if required else "May be left out."
    lines = [
        f"## {name}",
        "",
        f"{section['description']} {need}",
        "",
        "| key | type | range | default | meaning |",
        "|---|---|---|---|---|",
        *_rows(section, schema, prefix="", optional=False),
        "",
    ]
    return "\n".join(lines)


def _rows(
    section: dict[str, Any],
    schema: dict[str, Any],
    *,
    prefix: str,
    optional: bool,
) -> list[str]:
    rows = []
    required = section.get("required", [])
    for key, node in section["properties"].items():
        resolved = _resolved(node, schema)
        left_out = optional or key not in required
        if resolved["type"] == "object":
            rows += _rows(
                resolved, schema, prefix=f"{prefix}{key}.", optional=left_out
            )
            continue
        rows.append(_row(f"{prefix}{key}", resolved, left_out))
    return rows


def _row(key: str, node: dict[str, Any], optional: bool) -> str:
    default = "none" if optional else "**required**"
    if "default" in node:
        default = f"`{node['default']!r}`".replace("'", '"')
    meaning = node.get("description", "")
    cells = (f"`{key}`", node["type"], _range(node), default, meaning)
    return "| " + " | ".join(cells) + " |"


def _range(node: dict[str, Any]) -> str:
    if "enum" in node:
        return ", ".join(f"`{value}`" for value in node["enum"])
    bounds = [
        form.format(node[word])
        for word, form in RANGES.items()
        if word in node
    ]
    return ", ".join(bounds)


if __name__ == "__main__":
    sys.exit(main())
