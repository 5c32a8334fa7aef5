"""The fuel log: its schema and the statements that callers run."""

SCHEMA = [
    "CREATE TABLE fuel_log (session TEXT, number BIGINT, part BIGINT, vehicle TEXT,"
    " litres DOUBLE PRECISION)",
    "CREATE INDEX fuel_log_session ON fuel_log (session, number)",
    "CREATE TABLE probe (number BIGINT)",
    "CREATE TABLE tank (depot TEXT PRIMARY KEY, litres DOUBLE PRECISION)",
    "INSERT INTO tank VALUES ('west', 100000), ('north', 100000), ('port', 100000)",
]
INSERT = "INSERT INTO fuel_log VALUES (%s, %s, %s, %s, %s)"
TAKE_FROM_TANK = "UPDATE tank SET litres = litres - %s WHERE depot = %s"
READ_OWN = (
    "SELECT pg_is_in_recovery(), %s::text, coalesce(max(number), 0)::int8"
    " FROM fuel_log WHERE session = %s"
)
READ_COUNT = "SELECT pg_is_in_recovery(), count(*) FROM fuel_log WHERE part = 0"
READ_ALL = "SELECT session, number, part FROM fuel_log"
REPORT = "SELECT depot, litres, pg_sleep(%s::float8) FROM tank"
PROBE = "INSERT INTO probe VALUES (%s)"
