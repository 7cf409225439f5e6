// Regression test: when a stream breaks off, nothing that another endpoint
// answers but the events after the last one may reach its caller, and the
// stream must not look complete.

#include <catch2/catch.hpp>
#include <memory>
#include <string>
#include <vector>

#include "LibCore/text.h"
#include "Tests/Support/ForwarderFixture/carried_host.h"
#include "Tests/Support/ForwarderFixture/forwarder_fixture.h"
#include "Tests/Support/ForwarderFixture/raw_caller.h"

namespace wasabi::forwarder {
namespace {

using support::CallerResult;
using support::ChunkedStreamStart;
using support::ForwarderFixture;
using support::kClose;
using support::kReset;
using support::RawCaller;
using support::ScriptedAnswer;
using support::UnframedStreamStart;

constexpr const char* kEvent = "id: 1\ndata: a\n\n";
constexpr const char* kHead =
    "HTTP/1.1 500 X\r\nRequest-Id: id1\r\nResponse-Signature: s\r\n";

struct EndCase {
  const char* what;
  // What the endpoint sends that takes the stream up.
  std::string answer;
};

std::vector<EndCase> Ends() {
  const std::string signature = "Response-Signature: s\r\n";
  const std::string text = "the rest failed";
  const std::string interim = "HTTP/1.1 103 X\r\nA: b\r\n\r\n";
  const std::string unframed = std::string(kHead) + "\r\n" + text;
  const std::string type = "Content-Type: application/json\r\n";
  return {
      {"a redirect", ScriptedAnswer(302, signature, text)},
      {"not found", ScriptedAnswer(404, signature, text)},
      {"a failure", ScriptedAnswer(500, signature, text)},
      {"an interim answer and not found",
       interim + ScriptedAnswer(404, signature, text)},
      {"an interim answer and a failure",
       interim + ScriptedAnswer(500, signature, text)},
      {"an interim answer alone", interim + kClose},
      {"a failure without framing", unframed + kClose},
      {"a failure without framing that is reset", unframed + kReset},
      {"half the head of a failure", std::string(kHead) + kClose},
      {"half the head of a failure that is reset", std::string(kHead) + kReset},
      {"half the head of a success",
       std::string("HTTP/1.1 200 X\r\nRequest-Id: id1\r\n") + kClose},
      {"no content", ScriptedAnswer(204, signature, "")},
      {"partial content", ScriptedAnswer(206, signature, "id: 2\n\n")},
      {"a success of another kind",
       ScriptedAnswer(200, signature + type, "{\"error\": 1}")},
      {"one that has blank lines",
       ScriptedAnswer(200, signature + type, "{\n\n}\n\n")},
      {"an empty one", ScriptedAnswer(200, signature + type, "")},
      {"a head among the events",
       UnframedStreamStart("id: 2\ndata: b" + unframed) + kClose},
      {"a head in an event",
       UnframedStreamStart("id: 2\ndata: b\n" + std::string(kHead) + "\r\n") +
           kClose},
      {"a text in an event",
       ChunkedStreamStart("id: 2\n" + text + "\n\n") + support::kStreamEnd},
      {"a head in the place of a chunk", ChunkedStreamStart("id: 2\nda") +
                                             std::string(kHead) + "\r\n" +
                                             text + kClose},
  };
}

struct BreakCase {
  const char* what;
  std::string answer;
};

// How the first endpoint's part of the stream ends.
const BreakCase kBreaks[] = {
    {"inside an event",
     ChunkedStreamStart(std::string(kEvent) + "id: 2\nda") + kClose},
    {"between events", ChunkedStreamStart(kEvent) + kClose},
};

void CheckCut(ForwarderFixture& it,
              const BreakCase& first,
              const EndCase& row) {
  INFO(first.what << ", " << row.what);
  it.script = {first.answer, row.answer};
  const CallerResult result = it.Get("/resumable/1");
  REQUIRE(result.end.has_value());
  CHECK(result.status == 200);
  CHECK(result.body == kEvent);
  CHECK(result.end != http::OriginOutcome::kComplete);
  CHECK(it.received.size() == 2);
}

TEST_CASE("no failure ends a stream that was taken up") {
  for (const BreakCase& first : kBreaks) {
    for (const EndCase& row : Ends()) {
      ForwarderFixture it;
      it.Configure();
      CheckCut(it, first, row);
    }
  }
}

TEST_CASE("no failure through a carrier ends a stream that was taken up") {
  for (const EndCase& row : Ends()) {
    support::CarriedHost host;
    CheckCut(host.fixture, kBreaks[1], row);
  }
}

std::string OldRequest(const char* target) {
  return fmt::format(
      "GET {} HTTP/1.0\r\nHost: a.test\r\nRequest-Id: id1\r\n"
      "Authorization: Bearer k1\r\nDeadline-Ms: 1500\r\n\r\n",
      target);
}

std::string BodyOf(const RawCaller& caller) {
  const size_t end = caller.received().find("\r\n\r\n");
  return end == std::string::npos ? "" : caller.received().substr(end + 4);
}

// A caller of HTTP/1.0 knows no chunks; only a reset tells it that its answer
// is cut.
TEST_CASE("no failure ends a stream to a caller of HTTP/1.0") {
  for (const EndCase& row : Ends()) {
    INFO(row.what);
    ForwarderFixture it;
    it.Configure();
    it.script = {kBreaks[1].answer, row.answer};
    RawCaller caller(&it);
    caller.Write(OldRequest("/resumable/1"));
    REQUIRE(it.RunUntil([&]() { return caller.end().has_value(); }));
    CHECK(caller.end() == http::TcpStream::End::kBroken);
    CHECK(std::string(kEvent).starts_with(BodyOf(caller)));
  }
}

struct OldCase {
  const char* what;
  const char* target;
  std::string answer;
  std::string body;
};

TEST_CASE("a caller of HTTP/1.0 gets no chunks") {
  const std::string large(400'000, 'x');
  const OldCase cases[] = {
      {"a stream", "/resumable/1",
       ChunkedStreamStart(kEvent) + support::kStreamEnd, kEvent},
      {"a small answer", "/unsafe/1", support::ScriptedSuccess("ok"), "ok"},
      {"a large one in chunks", "/unsafe/1",
       "HTTP/1.1 200 X\r\nRequest-Id: id1\r\nResponse-Signature: s\r\n"
       "Transfer-Encoding: chunked\r\n\r\n61a80\r\n" +
           large + "\r\n0\r\n\r\n",
       large},
  };
  for (const OldCase& row : cases) {
    INFO(row.what);
    ForwarderFixture it;
    it.Configure();
    it.script = {row.answer};
    RawCaller caller(&it);
    caller.Write(OldRequest(row.target));
    REQUIRE(it.RunUntil([&]() { return caller.end().has_value(); }));
    CHECK(caller.end() == http::TcpStream::End::kClosed);
    CHECK(BodyOf(caller) == row.body);
    CHECK(!caller.HasReceived("Transfer-Encoding"));
  }
}

}  // namespace
}  // namespace wasabi::forwarder
