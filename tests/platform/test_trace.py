"""The log links the id of a failed request to the cause of the failure."""

import anyio
from testtools.assertions import assert_that
from testtools.matchers import Contains, Equals, StartsWith

from ..line_world import SERVICE, line_world


def test_log_of_a_refused_request_names_the_database_that_is_down():
    async def body():
        async with line_world() as world:
            world.configure(timeout_ms=300)
            await anyio.sleep(0.3)
            # No database can be promoted, since the log of one replica cannot be read.
            await world.servers.crash("d1")
            await world.servers.crash("d2")
            async with world.caller("current") as caller:
                answer = await caller.ask("WRITE a 1")
                assert_that(answer[0], StartsWith("ERROR BUSY GP201"))
            lines = world.logs[0].lines
            failed = [f for event, f in lines if event == "statement failed"]
            assert_that(failed[0]["request"], Equals("q1"))
            assert_that(failed[0]["code"], Equals("GP201"))
            assert_that(failed[0]["detail"], Contains(SERVICE))
            proofs = [f for event, f in lines if event == "proof failed"]
            of_service = [f for f in proofs if f["service"] == SERVICE]
            named = {fields["database"] for fields in of_service}
            assert_that(named, Contains("d1"))

    async def run():
        with anyio.fail_after(20):
            await body()

    anyio.run(run)
