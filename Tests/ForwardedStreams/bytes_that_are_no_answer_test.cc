// Regression test: an answer whose head is malformed must not reach a caller as
// an answer, and must not hold its request.

#include <catch2/catch.hpp>
#include <string>
#include <vector>

#include "LibCore/text.h"
#include "Tests/Support/ForwarderFixture/carried_host.h"
#include "Tests/Support/ForwarderFixture/forwarder_fixture.h"
#include "Tests/Support/malformed_heads.h"

namespace wasabi::forwarder {
namespace {

using support::CallerResult;
using support::ForwarderFixture;

constexpr const char* kSignature = "Response-Signature";
const std::vector<std::string> kFramings = {
    "Content-Length: 2", "Transfer-Encoding: chunked", "Connection: close"};
const std::vector<std::string> kTargets = {"/unsafe/1", "/safe/1", "/once/1",
                                           "/resumable/1"};
// Less than the deadline of requests, 1500 ms, and the routes' timeout.
constexpr core::Duration kMaxHeld = core::milliseconds(500);

void CheckNoAnswer(ForwarderFixture& it,
                   const std::string& target,
                   const std::string& answer) {
  it.received.clear();
  it.script = {answer, answer};
  const core::TimePoint start = it.loop.Now();
  const CallerResult result = it.Get(target);
  CHECK(it.loop.Now() - start < kMaxHeld);
  CHECK(result.status == 502);
  CHECK_FALSE(result.headers.Find(kSignature).has_value());
  CHECK_FALSE(result.headers.Find("X-A").has_value());
  const size_t max_sends =
      target.starts_with("/unsafe") || target.starts_with("/once") ? 1 : 2;
  CHECK(it.received.size() <= max_sends);
}

// Guards against heads that pass because no check refuses them.
TEST_CASE("a malformed head is no answer to a request") {
  for (const std::string& target : kTargets) {
    for (const std::string& framing : kFramings) {
      ForwarderFixture it;
      it.Configure();
      for (const auto& head :
           support::MalformedHeads("Request-Id: id1", framing)) {
        INFO(target << ", " << head.what << ", " << framing);
        CheckNoAnswer(it, target, head.text + "ok");
      }
    }
  }
}

TEST_CASE("a malformed head is no answer through a carrier") {
  for (const std::string& framing : kFramings) {
    support::CarriedHost host;
    for (const auto& head :
         support::MalformedHeads("Request-Id: id1", framing)) {
      INFO(head.what << ", " << framing);
      CheckNoAnswer(host.fixture, "/unsafe/1", head.text + "ok");
    }
  }
}

// The host takes the stream up at the other endpoint, whose answer is none.
TEST_CASE("a malformed head doesn't continue a stream") {
  const std::string begun =
      support::ChunkedStreamStart("id: 1\ndata: a\n\n") + support::kClose;
  for (const auto& head : support::MalformedHeads(
           "Request-Id: id1", "Transfer-Encoding: chunked")) {
    INFO(head.what);
    ForwarderFixture it;
    it.Configure();
    it.script = {begun, head.text + "f\r\nid: 2\ndata: b\n\n\r\n0\r\n\r\n"};
    const core::TimePoint start = it.loop.Now();
    const CallerResult result = it.Get("/resumable/1");
    CHECK(it.loop.Now() - start < kMaxHeld);
    CHECK(it.received.size() == 2);
    CHECK(result.end == http::OriginOutcome::kCut);
    CHECK(result.body == "id: 1\ndata: a\n\n");
  }
}

// The caller takes its stream up at a host that knows only one version.
TEST_CASE("a malformed head doesn't answer a caller that takes a stream up") {
  ForwarderFixture it({.is_first_start = true});
  it.Configure();
  for (const auto& head : support::MalformedHeads(
           "Request-Id: id1", "Transfer-Encoding: chunked")) {
    INFO(head.what);
    const std::string answer =
        head.text + "f\r\nid: 2\ndata: b\n\n\r\n0\r\n\r\n";
    it.received.clear();
    it.script = {answer, answer};
    const core::TimePoint start = it.loop.Now();
    const CallerResult result = it.Get(
        "/resumable/1", false, {{"Last-Event-Id", "1"}, {"Resumes", "idx"}});
    CHECK(it.loop.Now() - start < kMaxHeld);
    CHECK(result.status == 502);
    CHECK_FALSE(result.headers.Find(kSignature).has_value());
    CHECK(result.body.find("data: b") == std::string::npos);
    CHECK(it.received.size() <= 2);
  }
}

}  // namespace
}  // namespace wasabi::forwarder
