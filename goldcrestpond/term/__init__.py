"""Terms of a database group: commit confirmation, failure detection, promotion.

Used by the PostgreSQL proxy (`root.proxy`), which says group and primary. Of this
package, the instance on the platform's line protocol uses only `VerifiedSample`.
"""
