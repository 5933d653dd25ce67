"""Routes by host and longest prefix, teams by key, increasing versions."""

import pytest

from tests.topazlug.forwarding import forwarding_fixtures as fixtures
from topazlug import _errors
from topazlug.forwarding import _table


class TestRoutes:
    @pytest.mark.parametrize(
        "path, name",
        [("/a/x", "outer"), ("/a/b/x", "inner"), ("/a/b/", "inner")],
    )
    def test_longest_prefix(self, path, name):
        table = fixtures.table(
            fixtures.route(name="outer", prefix="/a/"),
            fixtures.route(name="inner", prefix="/a/b/"),
        )
        assert table.find_route("chat.example:80", path).name == name

    @pytest.mark.parametrize(
        "host, path", [("chat.example", "/ab"), ("other.example", "/a/")]
    )
    def test_no_route(self, host, path):
        table = fixtures.table(fixtures.route(prefix="/a/"))
        with pytest.raises(_errors.UnknownPath):
            table.find_route(host, path)

    def test_split_follows_the_weights(self):
        route = fixtures.route(
            shares=(
                _table.ServiceShare("one", 90),
                _table.ServiceShare("two", 10),
            )
        )
        groups = [route.group_for(seed * 7919) for seed in range(10_000)]
        assert 850 <= groups.count("two") <= 1150
        assert route.group_for(5) == route.group_for(5)


class TestKeys:
    def test_known_key(self):
        table = fixtures.table(fixtures.route())
        assert table.find_team(fixtures.route(), fixtures.KEY).name == "udelar"

    @pytest.mark.parametrize("key", [None, "", "wrong"])
    def test_unknown_key(self, key):
        table = fixtures.table(fixtures.route())
        with pytest.raises(_errors.BadKey):
            table.find_team(fixtures.route(), key)

    def test_anonymous_route_requires_none(self):
        table = fixtures.table()
        assert table.find_team(fixtures.route(anonymous=True), None) is None


class TestHolder:
    def test_older_version_is_ignored(self):
        """Otherwise a removed key would become valid again.

        After an outage the store briefly returned version 5 while version 7
        was in force, and version 5 was applied.
        """
        holder = _table.TableHolder()
        assert holder.update(fixtures.table(version=7))
        assert not holder.update(fixtures.table(version=5))
        assert holder.version == 7
