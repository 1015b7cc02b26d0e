"""Tests of request fingerprints."""

from types import SimpleNamespace

from fireflyquay.gateway import fingerprint_request


def make_call(target, account, body):
    client_account = None if account is None else SimpleNamespace(id=account)
    return SimpleNamespace(
        request=SimpleNamespace(target=target, body=body),
        admission=SimpleNamespace(account=client_account),
    )


def test_fingerprints_are_equal_only_for_equal_target_account_and_body():
    variants = [
        (b"/a", "x", b"body"),
        (b"/ax", "", b"body"),
        (b"/a", "xb", b"ody"),
        (b"/a", None, b"body"),
        (b"/a", None, b"xbody"),
    ]
    fingerprints = {fingerprint_request(make_call(*it)) for it in variants}
    assert len(fingerprints) == len(variants)
    assert fingerprint_request(make_call(*variants[0])) in fingerprints
