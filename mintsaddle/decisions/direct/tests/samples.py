"""Values that tests of direct delivery share."""

from mintsaddle.decisions.direct import Destination, Repeat, Route

ROUTE = Route(
    name="route",
    host="host",
    prefix="/",
    repeat=Repeat.IDEMPOTENT,
    is_stream=False,
    timeout=8.0,
    objective=0.4,
    longest_pause=0.12,
    priority=1,
    destinations=(Destination("desk", 1.0),),
    max_attempts=2,
    allows_anonymous=False,
)
