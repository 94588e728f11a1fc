"""A real entry process with a fake store and fake endpoints."""

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
        site.script(standins.drop_connection)
        status, headers, body = site.entry.call("GET", "/lookup/1")
        assert (status, len(site.requests())) == (200, 2)
        instances = {
            request["X-Mintsaddle-Expect-Instance"] for request in site.requests()
        }
        assert instances == {"e-1", "e-2"}
        assert headers["X-Mintsaddle-Response-Stamp"] in ("by-e-1", "by-e-2")
        assert body.startswith(b"whole answer of e-")

    def test_an_order_is_not_repeated_after_a_cut(self, site: Site) -> None:
        """Guards against an order that two endpoints execute."""
        site.script(standins.drop_connection)
        status, _, _ = site.entry.call("POST", "/order/1")
        assert (status, len(site.requests())) == (502, 1)

    def test_an_order_that_was_refused_is_reported_as_not_run(self, site: Site) -> None:
        site.script(standins.refuse)
        status, headers, _ = site.entry.call("POST", "/order/1")
        assert (status, len(site.requests())) == (503, 1)
        assert float(headers["Retry-After"]) > 0

    @pytest.mark.parametrize(
        "responder",
        [standins.truncate_response, standins.respond_to_other_attempt],
        ids=["short", "other"],
    )
    def test_a_truncated_or_foreign_response_is_not_passed_on(
        self, site: Site, responder: standins.Responder
    ) -> None:
        site.script(responder)
        status, headers, _ = site.entry.call("POST", "/order/1")
        assert status == 502
        assert "X-Mintsaddle-Response-Stamp" not in headers


class TestStreams:
    def test_a_cut_stream_goes_on_after_its_last_whole_event(self, site: Site) -> None:
        """Guards against lost and duplicate events."""
        site.script(
            standins.stream_events(1, 3, is_complete=False),
            standins.stream_events(4, 5),
        )
        status, _, body = site.entry.call("POST", "/letter/1")
        assert status == 200
        ids = [line for line in body.split(b"\n") if line.startswith(b"id:")]
        assert ids == [b"id: %d" % number for number in range(1, 6)]
        assert site.requests()[-1].get("Last-Event-Id", "3") == "3"
        wait_for(
            lambda: "ending=streamed" in site.entry.log(),
            "log line of the ended request",
        )
        (ended,) = [line for line in site.entry.log().splitlines() if "Ended" in line]
        assert " first=0." in ended
        assert " longest_pause=0." in ended

    def test_a_stream_that_cannot_go_on_does_not_look_complete(
        self, site: Site
    ) -> None:
        site.script(standins.stream_events(1, 2, is_complete=False), standins.refuse)
        response = site.entry.open("POST", "/letter/1").getresponse()
        with pytest.raises(http.client.IncompleteRead):
            response.read()

    def test_a_caller_that_leaves_frees_its_endpoint(self, site: Site) -> None:
        """Guards against engines that run requests of disconnected callers."""
        site.script(standins.never_respond)
        connection = site.entry.open("POST", "/letter/1")
        wait_for(lambda: len(site.requests()) == 1, "request at an endpoint")
        connection.close()
        closed_at = time.monotonic()
        wait_for(
            lambda: any(
                endpoint.connection_closed.is_set() for endpoint in site.endpoints
            ),
            "closed connection at an endpoint",
        )
        assert time.monotonic() - closed_at < 0.5


class TestConnections:
    def test_only_repeatable_requests_reuse_a_connection(self, site: Site) -> None:
        """Guards against orders that fail on a reset idle connection."""
        for endpoint in site.endpoints[1:]:
            announcement = standins.make_announcement(
                endpoint, "desk", state="draining"
            )
            site.store.put(f"servers/{endpoint.name}", announcement)
        wait_for(
            lambda: "leaving=1" in site.entry.log(), "log line of the draining endpoint"
        )
        for _ in range(3):
            assert site.entry.call("GET", "/lookup/1")[0] == 200
        for _ in range(2):
            assert site.entry.call("POST", "/order/1")[0] == 200
        ports = [request["port"] for request in site.requests()]
        assert len(set(ports[:3])) == 1
        assert len(set(ports[2:])) == 3


class TestRules:
    def test_the_key_determines_the_workspace(self, site: Site) -> None:
        site.entry.call("GET", "/lookup/%41?b=%2F", X_Mintsaddle_Tenant="forged")
        (request,) = site.requests()
        assert request["X-Mintsaddle-Tenant"] == "north"
        assert request["target"] == "/lookup/%41?b=%2F"
        assert "Api-Key" not in request
        assert int(request["X-Mintsaddle-Deadline-Ms"]) <= 3000

    def test_denials_are_counted(self, site: Site) -> None:
        """Guards against denials that no metric shows."""
        site.entry.call("GET", "/lookup/1", Api_Key="wrong")
        site.entry.call("GET", "/nowhere/1")
        metrics = site.entry.fetch_metrics()
        assert "mintsaddle_denied_no-key 1" in metrics
        assert "mintsaddle_denied_no-route 1" in metrics

    def test_unknown_keys_and_routes_are_denied(self, site: Site) -> None:
        assert site.entry.call("GET", "/lookup/1", Api_Key="bad")[0] == 401
        assert site.entry.call("GET", "/nowhere/1")[0] == 404
        assert site.requests() == []

    def test_a_deadline_is_kept(self, site: Site) -> None:
        site.script(standins.never_respond)
        started_at = time.monotonic()
        status, _, _ = site.entry.call(
            "POST", "/order/1", X_Mintsaddle_Deadline_Ms="400"
        )
        assert status == 504
        assert 0.35 < time.monotonic() - started_at < 0.9


class TestPublished:
    def test_a_leaving_endpoint_gets_nothing_new(self, site: Site) -> None:
        announcement = standins.make_announcement(
            site.endpoints[0], "desk", state="draining"
        )
        site.store.put("servers/e-1", announcement)
        wait_for(
            lambda: "leaving=1" in site.entry.log(), "log line of the draining endpoint"
        )
        for _ in range(6):
            assert site.entry.call("GET", "/lookup/1")[0] == 200
        assert site.endpoints[0].requests == []

    def test_a_data_centre_that_is_out_gets_nothing_new(self, site: Site) -> None:
        site.store.put(
            "servers/e-1",
            standins.make_announcement(site.endpoints[0], "desk", zone="b"),
        )
        site.store.put("op/evacuate/b", {})
        wait_for(lambda: "out=b" in site.entry.log(), "log line of the evacuation")
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
    def test_invalid_items_add_no_endpoint_and_stop_nothing(
        self, site: Site, value: bytes
    ) -> None:
        site.store.put("servers/bad", value)
        site.store.put("op/config", b"{")
        wait_for(lambda: "Table refused" in site.entry.log(), "refused table")
        assert site.entry.call("GET", "/lookup/1")[0] == 200

    def test_a_lost_history_is_read_again(self, site: Site) -> None:
        site.store.delete("servers/e-1")
        site.store.forget_history()
        wait_for(lambda: "endpoints=1" in site.entry.log(), "log line of the removal")

    def test_service_goes_on_while_the_store_is_down(self, site: Site) -> None:
        site.store.is_down = True
        wait_for(
            lambda: "Platform lost" in site.entry.log(), "log line of the lost store"
        )
        assert site.entry.call("GET", "/lookup/1")[0] == 200
        site.store.is_down = False
        wait_for(
            lambda: "Platform regained" in site.entry.log(), "log line of the recovery"
        )

    def test_an_entry_without_the_store_is_updated_by_a_peer(self, site: Site) -> None:
        """Guards against an entry that keeps an outdated copy."""
        unavailable_store = standins.Store()
        unavailable_store.is_down = True
        other = site.add_entry(unavailable_store.address, [site.entry.control])
        wait_for(other.is_ready, "entry updated by a peer")
        site.store.put("op/config", make_newer_configuration())
        wait_for(lambda: "version=2" in other.log(), "relayed table")

    def test_an_entry_without_a_table_refuses_requests_as_not_run(
        self, site: Site
    ) -> None:
        unavailable_store = standins.Store()
        unavailable_store.is_down = True
        other = site.add_entry(unavailable_store.address)
        wait_for(lambda: "Started" in other.log(), "start")
        status, headers, _ = other.call("GET", "/nowhere/1")
        assert status == 503
        assert "Retry-After" in headers
        assert not other.is_ready()


def make_newer_configuration() -> dict[str, object]:
    return standins.make_configuration(version=2)


def wait_for_table(entry: standins.Entry) -> None:
    """Wait until an entry has logged the newer table."""
    wait_for(lambda: "version=2" in entry.log(), "newer table")


def is_reader(entry: standins.Entry) -> bool:
    """Return whether an entry watches the store for its data centre."""
    lines = [line for line in entry.log().splitlines() if "is_reader" in line]
    return bool(lines) and "is_reader=True" in lines[-1]


def wait_for_single_watch(store: standins.Store) -> None:
    """Wait until the store has had a single watch for one second."""
    last_concurrent_at = time.monotonic()

    def is_single() -> bool:
        nonlocal last_concurrent_at
        if store.open_watches > 1:
            last_concurrent_at = time.monotonic()
        return time.monotonic() - last_concurrent_at > 1.0 and store.open_watches == 1

    wait_for(is_single, "single watch")


class TestReaders:
    @pytest.fixture
    def entries(self, site: Site) -> list[standins.Entry]:
        """Three entries; the first is the reader of their data centre."""
        seeds = [site.entry.control]
        entries = [
            site.entry,
            *(site.add_entry(site.store.address, seeds) for _ in "12"),
        ]
        for entry in entries[1:]:
            wait_for(entry.is_ready, "ready entry")

        # Each entry has chosen its upstream, and earlier watches have ended.
        time.sleep(SETTLE_SECONDS)
        wait_for_single_watch(site.store)
        reader, *followers = sorted(entries, key=is_reader, reverse=True)
        assert is_reader(reader)
        return [reader, *followers]

    def test_one_entry_of_a_data_centre_reads(
        self, site: Site, entries: list[standins.Entry]
    ) -> None:
        """Guards against one store request per change and entry."""
        site.store.put("op/config", make_newer_configuration())
        revision = site.store.revision
        for entry in entries:
            wait_for_table(entry)
        assert site.store.delivered_revisions.count(revision) == 1

    def test_followers_of_a_frozen_reader_still_get_changes(
        self, site: Site, entries: list[standins.Entry]
    ) -> None:
        """Guards against followers that rely on an unresponsive reader."""
        reader, *followers = entries
        reader.process.send_signal(signal.SIGSTOP)
        try:
            site.store.put("op/config", make_newer_configuration())
            for follower in followers:
                wait_for_table(follower)
        finally:
            reader.process.send_signal(signal.SIGCONT)


class TestReload:
    def test_settings_are_reloaded_without_a_restart(self, site: Site) -> None:
        """Guards against SIGHUP ending the process."""
        site.entry.change_settings("retry_slack = 90", "retry_slack = 45")
        site.entry.process.send_signal(signal.SIGHUP)
        wait_for(lambda: "Reloaded" in site.entry.log(), "reload")
        site.entry.change_settings("grace_s = 8", "grace_s = -1")
        site.entry.process.send_signal(signal.SIGHUP)
        wait_for(lambda: "Settings refused" in site.entry.log(), "refusal")
        assert site.entry.call("GET", "/lookup/1")[0] == 200


class TestUnresponsiveEndpoints:
    def test_a_lookup_goes_elsewhere_in_time(self, site: Site) -> None:
        """Guards against a lookup that waits for a lost response."""
        site.script(standins.never_respond)
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

    def test_requests_over_the_limit_go_to_other_endpoints(
        self, site: Site, entries: list[standins.Entry]
    ) -> None:
        limited = site.endpoints[0]
        limited.rate_limit = "0.5"
        statuses = [entry.call("GET", "/lookup/1")[0] for entry in entries * 12]
        assert set(statuses) == {200}
        assert len(limited.requests) <= 12

    def test_all_entries_together_keep_the_limit_while_it_is_sent(
        self, site: Site, entries: list[standins.Entry]
    ) -> None:
        """Guards against entries that each use the whole limit."""
        for removed in site.endpoints[1:]:
            site.store.delete(f"servers/{removed.name}")
        for entry in entries:
            wait_for(partial(knows_one_endpoint, entry), "removals")
        (endpoint, *_) = site.endpoints
        endpoint.rate_limit = "4.0"
        limited_at = time.monotonic()
        responses = []
        while time.monotonic() < limited_at + 6.0:
            responses += [entry.call("GET", "/lookup/1") for entry in entries]
            time.sleep(0.02)
        arrivals = [at for at in endpoint.arrivals if at > limited_at + 1.0]
        for first in arrivals:
            assert sum(first <= at < first + 4.0 for at in arrivals) <= 29
        assert len(arrivals) >= 4
        refused = [headers for status, headers, _ in responses if status == 503]
        assert refused
        assert all(float(headers["Retry-After"]) > 0 for headers in refused)
        endpoint.rate_limit = None

        def all_succeed() -> bool:
            return all(
                entry.call("GET", "/lookup/1")[0] == 200 for entry in entries * 4
            )

        wait_for(all_succeed, "end of the limit")


class TestMetrics:
    def test_counters_and_latencies_are_served(self, site: Site) -> None:
        site.entry.call("GET", "/lookup/1")
        text = site.entry.fetch_metrics()
        assert "mintsaddle_ended_answered 1" in text
        assert 'mintsaddle_first_ms{workspace="north",class="lookup"' in text


class TestSize:
    def test_an_idle_entry_has_few_threads(self, site: Site) -> None:
        """Guards against a thread pool in each of hundreds of entries."""
        threads = Path(f"/proc/{site.entry.process.pid}/task")
        assert len(list(threads.iterdir())) < 20


class TestStop:
    def test_a_stop_drops_no_request(self, site: Site) -> None:
        """Guards against responses cut off while an entry is replaced."""
        site.script(standins.never_respond)
        waiting = site.entry.open("POST", "/order/1", X_Mintsaddle_Deadline_Ms="900")
        wait_for(lambda: len(site.requests()) == 1, "request at an endpoint")
        site.entry.terminate()
        wait_for(lambda: not site.entry.is_ready(), "failed readiness check")
        status, headers, _ = site.entry.call("GET", "/lookup/1")
        assert status == 200
        assert headers["Connection"] == "close"
        assert waiting.getresponse().status == 504
        assert site.entry.process.wait(standins.WAIT_SECONDS) == 0
