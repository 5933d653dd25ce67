import gevent
from gevent import event
from gevent import pywsgi
from prometheus_client import parser
import pytest

from topazlug import _errors
from topazlug import _ids
from topazlug._generated import settings
from topazlug._generated import table
from topazlug.telemetry import _metrics

INTERACTIVE = table.RequestClass.interactive
ACME = _ids.TeamName("acme")
WAIT_SECONDS = 10


def make(**kwargs):
    return _metrics.Metrics(
        settings.MetricsSettings(**kwargs), _ids.DaemonId("d1"), "wien-a"
    )


def value(metrics, name, **labels):
    text = metrics.exposition().decode()
    for family in parser.text_string_to_metric_families(text):
        for sample in family.samples:
            if sample.name == name and sample.labels == labels:
                return sample.value
    return None


def team_labels(metrics, name):
    text = metrics.exposition().decode()
    return {
        sample.labels["team"]
        for family in parser.text_string_to_metric_families(text)
        for sample in family.samples
        if sample.name == name
    }


@pytest.fixture
def metrics():
    new_metrics = make()
    yield new_metrics
    new_metrics.stop()


class TestHistograms:
    @pytest.mark.parametrize(
        "observe, name",
        [
            ("observe_first_token", "first_token"),
            ("observe_between_tokens", "between_tokens"),
            ("observe_request_duration", "request"),
            ("observe_queueing", "queueing"),
        ],
    )
    def test_durations_are_counted_by_team_and_class(
        self, metrics, observe, name
    ):
        for seconds in (0.1, 0.15, 100.0):
            getattr(metrics, observe)(ACME, INTERACTIVE, seconds)
        series = f"topazlug_{name}_duration_seconds"
        labels = {"team": "acme", "class": "interactive"}
        at_most = value(metrics, f"{series}_bucket", le="0.1", **labels)
        assert at_most == 1
        assert value(metrics, f"{series}_count", **labels) == 3
        assert value(metrics, f"{series}_sum", **labels) == 100.25

    def test_teams_beyond_the_cap_are_counted_as_other(self):
        metrics = make(team_cap=2)
        for team in ("a", "b", "c", "d", "a"):
            metrics.observe_request_duration(
                _ids.TeamName(team), INTERACTIVE, 0.1
            )
        name = "topazlug_request_duration_seconds_count"
        assert team_labels(metrics, name) == {"a", "b", "other"}
        labels = {"team": "other", "class": "interactive"}
        assert value(metrics, name, **labels) == 2

    def test_histogram_of_many_teams_has_one_header(self, metrics):
        for number in range(50):
            team = _ids.TeamName(f"t{number}")
            metrics.observe_request_duration(team, INTERACTIVE, 0.1)
        header = b"# TYPE topazlug_request_duration_seconds histogram"
        assert metrics.exposition().count(header) == 1


class TestCounters:
    def test_requests_are_counted_by_code_and_outcome(self, metrics):
        metrics.count_request(ACME, INTERACTIVE, None, _errors.Outcome.RAN)
        metrics.count_request(
            ACME,
            INTERACTIVE,
            _errors.Code.OVERLOADED,
            _errors.Outcome.NOT_RUN,
        )
        labels = {"team": "acme", "class": "interactive"}
        name = "topazlug_requests_total"
        assert value(metrics, name, code="ok", outcome="ran", **labels) == 1
        rejected = {"code": "overloaded", "outcome": "not-run"}
        assert value(metrics, name, **rejected, **labels) == 1

    def test_retries_and_rejections_are_counted(self, metrics):
        metrics.count_retry(ACME, INTERACTIVE)
        code = _errors.Code.TEAM_CEILING
        metrics.count_rejection(ACME, INTERACTIVE, code)
        labels = {"team": "acme", "class": "interactive"}
        assert value(metrics, "topazlug_retries_total", **labels) == 1
        labels["code"] = code.value
        assert value(metrics, "topazlug_refusals_total", **labels) == 1

    def test_returning_chats_are_counted(self, metrics):
        metrics.count_returning_chat(True, 80, 100)
        metrics.count_returning_chat(False, 0, 50)
        name = "topazlug_returning_chats_total"
        assert value(metrics, name, result="hit") == 1
        assert value(metrics, name, result="miss") == 1
        name = "topazlug_prompt_tokens_total"
        assert value(metrics, name, source="cached") == 80
        assert value(metrics, name, source="computed") == 70


class TestObservedMetrics:
    def test_numbers_are_read_at_each_scrape(self, metrics):
        numbers = iter([1, 2])
        metrics.watch(_metrics.Gauge.MEMBERS, lambda: next(numbers))
        assert value(metrics, "topazlug_members") == 1
        assert value(metrics, "topazlug_members") == 2

    def test_totals_are_counters(self, metrics):
        metrics.watch(_metrics.Total.CONTROL_SENT, lambda: 7)
        assert value(metrics, "topazlug_control_sent_bytes_total") == 7

    def test_groups_are_labelled(self, metrics):
        skew = {_ids.GroupName("small"): 1.25}
        metrics.watch_by_group(_metrics.Gauge.SKEW, lambda: skew)
        assert value(metrics, "topazlug_pool_skew", group="small") == 1.25

    def test_failing_callback_does_not_affect_others(self, metrics):
        metrics.watch(_metrics.Gauge.MEMBERS, lambda: 1 / 0)
        metrics.watch(_metrics.Gauge.REVISION, lambda: 4)
        assert value(metrics, "topazlug_configuration_revision") == 4


class TestExposition:
    def test_other_greenlets_run_during_exposition(self, metrics):
        """Guards against streams that stall at each scrape.

        A scrape requests thousands of series while tokens arrive. If they
        were rendered in one step, all streams would show a gap between
        tokens.
        """
        runs = []

        def relay():
            while True:
                runs.append(1)
                gevent.sleep(0)

        for number in range(100):
            team = _ids.TeamName(f"t{number}")
            metrics.observe_request_duration(team, INTERACTIVE, 0.1)
        greenlet = gevent.spawn(relay)
        metrics.exposition()
        greenlet.kill()
        assert len(runs) >= 10


class TestPush:
    def test_sends_histograms_and_counters(self):
        bodies = []
        complete = event.Event()

        def receive(environ, start_response):
            bodies.append(environ["wsgi.input"].read())
            sent = b"".join(bodies)
            if b"between_tokens" in sent and b"topazlug.requests" in sent:
                complete.set()
            start_response("200 OK", [])
            return [b""]

        server = pywsgi.WSGIServer(("127.0.0.1", 0), receive, log=None)
        server.start()
        endpoint = f"http://127.0.0.1:{server.server_port}/v1/metrics"
        metrics = make(otlp_endpoint=endpoint, otlp_interval=0.05)
        metrics.observe_between_tokens(ACME, INTERACTIVE, 0.03)
        metrics.count_request(ACME, INTERACTIVE, None, _errors.Outcome.RAN)
        try:
            assert complete.wait(timeout=WAIT_SECONDS)
        finally:
            metrics.stop()
            server.stop()

    def test_unresponsive_endpoint_does_not_block_scrapes(self):
        """Guards against scrapes and requests that stall during a push.

        The collector accepts the connection and never answers. The push must
        not block the thread of all greenlets, nor hold a lock meanwhile.
        """
        request_received = event.Event()

        def hang(environ, start_response):
            request_received.set()
            gevent.sleep(WAIT_SECONDS * 10)

        server = pywsgi.WSGIServer(("127.0.0.1", 0), hang, log=None)
        server.start()
        endpoint = f"http://127.0.0.1:{server.server_port}/v1/metrics"
        metrics = make(otlp_endpoint=endpoint, otlp_interval=0.05)
        try:
            assert request_received.wait(timeout=WAIT_SECONDS)
            with gevent.Timeout(WAIT_SECONDS):
                assert value(metrics, "topazlug_up") == 1
        finally:
            server.stop(timeout=0)
            metrics.stop()
