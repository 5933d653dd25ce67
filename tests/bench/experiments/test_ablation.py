"""Tests of the ablation study: days, changed deploy files and the table."""

from bench.experiments import ablation


class TestDay:
    def test_site_day_and_seed(self):
        day = ablation.Day.parse("a/site.toml:b/overload.toml:7")
        assert day == ("a/site.toml", "b/overload.toml", "7")
        assert day.title == "site overload"
        assert ablation.Day.parse("a.toml:scale-1").seed == ""


class TestRunLine:
    def test_option_is_added_to_the_command(self):
        text = (ablation.ROOT / "deploy" / "system.toml").read_text()
        changed = ablation._RUN_LINE.sub(r'run = "\1 --without=copies"', text)
        assert changed.count("topazlugd.py --without=copies") == 1


class TestTable:
    def test_loss_is_against_all_mechanisms(self, capsys):
        day = ablation.Day("s.toml", "scale-1", "")
        ablation.print_table(
            ["nothing", "copies"],
            [day],
            {("nothing", day): 0.8, ("copies", day): 0.7},
        )
        printed = capsys.readouterr().out
        assert "| copies | 0.700 | +0.100 |" in printed
