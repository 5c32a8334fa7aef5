"""Renders the table of result codes for docs/ERRORS.md."""

from .result_code import ResultCode

_HEADING = """# Result codes

Generated from `goldcrestpond/errors/result_code.py` by
`python -m goldcrestpond.errors.table`; a test compares the two.

A caller sees the SQLSTATE and a message that starts with `GP` and the number.
An operator sees the HTTP status and the number in the JSON body.

| number | name | SQLSTATE | HTTP | meaning |
|---|---|---|---|---|
"""


def render_table() -> str:
    """Return the whole page ``docs/ERRORS.md``.

    Returns
    -------
    str
        Markdown text that ends with a newline.
    """
    rows = [
        f"| {code.number} | {code.name} | {code.sqlstate} "
        f"| {code.http_status} | {code.meaning} |\n"
        for code in ResultCode
    ]
    return _HEADING + "".join(rows)


if __name__ == "__main__":
    print(render_table(), end="")
