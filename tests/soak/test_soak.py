"""A short seeded soak of real processes."""

import pathlib
import subprocess
import sys

import pytest

ROOT = pathlib.Path(__file__).parents[2]


@pytest.mark.processes
class TestSoak:
    @pytest.mark.parametrize("seed", [1, 2])
    def test_no_promise_is_broken(self, seed, tmp_path):
        done = subprocess.run(
            [
                *(sys.executable, "-m", "soak"),
                *("--seeds", str(seed), "--seconds", "4"),
                *("--callers", "6", "--keep", str(tmp_path)),
            ],
            cwd=ROOT,
            env={"PYTHONPATH": f"{ROOT}:{ROOT}/src:{ROOT}/platform"},
            capture_output=True,
            text=True,
        )
        assert done.returncode == 0, done.stdout
