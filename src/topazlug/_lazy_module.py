"""Modules that are imported when they are first used.

After a power failure, callers wait until the daemon listens. Importing the
modules that only a scrape of its metrics needs would take 0.10 s of the 0.39 s
of processor time until then, so they are imported at the first scrape.
"""

import importlib
from typing import Any
from typing import final


@final
class LazyModule:
    """Imports a module when one of its attributes is first used."""

    def __init__(self, name: str) -> None:
        self._name = name

    def __getattr__(self, name: str) -> Any:
        return getattr(importlib.import_module(self._name), name)
