"""What a request has in common with its copies."""

from types import SimpleNamespace

from fireflyquay.gateway import fingerprint_request


def make_call(target, account, body):
    owner = None if account is None else SimpleNamespace(id=account)
    return SimpleNamespace(
        request=SimpleNamespace(target=target, body=body),
        admission=SimpleNamespace(account=owner),
    )


def test_fingerprint_depends_on_target_account_and_body():
    parts = [
        (b"/a", "x", b"body"),
        (b"/ax", "", b"body"),
        (b"/a", "xb", b"ody"),
        (b"/a", None, b"body"),
        (b"/a", None, b"xbody"),
    ]
    found = {fingerprint_request(make_call(*it)) for it in parts}
    assert len(found) == len(parts)
    assert fingerprint_request(make_call(*parts[0])) in found
