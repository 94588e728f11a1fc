"""A real entry process among stand-ins of the store and of endpoints."""

import http.client
import signal
import time
from collections.abc import Iterator
from functools import partial
from pathlib import Path

import pytest

from mintsaddle.decisions.direct import SETTLE_SECONDS
from mintsaddle.platform.tests import standins
from mintsaddle.platform.tests.standins import Site, wait_for


@pytest.fixture
def site(tmp_path: Path) -> Iterator[Site]:
    yield from standins.run_site(tmp_path)


class TestRepeats:
    def test_a_lookup_is_repeated_elsewhere_after_a_cut(self, site: Site) -> None:
        site.script(standins.cut)
        status, headers, body = site.entry.call("GET", "/lookup/1")
        assert (status, len(site.requests())) == (200, 2)
        asked = {one["X-Mintsaddle-Expect-Instance"] for one in site.requests()}
        assert asked == {"e-1", "e-2"}
        assert headers["X-Mintsaddle-Response-Stamp"] in ("by-e-1", "by-e-2")
        assert body.startswith(b"whole answer of e-")

    def test_an_order_is_not_repeated_after_a_cut(self, site: Site) -> None:
        """Guards against an order that runs at two endpoints."""
        site.script(standins.cut)
        status, _, _ = site.entry.call("POST", "/order/1")
        assert (status, len(site.requests())) == (502, 1)

    def test_an_order_that_was_refused_is_said_not_to_have_run(
        self, site: Site
    ) -> None:
        site.script(standins.refuse)
        status, headers, _ = site.entry.call("POST", "/order/1")
        assert (status, len(site.requests())) == (503, 1)
        assert float(headers["Retry-After"]) > 0

    @pytest.mark.parametrize(
        "act", [standins.cut_short, standins.answer_for_another], ids=["short", "other"]
    )
    def test_what_is_not_the_whole_own_answer_is_not_passed_on(
        self, site: Site, act: standins.Act
    ) -> None:
        site.script(act)
        status, headers, _ = site.entry.call("POST", "/order/1")
        assert status == 502
        assert "X-Mintsaddle-Response-Stamp" not in headers


class TestStreams:
    def test_a_cut_stream_goes_on_after_its_last_whole_event(self, site: Site) -> None:
        """Guards against an event that is lost or comes twice."""
        site.script(standins.stream(1, 3, is_whole=False), standins.stream(4, 5))
        status, _, body = site.entry.call("POST", "/letter/1")
        assert status == 200
        ids = [line for line in body.split(b"\n") if line.startswith(b"id:")]
        assert ids == [b"id: %d" % number for number in range(1, 6)]
        assert site.requests()[-1].get("Last-Event-Id", "3") == "3"
        wait_for(lambda: "ending=streamed" in site.entry.log(), "line about the end")
        (ended,) = [line for line in site.entry.log().splitlines() if "Ended" in line]
        assert " first=0." in ended
        assert " longest_pause=0." in ended

    def test_a_stream_that_cannot_go_on_does_not_look_complete(
        self, site: Site
    ) -> None:
        site.script(standins.stream(1, 2, is_whole=False), standins.refuse)
        response = site.entry.open("POST", "/letter/1").getresponse()
        with pytest.raises(http.client.IncompleteRead):
            response.read()

    def test_a_caller_that_leaves_frees_its_endpoint(self, site: Site) -> None:
        """Guards against engines full of work that nobody waits for."""
        site.script(standins.stay_silent)
        connection = site.entry.open("POST", "/letter/1")
        wait_for(lambda: len(site.requests()) == 1, "request at an endpoint")
        connection.close()
        left_at = time.monotonic()
        wait_for(
            lambda: any(endpoint.freed.is_set() for endpoint in site.endpoints),
            "freed endpoint",
        )
        assert time.monotonic() - left_at < 0.5


class TestConnections:
    def test_only_what_may_be_repeated_goes_over_a_kept_connection(
        self, site: Site
    ) -> None:
        """Guards against an order reset on an idle connection."""
        for endpoint in site.endpoints[1:]:
            leaving = standins.announce(endpoint, "desk", state="draining")
            site.store.put(f"servers/{endpoint.name}", leaving)
        wait_for(lambda: "leaving=1" in site.entry.log(), "news of the leaving")
        for _ in range(3):
            assert site.entry.call("GET", "/lookup/1")[0] == 200
        for _ in range(2):
            assert site.entry.call("POST", "/order/1")[0] == 200
        ports = [one["port"] for one in site.requests()]
        assert len(set(ports[:3])) == 1
        assert len(set(ports[2:])) == 3


class TestRules:
    def test_who_calls_is_named_by_the_key(self, site: Site) -> None:
        site.entry.call("GET", "/lookup/%41?b=%2F", X_Mintsaddle_Tenant="forged")
        (request,) = site.requests()
        assert request["X-Mintsaddle-Tenant"] == "north"
        assert request["target"] == "/lookup/%41?b=%2F"
        assert "Api-Key" not in request
        assert int(request["X-Mintsaddle-Deadline-Ms"]) <= 3000

    def test_unknown_keys_and_routes_are_denied(self, site: Site) -> None:
        assert site.entry.call("GET", "/lookup/1", Api_Key="bad")[0] == 401
        assert site.entry.call("GET", "/nowhere/1")[0] == 404
        assert site.requests() == []

    def test_a_deadline_is_kept(self, site: Site) -> None:
        site.script(standins.stay_silent)
        began_at = time.monotonic()
        status, _, _ = site.entry.call(
            "POST", "/order/1", X_Mintsaddle_Deadline_Ms="400"
        )
        assert status == 504
        assert 0.35 < time.monotonic() - began_at < 0.9


class TestPublished:
    def test_a_leaving_endpoint_gets_nothing_new(self, site: Site) -> None:
        leaving = standins.announce(site.endpoints[0], "desk", state="draining")
        site.store.put("servers/e-1", leaving)
        wait_for(lambda: "leaving=1" in site.entry.log(), "news of the leaving")
        for _ in range(6):
            assert site.entry.call("GET", "/lookup/1")[0] == 200
        assert site.endpoints[0].requests == []

    def test_a_data_centre_that_is_out_gets_nothing_new(self, site: Site) -> None:
        site.store.put(
            "servers/e-1", standins.announce(site.endpoints[0], "desk", zone="b")
        )
        site.store.put("op/evacuate/b", {})
        wait_for(lambda: "out=b" in site.entry.log(), "news of the mark")
        for _ in range(6):
            site.entry.call("GET", "/lookup/1")
        assert site.endpoints[0].requests == []

    @pytest.mark.parametrize(
        "value",
        [
            b"\xff\x00",
            b"[]",
            b'{"service": 5}',
            b'{"service":"desk","address":"nowhere","zone":"a","state":"ready"}',
        ],
    )
    def test_garbage_names_no_endpoint_and_stops_nothing(
        self, site: Site, value: bytes
    ) -> None:
        site.store.put("servers/bad", value)
        site.store.put("op/config", b"{")
        wait_for(lambda: "Table refused" in site.entry.log(), "refused table")
        assert site.entry.call("GET", "/lookup/1")[0] == 200

    def test_a_lost_history_is_read_again(self, site: Site) -> None:
        site.store.delete("servers/e-1")
        site.store.forget_history()
        wait_for(lambda: "endpoints=1" in site.entry.log(), "news of the removal")

    def test_service_goes_on_while_the_store_is_down(self, site: Site) -> None:
        site.store.is_down = True
        wait_for(lambda: "Platform lost" in site.entry.log(), "loss of the store")
        assert site.entry.call("GET", "/lookup/1")[0] == 200
        site.store.is_down = False
        wait_for(lambda: "Platform regained" in site.entry.log(), "its return")

    def test_an_entry_that_the_store_turns_away_hears_from_a_peer(
        self, site: Site
    ) -> None:
        """Guards against an old copy in one entry."""
        away = standins.Store()
        away.is_down = True
        other = site.add_entry(away.address, [site.entry.control])
        wait_for(other.is_ready, "entry that was told by a peer")
        site.store.put("op/config", make_newer())
        wait_for(lambda: "version=2" in other.log(), "relayed table")

    def test_an_entry_that_knows_no_table_promises_only_not_run(
        self, site: Site
    ) -> None:
        away = standins.Store()
        away.is_down = True
        other = site.add_entry(away.address)
        wait_for(lambda: "Started" in other.log(), "start")
        status, headers, _ = other.call("GET", "/nowhere/1")
        assert status == 503
        assert "Retry-After" in headers
        assert not other.is_ready()


def make_newer() -> dict[str, object]:
    return standins.make_configuration(version=2)


def wait_for_table(entry: standins.Entry) -> None:
    """Wait until an entry knows the newer table."""
    wait_for(lambda: "version=2" in entry.log(), "newer table")


def reads(entry: standins.Entry) -> bool:
    """Return whether an entry watches the store for others."""
    lines = [line for line in entry.log().splitlines() if "is_reader" in line]
    return bool(lines) and "is_reader=True" in lines[-1]


def wait_for_quiet(store: standins.Store) -> None:
    """Wait until nobody has watched beside another one for a second."""
    crowded_at = time.monotonic()

    def is_quiet() -> bool:
        nonlocal crowded_at
        if store.watching > 1:
            crowded_at = time.monotonic()
        return time.monotonic() - crowded_at > 1.0 and store.watching == 1

    wait_for(is_quiet, "single watch")


class TestReaders:
    @pytest.fixture
    def entries(self, site: Site) -> list[standins.Entry]:
        """Three entries, the reader of their data centre first."""
        seeds = [site.entry.control]
        entries = [
            site.entry,
            *(site.add_entry(site.store.address, seeds) for _ in "12"),
        ]
        for entry in entries[1:]:
            wait_for(entry.is_ready, "ready entry")

        # All have chosen whom to follow, and watches from before are over.
        time.sleep(SETTLE_SECONDS)
        wait_for_quiet(site.store)
        reader, *followers = sorted(entries, key=reads, reverse=True)
        assert reads(reader)
        return [reader, *followers]

    def test_one_entry_of_a_data_centre_reads(
        self, site: Site, entries: list[standins.Entry]
    ) -> None:
        """Guards against a store call for each change and entry."""
        site.store.put("op/config", make_newer())
        revision = site.store.revision
        for entry in entries:
            wait_for_table(entry)
        assert site.store.told.count(revision) == 1

    def test_followers_of_a_frozen_reader_still_hear(
        self, site: Site, entries: list[standins.Entry]
    ) -> None:
        """Guards against followers that trust a silent reader."""
        reader, *followers = entries
        reader.process.send_signal(signal.SIGSTOP)
        try:
            site.store.put("op/config", make_newer())
            for follower in followers:
                wait_for_table(follower)
        finally:
            reader.process.send_signal(signal.SIGCONT)


class TestReload:
    def test_a_changed_file_is_read_again_and_cuts_nobody(self, site: Site) -> None:
        """Guards against a signal that ends the process."""
        site.entry.change_settings("retry_slack = 90", "retry_slack = 45")
        site.entry.process.send_signal(signal.SIGHUP)
        wait_for(lambda: "Reloaded" in site.entry.log(), "reload")
        site.entry.change_settings("grace_s = 8", "grace_s = -1")
        site.entry.process.send_signal(signal.SIGHUP)
        wait_for(lambda: "Settings refused" in site.entry.log(), "refusal")
        assert site.entry.call("GET", "/lookup/1")[0] == 200


class TestSilentEndpoints:
    def test_a_lookup_goes_elsewhere_in_time(self, site: Site) -> None:
        """Guards against a lookup that waits for a lost answer."""
        site.script(standins.stay_silent)
        status, _, _ = site.entry.call(
            "GET", "/lookup/1", X_Mintsaddle_Deadline_Ms="1200"
        )
        assert (status, len(site.requests())) == (200, 2)


def knows_one_endpoint(entry: standins.Entry) -> bool:
    return "endpoints=1 " in entry.log()


class TestRateLimits:
    @pytest.fixture
    def entries(self, site: Site) -> list[standins.Entry]:
        entries = [
            site.entry,
            *(site.add_entry(site.store.address, [site.entry.control]) for _ in "12"),
        ]
        for entry in entries:
            wait_for(entry.is_ready, "ready entry")
        return entries

    def test_what_does_not_fit_goes_to_other_endpoints(
        self, site: Site, entries: list[standins.Entry]
    ) -> None:
        limited = site.endpoints[0]
        limited.rate_limit = "0.5"
        statuses = [entry.call("GET", "/lookup/1")[0] for entry in entries * 12]
        assert set(statuses) == {200}
        assert len(limited.requests) <= 12

    def test_all_entries_together_keep_the_limit_while_it_is_named(
        self, site: Site, entries: list[standins.Entry]
    ) -> None:
        """Guards against entries that each send what one of them may."""
        for gone in site.endpoints[1:]:
            site.store.delete(f"servers/{gone.name}")
        for entry in entries:
            wait_for(partial(knows_one_endpoint, entry), "removals")
        (desk, *_) = site.endpoints
        desk.rate_limit = "4.0"
        named_at = time.monotonic()
        answers = []
        while time.monotonic() < named_at + 6.0:
            answers += [entry.call("GET", "/lookup/1") for entry in entries]
            time.sleep(0.02)
        arrivals = [at for at in desk.arrivals if at > named_at + 1.0]
        for first in arrivals:
            assert sum(first <= at < first + 4.0 for at in arrivals) <= 29
        assert len(arrivals) >= 4
        refused = [headers for status, headers, _ in answers if status == 503]
        assert refused
        assert all(float(headers["Retry-After"]) > 0 for headers in refused)
        desk.rate_limit = None

        def all_serve() -> bool:
            return all(one.call("GET", "/lookup/1")[0] == 200 for one in entries * 4)

        wait_for(all_serve, "end of the limit")


class TestMetrics:
    def test_counters_and_latencies_are_served(self, site: Site) -> None:
        site.entry.call("GET", "/lookup/1")
        text = site.entry.fetch_metrics()
        assert "mintsaddle_ended_answered 1" in text
        assert 'mintsaddle_first_ms{workspace="north",class="lookup"' in text


class TestSize:
    def test_an_idle_entry_has_few_threads(self, site: Site) -> None:
        """Guards against a pool of threads in each of hundreds of entries."""
        threads = Path(f"/proc/{site.entry.process.pid}/task")
        assert len(list(threads.iterdir())) < 20


class TestStop:
    def test_a_stop_cuts_nobody(self, site: Site) -> None:
        """A counter's letter breaks off while an entry is replaced."""
        site.script(standins.stay_silent)
        waiting = site.entry.open("POST", "/order/1", X_Mintsaddle_Deadline_Ms="900")
        wait_for(lambda: len(site.requests()) == 1, "request at an endpoint")
        site.entry.terminate()
        wait_for(lambda: not site.entry.is_ready(), "failed readiness check")
        status, headers, _ = site.entry.call("GET", "/lookup/1")
        assert status == 200
        assert headers["Connection"] == "close"
        assert waiting.getresponse().status == 504
        assert site.entry.process.wait(standins.WAIT_SECONDS) == 0
