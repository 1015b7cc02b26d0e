from measure.grants import Load


def test_the_load_is_served_and_refused():
    light, heavy = Load(5, 0.8), Load(5, 1.25)
    for number in range(500):
        light.send(number)
        heavy.send(number)
    # At 0.8 of the places only those in the last second are still to end.
    assert len(light._runs) == 500
    assert 0.6 * 500 < len(heavy._runs) < 500
