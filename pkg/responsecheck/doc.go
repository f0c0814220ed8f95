// Package responsecheck defines which HTTP/1 responses are well-formed, and provides the
// transport by which every client of the program reads responses. It fails on all others with an
// Error, so that a response that is malformed or cut is never taken for a whole one.
//
// A well-formed response has
//
//   - a status line of HTTP/1.0 or HTTP/1.1 with a status from 200 to 599, after any number of
//     informational responses; 101 only if the request asked for another protocol,
//   - fields whose names are tokens and whose values have no control bytes, each on one line
//     that ends with CRLF, and a blank line after the last,
//   - one way at most to determine where its body ends: one Content-Length, or the transfer coding
//     chunked in HTTP/1.1, and else the end of its connection,
//   - an end: all bytes of its length, its last chunk, or a connection that ends in order once
//     the server has received the whole request. A connection that ends earlier may as well have
//     been reset.
//
// net/http checks lengths and chunks. It accepts more heads than these, and does not notice a
// reset that a write reports before a read does (RFC 9112, sections 2.2, 5.1, 6.3 and 9.6).
package responsecheck
