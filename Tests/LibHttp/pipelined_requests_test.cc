// Guards against requests that a client sent behind another one and that end
// without an answer because their server stops.

#include <catch2/catch.hpp>
#include <memory>
#include <string>
#include <string_view>

#include "Tests/LibHttp/server_fixture.h"

namespace wasabi::http {
namespace {

constexpr std::string_view kFirst = "GET /first HTTP/1.1\r\nHost: h\r\n\r\n";
constexpr std::string_view kSecond = "GET /second HTTP/1.1\r\nHost: h\r\n\r\n";

// How far the first answer is when the server stops.
enum class Progress : uint8_t { kNotBegun, kHeadSent };

struct PipelineCase {
  const char* what;
  Progress progress;
  bool is_sent_before_stop;
};

TEST_CASE("a request behind another one is answered when the server stops") {
  const PipelineCase cases[] = {
      {"it was sent before, its forerunner is not answered",
       Progress::kNotBegun, true},
      {"it is sent after", Progress::kNotBegun, false},
      {"the forerunner's answer has begun", Progress::kHeadSent, true},
      {"that has begun, and it is sent after", Progress::kHeadSent, false},
  };
  for (const PipelineCase& row : cases) {
    INFO(row.what);
    ServerFixture it;
    it.Connect();
    it.caller->Write(kFirst);
    it.AwaitRequests(1);
    const auto first = it.transactions[0];
    if (row.progress == Progress::kHeadSent) {
      first->StartStream(200, {}, std::nullopt);
      it.AwaitText(" 200 ");
    }
    if (row.is_sent_before_stop) {
      it.caller->Write(kSecond);
    }
    it.server->CloseAfterResponses();
    if (!row.is_sent_before_stop) {
      it.caller->Write(kSecond);
    }
    REQUIRE(RunUntil(&it.loop, [&]() {
      return it.server->buffered_bytes() >= kSecond.size();
    }));
    if (row.progress == Progress::kHeadSent) {
      first->Write("one");
      first->Finish();
    } else {
      first->Respond({.status = 200, .body = "one"});
    }
    it.AwaitText("one");
    CHECK(it.received.find("Connection: close") == std::string::npos);
    CHECK(RunUntil(&it.loop, [&]() {
      return it.has_ended || it.transactions.size() == 2;
    }));
    CHECK(it.transactions.size() == 2);
    if (it.transactions.size() != 2) {
      continue;
    }
    it.server->StopListening();
    it.transactions[1]->Respond({.status = 200, .body = "two"});
    it.AwaitText("two");
    CHECK(it.received.find("Connection: close") != std::string::npos);
    CHECK(RunUntil(&it.loop, [&]() { return it.has_ended; }));
  }
}

TEST_CASE("a connection ends after the answer that says so") {
  ServerFixture it;
  it.Connect();
  it.caller->Write(kFirst);
  it.AwaitRequests(1);
  it.server->CloseAfterResponses();
  it.transactions[0]->StartStream(200, {}, std::nullopt);
  it.AwaitText("Connection: close");
  it.caller->Write(kSecond);
  it.transactions[0]->Write("one");
  it.transactions[0]->Finish();
  CHECK(RunUntil(&it.loop, [&]() { return it.has_ended; }));
  CHECK(it.transactions.size() == 1);
}

}  // namespace
}  // namespace wasabi::http
