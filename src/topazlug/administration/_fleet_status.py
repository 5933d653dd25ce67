"""The present state of the fleet, requested from each daemon on demand.

Daemons do not exchange it periodically: with 880 daemons, reports from all to
all would exceed the budget for control traffic.
"""

from typing import Any
from typing import final

from gevent import pool as _pool

from topazlug import _errors
from topazlug import _ids
from topazlug._generated import messages
from topazlug.administration import _administration_status as _status
from topazlug.configuration import _configuration
from topazlug.configuration import _rules
from topazlug.limits import _quotas
from topazlug.membership import _members
from topazlug.membership import _membership
from topazlug.peers import _peers
from topazlug.routing import _owner
from topazlug.routing import _ownership
from topazlug.routing import _ranking
from topazlug.targets import _targets

_MAX_CONCURRENT_CALLS = 32
_STATUS_TIMEOUT = 0.5
_MAX_CANDIDATES = 8


@final
class FleetStatusSource:
    """Collects the state of the fleet for the administration API.

    Parameters
    ----------
    daemon : DaemonId
        This daemon.
    configuration : ConfigurationHolder
        The table in force.
    membership : Membership
        The fleet's daemons.
    links : PeerLinks
        Connections to the other daemons.
    owner : Owner
        Holds the ledgers of the replicas that this daemon owns.
    ownership : Ownership
        Maps replicas to their owners.
    targets : TargetDirectory
        The replicas.
    rules : TableRules
        Routing parameters from the table.
    quotas : Quotas
        Usage of the teams on this daemon.
    """

    def __init__(
        self,
        *,
        daemon: _ids.DaemonId,
        configuration: _configuration.ConfigurationHolder,
        membership: _membership.Membership,
        links: _peers.PeerLinks,
        owner: _owner.Owner,
        ownership: _ownership.Ownership,
        targets: _targets.TargetDirectory,
        rules: _rules.TableRules,
        quotas: _quotas.Quotas,
    ) -> None:
        self._daemon = daemon
        self._configuration = configuration
        self._membership = membership
        self._links = links
        self._owner = owner
        self._ownership = ownership
        self._targets = targets
        self._rules = rules
        self._quotas = quotas
        links.handle(messages.StatusAsk, self._handle_status_ask)

    def _handle_status_ask(
        self, sender: _ids.DaemonId, message: Any, reply: _peers.Reply
    ) -> None:
        reply(self.own_status())

    def own_status(self) -> messages.StatusAnswer:
        """Return the state of this daemon."""
        replicas = [
            messages.OwnedReplica(
                replica=ledger.replica,
                group=ledger.group,
                load=ledger.load,
                limit=self._owner.group_limits.limit(ledger.group),
                slots=ledger.slots,
                waiting=len(ledger.queued_by_key),
            )
            for ledger in self._owner.ledger_by_replica.values()
        ]
        return messages.StatusAnswer(
            revision=self._configuration.revision,
            replicas=replicas,
            teams=self._quotas.usage(),
        )

    def _fetch_status(
        self, daemon: _ids.DaemonId
    ) -> messages.StatusAnswer | None:
        if daemon == self._daemon:
            return self.own_status()
        try:
            answer = self._links.call(
                daemon, messages.StatusAsk(), timeout=_STATUS_TIMEOUT
            )
        except _errors.PeerUnreachable:
            return None
        if isinstance(answer, messages.StatusAnswer):
            return answer
        return None

    def _fetch_all_statuses(
        self,
    ) -> dict[_ids.DaemonId, messages.StatusAnswer | None]:
        states = (messages.FactState.live, messages.FactState.suspected)
        members = list(self._membership.members_by_id.values())
        called = [m.daemon_id for m in members if m.state in states]
        workers = _pool.Pool(_MAX_CONCURRENT_CALLS)
        return dict(zip(called, workers.map(self._fetch_status, called)))

    def status(self) -> _status.FleetStatus:
        """Return the state of the fleet as reported by its daemons."""
        answers = self._fetch_all_statuses()
        return _status.FleetStatus(
            daemon=self._daemon,
            revision=self._configuration.revision,
            daemons=[
                self._daemon_status(member, answers.get(member.daemon_id))
                for member in self._membership.members_by_id.values()
            ],
            replicas=self._replicas(answers),
            teams=self._teams(answers),
        )

    def _daemon_status(
        self,
        member: _members.Member,
        answer: messages.StatusAnswer | None,
    ) -> _status.DaemonStatus:
        revision = _configuration.NO_REVISION
        if answer is not None:
            revision = _ids.Revision(answer.revision)
        return _status.DaemonStatus(
            id=member.daemon_id,
            zone=member.zone,
            state=member.state.value,
            incarnation=member.incarnation,
            revision=int(revision),
        )

    def _replicas(
        self, answers: dict[_ids.DaemonId, messages.StatusAnswer | None]
    ) -> list[_status.ReplicaStatus]:
        owned = {
            entry.replica: entry
            for answer in answers.values()
            for entry in (answer.replicas if answer else [])
        }
        return [
            self._replica(target, owned.get(replica))
            for replica, target in sorted(
                self._targets.target_by_replica.items()
            )
        ]

    def _replica(
        self,
        target: _targets.Target,
        entry: messages.OwnedReplica | None,
    ) -> _status.ReplicaStatus:
        return _status.ReplicaStatus(
            id=target.replica,
            group=target.group,
            zone=target.zone,
            state=self._displayed_state(target),
            owner=self._ownership.owner_of(target.replica) or "",
            load=entry.load if entry else -1,
            bound=entry.limit if entry else -1,
            slots=entry.slots if entry else -1,
        )

    def _displayed_state(self, target: _targets.Target) -> str:
        state = self._targets.state_of(target.replica)
        if self._targets.is_usable(target.replica):
            return state.value
        if state is not messages.FactState.live:
            return state.value
        if self._targets.is_leaving(target):
            return messages.FactState.leaving.value
        is_in_service = self._targets.is_in_service(target.replica)
        return "backoff" if is_in_service else "drained"

    def _teams(
        self, answers: dict[_ids.DaemonId, messages.StatusAnswer | None]
    ) -> list[_status.TeamStatus]:
        usage_by_team: dict[str, list[messages.TeamUse]] = {}
        for answer in answers.values():
            for usage in answer.teams if answer else []:
                usage_by_team.setdefault(usage.team, []).append(usage)
        snapshot = self._configuration.current
        rows = snapshot.teams_by_name.values() if snapshot else []
        return [
            _status.TeamStatus(
                name=row.name,
                running=sum(
                    usage.running for usage in usage_by_team.get(row.name, [])
                ),
                ceiling_running=row.ceiling_running,
                rate=sum(
                    usage.rate for usage in usage_by_team.get(row.name, [])
                ),
                ceiling_rate=row.ceiling_rate,
                refused=sum(
                    usage.refused for usage in usage_by_team.get(row.name, [])
                ),
            )
            for row in rows
        ]

    def explain(self, *, chat: str, pool: str) -> _status.Explanation:
        """Return why a chat is placed on a replica.

        Parameters
        ----------
        chat : str
            ``team/chat id``, with the chat id that the caller uses.
        pool : str
            The pool; may be empty if there is only one.
        """
        group = _ids.GroupName(pool or self._only_pool())
        team, _, name = chat.partition("/")
        seed = _ranking.chat_hash(team, name)
        known = self._targets.listed_replicas(group)
        if not known:
            raise _errors.NoTarget(f"pool {group!r} has no known replica")
        answers = self._fetch_all_statuses()
        status_by_id = {entry.id: entry for entry in self._replicas(answers)}
        ranked = _ranking.rank(known, seed, count=_MAX_CANDIDATES)
        candidates = [
            self._candidate(number, status_by_id[replica])
            for number, replica in enumerate(ranked, start=1)
        ]
        chosen = next((c for c in candidates if c.verdict == "free"), None)
        home = candidates[0]
        return _status.Explanation(
            group=group,
            chat=f"{seed:016x}",
            chosen=chosen.replica if chosen else "",
            reason=(
                "its home has free capacity"
                if chosen is home
                else f"its home {home.replica} is {home.verdict}"
            ),
            candidates=candidates,
        )

    def _candidate(
        self, number: int, entry: _status.ReplicaStatus
    ) -> _status.Candidate:
        verdict = "free"
        if entry.state not in ("live", "suspected"):
            verdict = entry.state
        elif entry.load < 0:
            verdict = "without an owner's word"
        elif entry.load + 1 > entry.slots:
            verdict = "full"
        elif entry.load + 1 > entry.bound:
            verdict = "over the bound"
        return _status.Candidate(
            rank=number,
            replica=entry.id,
            owner=entry.owner,
            state=entry.state,
            load=entry.load,
            bound=entry.bound,
            verdict=verdict,
        )

    def _only_pool(self) -> str:
        snapshot = self._configuration.current
        names = sorted(snapshot.pools_by_name) if snapshot else []
        if len(names) != 1:
            raise _errors.BadHeader(
                "the pool is missing; the table has"
                f" {', '.join(names) or 'none'}"
            )
        return names[0]
