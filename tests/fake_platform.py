"""In-memory table of the platform with lost answers and outages."""

from goldcrestpond.errors.coded_error import CodedError
from goldcrestpond.errors.result_code import ResultCode
from goldcrestpond.store.platform_conflict import PlatformConflict
from goldcrestpond.store.row import Row


class FakePlatform:
    """Platform with conditional writes of single rows."""

    def __init__(self):
        self.rows = {}
        self.revision = 0
        self.is_down = False
        self.answers_to_lose = 0
        self.live = []
        self.puts = 0

    async def read(self, key):
        self._check_up()
        return self.rows.get(key)

    async def put(self, key, value, expected_revision):
        self._check_up()
        self.puts += 1
        row = self.rows.get(key)
        if (row.revision if row else 0) != expected_revision:
            raise PlatformConflict([row or Row(key, None, 0)])
        self.revision += 1
        self.rows[key] = Row(key, value, self.revision)
        if self.answers_to_lose:
            self.answers_to_lose -= 1
            raise CodedError(ResultCode.PLATFORM_UNAVAILABLE)
        return self.revision

    async def instances(self):
        self._check_up()
        return self.live

    def _check_up(self):
        if self.is_down:
            raise CodedError(ResultCode.PLATFORM_UNAVAILABLE)
