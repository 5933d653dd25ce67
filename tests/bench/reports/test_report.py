"""Tests of percentiles, tables and readings."""

import math

import msgspec

from bench.fleets import watching
from bench.reports import records
from bench.reports import report

LATENCY = records.Latency(count=1, p50=0.02, p95=0.04, p99=0.06)
PHASE = records.PhaseResult(
    deployment="cooperativa",
    policy="owners",
    bound=1.5,
    seed=1,
    scenario="quiet",
    note="",
    seconds=10.0,
    requests_per_second=90.0,
    reuse=0.9,
    hits=0.9,
    returning=800,
    bound_held=records.BoundFigures(
        admissions=900,
        share_over=0.01,
        share_over_by_two=0.0,
        largest=1,
        longest=0.1,
        over_by={1: 9},
    ),
    skew=records.SkewFigures(mean=1.3, worst=1.8, mean_load=9.0),
    skew_with_waiting=None,
    most_waiting=0,
    first_token=LATENCY,
    first_token_by_team={},
    whole=LATENCY,
    between_tokens_p95=0.022,
    count_by_code={"ok": 898, "overloaded": 2},
    lost_elsewhere=0,
    slowest_elsewhere=0.2,
    daemons={
        "daemon-0": records.ProcessFigures(
            sent=4000.0, received=5000.0, processor=0.1, resident=46.0
        )
    },
    engines_processor=0.4,
    generators_processor=0.3,
    load_average=2.0,
)


class TestPercentile:
    def test_value_that_a_share_does_not_exceed(self) -> None:
        assert records.percentile(list(range(1, 101)), 0.95) == 95

    def test_of_no_values_is_nan(self) -> None:
        assert math.isnan(records.percentile([], 0.5))

    def test_of_gaps_counted_by_milliseconds(self) -> None:
        gaps = {20: 95, 40: 5}
        assert records.gap_percentile(gaps, 0.95) == 0.02
        assert records.gap_percentile(gaps, 0.99) == 0.04


class TestTable:
    def test_runs_that_differ_in_seed_share_a_row(self) -> None:
        second_run = msgspec.structs.replace(PHASE, seed=2, reuse=0.94)
        lines = report.table([PHASE, second_run]).splitlines()
        assert len(lines) == 3
        assert "0.920 (0.900–0.940)" in lines[-1]

    def test_bounds_are_separate_groups(self) -> None:
        other = msgspec.structs.replace(PHASE, bound=1.25)
        assert len(report.group([PHASE, other])) == 2

    def test_missing_figures_are_marked(self) -> None:
        without_daemons = msgspec.structs.replace(PHASE, daemons={})
        columns = {column.heading: column for column in report.COST}
        assert (
            report.cell(columns["MB"], [without_daemons])
            == report.NOT_MEASURED
        )
        assert report.cell(columns["MB"], [without_daemons, PHASE]) == "46"

    def test_all_codes_but_ok_count_as_errors(self) -> None:
        columns = {column.heading: column for column in report.COST}
        assert columns["errors"].figure(PHASE) == 2


class TestReadings:
    def test_metric_with_and_without_labels(self) -> None:
        text = 'bytes_total 12.0\nother{group="a"} 3.5\n'
        assert watching.metric(text, "bytes_total") == 12.0
        assert watching.metric(text, "other") == 3.5

    def test_daemon_that_died_is_left_out(self) -> None:
        spent = watching.ResourceUsage(
            sent=1000.0, received=1000.0, processor=1.0
        )
        before = watching.UsageSnapshot(
            at=0.0, daemons={"a": spent, "b": spent}, engines={}
        )
        late = msgspec.structs.replace(spent, sent=3000.0)
        after = watching.UsageSnapshot(
            at=2.0,
            daemons={"a": late, "b": watching.ResourceUsage()},
            engines={},
        )
        figures = watching.daemon_figures(before, after)
        assert list(figures) == ["a"]
        assert figures["a"].sent == 1000.0
