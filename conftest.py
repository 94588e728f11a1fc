"""Settings of the test run: the same examples each time."""

from hypothesis import settings

settings.register_profile("ci", derandomize=True, deadline=None, max_examples=60)
settings.register_profile("long", derandomize=False, deadline=None)
settings.load_profile("ci")
