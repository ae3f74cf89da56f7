"""Numbers in the headers of upstreams' answers."""

import pytest
from result import Ok

from godwitshunt.backpressure import read_decimal, read_flag

NAME = b'rate'


@pytest.mark.parametrize(
    ('content', 'number'),
    [
        (b'2', 2.0),
        (b'0', 0.0),
        (b'0.5', 0.5),
        (b'1.3333333333333333', 4 / 3),
        (b'007.50', 7.5),
    ],
)
def test_decimal_numbers_are_read(content, number):
    """A limit that is not understood and thus exceeded."""
    assert read_decimal([(NAME, content)], NAME) == Ok(number)


@pytest.mark.parametrize(
    'content',
    [
        b'',
        b'many',
        b'-3',
        b'+3',
        b'nan',
        b'inf',
        b'1e999',
        b'1e3',
        b'0x10',
        b'1_000',
        b'1,5',
        b'3 4',
        b'.',
        b'9' * 400,
        '\u0663'.encode(),
    ],
)
def test_contents_that_are_no_decimal_number_are_invalid(content):
    """A value that stops all traffic to an upstream, or frees it."""
    assert read_decimal([(NAME, content)], NAME).is_err()


@pytest.mark.parametrize(
    ('contents', 'is_valid'),
    [((b'2', b'2'), True), ((b'2', b'9'), False), ((b'2', b'x'), False)],
)
def test_repeated_header_is_read_only_if_its_contents_agree(contents, is_valid):
    """An answer that states two limits, of which either could be meant."""
    headers = [(NAME, content) for content in contents]
    assert read_decimal(headers, NAME).is_ok() is is_valid


def test_absent_header_is_no_number():
    """An answer without a limit, taken for one with a limit of zero."""
    assert read_decimal([(b'other', b'2')], NAME) == Ok(None)


@pytest.mark.parametrize(
    ('texts', 'is_set'),
    [((), False), ((b'1',), True), ((b'1', b'1'), True)],
)
def test_flag_is_set_by_one(texts, is_set):
    """An upstream that leaves, or does not, and is taken for the other."""
    headers = [(NAME, text) for text in texts]
    assert read_flag(headers, NAME) == Ok(is_set)


@pytest.mark.parametrize(
    'texts',
    [(b'0',), (b'',), (b'yes',), (b'+1',), (b'-1',), (b'nan',), (b'1', b'0')],
)
def test_other_contents_of_a_flag_are_invalid(texts):
    """A sound upstream that gets no more requests for a senseless header."""
    assert read_flag([(NAME, text) for text in texts], NAME).is_err()
