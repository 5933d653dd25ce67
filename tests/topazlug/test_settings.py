import pathlib

import pytest

from topazlug import _errors
from topazlug import _settings
from topazlug._generated import settings

SECRET = "0123456789abcdef"
GOOD = """\
daemon: {id: d1, zone: wien-a, region: wien}
listen:
  callers: {host: 127.0.0.1, port: 0}
  peers: {host: "::1", port: 0}
  administration: {host: 127.0.0.1, port: 0}
platform:
  tables: {host: 127.0.0.1, port: 1}
  objects: {host: 127.0.0.1, port: 1}
  instances: {host: 127.0.0.1, port: 1}
peers: {secret: !env FLEET_SECRET}
routing: {bound: 1.25}
"""


@pytest.fixture
def path(tmp_path, monkeypatch):
    monkeypatch.setenv("FLEET_SECRET", SECRET)
    return tmp_path / "d1.yaml"


def load_error(path: pathlib.Path, text: str) -> str:
    path.write_text(text)
    with pytest.raises(_errors.SettingsInvalid) as caught:
        _settings.load(path)
    return caught.value.message


class TestLoad:
    def test_returns_file_values_and_defaults(self, path):
        path.write_text(GOOD)
        loaded = _settings.load(path)
        assert loaded.routing.bound == 1.25
        assert loaded.routing.policy is settings.RoutingPolicy.owners

    def test_reads_a_string_from_the_environment(self, path):
        path.write_text(GOOD)
        assert _settings.load(path).peers.secret == SECRET


class TestInvalidSettings:
    @pytest.mark.parametrize(
        "old, new, parts",
        [
            ("bound: 1.25", "bound: x", ["routing.bound", "'x'", "float"]),
            ("bound: 1.25", "bound: 20", ["routing.bound", "20", "<= 10"]),
            ("bound: 1.25", "bound: .nan", ["routing.bound", "finite"]),
            ("bound: 1.25", "bond: 1", ["routing.bond", "'bound'"]),
            ("bound: 1.25", "policy: hsh", ["routing.policy", "two_choices"]),
            ("bound: 1.25", "bound: 1, bound: 2", ["line 11", "twice"]),
            ("bound: 1.25}", "bound: 1.25", ["line 12", "expected"]),
            ("id: d1, ", "", ["daemon.id", "required"]),
            ("routing:", "1:", ["strings, not 1"]),
            ("{bound: 1.25}", "", ["routing", "nothing", "object"]),
            ("!env FLEET_SECRET", "!env NONE_SUCH", ["'NONE_SUCH'"]),
            ("{host: 127.0.0.1, port: 1}", "[]", ["platform.tables"]),
            (
                "routing: {bound: 1.25}",
                "limits: {default_deadline: 900}",
                ["limits.default_deadline", "900", "600"],
            ),
            (
                "routing: {bound: 1.25}",
                "metrics: {otlp_endpoint: 'http://name:4318'}",
                ["metrics.otlp_endpoint", "IP number"],
            ),
            (
                "!env FLEET_SECRET",
                "!env FLEET_SECRET, tls: {certificate: a, key: b, "
                "authority: c}",
                ["peers.tls.certificate", "'a'", "PEM"],
            ),
        ],
    )
    def test_error_names_file_key_value_and_expectation(
        self, path, old, new, parts
    ):
        assert old in GOOD
        message = load_error(path, GOOD.replace(old, new, 1))
        for part in [str(path), *parts]:
            assert part in message

    def test_host_name_is_rejected_with_the_reason(self, path):
        """Guards against daemons that depend on a name service.

        If settings could contain host names, a restarted daemon could not
        reach the table while the name service is down or slow. The platform
        provides IP numbers for all its services.
        """
        message = load_error(path, GOOD.replace("127.0.0.1", "tables.local"))
        assert "'tables.local'" in message
        assert "do not resolve names" in message

    @pytest.mark.parametrize("secret", ["hunter2", "[hunter2]"])
    def test_secrets_are_not_shown(self, path, secret):
        message = load_error(path, GOOD.replace("!env FLEET_SECRET", secret))
        assert "peers.secret" in message
        assert "hunter2" not in message

    def test_values_from_the_environment_are_not_shown(self, path):
        message = load_error(path, GOOD.replace("1.25", "!env FLEET_SECRET"))
        assert SECRET not in message

    @pytest.mark.parametrize("content", [b"", b"\xff\xfe", b"- 1", b"\0"])
    def test_file_without_settings(self, path, content):
        path.write_bytes(content)
        with pytest.raises(_errors.SettingsInvalid):
            _settings.load(path)

    def test_missing_file(self, path):
        with pytest.raises(_errors.SettingsInvalid, match="No such file"):
            _settings.load(path)
