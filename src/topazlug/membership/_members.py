"""Members of the fleet as facts and the platform's list show them."""

from typing import final

import msgspec

from topazlug import _ids
from topazlug._generated import messages
from topazlug.store import _instances

USABLE_STATES = (messages.FactState.live, messages.FactState.suspected)


@final
class Member(msgspec.Struct, kw_only=True, frozen=True):
    """One daemon as this daemon knows it."""

    daemon_id: _ids.DaemonId
    incarnation: int
    state: messages.FactState
    host: str
    port: int
    zone: str


def member_of(fact: messages.Fact) -> Member:
    """Give the member that a fact of a daemon tells of."""
    return Member(
        daemon_id=_ids.DaemonId(fact.subject),
        incarnation=fact.incarnation,
        state=fact.state,
        host=fact.host,
        port=fact.port,
        zone=fact.zone,
    )


def listed_fact(instance: _instances.Instance) -> messages.Fact:
    """Give what the platform's list says of a daemon, as a fact.

    Its sequence is 0, so that any daemon's evidence about the same
    incarnation goes before the list, which lags.
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
