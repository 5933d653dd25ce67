import pathlib

import pytest

pytest_plugins = ["pytester"]

CI = pathlib.Path(__file__).parents[2] / ".ci"
LINE = "test_a.py::test_late | the cause | 9\n"


@pytest.fixture
def run(pytester, monkeypatch):
    monkeypatch.syspath_prepend(CI)
    pytester.makepyfile(test_a="""
        def test_late():
            assert False

        def test_late_answer():
            pass
        """)

    def run_with(listed, which):
        path = pytester.path / "KNOWN-RED.txt"
        path.write_text(listed)
        return pytester.runpytest(
            "-p", "known_red", f"--known-red={which}", "-p", "no:cacheprovider"
        )

    return run_with


class TestKnownRed:
    def test_passes_over_exactly_the_listed(self, run):
        result = run(LINE, "pass-over")
        result.assert_outcomes(passed=1, deselected=1)

    def test_runs_only_the_listed(self, run):
        result = run(LINE, "only")
        result.assert_outcomes(failed=1, deselected=1)

    def test_counts_what_is_not_listed(self, run):
        run("", "pass-over").assert_outcomes(passed=1, failed=1)

    @pytest.mark.parametrize(
        "listed",
        [
            "test_a.py::test_late\n",
            "test_a.py::test_late | | 9\n",
            "test_a.py::test_gone | the cause | 9\n",
            LINE * 4,
        ],
    )
    def test_refuses_a_bad_list(self, run, listed):
        result = run(listed, "pass-over")
        assert result.ret == pytest.ExitCode.USAGE_ERROR
