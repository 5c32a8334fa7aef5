"""In-memory connections to the databases of a fake group, with faults."""

import re

import anyio

from goldcrestpond.endpoint.endpoint_refusal import EndpointRefusal
from goldcrestpond.endpoint.query_result import QueryResult
from goldcrestpond.errors.coded_error import CodedError
from goldcrestpond.errors.result_code import ResultCode

from .fake_group import Refused

_COLUMNS = (
    "database role term position replayed_position last_entry_term "
    "term_start_position fenced promoter"
).split()


class FakeEndpoints:
    """Opens fake connections to databases, which are identified by their port.

    Faults are set by the name of a database: it refuses connections, does not answer,
    or is at its connection limit.
    """

    def __init__(self, databases):
        self.databases = databases
        self.by_port = dict(enumerate(databases.values(), start=1))
        self.refusing = set()
        self.silent = set()
        self.full = set()
        self.opened_count = 0
        self.statements = []

    def specs(self):
        return [
            {"name": database.name, "address": f"127.0.0.1:{port}"}
            for port, database in self.by_port.items()
        ]

    async def open_connection(self, address, login):
        database = self.by_port[address.port]
        await self.apply_faults(database)
        self.opened_count += 1
        return FakeConnection(self, database)

    async def apply_faults(self, database):
        if database.name in self.silent:
            await anyio.sleep_forever()
        await anyio.sleep(0)
        if database.name in self.refusing:
            raise CodedError(ResultCode.ENDPOINT_UNREACHABLE, database.name)
        if database.name in self.full:
            raise EndpointRefusal("53300", "too many clients")


class FakeConnection:
    """Answers the status and control statements of a group."""

    is_broken = False

    def __init__(self, endpoints, database):
        self.endpoints = endpoints
        self.database = database

    async def query(self, sql):
        self.endpoints.statements.append((self.database.name, sql))
        await self.endpoints.apply_faults(self.database)
        try:
            status = self.run(sql)
        except Refused as error:
            raise EndpointRefusal("GT001", str(error)) from error
        values = [str(getattr(status, column)).lower() for column in _COLUMNS]
        return QueryResult(list(_COLUMNS), [values], "SELECT 1")

    def run(self, sql):
        if sql == "SHOW group_status":
            return self.database.status()
        function, term, argument = re.fullmatch(
            r"SELECT group_(\w+)\((\d+), '(.*)'\)", sql
        ).groups()
        if function == "follow":
            port = int(argument.rpartition(":")[2])
            argument = self.endpoints.by_port[port]
        return getattr(self.database, function)(int(term), argument)

    async def aclose(self):
        await anyio.sleep(0)
