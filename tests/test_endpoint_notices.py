"""What answers say about their endpoints: headers, and lines in logs."""

import pytest

from pearrun import explain
from pearrun.http1.messages import ResponseHead
from pearrun.platform.codec import EndpointCodec
from pearrun.shared.endpointnotice import NoticeField


def decode(status=503, **headers):
    """Return the notice in a response with these headers.

    :param headers: a value, or a list of values, by name.
    """
    pairs = []
    for name, values in headers.items():
        values = [values] if isinstance(values, bytes) else values
        key = name.replace('_', '-').encode()
        pairs.extend((key, value) for value in values)
    return EndpointCodec().decode_notice(ResponseHead(status, pairs))


@pytest.mark.parametrize(
    ('values', 'rest_ms'),
    [
        (b'3', 3000),
        (b' 0.25 ', 250),
        (b'0', 0),
        ([b'1', b'2.5'], 2500),
        ([b'soon', b'2'], 2000),
        (b'1e6', 1_000_000_000),
    ],
)
def test_rest_of_a_refusal_is_decoded(values, rest_ms):
    notice = decode(Retry_After=values)
    assert notice.rest_ms == rest_ms
    assert not notice.errors


@pytest.mark.parametrize('status', [200, 429, 500, 504])
def test_only_a_refusal_asks_for_rest(status):
    assert decode(status, Retry_After=b'3').rest_ms is None


@pytest.mark.parametrize(
    'value',
    [b'', b'soon', b'Fri, 04 Dec 2026 09:00:00 GMT', b'-1', b'nan', b'1e400'],
)
def test_invalid_rest_is_an_error_and_hides_nothing_else(value):
    notice = decode(Retry_After=value, Server_Leaving=b'1')
    assert notice.rest_ms is None
    assert set(notice.errors) == {NoticeField.REST}
    assert notice.is_leaving


@pytest.mark.parametrize('status', [200, 421, 500, 503])
def test_any_answer_may_say_that_its_endpoint_leaves(status):
    assert decode(status, Server_Leaving=b'1').is_leaving
    assert not decode(status).is_leaving


@pytest.mark.parametrize('value', [b'0', b'', b'yes'])
def test_unknown_value_of_leaving_is_an_error(value):
    notice = decode(200, Server_Leaving=value, Server_Limit=b'2')
    assert not notice.is_leaving
    assert set(notice.errors) == {NoticeField.LEAVING}
    assert notice.rate_limit == 2


def test_explanation_names_the_notice_of_an_answer():
    _, text = explain.describe_attempt(
        0.0, 'e-1', 5, 'endpoint refused with 503', '', 'v1', 'rest 3000 ms'
    )
    assert 'rest 3000 ms' in text
