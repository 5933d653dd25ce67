"""A displaced chat, and daemons that learn what replicas hold."""

import itertools

import gevent

from tests.topazlug.placement import owner_fixtures
from topazlug import _ids
from topazlug._generated import messages
from topazlug.routing import _owner_features
from topazlug.routing import _ranking

FEATURES = _owner_features.OwnerFeatures(
    context_recovery=True, is_capacity_short=True
)
DAEMONS = tuple(f"d{n}" for n in range(5))
REPLICAS = tuple(_ids.ReplicaId(f"i-{n}") for n in range(4))
# Load at which the first of the replicas reaches its bound, if two others
# hold three requests each.
LIMIT = 8


def chats():
    """Return an endless series of chats."""
    return (
        _ids.ChatHash(_ranking.chat_hash("chat", str(n)))
        for n in itertools.count()
    )


def ranking_of(chat, replicas=REPLICAS):
    return _ranking.rank(replicas, chat, count=len(replicas))


def settle():
    """Let all greenlets run until they wait for the clock."""
    for _ in range(100):
        gevent.sleep(0)


def request(chat, **changes):
    return {
        "chat": chat,
        "rank": 0,
        "prompt": chat,
        "latency_objective": 1.0,
        "prompt_tokens": 4100,
        "shared_tokens": 4000,
        "max_pause": 0.4,
        **changes,
    }


def begin_prompts(fleet):
    """Let each owner see that requests of the group carry prompts."""
    for daemon in fleet.daemons:
        daemon.owners.recoveries.handle_prompt(_ids.GroupName("engines"))


class Scene:
    """A chat that was displaced from its home, and a fleet of daemons.

    The owners of the home and of the holder differ, and the entry daemon is
    neither.
    """

    def __init__(self, features=FEATURES):
        self.fleet = owner_fixtures.Fleet(
            *DAEMONS, replicas=REPLICAS, features=features
        )
        self.begin_prompts()
        settle()
        self.chat = next(filter(self._has_two_owners, chats()))
        self.home, self.holder = ranking_of(self.chat)[:2]
        self.home_owner = self.fleet.owner_of(self.home)
        self.holder_owner = self.fleet.owner_of(self.holder)
        self.entry = next(
            name
            for name in DAEMONS
            if name not in (self.home_owner, self.holder_owner)
        )
        self.fleet.contexts.chats_by_replica[self.holder] = [self.chat]
        self.forget()

    def _has_two_owners(self, chat):
        return len(set(map(self.fleet.owner_of, ranking_of(chat)[:2]))) == 2

    def forget(self):
        self.fleet.contexts.asked.clear()
        self.fleet.sent.clear()

    def restart(self):
        """Restart all daemons and let the lists arrive."""
        self.fleet.restart()
        self.begin_prompts()
        settle()

    def begin_prompts(self):
        """Let each owner see that requests of the group carry prompts."""
        begin_prompts(self.fleet)

    def owners(self, name):
        return self.fleet.daemon_by_name[name].owners

    def ledger(self, replica):
        owner = self.fleet.owner_of(replica)
        return self.owners(owner).ledger_of(replica)

    def admit(self, **changes):
        daemon = self.fleet.daemon_by_name[self.entry]
        return daemon.admit(**request(self.chat, **changes))

    def report_slowness(self, replica):
        self.owners(self.fleet.owner_of(replica))._owner.record_response_head(
            self.entry,
            messages.EngineWord(
                replica=replica, running=1, waiting=0, slowness=1.5
            ),
        )
