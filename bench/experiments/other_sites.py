"""Derives sites of other shapes: fewer zones, other sizes, one service only.

A site file describes one deployment. A result measured on it may depend on
its shape; this derives sites of other shapes from it, which are run like the
original.
"""

from collections.abc import Callable
import copy
import pathlib
import tomllib
from typing import Any

import click
import tomli_w

Site = dict[str, Any]


def fewer_zones(site: Site, *, count: int) -> Site:
    """Keep the first zones and move everything else into them."""
    names = [zone["name"] for zone in site["zones"]]
    remaining = names[:count]
    new_name_by_zone = {
        name: remaining[at % count] for at, name in enumerate(names)
    }
    site["zones"] = site["zones"][:count]
    _rename_zones(site, new_name_by_zone)
    site["machines"] = _merge_entries(site["machines"], ("count", "spare"))
    for service in site["services"]:
        service["servers"] = _merge_entries(service["servers"], ("count",))
    return site


def set_machines_per_zone(site: Site, *, per_zone: int) -> Site:
    """Set the number of machines in each zone."""
    for entry in site["machines"]:
        entry["count"] = per_zone
    return site


def keep_services(site: Site, *, model: bool) -> Site:
    """Keep only the engines, or only the plain services."""
    remaining = [one for one in site["services"] if ("model" in one) is model]
    names = {one["name"] for one in remaining}
    site["services"] = remaining
    site["classes"] = [
        one for one in site["classes"] if one["service"] in names
    ]
    classes = {one["name"] for one in site["classes"]}
    for entry in [site, *site["day"]]:
        for stream in entry.get("traffic", []):
            stream["mix"] = {
                name: part
                for name, part in stream["mix"].items()
                if name in classes
            }
    for troubles in _trouble_lists(site):
        troubles[:] = [
            one
            for one in troubles
            if one.get("service", remaining[0]["name"]) in names
            and one.get("class", next(iter(classes))) in classes
        ]
    return site


def small_machines(site: Site) -> Site:
    """Halve the machines' processor share and set 120 MB of memory."""
    for entry in site["machines"]:
        entry["cpu_share"] /= 2
        entry["memory_mb"] = 120
    return site


def short_deadlines(site: Site) -> Site:
    """Cut deadlines to a third, but not below twice the objective."""
    for one in site["classes"]:
        shorter = max(2 * one["aim_ms"], one["deadline_ms"] / 3)
        one["deadline_ms"] = shorter
        if "timeout_ms" in one:
            one["timeout_ms"] = shorter
    return site


def many_teams(site: Site) -> Site:
    """Set the number of teams to 200."""
    site["tenants"]["count"] = 200
    return site


SHAPE_BY_NAME: dict[str, Callable[[Site], Site]] = {
    "one-zone": lambda site: fewer_zones(site, count=1),
    "two-zones": lambda site: fewer_zones(site, count=2),
    "three-machines": lambda site: set_machines_per_zone(site, per_zone=1),
    "twenty-one-machines": lambda site: set_machines_per_zone(
        site, per_zone=7
    ),
    "engines-only": lambda site: keep_services(site, model=True),
    "services-only": lambda site: keep_services(site, model=False),
    "small-machines": small_machines,
    "short-deadlines": short_deadlines,
    "many-teams": many_teams,
}


def reshape(site: Site, shape: str) -> Site:
    """Return a site of another shape; `site` is not modified.

    Parameters
    ----------
    site : dict
        A site file, decoded.
    shape : str
        A key of `SHAPE_BY_NAME`.
    """
    other = SHAPE_BY_NAME[shape](copy.deepcopy(site))
    other["name"] = f"{site['name']}-{shape}"
    return other


def _rename_zones(value: Any, new_name_by_zone: dict[str, str]) -> None:
    if isinstance(value, list):
        for one in value:
            _rename_zones(one, new_name_by_zone)
        return
    if not isinstance(value, dict):
        return
    for key in ("zone", "to_zone"):
        if value.get(key) in new_name_by_zone:
            value[key] = new_name_by_zone[value[key]]
    for one in value.values():
        _rename_zones(one, new_name_by_zone)


def _merge_entries(
    entries: list[Site], summed_keys: tuple[str, ...]
) -> list[Site]:
    """Merge entries that differ only in the keys that are summed."""
    merged: list[Site] = []
    for entry in entries:
        same = [
            one
            for one in merged
            if all(
                one[key] == entry[key]
                for key in entry
                if key not in summed_keys
            )
        ]
        if not same:
            merged.append(entry)
            continue
        for key in summed_keys:
            if key in entry:
                same[0][key] += entry[key]
    return merged


def _trouble_lists(site: Site) -> list[list[Site]]:
    found = [site.get("troubles", [])]
    for day in site["day"]:
        found += [day.get("plan", []), day.get("faults", [])]
    return found


@click.command()
@click.argument("site", type=click.Path(exists=True, path_type=pathlib.Path))
@click.argument("folder", type=click.Path(path_type=pathlib.Path))
@click.option(
    "--shape",
    "shapes",
    multiple=True,
    type=click.Choice(list(SHAPE_BY_NAME)),
    help="Shape to write; may be repeated. Default: all.",
)
def main(
    site: pathlib.Path, folder: pathlib.Path, shapes: tuple[str, ...]
) -> None:
    """Write variants of SITE with other shapes into FOLDER."""
    folder.mkdir(parents=True, exist_ok=True)
    original = tomllib.loads(site.read_text())
    for shape in shapes or SHAPE_BY_NAME:
        other = reshape(original, shape)
        path = folder / f"{other['name']}.toml"
        path.write_text(tomli_w.dumps(other))
        click.echo(path)


if __name__ == "__main__":
    main()
