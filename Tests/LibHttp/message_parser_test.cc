#include "LibHttp/message_parser.h"

#include <catch2/catch.hpp>
#include <string>
#include <vector>

namespace wasabi::http {
namespace {

// The result of parsing a text, and the callbacks' arguments.
struct Parsed {
  ParseResult result = ParseResult::kNeedMore;
  std::vector<MessageHead> heads;
  std::string body;
  // Bytes that the parser did not consume.
  std::string rest;
};

ParserLimits SmallLimits() {
  ParserLimits limits;
  limits.max_header_bytes = 200;
  limits.max_body_bytes = 20;
  return limits;
}

// Parses `text`, fed in pieces of `step` bytes and followed by the end of the
// connection.
Parsed Parse(MessageKind kind, const std::string& text, size_t step) {
  Parsed parsed;
  MessageParser::Callbacks callbacks;
  callbacks.on_head = [&parsed](MessageHead head) {
    parsed.heads.push_back(std::move(head));
  };
  callbacks.on_body = [&parsed](std::string_view piece) {
    parsed.body.append(piece);
  };
  MessageParser parser(kind, SmallLimits(), std::move(callbacks));
  for (size_t i = 0; i < text.size(); i += step) {
    if (parsed.result == ParseResult::kNeedMore) {
      parsed.rest.append(text, i, step);
      parsed.result = parser.Feed(&parsed.rest);
    } else {
      parsed.rest.append(text, i, step);
    }
  }
  if (parsed.result == ParseResult::kNeedMore && parser.FinishAtEof()) {
    parsed.result = ParseResult::kComplete;
  }
  return parsed;
}

struct ParseCase {
  const char* what;
  MessageKind kind;
  std::string text;
  ParseResult result;
  std::string body;
  std::string rest;
};

TEST_CASE("messages are parsed identically for every fragmentation") {
  using Kind = MessageKind;
  using Result = ParseResult;
  const std::string get = "GET /a%20b?x=1&x=2 HTTP/1.1\r\nHost: h\r\n\r\n";
  const std::string post = "POST / HTTP/1.1\r\nHost: h\r\n";
  const std::string ok = "HTTP/1.1 200 OK\r\n";
  std::string fields;
  std::string small_chunks;
  for (int i = 0; i < 20; ++i) {
    fields += "X: 0123456789\r\n";
    small_chunks += "0000000000000001\r\na\r\n";
  }
  const ParseCase cases[] = {
      {"a request without a body", Kind::kRequest, get, Result::kComplete, "",
       ""},
      {"a body with a length", Kind::kRequest,
       post + "Content-Length: 3\r\n\r\nabc", Result::kComplete, "abc", ""},
      {"a chunked body", Kind::kRequest,
       post +
           "Transfer-Encoding: chunked\r\n\r\n2\r\nab\r\n1\r\nc\r\n0\r\n\r\n",
       Result::kComplete, "abc", ""},
      {"two requests", Kind::kRequest, get + get, Result::kComplete, "", get},
      {"a Content-Length before a chunked coding", Kind::kRequest,
       post +
           "Content-Length: 3\r\nTransfer-Encoding: chunked\r\n\r\n0\r\n\r\n",
       Result::kMalformed, "", ""},
      {"a chunked coding before a Content-Length", Kind::kRequest,
       post +
           "Transfer-Encoding: chunked\r\nContent-Length: 3\r\n\r\n0\r\n\r\n",
       Result::kMalformed, "", ""},
      {"conflicting Content-Length fields", Kind::kRequest,
       post + "Content-Length: 3\r\nContent-Length: 4\r\n\r\nabcd",
       Result::kMalformed, "", ""},
      {"another transfer coding", Kind::kRequest,
       post + "Transfer-Encoding: gzip, chunked\r\n\r\n0\r\n\r\n",
       Result::kMalformed, "", ""},
      {"a misspelt transfer coding", Kind::kRequest,
       post + "Transfer-Encoding: xchunked\r\n\r\nabc", Result::kMalformed, "",
       ""},
      {"a space before the colon", Kind::kRequest,
       post + "Content-Length : 3\r\n\r\nabc", Result::kMalformed, "", ""},
      {"not HTTP", Kind::kRequest, "\x16\x03\x01 hello\r\n\r\n",
       Result::kMalformed, "", ""},
      {"headers above the limit", Kind::kRequest,
       post + "X: " + std::string(300, 'x') + "\r\n\r\n",
       Result::kHeaderTooLarge, "", ""},
      {"a body above the limit", Kind::kRequest,
       post + "Content-Length: 21\r\n\r\n" + std::string(21, 'x'),
       Result::kBodyTooLarge, "", ""},
      {"a chunk header without end", Kind::kRequest,
       post + "Transfer-Encoding: chunked\r\n\r\n" + std::string(300, '0'),
       Result::kHeaderTooLarge, "", ""},
      {"a chunk size of too many digits", Kind::kRequest,
       post + "Transfer-Encoding: chunked\r\n\r\n" + std::string(300, '0') +
           "1\r\na\r\n0\r\n\r\n",
       Result::kHeaderTooLarge, "", ""},
      {"a chunk extension above the limit", Kind::kRequest,
       post + "Transfer-Encoding: chunked\r\n\r\n1;x=" + std::string(300, 'x') +
           "\r\na\r\n0\r\n\r\n",
       Result::kHeaderTooLarge, "", ""},
      {"chunk extensions that are together above the limit", Kind::kResponse,
       ok + "Transfer-Encoding: chunked\r\n\r\n1;x=" + std::string(100, 'x') +
           "\r\na\r\n1;x=" + std::string(100, 'x') +
           "\r\na\r\n1;x=" + std::string(100, 'x') + "\r\na\r\n0\r\n\r\n",
       Result::kHeaderTooLarge, "", ""},
      {"a trailer above the limit", Kind::kResponse,
       ok + "Transfer-Encoding: chunked\r\n\r\n1\r\na\r\n0\r\nX: " +
           std::string(300, 'x') + "\r\n\r\n",
       Result::kHeaderTooLarge, "", ""},
      {"a trailer of many fields above the limit", Kind::kResponse,
       ok + "Transfer-Encoding: chunked\r\n\r\n1\r\na\r\n0\r\n" + fields +
           "\r\n",
       Result::kHeaderTooLarge, "", ""},
      {"a chunk extension and a trailer", Kind::kResponse,
       ok +
           "Transfer-Encoding: chunked\r\n\r\n1;x=y\r\na\r\n0\r\nX: y\r\n\r\nZ",
       Result::kComplete, "a", "Z"},
      {"many chunks of one byte", Kind::kResponse,
       ok + "Transfer-Encoding: chunked\r\n\r\n" + small_chunks + "0\r\n\r\n" +
           std::string(300, 'Z'),
       Result::kComplete, std::string(20, 'a'), std::string(300, 'Z')},
      {"a response delimited by the end of the connection", Kind::kResponse,
       ok + "\r\nabc", Result::kComplete, "abc", ""},
      {"a truncated response", Kind::kResponse,
       ok + "Content-Length: 5\r\n\r\nabc", Result::kNeedMore, "abc", ""},
      {"a truncated chunked response", Kind::kResponse,
       ok + "Transfer-Encoding: chunked\r\n\r\n3\r\nabc\r\n", Result::kNeedMore,
       "abc", ""},
      {"bytes after a response", Kind::kResponse,
       ok + "Content-Length: 3\r\n\r\nabcX", Result::kComplete, "abc", "X"},
  };
  for (const ParseCase& row : cases) {
    for (const size_t step : {size_t{1}, size_t{7}, size_t{10000}}) {
      INFO(row.what << " in steps of " << step);
      const Parsed parsed = Parse(row.kind, row.text, step);
      CHECK(parsed.result == row.result);
      if (row.result == ParseResult::kComplete) {
        CHECK(parsed.body == row.body);
        CHECK(parsed.rest == row.rest);
      }
    }
  }
}

TEST_CASE("the target and the header fields are not normalised") {
  const Parsed parsed = Parse(
      MessageKind::kRequest,
      "GET /a%2Fb?y=%41&x=+1 HTTP/1.1\r\nhOsT: h\r\nX-A:  b \r\nX-A: c\r\n\r\n",
      1000);
  REQUIRE(parsed.heads.size() == 1);
  const MessageHead& head = parsed.heads.front();
  CHECK(head.target == "/a%2Fb?y=%41&x=+1");
  CHECK(head.headers.fields() ==
        std::vector<Headers::Field>{{"hOsT", "h"}, {"X-A", "b"}, {"X-A", "c"}});
}

}  // namespace
}  // namespace wasabi::http
