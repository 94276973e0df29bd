"""Tests of the settings under which the random searches run."""

from hypothesis.internal.conjecture.providers import HypothesisProvider


def test_a_search_draws_no_constants_of_the_modules_that_are_loaded():
    # Guards against searches whose verdict depends on the tests that ran before.
    drawn_from = HypothesisProvider(None)._local_constants
    for kind in ("integer", "float", "string", "bytes"):
        assert not drawn_from.set_for_type(kind)
