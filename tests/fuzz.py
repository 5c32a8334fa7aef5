"""Hypothesis strategies for untrusted input, and the number of examples."""

import os

import hypothesis.strategies as st
from hypothesis import settings

# CI runs few examples. For a longer run, set GOLDCRESTPOND_FUZZ_EXAMPLES=300 and
# HYPOTHESIS_PROFILE=fuzz.
EXAMPLES = int(os.environ.get("GOLDCRESTPOND_FUZZ_EXAMPLES", "4"))
ON_A_RUNNING_SITE = settings(max_examples=EXAMPLES)
ON_DECODERS = settings(max_examples=50 * EXAMPLES)

NUMBERS = st.sampled_from(
    ["0", "-1", "1e400", "1e308", "inf", "nan", "9" * 30, "9" * 5000, "1.5", "\u0661"]
)
GAPS = st.sampled_from([" ", "  ", "\t", " " * 5000, ""])
WORDS = st.sampled_from(
    "CONNECT QUERY QUIT READY ROW COMPLETE ERROR SINCE BEGIN READ COMMIT ROLLBACK "
    "WRITE SET PREPARE EXECUTE DEALLOC STATUS PAUSE own current aged q1 a v I T E - "
    "1.2 replica primary BUSY LAGGING".split()
)
TEXTS = st.one_of(WORDS, NUMBERS, st.text(max_size=8), st.just("x" * 3000))
LINES = st.lists(st.tuples(TEXTS, GAPS), max_size=8).map(
    lambda pairs: "".join(text + gap for text, gap in pairs)
)
# JSON as text, since it includes numbers and nesting that no library would write.
JSON_VALUES = st.recursive(
    st.one_of(
        NUMBERS,
        st.sampled_from(["null", "true", '""', '"s"', "[]", "{}", "[" * 3000]),
        st.text(max_size=6).map(lambda text: '"' + text.replace('"', "") + '"'),
    ),
    lambda inner: st.lists(inner, max_size=3).map(lambda l: "[" + ",".join(l) + "]"),
    max_leaves=6,
)


def objects(names):
    """Return a strategy for JSON objects, as bytes, with some of the named fields."""
    fields = st.dictionaries(st.sampled_from(names), JSON_VALUES, max_size=len(names))
    return fields.map(
        lambda pairs: (
            "{" + ",".join(f'"{name}":{value}' for name, value in pairs.items()) + "}"
        )
    ).map(lambda text: text.encode("utf-8", "replace"))
