"""Lines on the crash records that a decision is based on."""

import logbook

from topazlug import _ids
from topazlug.crashes import _decision_log

F = _ids.Fingerprint("f")
RUN = _decision_log.Decision.RUN
HOLD = _decision_log.Decision.HOLD


def basis(crashes):
    return _decision_log.Basis(
        crashes=crashes, incarnations=crashes, own=1, received=2, shared=0
    )


def test_line_has_the_basis():
    """Nobody could tell why one daemon ran what two others rejected."""
    with logbook.TestHandler() as handler:
        _decision_log.DecisionLog().add(F, RUN, basis(2))
    (record,) = handler.records
    assert record.level == logbook.INFO
    assert record.kwargs["received"] == 2
    assert record.kwargs["decision"] == "run"


def test_decision_on_the_same_basis_is_logged_once():
    """A read that is sent all the time would fill the log."""
    log = _decision_log.DecisionLog()
    with logbook.TestHandler() as handler:
        for _ in range(3):
            log.add(F, RUN, basis(1))
        log.add(F, RUN, basis(2))
        log.add(F, HOLD, basis(2))
    assert len(handler.records) == 3


def test_requests_are_bounded():
    """The daemon's memory is limited."""
    log = _decision_log.DecisionLog()
    for number in range(300):
        log.add(_ids.Fingerprint(str(number)), RUN, basis(1))
    assert len(log._last_by_fingerprint) == 256
