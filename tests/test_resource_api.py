"""Tests of the resource API over real sockets."""

import json
from datetime import timedelta

import anyio
import httpx
import msgspec
import pytest
from testtools.assertions import assert_that
from testtools.matchers import (
    AfterPreprocessing,
    Contains,
    ContainsDict,
    Equals,
    HasLength,
    MatchesListwise,
    MatchesSetwise,
)

from goldcrestpond.api.authorization import check_tokens_for_address
from goldcrestpond.drain.drain_keys import drain_progress_key
from goldcrestpond.drain.drain_phase import DrainPhase
from goldcrestpond.drain.drain_progress import DrainProgress
from goldcrestpond.errors.coded_error import CodedError
from goldcrestpond.store.condition import Condition
from goldcrestpond.store.write import Write

from .api_fixture import GROUP_SPEC, run_with_apis


def has_status(status, **fields):
    """Match a response by its status and fields of its JSON body."""
    body = ContainsDict({name: Equals(value) for name, value in fields.items()})
    return MatchesListwise([Equals(status), body])


def summary(response):
    return [response.status_code, response.json()]


async def create(client, kind, name, spec, **options):
    body = {"name": name, "spec": spec}
    return await client.post(f"/v1/{kind}", json=body, **options)


async def create_path(client):
    """Create a group and a route to it."""
    await create(client, "DatabaseGroup", "g", GROUP_SPEC)
    return await create(client, "Route", "r", {"database": "d", "group": "g"})


# Guards against: an internal error for a body that is nested more deeply than the
# decoder supports.
def test_body_that_is_nested_too_deeply_is_refused():
    async def scenario(standin, client):
        body = b'{"name":"p","spec":' + b"[" * 20_000 + b"]" * 20_000 + b"}"
        response = await client.post("/v1/ReadPolicy", content=body)
        assert_that(summary(response), has_status(422, code="RESOURCE_INVALID"))
        created = await create(client, "ReadPolicy", "p", {"max_age_ms": 5})
        assert_that(created.status_code, Equals(201))

    run_with_apis(scenario)


def test_create_read_replace_patch_delete():
    async def scenario(standin, client):
        created = await create(client, "ReadPolicy", "p", {"max_age_ms": 5})
        assert_that(summary(created), has_status(201, generation=1, name="p"))
        version = created.json()["resourceVersion"]
        again = await create(client, "ReadPolicy", "p", {"max_age_ms": 6})
        assert_that(summary(again), has_status(409, code="RESOURCE_CONFLICT"))
        assert_that(again.json()["current"]["resourceVersion"], Equals(version))

        body = (await client.get("/v1/ReadPolicy/p")).json()
        body["spec"]["max_age_ms"] = 7
        replaced = await client.put("/v1/ReadPolicy/p", json=body)
        assert_that(summary(replaced), has_status(200, generation=2))
        stale = await client.put("/v1/ReadPolicy/p", json=body)
        assert_that(summary(stale), has_status(409, code="RESOURCE_CONFLICT"))
        assert_that(stale.json()["current"]["spec"], Equals({"max_age_ms": 7}))

        patch = {"spec": {"max_age_ms": 8}}
        patched = await client.patch("/v1/ReadPolicy/p", json=patch)
        assert_that(summary(patched), has_status(200, spec={"max_age_ms": 8}))
        listed = (await client.get("/v1/ReadPolicy")).json()["items"]
        assert_that([item["name"] for item in listed], Equals(["p"]))
        stale_path = f"/v1/ReadPolicy/p?resourceVersion={version}"
        assert_that((await client.delete(stale_path)).status_code, Equals(409))
        assert_that((await client.delete("/v1/ReadPolicy/p")).status_code, Equals(200))
        gone = await client.get("/v1/ReadPolicy/p")
        assert_that(summary(gone), has_status(404, code="RESOURCE_NOT_FOUND"))

    run_with_apis(scenario)


def test_all_faults_of_a_body_are_reported_at_once():
    async def scenario(standin, client):
        databases = [
            {"name": "a", "address": "host:1"},
            {"name": "a", "adress": "127.0.0.1:1"},
        ]
        spec = {"databases": databases, "user": 3, "slot_limit": 0}
        body = {"spec": spec, "kind": "Route", "extra": 1}
        response = await client.post("/v1/DatabaseGroup", json=body)
        assert_that(response.status_code, Equals(422))
        paths = [fault["path"] for fault in response.json()["faults"]]
        expected = [
            "body.extra",
            "body.kind",
            "body.name",
            "spec.databases[1].adress",
            "spec.databases[1].address",
            "spec.user",
            "spec.slot_limit",
        ]
        assert_that(paths, MatchesSetwise(*map(Equals, expected)))
        spec = {"databases": databases[:1] * 2, "user": "u", "report_slot_limit": 9}
        response = await create(client, "DatabaseGroup", "g", spec)
        assert_that(response.json()["faults"], HasLength(5))

    run_with_apis(scenario)


def test_changes_that_conflict_with_other_resources_are_refused_with_a_reason():
    async def scenario(standin, client):
        async def expect_refusal(response, word):
            assert_that(summary(response), has_status(422, code="CHANGE_REFUSED"))
            assert_that(response.json()["detail"], Contains(word))

        route = {"database": "d", "group": "none"}
        await expect_refusal(await create(client, "Route", "x", route), "none")
        assert_that((await create_path(client)).status_code, Equals(201))
        policy = {"database": "e", "group": "g", "read_policy": "nope"}
        await expect_refusal(await create(client, "Route", "x", policy), "nope")
        duplicate = {"database": "d", "group": "g"}
        await expect_refusal(await create(client, "Route", "x", duplicate), "'r'")
        await expect_refusal(await client.delete("/v1/DatabaseGroup/g"), "'r'")

        drain = {"group": "g", "database": "a", "deadline_ms": 1}
        await create(client, "DrainOrder", "first", drain)
        await expect_refusal(await create(client, "DrainOrder", "y", drain), "first")
        drain["database"] = "b"
        await expect_refusal(await create(client, "DrainOrder", "y", drain), "left")
        drain["database"] = "c"
        await expect_refusal(await create(client, "DrainOrder", "y", drain), "'c'")

        other = {"databases": [{"name": "z", "address": "127.0.0.1:9"}]}
        swap = await client.patch("/v1/DatabaseGroup/g", json={"spec": other})
        await expect_refusal(swap, "one database at a time")
        other = {"databases": GROUP_SPEC["databases"][:1]}
        shrink = await client.patch("/v1/DatabaseGroup/g", json={"spec": other})
        await expect_refusal(shrink, "left")

    run_with_apis(scenario)


def test_password_is_left_out_of_responses_and_kept_by_a_replacement():
    async def scenario(standin, client):
        body = (await create(client, "DatabaseGroup", "g", GROUP_SPEC)).json()
        assert_that(body["spec"]["password"], Equals(""))
        body["spec"]["slot_limit"] = 6
        replaced = await client.put("/v1/DatabaseGroup/g", json=body)
        assert_that(replaced.status_code, Equals(200))
        row = standin.table.read("configuration/resource/DatabaseGroup/g")
        spec = json.loads(row.value)["spec"]
        assert_that(spec["password"], Equals("secret"))
        assert_that(spec["slot_limit"], Equals(6))

    run_with_apis(scenario)


def test_repeated_request_with_the_same_idempotency_key_returns_its_outcome():
    async def scenario(standin, client):
        headers = {"Idempotency-Key": "key-1"}
        spec = {"max_age_ms": 5}
        first = await create(client, "ReadPolicy", "p", spec, headers=headers)
        later = await client.patch("/v1/ReadPolicy/p", json={"spec": {"max_age_ms": 9}})
        again = await create(client, "ReadPolicy", "p", spec, headers=headers)
        assert_that(again.status_code, Equals(201))
        version = first.json()["resourceVersion"]
        assert_that(again.json()["resourceVersion"], Equals(version))
        other = await create(client, "ReadPolicy", "q", spec, headers=headers)
        assert_that(summary(other), has_status(422, code="IDEMPOTENCY_MISMATCH"))
        present = (await client.get("/v1/ReadPolicy/p")).json()
        assert_that(present["spec"], Equals(later.json()["spec"]))

    run_with_apis(scenario)


@pytest.mark.parametrize(
    "header,status", [("", 401), ("Bearer no", 401), ("bearer yes", 200)]
)
def test_bearer_tokens(header, status):
    async def scenario(standin, client):
        response = await client.get("/v1/Route", headers={"Authorization": header})
        assert_that(response.status_code, Equals(status))

    run_with_apis(scenario, tokens=["yes"])


def test_listening_beyond_loopback_requires_tokens():
    check_tokens_for_address("127.0.0.1", [])
    check_tokens_for_address("0.0.0.0", ["t"])
    with pytest.raises(CodedError):
        check_tokens_for_address("0.0.0.0", [])


def test_watch_reports_each_change_and_when_it_is_in_force():
    async def scenario(standin, client):
        lines = []
        await create(client, "ReadPolicy", "p", {"max_age_ms": 5})

        async def watch():
            async with client.stream("GET", "/v1/ReadPolicy?watch=true") as stream:
                async for line in stream.aiter_lines():
                    lines.append(json.loads(line))

        def is_in_force(name):
            objects = [line["object"] for line in lines if line["type"] == "put"]
            return any(
                body["name"] == name and body["status"]["in_force_instances"] == 1
                for body in objects
            )

        async with anyio.create_task_group() as tasks:
            tasks.start_soon(watch)
            while not is_in_force("p"):
                await anyio.sleep(0.02)
            await create(client, "ReadPolicy", "q", {"max_age_ms": 5})
            while not is_in_force("q"):
                await anyio.sleep(0.02)
            await client.delete("/v1/ReadPolicy/p")
            while lines[-1]["type"] != "delete":
                await anyio.sleep(0.02)
            tasks.cancel_scope.cancel()
        kinds = [line["type"] for line in lines if line["type"] != "put"]
        assert_that(kinds, Equals(["synced", "delete"]))
        versions = [line["resourceVersion"] for line in lines if line["type"] == "put"]
        assert_that(versions, AfterPreprocessing(sorted, Equals(versions)))

    run_with_apis(scenario)


def test_openapi_and_unknown_paths():
    async def scenario(standin, client):
        document = (await client.get("/openapi.json")).json()
        schemas = document["components"]["schemas"]
        references = json.dumps(document).split('"#/components/schemas/')[1:]
        for reference in references:
            assert_that(schemas, Contains(reference.split('"')[0]))
        kinds = {path.split("/")[2] for path in document["paths"]}
        expected = ["Route", "ReadPolicy", "DrainOrder", "DatabaseGroup", "in-force"]
        assert_that(kinds, MatchesSetwise(*map(Equals, expected)))
        for path in ("/v1/Nope", "/v1/Route/none", "/other"):
            response = await client.get(path)
            assert_that(summary(response), has_status(404, code="RESOURCE_NOT_FOUND"))

    run_with_apis(scenario)


def test_reads_during_an_outage_return_known_resources_and_report_it():
    async def scenario(standin, client):
        await create(client, "ReadPolicy", "p", {"max_age_ms": 5})
        await client.get("/v1/ReadPolicy")
        standin.faults.down = True
        listed = (await client.get("/v1/ReadPolicy")).json()
        assert_that(listed["store_reachable"], Equals(False))
        assert_that(listed["items"], HasLength(1))

    run_with_apis(scenario)


def test_api_answers_after_a_client_leaves_a_watch():
    async def scenario(standin, client):
        with pytest.raises(httpx.ReadTimeout):
            await client.get("/v1/Route?watch=true", timeout=0.3)
        assert_that((await client.get("/v1/Route")).status_code, Equals(200))

    run_with_apis(scenario)


@pytest.mark.parametrize("faults", [{"silent": True}, {"delay_ms": 700}])
def test_change_succeeds_while_the_store_is_silent_or_very_slow(faults):
    async def scenario(standin, client):
        for name, value in faults.items():
            setattr(standin.faults, name, value)
        async with anyio.create_task_group() as tasks:
            tasks.start_soon(end_silence, standin)
            spec = {"max_age_ms": 5}
            created = await create(client, "ReadPolicy", "p", spec)
        assert_that(summary(created), has_status(201, generation=1))

    async def end_silence(standin):
        await anyio.sleep(0.8)
        standin.faults.silent = False

    run_with_apis(scenario, timeout=timedelta(seconds=10))


def test_concurrent_changes_through_two_apis_are_ordered_and_applied_once():
    async def scenario(standin, first, second):
        await create(first, "ReadPolicy", "p", {"max_age_ms": 0})
        accepted = []

        async def operate(client, number):
            for step in range(5):
                patch = {"spec": {"max_age_ms": 100 * number + step + 1}}
                response = await client.patch("/v1/ReadPolicy/p", json=patch)
                assert_that(response.status_code, Equals(200))
                accepted.append(response.json())

        async with anyio.create_task_group() as tasks:
            standin.faults.lose_next_answers = 3
            for number, client in enumerate([first, second, first, second]):
                tasks.start_soon(operate, client, number)
        accepted.sort(key=lambda body: body["resourceVersion"])
        generations = [body["generation"] for body in accepted]
        assert_that(generations, Equals(list(range(2, 22))))
        last = (await first.get("/v1/ReadPolicy/p")).json()
        assert_that(last["spec"], Equals(accepted[-1]["spec"]))

    run_with_apis(scenario, count=2)


def test_progress_report_of_a_previous_drain_order_is_ignored():
    async def scenario(standin, client):
        await create_path(client)
        done = msgspec.json.encode(DrainProgress(DrainPhase.DONE))
        key = drain_progress_key("x", "dead")
        standin.table.batch([Condition(key, 0)], [Write(key, done)])
        drain = {"group": "g", "database": "a", "deadline_ms": 1}
        await create(client, "DrainOrder", "x", drain)

        async def read_drained():
            body = (await client.get("/v1/DrainOrder/x")).json()
            conditions = body["status"]["conditions"]
            return {entry["type"]: entry["status"] for entry in conditions}["Drained"]

        await anyio.sleep(0.7)
        assert_that(await read_drained(), Equals("Unknown"))
        key = drain_progress_key("x", "i1")
        standin.table.batch([Condition(key, 0)], [Write(key, done)])
        while await read_drained() != "True":
            await anyio.sleep(0.05)

    run_with_apis(scenario)
