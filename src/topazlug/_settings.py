"""Reads and validates the settings file of the daemon.

Each error names the file, the key, the value found, what was expected and the
remedy, so that an operator can correct the file without reading the code.
"""

import difflib
import enum
import ipaddress
import math
import os
import pathlib
import re
from typing import Any
from typing import final
from urllib import parse

import msgspec
import yaml

from topazlug import _errors
from topazlug._generated import settings

ENV_TAG = "!env"
OTLP_SCHEMES = ("http", "https")
HIDDEN_KEYS = ("secret", "bootstrap_token_hash")
MAX_SHOWN_CHARACTERS = 80
REFERENCE = "see docs/reference/settings.md"

_FAILURE = re.compile(r"^(?P<what>.*?)(?: - at `\$(?P<path>[^`]*)`)?$", re.S)
_UNKNOWN = re.compile(r"^Object contains unknown field (?P<key>.*)$", re.S)
_MISSING = re.compile(r"^Object missing required field (?P<key>.*)$")
_EXPECTED = re.compile(r"^Expected (?P<expected>.*?)(?:, got .*)?$", re.S)


def load(path: pathlib.Path) -> settings.DaemonSettings:
    """Read and validate a settings file.

    Parameters
    ----------
    path : pathlib.Path
        A YAML file. A string written as ``!env NAME`` is taken from the
        environment variable of that name.

    Returns
    -------
    settings.DaemonSettings
        The settings, with defaults for missing keys.

    Raises
    ------
    SettingsInvalid
        If the file can't be read, is not YAML, or violates the schema.
    """
    document = _read(path)
    error_builder = _ErrorBuilder(path=path, document=document)
    tree = document.tree
    _check_raw_values(tree, (), error_builder)
    try:
        loaded = msgspec.convert(tree, settings.DaemonSettings, strict=True)
    except msgspec.ValidationError as error:
        raise _conversion_error(str(error), error_builder) from None
    _check_values(loaded, (), error_builder)
    _check_deadlines(loaded, error_builder)
    _check_otlp_endpoint(loaded, error_builder)
    return loaded


@final
class _Document(msgspec.Struct, kw_only=True, frozen=True):
    tree: Any
    values_from_environment: frozenset[str]


@final
class _ErrorBuilder(msgspec.Struct, kw_only=True, frozen=True):
    """Builds errors about one settings file."""

    path: pathlib.Path
    document: _Document

    def error(
        self, key: tuple[str, ...], *, expected: str, remedy: str
    ) -> _errors.SettingsInvalid:
        found = self._format_value(key)
        return _invalid(
            self.path,
            f"{'.'.join(key) or 'the file'}: found {found}, "
            f"expected {expected}; {remedy}",
        )

    def _format_value(self, key: tuple[str, ...]) -> str:
        value = _value_at(self.document.tree, key)
        # Errors end up in logs and tickets, so an invalid secret must not be
        # shown in them.
        hidden = bool(key) and key[-1] in HIDDEN_KEYS
        if isinstance(value, str):
            hidden |= value in self.document.values_from_environment
        if hidden:
            return f"a hidden {type(value).__name__}"
        if isinstance(value, dict):
            return "a mapping"
        if isinstance(value, list):
            return "a list"
        if value is None:
            return "nothing"
        shown = repr(value)
        if len(shown) > MAX_SHOWN_CHARACTERS:
            return shown[:MAX_SHOWN_CHARACTERS] + "…"
        return shown


def _invalid(path: pathlib.Path, problem: str) -> _errors.SettingsInvalid:
    return _errors.SettingsInvalid(f"{path}: {problem}")


@final
class _Loader(yaml.SafeLoader):
    """Safe YAML loader that supports ``!env`` and rejects duplicate keys."""

    def __init__(self, stream: str) -> None:
        super().__init__(stream)
        self.values_from_environment: set[str] = set()

    def construct_env(self, node: yaml.Node) -> str:
        if not isinstance(node, yaml.ScalarNode):
            raise yaml.constructor.ConstructorError(
                problem=f"{ENV_TAG} requires the name of one variable",
                problem_mark=node.start_mark,
            )
        name = str(node.value)
        value = os.environ.get(name)
        if value is None:
            raise yaml.constructor.ConstructorError(
                problem=f"environment variable {name!r} is not set; set it "
                "before the daemon starts",
                problem_mark=node.start_mark,
            )
        self.values_from_environment.add(value)
        return value

    def construct_mapping(
        self, node: yaml.MappingNode, deep: bool = False
    ) -> dict[Any, Any]:
        # By default the last of several equal keys takes effect. A section
        # that was pasted twice would silently lose some of its values.
        seen = set()
        for key_node, _ in node.value:
            if key_node.value in seen:
                raise yaml.constructor.ConstructorError(
                    problem=f"key {key_node.value!r} is given twice; keep one",
                    problem_mark=key_node.start_mark,
                )
            seen.add(key_node.value)
        return super().construct_mapping(node, deep=deep)


_Loader.add_constructor(ENV_TAG, _Loader.construct_env)


def _read(path: pathlib.Path) -> _Document:
    try:
        text = path.read_text(encoding="utf-8")
    except OSError as error:
        raise _invalid(
            path,
            f"can't be read: {error.strerror}; check the path "
            "and its permissions",
        ) from error
    except UnicodeDecodeError as error:
        raise _invalid(
            path, f"byte {error.start} is not UTF-8; save it as UTF-8"
        ) from error
    try:
        loader = _Loader(text)
        tree = loader.get_single_data()
    except yaml.MarkedYAMLError as error:
        raise _invalid(path, _format_yaml_error(error)) from error
    except (yaml.YAMLError, ValueError, RecursionError) as error:
        raise _invalid(path, f"not YAML: {error}") from error
    return _Document(
        tree=tree,
        values_from_environment=frozenset(loader.values_from_environment),
    )


def _format_yaml_error(error: yaml.MarkedYAMLError) -> str:
    mark = error.problem_mark or error.context_mark
    problem = error.problem or error.context
    if mark is None:
        return f"not YAML: {problem}"
    return f"line {mark.line + 1}, column {mark.column + 1}: {problem}"


def _conversion_error(
    text: str, error_builder: _ErrorBuilder
) -> _errors.SettingsInvalid:
    """Return the settings error for an error of the typed conversion."""
    match = _FAILURE.match(text)
    if match is None:
        return _invalid(error_builder.path, text)
    problem = match["what"].replace("`", "")
    key = tuple(part for part in (match["path"] or "").split(".") if part)
    unknown = _UNKNOWN.match(problem)
    if unknown is not None:
        return _unknown_key(unknown["key"], key, error_builder)
    missing = _MISSING.match(problem)
    if missing is not None:
        return error_builder.error(
            (*key, missing["key"]),
            expected="a value, as the key is required",
            remedy=f"add it, {REFERENCE}",
        )
    expected = _EXPECTED.match(problem)
    return error_builder.error(
        key,
        expected=(
            expected["expected"] if expected else _format_choices(problem, key)
        ),
        remedy=f"correct it, {REFERENCE}",
    )


def _format_choices(problem: str, key: tuple[str, ...]) -> str:
    kind = _type_at(key)
    if isinstance(kind, enum.EnumMeta):
        names = [str(kind[name].value) for name in kind.__members__]
        return "one of " + ", ".join(names)
    return problem


def _unknown_key(
    name: str, section: tuple[str, ...], error_builder: _ErrorBuilder
) -> _errors.SettingsInvalid:
    known = _known_keys(section)
    nearest = difflib.get_close_matches(name, known, n=1, cutoff=0.5)
    remedy = f"known keys are {', '.join(known)}"
    if nearest:
        remedy = f"did you mean {nearest[0]!r}? {remedy}"
    return error_builder.error(
        (*section, name), expected="a known key", remedy=remedy
    )


def _known_keys(section: tuple[str, ...]) -> list[str]:
    kind = _type_at(section)
    return [field.name for field in msgspec.structs.fields(kind)]


def _type_at(key: tuple[str, ...]) -> Any:
    kind: Any = settings.DaemonSettings
    for part in key:
        fields = {f.name: f.type for f in msgspec.structs.fields(kind)}
        kind = _without_none(fields[part])
    return kind


def _without_none(kind: Any) -> Any:
    """Return a type without its ``| None``."""
    choices = [
        choice
        for choice in getattr(kind, "__args__", ())
        if choice is not type(None)
    ]
    return choices[0] if choices else kind


def _value_at(tree: Any, key: tuple[str, ...]) -> Any:
    for part in key:
        if not isinstance(tree, dict):
            return None
        tree = tree.get(part)
    return tree


def _check_raw_values(
    value: Any, key: tuple[str, ...], error_builder: _ErrorBuilder
) -> None:
    # YAML accepts ".inf" and ".nan" as numbers. Every comparison with nan is
    # false, so a daemon could start with a timeout that never expires.
    if isinstance(value, float) and not math.isfinite(value):
        raise error_builder.error(
            key, expected="a finite number", remedy="write a plain number"
        )
    if isinstance(value, dict):
        for name, inner in value.items():
            if not isinstance(name, str):
                raise error_builder.error(
                    key,
                    expected=f"keys that are strings, not {name!r}",
                    remedy=f"correct the key, {REFERENCE}",
                )
            _check_raw_values(inner, (*key, name), error_builder)


def _check_values(
    section: msgspec.Struct, key: tuple[str, ...], error_builder: _ErrorBuilder
) -> None:
    if isinstance(section, settings.AddressSettings):
        _check_host(section, (*key, "host"), error_builder)
    if isinstance(section, settings.TlsSettings):
        _check_files(section, key, error_builder)
    for field in msgspec.structs.fields(section):
        value = getattr(section, field.name)
        if isinstance(value, msgspec.Struct):
            _check_values(value, (*key, field.name), error_builder)


def _is_ip_number(text: str) -> bool:
    try:
        ipaddress.ip_address(text)
    except ValueError:
        return False
    return True


def _check_host(
    section: settings.AddressSettings,
    key: tuple[str, ...],
    error_builder: _ErrorBuilder,
) -> None:
    if not _is_ip_number(section.host):
        raise error_builder.error(
            key,
            expected="an IP number such as 10.0.0.7 or fd00::7",
            remedy="write the number: daemons do not resolve names, as they "
            "would then fail together with the name service",
        )


def _check_files(
    section: settings.TlsSettings,
    key: tuple[str, ...],
    error_builder: _ErrorBuilder,
) -> None:
    for field in msgspec.structs.fields(section):
        path = pathlib.Path(getattr(section, field.name))
        if not (path.is_file() and os.access(path, os.R_OK)):
            raise error_builder.error(
                (*key, field.name),
                expected="the path of a PEM file that can be read",
                remedy="provide the file or correct the path",
            )


def _check_deadlines(
    loaded: settings.DaemonSettings, error_builder: _ErrorBuilder
) -> None:
    limits = loaded.limits
    if limits.default_deadline > limits.max_deadline:
        raise error_builder.error(
            ("limits", "default_deadline"),
            expected=f"at most limits.max_deadline, {limits.max_deadline}",
            remedy="lower the default or raise limits.max_deadline",
        )


def _check_otlp_endpoint(
    loaded: settings.DaemonSettings, error_builder: _ErrorBuilder
) -> None:
    endpoint = loaded.metrics.otlp_endpoint
    if not endpoint:
        return
    try:
        url = parse.urlsplit(endpoint)
        valid = url.scheme in OTLP_SCHEMES and _is_ip_number(
            url.hostname or ""
        )
    except ValueError:
        valid = False
    if not valid:
        raise error_builder.error(
            ("metrics", "otlp_endpoint"),
            expected="a URL such as http://10.0.0.9:4318/v1/metrics, with an "
            "IP number",
            remedy="correct it, or omit the key",
        )
