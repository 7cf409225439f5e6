// Endpoints that send bytes without end, in a head or in a body, must not cost
// more than a bounded time and memory: the connection is closed, and the
// attempt is counted and logged.

#include <catch2/catch.hpp>
#include <string>
#include <vector>

#include "Tests/Support/ForwarderFixture/carried_host.h"
#include "Tests/Support/ForwarderFixture/forwarder_fixture.h"
#include "Tests/Support/ForwarderFixture/raw_caller.h"

namespace wasabi::forwarder {
namespace {

using support::CallerResult;
using support::ForwarderFixture;
using support::RawServer;
using support::ScriptedSuccess;

constexpr const char* kSignedHead =
    "HTTP/1.1 200 X\r\nRequest-Id: id1\r\nResponse-Signature: s\r\n\r\n";
constexpr const char* kUnsignedHead =
    "HTTP/1.1 200 X\r\nRequest-Id: id1\r\n\r\n";
constexpr const char* kFailedHead =
    "HTTP/1.1 500 X\r\nRequest-Id: id1\r\nResponse-Signature: s\r\n\r\n";
constexpr const char* kRefusedHead =
    "HTTP/1.1 503 X\r\nRequest-Id: id1\r\nNot-Executed: 1\r\n\r\n";
constexpr const char* kOtherHead =
    "HTTP/1.1 200 X\r\nRequest-Id: other\r\nResponse-Signature: s\r\n\r\n";
constexpr const char* kChunkedHead =
    "HTTP/1.1 200 X\r\nRequest-Id: id1\r\nResponse-Signature: s\r\n"
    "Transfer-Encoding: chunked\r\n\r\n";
constexpr const char* kOtherChunkedHead =
    "HTTP/1.1 200 X\r\nRequest-Id: other\r\nTransfer-Encoding: chunked"
    "\r\n\r\n";
constexpr const char* kEvent = "id: 1\ndata: a\n\n";

// More than the buffers of a loopback connection hold.
constexpr size_t kMaxBytes = 16U << 20U;
// The deadline of the requests is 1,500 ms.
constexpr core::Duration kMaxTime = core::milliseconds(1000);

// Keeps writing `piece` to the connections of the endpoints that were asked.
class Flood {
 public:
  Flood(ForwarderFixture* fixture, std::string piece)
      : fixture_(fixture),
        piece_(std::move(piece)),
        timer_(fixture->loop.NewTimer([this]() { Write(); })) {
    timer_->StartRepeating(core::milliseconds(2));
  }
  size_t written_bytes() const { return written_bytes_; }

 private:
  void Write() {
    for (RawServer* server : {&fixture_->first, &fixture_->second}) {
      if (server->open() > 0 && server->requests() > 0) {
        written_bytes_ += piece_.size();
        server->WriteToAll(piece_);
      }
    }
  }

  ForwarderFixture* const fixture_;
  const std::string piece_;
  size_t written_bytes_ = 0;
  std::unique_ptr<core::Timer> timer_;
};

std::string Metrics(ForwarderFixture& it) {
  CallerResult result;
  http::OriginRequest request;
  request.address = it.settings.internal_address;
  request.method = "GET";
  request.target = "/metrics";
  http::OriginCallbacks callbacks;
  callbacks.on_body = [&result](std::string_view piece) {
    result.body.append(piece);
  };
  callbacks.on_end = [&result](http::OriginOutcome end) { result.end = end; };
  it.client.Send(request, std::move(callbacks));
  REQUIRE(it.RunUntil([&result]() { return result.end.has_value(); }));
  return result.body;
}

struct EndlessCase {
  const char* what;
  const char* target;
  std::string head;
  // Sent again and again after the head.
  std::string piece;
  // The answer to a request that the endpoint may have run.
  int status;
  const char* counter;
};

std::vector<EndlessCase> Cases() {
  const std::string junk(64U << 10U, 'x');
  std::string lines;
  std::string comments;
  while (lines.size() < junk.size()) {
    lines += "junk\n\n";
    comments += ": junk\n\n";
  }
  std::string fields;
  std::string folded;
  std::string interim;
  std::string blank;
  std::string chunks;
  while (fields.size() < junk.size()) {
    fields += "X: y\r\n";
    folded += "\r\n folded";
    interim += "HTTP/1.1 102 X\r\n\r\n";
    blank += "\r\n";
  }
  while (chunks.size() < junk.size()) {
    chunks += "1;x=" + std::string(1000, 'x') + "\r\na\r\n";
  }
  const std::string trailer = std::string(kChunkedHead) + "0\r\n";
  const char* oversized = "forward_oversized_answers";
  const char* malformed = "forward_malformed_answers";
  return {
      {"no head", "/unsafe/1", "", junk, 502, malformed},
      {"a head without end", "/unsafe/1", "HTTP/1.1 200 X\r\nA: ", junk, 502,
       oversized},
      {"a folded field of a head", "/unsafe/1", "HTTP/1.1 200 X\r\nA: b",
       folded, 502, malformed},
      {"fields of a head", "/unsafe/1", "HTTP/1.1 200 X\r\n", fields, 502,
       oversized},
      {"blank lines before a head", "/unsafe/1", "", blank, 502, malformed},
      {"interim answers", "/unsafe/1", "", interim, 502, oversized},
      {"a chunk's size", "/unsafe/1", kChunkedHead,
       std::string(64U << 10U, '0'), 502, oversized},
      {"a chunk's size on a stream", "/once/1", kChunkedHead,
       std::string(64U << 10U, '0'), 502, oversized},
      {"no chunk's header", "/unsafe/1", kChunkedHead, junk, 502, oversized},
      {"a chunk's extension", "/unsafe/1",
       std::string(kChunkedHead) + "1;x=", junk, 502, oversized},
      {"chunks of a byte with extensions", "/unsafe/1", kChunkedHead, chunks,
       502, oversized},
      {"chunks of a byte with extensions, in an answer to another request",
       "/unsafe/1", kOtherChunkedHead, chunks, 502, oversized},
      {"a trailer's field", "/unsafe/1", trailer + "X: ", junk, 502, oversized},
      {"fields of a trailer", "/unsafe/1", trailer, fields, 502, oversized},
      {"a folded field of a trailer", "/unsafe/1", trailer + "X: y", folded,
       502, oversized},
      {"a trailer on a stream", "/once/1", trailer, fields, 502, oversized},
      {"no head, on a stream", "/once/1", "", junk, 502, malformed},
      {"a body without signature", "/unsafe/1", kUnsignedHead, junk, 502,
       malformed},
      {"the body of a failure", "/unsafe/1", kFailedHead, junk, 502, oversized},
      {"the body of an answer to another request", "/unsafe/1", kOtherHead,
       junk, 502, oversized},
      {"a stream without lines", "/once/1", kSignedHead, junk, 502, oversized},
      {"a stream of lines that are no events", "/once/1", kSignedHead, lines,
       502, malformed},
      {"a stream of comments", "/once/1", kSignedHead, comments, 200,
       oversized},
      {"a stream of events without ids", "/once/1", kSignedHead,
       "data: junk\n\n", 502, malformed},
      {"a stream of one event again and again", "/once/1", kSignedHead, kEvent,
       200, malformed},
      {"a stream of one event twice in each piece", "/once/1", kSignedHead,
       std::string(kEvent) + kEvent, 200, malformed},
  };
}

void CheckCutOff(ForwarderFixture& it, const EndlessCase& row) {
  INFO(row.what);
  it.script = {row.head};
  const core::TimePoint started_at = it.loop.Now();
  Flood flood(&it, row.piece);
  const CallerResult result = it.Get(row.target);
  REQUIRE(result.end.has_value());
  CHECK(it.loop.Now() - started_at < kMaxTime);
  CHECK(result.status == row.status);
  const bool is_whole = result.end == http::OriginOutcome::kComplete;
  CHECK(is_whole == (row.status != 200));
  CHECK(it.RunUntil([&]() { return it.first.open() + it.second.open() == 0; }));
  CHECK(flood.written_bytes() < kMaxBytes);
  CHECK(Metrics(it).find(std::string(row.counter) + " 1") != std::string::npos);
}

TEST_CASE("an endpoint that sends bytes without end is cut off") {
  for (const EndlessCase& row : Cases()) {
    ForwarderFixture it;
    it.Configure();
    CheckCutOff(it, row);
  }
}

TEST_CASE("bytes without end through a carrier are cut off") {
  for (const EndlessCase& row : Cases()) {
    support::CarriedHost host;
    CheckCutOff(host.fixture, row);
  }
}

TEST_CASE("bytes without end for a caller of HTTP/1.0 are cut off") {
  for (const EndlessCase& row : Cases()) {
    INFO(row.what);
    ForwarderFixture it;
    it.Configure();
    it.script = {row.head};
    const core::TimePoint started_at = it.loop.Now();
    Flood flood(&it, row.piece);
    support::RawCaller caller(&it);
    caller.Write(std::string("GET ") + row.target +
                 " HTTP/1.0\r\nHost: a.test\r\nRequest-Id: id1\r\n"
                 "Authorization: Bearer k1\r\nDeadline-Ms: 1500\r\n\r\n");
    REQUIRE(it.RunUntil([&]() { return caller.end().has_value(); }));
    CHECK(it.loop.Now() - started_at < kMaxTime);
    // Only a reset tells that an answer is cut.
    CHECK((caller.end() == http::TcpStream::End::kBroken) ==
          (row.status == 200));
    CHECK(caller.received().size() < kMaxBytes);
    CHECK(
        it.RunUntil([&]() { return it.first.open() + it.second.open() == 0; }));
    CHECK(flood.written_bytes() < kMaxBytes);
  }
}

TEST_CASE("a request is repeated at once if its endpoint sends without end") {
  for (const EndlessCase& row : Cases()) {
    INFO(row.what);
    ForwarderFixture it;
    it.Configure();
    const bool is_stream = std::string_view(row.target).starts_with("/once/");
    it.script = {row.head,
                 is_stream ? std::string(kSignedHead) + kEvent + support::kClose
                           : ScriptedSuccess("ok")};
    const core::TimePoint started_at = it.loop.Now();
    // Only the endpoint that is asked first floods. The other one may have a
    // connection before it has a request.
    const auto timer = it.loop.NewTimer([&]() {
      if (it.received.size() == 1) {
        RawServer& asked = it.first.requests() > 0 ? it.first : it.second;
        asked.WriteToAll(row.piece);
      }
    });
    timer->StartRepeating(core::milliseconds(2));
    const CallerResult result = it.Get(is_stream ? "/resumable/1" : "/safe/1");
    REQUIRE(result.end.has_value());
    CHECK(it.loop.Now() - started_at < kMaxTime);
    CHECK(it.received.size() == 2);
    CHECK(result.status == 200);
    // With status 200 some of the bytes reach the caller, as a broken-off
    // answer where they cannot be completed.
    if (row.status != 200) {
      CHECK(result.body == (is_stream ? kEvent : "ok"));
    }
  }
}

TEST_CASE("a refusal with an endless body is a refusal") {
  ForwarderFixture it;
  it.Configure();
  it.script = {kRefusedHead, kRefusedHead};
  Flood flood(&it, std::string(64U << 10U, 'x'));
  const CallerResult result = it.Get("/unsafe/1");
  CHECK(result.status == 503);
  CHECK(result.end == http::OriginOutcome::kComplete);
  CHECK(flood.written_bytes() < kMaxBytes);
}

}  // namespace
}  // namespace wasabi::forwarder
