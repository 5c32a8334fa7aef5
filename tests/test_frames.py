"""Frames are split the same however the bytes arrive; invalid ones are refused."""

from hypothesis import given
from hypothesis import strategies as st
from testtools.assertions import assert_that
from testtools.matchers import Equals

from goldcrestpond.errors.coded_error import CodedError
from goldcrestpond.errors.result_code import ResultCode
from goldcrestpond.frames.frame import Frame
from goldcrestpond.frames.frame_splitter import FrameSplitter
from goldcrestpond.frames.read import read_text, rewrite_text
from goldcrestpond.wire.held_answer import HeldAnswer
from goldcrestpond.wire.statement_kind import StatementKind, classify_statement

from .linear_time import assert_linear_time

PIECE_BYTES = 64
LIMIT_BYTES = 64


def make_frame(kind, body):
    return bytes([kind]) + (len(body) + 4).to_bytes(4, "big") + body


frames = st.builds(make_frame, st.integers(0, 255), st.binary(max_size=40))
names = st.text(st.characters(min_codepoint=1, exclude_categories=("Cs",)), max_size=12)


@given(st.lists(frames, max_size=8), st.data())
def test_frames_are_the_same_for_any_chunks(sent, data):
    stream = b"".join(sent)
    cuts = data.draw(st.lists(st.integers(0, len(stream)), max_size=6).map(sorted))
    splitter = FrameSplitter(LIMIT_BYTES)
    received = []
    for start, end in zip([0, *cuts], [*cuts, len(stream)], strict=True):
        received += splitter.feed(stream[start:end])
    assert_that([frame.data for frame in received], Equals(sent))
    assert_that(splitter.pending_bytes, Equals(0))


@given(st.binary(max_size=200))
def test_any_bytes_give_frames_or_a_coded_error(data):
    splitter = FrameSplitter(LIMIT_BYTES)
    try:
        received = splitter.feed(data)
    except CodedError as error:
        codes = (ResultCode.MALFORMED_FRAME, ResultCode.FRAME_TOO_LARGE)
        assert_that(error.code in codes, Equals(True))
    else:
        whole = b"".join(frame.data for frame in received)
        assert_that(data.startswith(whole), Equals(True))
        assert_that(splitter.pending_bytes, Equals(len(data) - len(whole)))
        assert_that(splitter.pending_bytes < LIMIT_BYTES, Equals(True))


# Guards against quadratic work for one frame that arrives in many small pieces, when
# each piece causes a copy of all bytes before it.
def test_work_is_linear_in_the_size_of_a_frame_received_in_pieces():
    def read(data):
        splitter = FrameSplitter(len(data))
        frames = []
        for start in range(0, len(data), PIECE_BYTES):
            frames += splitter.feed(data[start : start + PIECE_BYTES])
        assert_that([frame.data == data for frame in frames], Equals([True]))

    def make(size):
        return make_frame(ord("d"), bytes(size * PIECE_BYTES))

    assert_linear_time(read, make)


@given(names, names, st.binary(max_size=20))
def test_rewriting_a_name_leaves_the_rest_of_the_frame_unchanged(old, new, rest):
    frame = Frame(ord("B"), make_frame(ord("B"), b"p\0" + old.encode() + b"\0" + rest))
    rewritten = rewrite_text(frame, 7, old, new)
    expected = make_frame(ord("B"), b"p\0" + new.encode() + b"\0" + rest)
    assert_that(rewritten.data, Equals(expected))
    assert_that(read_text(rewritten, 7), Equals(new))


@given(st.text(max_size=60))
def test_any_text_has_a_statement_kind(text):
    assert_that(classify_statement(text).kind in StatementKind, Equals(True))


held_frames = st.sampled_from(
    [
        Frame(ord("C"), make_frame(ord("C"), b"INSERT 0 1\0")),
        Frame(ord("C"), make_frame(ord("C"), b"COMMIT\0")),
        Frame(ord("D"), make_frame(ord("D"), b"row")),
        Frame(ord("E"), make_frame(ord("E"), b"\0")),
    ]
)


@given(st.lists(held_frames, max_size=10))
def test_a_commit_and_the_frames_after_it_are_held_until_release(sent):
    held_answer = HeldAnswer()
    released_early = b"".join(held_answer.take(frame) for frame in sent)
    assert_that(b"COMMIT" in released_early, Equals(False))
    assert_that(
        released_early + held_answer.release(), Equals(b"".join(f.data for f in sent))
    )
    if sent and sent[-1].kind == ord("C"):
        assert_that(
            len(released_early) <= sum(len(f.data) for f in sent[:-1]), Equals(True)
        )
