from fireflyquay.decisions import (
    refuse_untaken,
)
from fireflyquay.world import Code, Verdict


def test_entry_vm_not_ready_yet_tells_when_to_come_back():
    refuse = refuse_untaken(Code.NOT_READY, "Not ready.", True)
    assert refuse.verdict is Verdict.NOT_RUN
    assert refuse.retry_after > 0


def test_copy_in_doubt_gets_no_leave_to_retry():
    refuse = refuse_untaken(Code.NOT_READY, "Not ready.", False)
    assert refuse.verdict is Verdict.MAY_HAVE_RUN
    assert refuse.retry_after is None


def test_unknown_customer_has_nothing_to_wait_for():
    assert refuse_untaken(Code.UNKNOWN_CUSTOMER, "No.", True).retry_after is None
