"""Messages that distribute the configuration."""

from .force_claim import ForceClaim
from .force_report import ForceReport
from .revision_notice import RevisionNotice
from .update_answer import UpdateAnswer
from .update_request import UpdateRequest

Message = RevisionNotice | UpdateRequest | UpdateAnswer | ForceReport | ForceClaim
