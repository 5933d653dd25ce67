"""When the guarantees of one daemon apply."""

from soak import _store
from soak import _world

# The store counts as stable this long after its last change of mode.
STABLE_SECONDS = 3.0


def has_current_data(world: _world.World, daemon: int, at: float) -> bool:
    """Return whether a daemon can have received all of the store's rows.

    It can if it is not disrupted and the store has been stable.
    """
    disruptions = world.daemons[daemon].disruptions
    if any(began <= at <= ended for began, ended in disruptions):
        return False
    before = [change for change in world.store.changes if change[0] <= at]
    if not before:
        return True
    changed_at, mode = before[-1]
    is_stable = at - changed_at > STABLE_SECONDS
    return is_stable and mode is _store.Mode.NORMAL
