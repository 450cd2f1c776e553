"""Encoding of requests, and parsing of split or malformed responses."""

from contextlib import suppress

from httptools import HttpParserError
from hypothesis import given
from hypothesis import strategies as st
from testtools import TestCase

from apricotlead.transport.http_messages import (
    InvalidHeader,
    ResponseReader,
    encode_request,
)

RESPONSE = (
    b'HTTP/1.1 409 Conflict\r\nContent-Type: application/json\r\n'
    b'Content-Length: 11\r\nX-Name: a\r\n\r\n{"reason":1'
)


class TestRequests(TestCase):
    """Exactly one request is sent, whatever a caller passes."""

    def test_bytes(self) -> None:
        sent = encode_request('POST', '127.0.0.1:1', '/a', {'X': 'y'}, b'{}')
        self.assertEqual(
            b'POST /a HTTP/1.1\r\nHost: 127.0.0.1:1\r\nX: y\r\n'
            b'Content-Length: 2\r\n\r\n{}',
            sent,
        )

    @given(st.text())
    def test_request_cannot_be_split(self, text: str) -> None:
        try:
            sent = encode_request('GET', 'h', f'/{text}', {'X': text}, b'')
        except InvalidHeader:
            return
        self.assertEqual(3, sent.count(b'\r\n') - 1)


class TestResponses(TestCase):
    """Guards against parts that are lost, duplicated or mixed up."""

    @given(st.lists(st.integers(0, len(RESPONSE)), max_size=6))
    def test_response_split_anywhere(self, cuts: list[int]) -> None:
        reader = ResponseReader()
        bounds = sorted({0, *cuts, len(RESPONSE)})
        for start, end in zip(bounds, bounds[1:], strict=False):
            reader.feed(RESPONSE[start:end])
        self.assertTrue(reader.is_complete)
        self.assertTrue(reader.is_reusable)
        self.assertEqual((409, b'{"reason":1'), (reader.status, reader.body))
        self.assertEqual('a', reader.headers_by_name['x-name'])

    @given(st.integers(0, len(RESPONSE) - 1))
    def test_truncated_response(self, size: int) -> None:
        reader = ResponseReader()
        if size:
            reader.feed(RESPONSE[:size])
        self.assertRaises(EOFError, reader.feed, b'')

    def test_body_delimited_by_close(self) -> None:
        reader = ResponseReader()
        reader.feed(b'HTTP/1.1 200 OK\r\nConnection: close\r\n\r\nall')
        self.assertFalse(reader.is_complete)
        reader.feed(b'')
        self.assertEqual(
            (True, False), (reader.is_complete, reader.is_reusable)
        )
        self.assertEqual(b'all', reader.body)

    def test_bytes_after_the_response(self) -> None:
        reader = ResponseReader()
        other = b'HTTP/1.1 200 OK\r\nContent-Length: 0\r\n\r\n'
        reader.feed(b''.join((RESPONSE, other)))
        self.assertEqual((409, b'{"reason":1'), (reader.status, reader.body))
        self.assertFalse(reader.is_reusable)

    @given(st.binary(min_size=1))
    def test_arbitrary_bytes(self, received: bytes) -> None:
        """Only errors that a call reports as no answer are raised."""
        for start in (b'', b'HTTP/1.1 200 OK\r\n', RESPONSE):
            reader = ResponseReader()
            with suppress(EOFError, HttpParserError):
                reader.feed(b''.join((start, received)))
