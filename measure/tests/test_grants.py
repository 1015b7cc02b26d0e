from measure.grants import LoadGenerator


def test_coordinator_refuses_requests_only_when_overloaded():
    light, heavy = LoadGenerator(5, 0.8), LoadGenerator(5, 1.25)
    for number in range(500):
        light.send(number)
        heavy.send(number)
    # At 0.8 of the capacity every request is granted.
    assert len(light._runs) == 500
    assert 0.6 * 500 < len(heavy._runs) < 500
