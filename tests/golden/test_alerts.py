"""The alert rules refer to exposed metrics and existing pages only."""

import pathlib
import re

from golden_recorder import Recorder
import golden_sessions
import pytest
import yaml

from bench.fleets import fleet as _fleet

ROOT = pathlib.Path(__file__).parents[2]
RULES = ROOT / "docs" / "operations" / "alerts.yaml"
METRIC = re.compile(r"\btopazlug_[a-z_]+")

pytestmark = pytest.mark.processes


def rules() -> list[dict]:
    groups = yaml.safe_load(RULES.read_text())["groups"]
    return [rule for group in groups for rule in group["rules"]]


@pytest.fixture
def exposed(fleet: _fleet.Fleet, recorder: Recorder) -> set[str]:
    """Return the names of all series after calls of each kind."""
    # Texts that no golden session sends, so that none finds a cached context.
    body = golden_sessions.chat_body("What of the alerts?", stream=True)
    recorder.call(golden_sessions.CHAT, body, key=golden_sessions.TEAM)
    body["messages"].append({"role": "assistant", "content": "Well."})
    recorder.set_faults(recorder.replica, refuse_count=1)
    recorder.call(golden_sessions.CHAT, body, key=golden_sessions.TEAM)
    golden_sessions.bad_body(recorder)
    expositions = [
        _fleet.get(f"{daemon.administration_url}/metrics").decode()
        for daemon in fleet.daemons
    ]
    return set(METRIC.findall("".join(expositions)))


class TestAlerts:
    def test_rules_use_only_exposed_metrics(self, exposed: set[str]) -> None:
        used_metrics = {
            name for rule in rules() for name in METRIC.findall(rule["expr"])
        }

        assert used_metrics - exposed == set()

    def test_each_rule_names_an_existing_page(self) -> None:
        pages = [rule["annotations"]["page"] for rule in rules()]

        assert [page for page in pages if not (ROOT / page).exists()] == []

    def test_pages_use_only_exposed_metrics(self, exposed: set[str]) -> None:
        used_metrics = {
            name
            for page in RULES.parent.glob("*.md")
            for name in METRIC.findall(page.read_text())
        }
        families = {name.removesuffix("_bucket") for name in exposed}

        assert used_metrics - exposed - families == set()
