// Guards against answers that are cut because their client reads slowly.

#include <catch2/catch.hpp>
#include <string>
#include <string_view>

#include "Tests/LibHttp/server_fixture.h"

namespace wasabi::http {
namespace {

constexpr std::string_view kGet = "GET /x HTTP/1.1\r\nHost: h\r\n\r\n";

void Wait(core::EventLoop* loop, core::Duration time) {
  const core::TimePoint end = loop->Now() + time;
  RunUntil(loop, [&]() { return loop->Now() >= end; });
}

TEST_CASE("a slow client gets its last answer whole") {
  constexpr size_t kBodyBytes = 32U << 20U;
  constexpr core::Duration kPause = core::milliseconds(2000);
  ServerFixture it;
  it.Connect();
  it.caller->Write(kGet);
  it.AwaitRequests(1);
  it.server->CloseAfterResponses();
  it.caller->SetReading(false);
  it.transactions[0]->Respond(
      {.status = 200, .body = std::string(kBodyBytes, 'x')});
  Wait(&it.loop, kPause);
  it.caller->SetReading(true);
  CHECK(RunUntil(&it.loop, [&]() { return it.has_ended; }));
  const size_t head_end = it.received.find("\r\n\r\n");
  REQUIRE(head_end != std::string::npos);
  CHECK(it.received.size() - head_end - 4 == kBodyBytes);
}

}  // namespace
}  // namespace wasabi::http
