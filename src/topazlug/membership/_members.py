"""Members of the fleet, and their conversion from and to facts."""

from typing import final

import msgspec

from topazlug import _ids
from topazlug._generated import messages
from topazlug.store import _instances

USABLE_STATES = (messages.FactState.live, messages.FactState.suspected)


@final
class Member(msgspec.Struct, kw_only=True, frozen=True):
    """The state of one daemon as known to this one."""

    daemon_id: _ids.DaemonId
    incarnation: int
    state: messages.FactState
    host: str
    port: int
    zone: str


def member_from_fact(fact: messages.Fact) -> Member:
    """Convert a fact about a daemon into a member."""
    return Member(
        daemon_id=_ids.DaemonId(fact.subject),
        incarnation=fact.incarnation,
        state=fact.state,
        host=fact.host,
        port=fact.port,
        zone=fact.zone,
    )


def fact_from_instance(instance: _instances.Instance) -> messages.Fact:
    """Convert a daemon's entry in the platform's list into a fact.

    Its sequence is 0, so that any observation by a daemon about the same
    incarnation takes precedence over the list, which lags.
    """
    leaving = instance.state is _instances.InstanceState.LEAVING
    state = messages.FactState.leaving if leaving else messages.FactState.live
    return messages.Fact(
        kind=messages.FactKind.daemon,
        subject=instance.id,
        incarnation=instance.incarnation,
        sequence=0,
        state=state,
        host=instance.host,
        port=instance.port,
        zone=instance.zone,
    )
