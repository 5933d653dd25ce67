"""Metrics of one daemon, scraped and optionally pushed.

Counts and histograms are stored as plain numbers and passed to OpenTelemetry
when a reader collects them. A daemon records an interval for each token that
it relays, and the SDK's own ``record`` is many times too slow for that.
"""

from __future__ import annotations

from collections.abc import Callable
from collections.abc import Iterable
from collections.abc import Mapping
from collections.abc import Sequence
import enum
import itertools
from typing import Any
from typing import NamedTuple
from typing import TYPE_CHECKING
from typing import final

from topazlug import _errors
from topazlug import _ids
from topazlug import _lazy_module
from topazlug._generated import settings
from topazlug._generated import table
from topazlug.telemetry import _batches
from topazlug.telemetry import _counters
from topazlug.telemetry import _exposition
from topazlug.telemetry import _histograms

if TYPE_CHECKING:
    from opentelemetry import metrics as api
    from opentelemetry.exporter import prometheus
    from opentelemetry.sdk import metrics as sdk
    from opentelemetry.sdk import resources
    from opentelemetry.sdk.metrics import export
    import prometheus_client

    from topazlug.telemetry import _push
else:
    api = _lazy_module.LazyModule("opentelemetry.metrics")
    prometheus = _lazy_module.LazyModule("opentelemetry.exporter.prometheus")
    sdk = _lazy_module.LazyModule("opentelemetry.sdk.metrics")
    resources = _lazy_module.LazyModule("opentelemetry.sdk.resources")
    export = _lazy_module.LazyModule("opentelemetry.sdk.metrics.export")
    prometheus_client = _lazy_module.LazyModule("prometheus_client")
    _push = _lazy_module.LazyModule("topazlug.telemetry._push")

# Content type of the Prometheus text format that prometheus_client writes.
CONTENT_TYPE = "text/plain; version=1.0.0; charset=utf-8"
OK = "ok"
NO_TEAM = _ids.TeamName("none")
STOP_TIMEOUT_MILLISECONDS = 2000.0
REQUEST_BUCKETS = (
    *(0.01, 0.025, 0.05, 0.1, 0.15, 0.2, 0.25, 0.35, 0.5, 0.75),
    *(1.0, 2.0, 5.0, 10.0, 30.0, 60.0),
)
TOKEN_BUCKETS = (
    *(0.005, 0.01, 0.02, 0.03, 0.04, 0.057, 0.075, 0.1),
    *(0.2, 0.5, 1.0, 2.0, 5.0),
)


class Gauge(enum.Enum):
    """Gauges that are read by a callback."""

    IN_FLIGHT = "topazlug.requests.in_flight"
    CONNECTIONS = "topazlug.callers.connections"
    QUEUED = "topazlug.requests.queued"
    MEMBERS = "topazlug.members"
    REVISION = "topazlug.configuration.revision"
    OWNED_REPLICAS = "topazlug.replicas.owned"
    KNOWN_REPLICAS = "topazlug.replicas.known"
    SKEW = "topazlug.pool.skew"
    MEAN_LOAD = "topazlug.pool.mean_load"
    BLOCKED = "topazlug.requests.blocked"
    COLD_REPLICAS = "topazlug.replicas.cold"
    DRAINED_REPLICAS = "topazlug.replicas.drained"
    UNREACHED_REPLICAS = "topazlug.replicas.unreached"
    LEAVING_REPLICAS = "topazlug.replicas.said_leaving"
    BACKOFF_REPLICAS = "topazlug.replicas.in_backoff"
    SLOW_REPLICAS = "topazlug.replicas.slow"
    MAX_SLOWNESS = "topazlug.replicas.max_slowness"
    EJECTED_REPLICAS = "topazlug.replicas.ejected"
    TABLE_AGE = "topazlug.tables.age"
    BRITTLE_GROUPS = "topazlug.replicas.brittle_groups"
    STREAMS_REMEMBERED = "topazlug.streams.remembered"
    CUT_OFF = "topazlug.replicas.cut_off"
    CALLERS_HELD = "topazlug.callers.held"
    CALLERS_HELD_LIMIT = "topazlug.callers.held_limit"
    GUARD_REFUSING = "topazlug.guard.refusing"


class Total(enum.Enum):
    """Counters that are read by a callback."""

    CONTROL_SENT = "topazlug.control.sent"
    CONTROL_RECEIVED = "topazlug.control.received"
    PAUSES = "topazlug.pauses"
    MOVED_READS = "topazlug.prompt_reads.moved"
    STALLING_READS = "topazlug.prompt_reads.stalling"
    OVER_BOUND_READS = "topazlug.prompt_reads.over_bound"
    FAIRNESS_REJECTIONS = "topazlug.owner.fairness_rejections"
    CONTEXT_LISTS = "topazlug.owner.context_lists"
    CONTEXT_LISTS_GIVEN_UP = "topazlug.owner.context_lists_given_up"
    RECOVERED_CONTEXTS = "topazlug.owner.recovered_contexts"
    RECOVERED_DISPLACED = "topazlug.owner.recovered_displaced_chats"
    EJECTIONS = "topazlug.owner.ejections"
    LATE_REQUESTS = "topazlug.requests.late_heads"
    CUTS = "topazlug.replicas.cuts"
    DELEGATED = "topazlug.requests.delegated"
    NOT_DELEGATED = "topazlug.requests.not_delegated"
    SERVED_FOR_OTHERS = "topazlug.requests.served_for_others"
    STREAMS_TAKEN_UP = "topazlug.streams.taken_up"
    STREAMS_NOT_TAKEN_UP = "topazlug.streams.not_taken_up"
    STREAM_MESSAGES = "topazlug.streams.origin_messages"
    CONNECTIONS_CLOSED_UNREAD = "topazlug.callers.closed_unread"
    IDLE_CONNECTIONS_CLOSED = "topazlug.callers.idle_closed"
    STALLED_CONNECTIONS_CLOSED = "topazlug.callers.stalled_closed"
    GAVE_WAY = "topazlug.callers.gave_way"
    BLOCK_TRIALS = "topazlug.requests.block_trials"


_UNITS: dict[Gauge | Total, str] = {
    Gauge.TABLE_AGE: "s",
    Gauge.CALLERS_HELD: "By",
    Gauge.CALLERS_HELD_LIMIT: "By",
    Gauge.GUARD_REFUSING: "s",
    Total.CONTROL_SENT: "By",
    Total.CONTROL_RECEIVED: "By",
}
_DESCRIPTIONS: dict[Gauge | Total, str] = {
    Gauge.IN_FLIGHT: "Requests at targets.",
    Gauge.CONNECTIONS: "Callers' connections.",
    Gauge.QUEUED: "Requests that wait for a place.",
    Gauge.MEMBERS: "Daemons that this one counts as usable.",
    Gauge.REVISION: "Revision of the table in force.",
    Gauge.KNOWN_REPLICAS: "Replicas on the platform's list.",
    Gauge.OWNED_REPLICAS: "Replicas whose places this daemon admits.",
    Gauge.SKEW: "Largest load of a pool's replicas over their mean.",
    Gauge.MEAN_LOAD: "Mean load of a pool's replicas.",
    Gauge.BLOCKED: "Requests kept from replicas, as they crash those.",
    Gauge.COLD_REPLICAS: "Replicas that have just started, or may have.",
    Gauge.DRAINED_REPLICAS: "Listed replicas that operators took out.",
    Gauge.UNREACHED_REPLICAS: "Replicas of zones that this daemon leaves "
    "alone, as they take no connection.",
    Gauge.LEAVING_REPLICAS: "Listed replicas that said in an answer that "
    "they are leaving.",
    Gauge.BACKOFF_REPLICAS: "Replicas that asked this daemon for a backoff "
    "that is not over.",
    Gauge.SLOW_REPLICAS: "Owned replicas whose limits are at least halved "
    "because they are slow.",
    Gauge.MAX_SLOWNESS: "Largest number that the limits of an owned replica "
    "are divided by; 1 if none is slow.",
    Gauge.EJECTED_REPLICAS: "Owned replicas that are ejected or on probation "
    "because their requests fail.",
    Total.EJECTIONS: "Ejections of owned replicas, for all daemons.",
    Total.LATE_REQUESTS: "Requests reported as failed while they waited for "
    "the head of an answer.",
    Gauge.BRITTLE_GROUPS: "Groups whose replicas report that rejections "
    "crash them.",
    Gauge.CUT_OFF: "Groups of which no replica accepts connections from this "
    "daemon.",
    Total.CUTS: "Times that this daemon was cut off from a group.",
    Total.DELEGATED: "Requests served by another daemon, as this one reached "
    "no replica.",
    Total.NOT_DELEGATED: "Requests that no other daemon could serve either.",
    Total.SERVED_FOR_OTHERS: "Requests served for daemons that reach no "
    "replica.",
    Gauge.STREAMS_REMEMBERED: "Streams of which this daemon knows the "
    "software version that began them.",
    Total.STREAMS_TAKEN_UP: "Streams taken up by callers whose version was "
    "found out.",
    Total.STREAMS_NOT_TAKEN_UP: "Streams taken up by callers whose version is "
    "not known.",
    Total.STREAM_MESSAGES: "Messages to other daemons about where streams "
    "began.",
    Total.CONNECTIONS_CLOSED_UNREAD: "New connections of callers that were "
    "closed at once, as their requests could not be read soon.",
    Total.IDLE_CONNECTIONS_CLOSED: "Idle connections of callers that were "
    "closed to make room for new ones.",
    Total.STALLED_CONNECTIONS_CLOSED: "Connections that kept the daemon "
    "waiting, closed to make room for new ones.",
    Total.GAVE_WAY: "Connections that gave way, as callers made the daemon "
    "hold all that they may.",
    Gauge.CALLERS_HELD: "What callers make the daemon hold: bodies, unread "
    "answers and queues of the kernel.",
    Gauge.CALLERS_HELD_LIMIT: "What callers may make the daemon hold.",
    Gauge.GUARD_REFUSING: "Time for which a guard has refused requests, 0 if "
    "it refuses none.",
    Total.BLOCK_TRIALS: "Requests that were let through although they are "
    "blocked, to try whether they still crash replicas.",
    Gauge.TABLE_AGE: "Age of the oldest word of the store on a table.",
    Total.CONTROL_SENT: "Bytes sent to peers.",
    Total.CONTROL_RECEIVED: "Bytes received from peers.",
    Total.FAIRNESS_REJECTIONS: "Requests that this daemon, as the owner of "
    "replicas, rejected as their team was ahead of others that waited.",
    Total.CONTEXT_LISTS: "Replicas that reported their contexts to this "
    "daemon when it became their owner.",
    Total.CONTEXT_LISTS_GIVEN_UP: "Replicas that did not report their "
    "contexts to this daemon in any attempt.",
    Total.RECOVERED_CONTEXTS: "Contexts that this daemon learnt from lists "
    "of replicas.",
    Total.RECOVERED_DISPLACED: "Displaced chats that this daemon, as the "
    "owner of their homes, learnt from lists of replicas.",
    Total.PAUSES: "Jumps of the clock: the daemon was frozen and thawed.",
    Total.MOVED_READS: "Prompts read on another replica, as they would have "
    "stalled streams on the first that was asked.",
    Total.STALLING_READS: "Prompts read although they stall streams, as no "
    "replica that was asked was better.",
    Total.OVER_BOUND_READS: "Requests placed over a replica's bound, as it "
    "holds their context and others would have read it with a stall.",
}

ValueCallback = Callable[[], float]
GroupValuesCallback = Callable[[], Mapping[_ids.GroupName, float]]
GuardValuesCallback = Callable[[], Mapping[str, float]]


class _ObservedMetric(NamedTuple):
    """A metric whose values a callback returns at each collection."""

    metric: Gauge | Total
    callback: Any


class _Sdk(NamedTuple):
    """Objects of OpenTelemetry and Prometheus."""

    registry: prometheus_client.CollectorRegistry
    provider: sdk.MeterProvider
    meter: api.Meter


@final
class Metrics:
    """The metrics of one daemon.

    Parameters
    ----------
    metrics_settings : settings.MetricsSettings
        Maximum number of teams with series; endpoint for pushes, if any.
    daemon_id : DaemonId
        The daemon.
    zone : str
        Its availability zone.
    """

    def __init__(
        self,
        metrics_settings: settings.MetricsSettings,
        daemon_id: _ids.DaemonId,
        zone: str,
    ) -> None:
        self._team_labels = _histograms.TeamLabels(
            cap=metrics_settings.team_cap
        )
        self._first_token = self._histogram(
            "first_token.duration",
            "Time from a request's arrival to its answer's first token.",
        )
        self._between_tokens = self._histogram(
            "between_tokens.duration",
            "Time between two tokens of an answer.",
            bounds=TOKEN_BUCKETS,
        )
        self._request_duration = self._histogram(
            "request.duration",
            "Time from a request's arrival to the end of its answer.",
        )
        self._queueing_duration = self._histogram(
            "queueing.duration",
            "Time that a request waited for a place.",
        )
        self._requests = _counter(
            "requests",
            "Requests answered, by code and outcome.",
            labels=("team", "class", "code", "outcome"),
        )
        self._retries = _counter(
            "retries",
            "Attempts after the first.",
            labels=("team", "class"),
        )
        self._rejections = _counter(
            "refusals",
            "Requests turned away before anything was sent.",
            labels=("team", "class", "code"),
        )
        self._guard_refusals = _counter(
            "guard.refusals",
            "Requests that a guard has refused.",
            labels=("guard",),
        )
        self._returning_chats = _counter(
            "returning_chats",
            "Returning chats by whether their context was found.",
            labels=("result",),
        )
        self._prompt_tokens = _counter(
            "prompt_tokens",
            "Tokens of prompts, by whether they were cached.",
            labels=("source",),
        )
        self._instruments: tuple[_batches.Instrument, ...] = (
            self._requests,
            self._retries,
            self._rejections,
            self._guard_refusals,
            self._returning_chats,
            self._prompt_tokens,
            self._first_token,
            self._between_tokens,
            self._request_duration,
            self._queueing_duration,
        )
        self._settings = metrics_settings
        self._daemon_id = daemon_id
        self._zone = zone
        self._observed_metrics: list[_ObservedMetric] = []
        self._sdk: _Sdk | None = None
        if metrics_settings.otlp_endpoint:
            self._get_sdk()

    def _get_sdk(self) -> _Sdk:
        """Return the SDK's objects, created on first use."""
        if self._sdk is None:
            self._sdk = self._create_sdk()
            for observed in self._observed_metrics:
                self._create_instrument(self._sdk, observed)
        return self._sdk

    def _create_sdk(self) -> _Sdk:
        registry = prometheus_client.CollectorRegistry()
        provider = sdk.MeterProvider(
            self._readers(registry),
            resource=_resource(self._daemon_id, self._zone),
            exemplar_filter=sdk.AlwaysOffExemplarFilter(),
            shutdown_on_exit=False,
        )
        meter = provider.get_meter(_push.SCOPE.name)
        # The SDK passes nothing to readers while it has no values.
        meter.create_observable_gauge(
            "topazlug.up", callbacks=[lambda _: [api.Observation(1)]]
        )
        return _Sdk(registry, provider, meter)

    def observe_first_token(
        self,
        team: _ids.TeamName,
        request_class: table.RequestClass,
        seconds: float,
    ) -> None:
        """Record the time to the first token."""
        self._first_token.observe(team, request_class, seconds)

    def observe_between_tokens(
        self,
        team: _ids.TeamName,
        request_class: table.RequestClass,
        seconds: float,
    ) -> None:
        """Record the time between two tokens."""
        self._between_tokens.observe(team, request_class, seconds)

    def observe_request_duration(
        self,
        team: _ids.TeamName,
        request_class: table.RequestClass,
        seconds: float,
    ) -> None:
        """Record the total time of a request."""
        self._request_duration.observe(team, request_class, seconds)

    def observe_queueing(
        self,
        team: _ids.TeamName,
        request_class: table.RequestClass,
        seconds: float,
    ) -> None:
        """Record the time that a request waited for a slot."""
        self._queueing_duration.observe(team, request_class, seconds)

    def count_request(
        self,
        team: _ids.TeamName,
        request_class: table.RequestClass,
        code: _errors.Code | None,
        outcome: _errors.Outcome,
    ) -> None:
        """Count an answered request; the code is None if it succeeded."""
        labels = (
            self._team_labels.team_label(team),
            request_class.value,
            OK if code is None else code.value,
            outcome.value,
        )
        self._requests.add(labels)

    def count_retry(
        self, team: _ids.TeamName, request_class: table.RequestClass
    ) -> None:
        """Count an attempt after the first."""
        team_label = self._team_labels.team_label(team)
        self._retries.add((team_label, request_class.value))

    def count_rejection(
        self,
        team: _ids.TeamName,
        request_class: table.RequestClass,
        code: _errors.Code,
    ) -> None:
        """Count a request rejected before anything was sent to a target."""
        team_label = self._team_labels.team_label(team)
        self._rejections.add((team_label, request_class.value, code.value))

    def count_guard_refusal(self, guard: _errors.Guard) -> None:
        """Count a request that a guard has refused."""
        self._guard_refusals.add((guard.value,))

    def count_returning_chat(
        self, hit: bool, tokens_cached: int, tokens_prompt: int
    ) -> None:
        """Count a returning chat and the tokens of its prompt.

        Parameters
        ----------
        hit : bool
            Whether the replica still had earlier context of the chat.
        tokens_cached : int
            Tokens of the prompt that were cached.
        tokens_prompt : int
            Total tokens of the prompt.
        """
        self._returning_chats.add(("hit" if hit else "miss",))
        self._prompt_tokens.add(("cached",), tokens_cached)
        computed = max(0, tokens_prompt - tokens_cached)
        self._prompt_tokens.add(("computed",), computed)

    def watch(self, metric: Gauge | Total, read: ValueCallback) -> None:
        """Register a callback that returns a value at each collection.

        Parameters
        ----------
        metric : Gauge or Total
            The metric; each may be registered only once.
        read : callable
            Returns the value; it must neither block nor raise.
        """
        self._add_observed_metric(metric, lambda _: [api.Observation(read())])

    def watch_by_group(self, metric: Gauge, read: GroupValuesCallback) -> None:
        """Register a callback that returns values by pool or service."""

        def observations(_: api.CallbackOptions) -> Iterable[api.Observation]:
            for group, number in read().items():
                yield api.Observation(number, {"group": group})

        self._add_observed_metric(metric, observations)

    def watch_guards(self, read: GuardValuesCallback) -> None:
        """Register a callback that returns seconds by guard."""

        def observations(_: api.CallbackOptions) -> Iterable[api.Observation]:
            for guard, seconds in read().items():
                yield api.Observation(seconds, {"guard": guard})

        self._add_observed_metric(Gauge.GUARD_REFUSING, observations)

    def exposition(self) -> bytes:
        """Return all series in the Prometheus text format.

        Other greenlets run while it is rendered.
        """
        observed = list(self._get_sdk().registry.collect())
        own_families = (item.families() for item in self._instruments)
        return _exposition.render_text(
            itertools.chain(observed, *own_families)
        )

    def stop(self) -> None:
        """Push once more, with a short timeout, and end the push thread."""
        if self._sdk is not None:
            self._sdk.provider.shutdown(
                timeout_millis=STOP_TIMEOUT_MILLISECONDS
            )

    def _histogram(
        self,
        name: str,
        description: str,
        *,
        bounds: Sequence[float] = REQUEST_BUCKETS,
    ) -> _histograms.Histogram:
        return _histograms.Histogram(
            name=f"topazlug.{name}",
            description=description,
            bounds=bounds,
            teams=self._team_labels,
        )

    def _add_observed_metric(
        self, metric: Gauge | Total, callback: Any
    ) -> None:
        observed = _ObservedMetric(metric, callback)
        self._observed_metrics.append(observed)
        if self._sdk is not None:
            self._create_instrument(self._sdk, observed)

    def _create_instrument(
        self, built_sdk: _Sdk, observed: _ObservedMetric
    ) -> None:
        metric = observed.metric
        create: Any = built_sdk.meter.create_observable_gauge
        if isinstance(metric, Total):
            create = built_sdk.meter.create_observable_counter
        create(
            metric.value,
            callbacks=[observed.callback],
            unit=_UNITS.get(metric, ""),
            description=_DESCRIPTIONS[metric],
        )

    def _readers(
        self, registry: prometheus_client.CollectorRegistry
    ) -> list[export.MetricReader]:
        metrics_settings = self._settings
        readers: list[export.MetricReader] = [
            prometheus.PrometheusMetricReader(
                scope_info_enabled=False, registry=registry
            )
        ]
        if metrics_settings.otlp_endpoint:
            pusher = _push.create_reader(
                endpoint=metrics_settings.otlp_endpoint,
                interval=metrics_settings.otlp_interval,
                instruments=self._instruments,
            )
            readers.append(pusher)
        return readers


def _counter(
    name: str, description: str, *, labels: Sequence[str]
) -> _counters.Counter:
    return _counters.Counter(
        name=f"topazlug.{name}", description=description, labels=labels
    )


def _resource(daemon_id: _ids.DaemonId, zone: str) -> resources.Resource:
    return resources.Resource(
        {
            "service.name": "topazlugd",
            "service.instance.id": daemon_id,
            "cloud.availability_zone": zone,
        }
    )
