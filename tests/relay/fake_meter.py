"""Meter that records what is charged, for tests."""

from goldcrestpond.errors.coded_error import CodedError
from goldcrestpond.errors.result_code import ResultCode
from goldcrestpond.rates.handover import Handover


class FakeMeter:
    """Implements ``RateCharger``; refuses the organisations in ``exceeded``."""

    def __init__(self):
        self.charged = []
        self.refunded = []
        self.exceeded = set()
        self.roles = {}
        self.limits = {}
        self.released = []
        self.accepted = []
        self.set_count = 0

    def gauges(self):
        return {"rate_refused": len(self.exceeded)}

    def set_limits(self, organisations, now):
        self.limits = dict(organisations)

    def set_roles(self, roles, now, version=None, is_resumed=False):
        self.roles = dict(roles)
        self.is_resumed = is_resumed
        self.set_count += 1

    def observe(self, now):
        pass

    def charge(self, organisation, is_standby, now):
        if organisation in self.exceeded:
            raise CodedError(ResultCode.RATE_EXCEEDED, organisation, 70)
        self.charged.append((organisation, is_standby))
        return (organisation, is_standby)

    def refund(self, charge, now):
        self.refunded.append(charge)

    def release(self, organisations, now):
        self.released += organisations
        return [Handover(name, 1.0, 3_000_000, (0, 1)) for name in organisations]

    def accept(self, handovers, now):
        self.accepted += handovers
