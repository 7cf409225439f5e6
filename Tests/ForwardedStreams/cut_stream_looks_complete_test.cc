// Regression test: streams that break off inside an event must not reach the
// caller as complete answers, whatever their framing.

#include <catch2/catch.hpp>
#include <string>
#include <vector>

#include "Tests/Support/ForwarderFixture/forwarder_fixture.h"

namespace wasabi::forwarder {
namespace {

using support::ChunkedStreamStart;
using support::kClose;
using support::kStreamEnd;
using support::UnframedStreamStart;

struct StreamCase {
  const char* what;
  const char* target;
  std::vector<std::string> script;
  int status;
  std::string body;
  bool is_whole;
  // Number of requests that reached an endpoint.
  size_t sends;
};

TEST_CASE("a stream that ends inside an event is not passed on as complete") {
  const std::string event1 = "id: 1\ndata: a\n\n";
  const std::string event2 = "id: 2\ndata: b\n\n";
  const std::string half = "id: 2\nda";
  const auto unframed = [](const std::string& events) {
    return UnframedStreamStart(events) + kClose;
  };
  const StreamCase cases[] = {
      {"unframed, whole",
       "/once/1",
       {unframed(event1 + event2)},
       200,
       event1 + event2,
       true,
       1},
      {"unframed, broken off, must not be retried",
       "/once/1",
       {unframed(event1 + half)},
       200,
       event1,
       false,
       1},
      {"unframed, broken off, resumed by an unframed stream",
       "/resumable/1",
       {unframed(event1 + half), unframed(event2)},
       200,
       event1 + event2,
       true,
       2},
      {"unframed, broken off twice",
       "/resumable/1",
       {unframed(event1 + half), unframed(half)},
       200,
       event1,
       false,
       2},
      {"unframed, broken off inside the first event",
       "/once/1",
       {unframed("id: 1\nda")},
       502,
       "",
       true,
       1},
      {"unframed, broken off inside the first event, repeated",
       "/resumable/1",
       {unframed("id: 1\nda"), unframed(event1 + event2)},
       200,
       event1 + event2,
       true,
       2},
      {"unframed, ends without an event",
       "/once/1",
       {unframed("")},
       502,
       "",
       true,
       1},
      {"unframed, the rest ends without an event",
       "/resumable/1",
       {unframed(event1 + half), unframed("")},
       200,
       event1,
       false,
       2},
      {"chunks that end properly inside an event",
       "/once/1",
       {ChunkedStreamStart(event1 + half) + kStreamEnd},
       200,
       event1,
       false,
       1},
      {"chunks that end properly inside an event, resumed",
       "/resumable/1",
       {ChunkedStreamStart(event1 + half) + kStreamEnd,
        ChunkedStreamStart(event2) + kStreamEnd},
       200,
       event1 + event2,
       true,
       2},
  };
  for (const StreamCase& row : cases) {
    INFO(row.what);
    support::ForwarderFixture it;
    it.Configure();
    it.script.assign(row.script.begin(), row.script.end());
    const support::CallerResult result = it.Get(row.target);
    REQUIRE(result.end.has_value());
    CHECK(result.status == row.status);
    CHECK((result.end == http::OriginOutcome::kComplete) == row.is_whole);
    CHECK(it.received.size() == row.sends);
    if (row.status == 200) {
      CHECK(result.body == row.body);
    }
  }
}

struct RestCase {
  const char* what;
  int status;
  const char* fields;
  const char* body = "the rest failed";
};

TEST_CASE("no failure of the endpoint that resumes a stream is a part of it") {
  const char* const signature = "Response-Signature: s\r\n";
  const char* const refusal = "Not-Executed: 1\r\n";
  const RestCase cases[] = {
      {"a bad request", 400, ""},
      {"a bad request, signed", 400, signature},
      {"not found", 404, ""},
      {"not found, signed", 404, signature},
      {"a conflict, signed", 409, signature},
      {"a bad request, not run", 400, refusal},
      {"misdirected", 421, ""},
      {"too many", 429, ""},
      {"too many, not run", 429, refusal},
      {"a failure", 500, ""},
      {"a failure, signed", 500, signature},
      {"unavailable", 503, ""},
      {"unavailable, not run", 503, refusal},
      {"out of time, signed", 504, signature},
      {"a redirect", 302, ""},
      {"a redirect, signed", 302, signature},
      {"no content", 204, "", ""},
      {"success without a signature", 200, ""},
      {"no content, signed", 204, signature, ""},
      {"an empty stream, signed", 200, signature, ""},
  };
  const std::string event = "id: 1\ndata: a\n\n";
  for (const RestCase& row : cases) {
    INFO(row.what);
    support::ForwarderFixture it;
    it.Configure();
    it.script = {ChunkedStreamStart(event + "id: 2\nda") + kClose,
                 support::ScriptedAnswer(row.status, row.fields, row.body)};
    const support::CallerResult result = it.Get("/resumable/1");
    REQUIRE(result.end.has_value());
    CHECK(result.status == 200);
    CHECK(result.body == event);
    CHECK(result.end != http::OriginOutcome::kComplete);
    CHECK(it.received.size() == 2);
  }
}

// An endpoint that took the stream up after its last event has nothing to send.
TEST_CASE("the rest of a stream that broke off between events may be empty") {
  const std::string event = "id: 1\ndata: a\n\n";
  support::ForwarderFixture it;
  it.Configure();
  it.script = {ChunkedStreamStart(event) + kClose,
               support::ScriptedAnswer(200, "Response-Signature: s\r\n", "")};
  const support::CallerResult result = it.Get("/resumable/1");
  CHECK(result.body == event);
  CHECK(result.end == http::OriginOutcome::kComplete);
  CHECK(it.received.size() == 2);
}

}  // namespace
}  // namespace wasabi::forwarder
