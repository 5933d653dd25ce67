"""A short seeded soak of real processes."""

import pathlib
import subprocess
import sys

import pytest

ROOT = pathlib.Path(__file__).parents[2]


def play(seed, folder, *, seconds, only=""):
    return subprocess.run(
        [
            *(sys.executable, "-m", "soak"),
            *("--seeds", str(seed), "--seconds", str(seconds)),
            *("--callers", "6", "--only", only, "--keep", str(folder)),
        ],
        cwd=ROOT,
        env={"PYTHONPATH": f"{ROOT}:{ROOT}/src:{ROOT}/platform"},
        capture_output=True,
        text=True,
    )


@pytest.mark.processes
class TestSoak:
    @pytest.mark.parametrize("seed", [1, 2])
    def test_no_promise_is_broken(self, seed, tmp_path):
        done = play(seed, tmp_path, seconds=4)
        assert done.returncode == 0, done.stdout

    def test_calls_that_the_store_leaves_unanswered(self, tmp_path):
        """A key is refused seconds after the store was silent for a moment."""
        done = play(3, tmp_path, seconds=9, only="store-briefly-silent")
        assert done.returncode == 0, done.stdout

    def test_replicas_that_say_that_they_want_nothing(self, tmp_path):
        """Replicas that leave or ask for a backoff go on getting requests."""
        only = "replica-sheds,replica-leaves-unlisted"
        done = play(5, tmp_path, seconds=9, only=only)
        assert done.returncode == 0, done.stdout
