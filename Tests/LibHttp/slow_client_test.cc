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

struct SlowCase {
  const char* what;
  size_t body_bytes;
  // Time for which the client reads nothing.
  core::Duration pause;
};

TEST_CASE("a slow client gets its last answer whole") {
  const SlowCase cases[] = {
      {"bytes that the server holds", 32U << 20U, core::milliseconds(2000)},
      {"the same, for longer than a dead peer is silent", 32U << 20U,
       core::milliseconds(5000)},
      {"bytes that the kernel holds, for as long", 1U << 20U,
       core::milliseconds(5000)},
  };
  for (const SlowCase& row : cases) {
    INFO(row.what);
    ServerFixture it;
    it.Connect();
    it.caller->Write(kGet);
    it.AwaitRequests(1);
    it.server->CloseAfterResponses();
    it.caller->SetReading(false);
    it.transactions[0]->Respond(
        {.status = 200, .body = std::string(row.body_bytes, 'x')});
    Wait(&it.loop, row.pause);
    it.caller->SetReading(true);
    CHECK(RunUntil(&it.loop, [&]() { return it.has_ended; }));
    const size_t head_end = it.received.find("\r\n\r\n");
    REQUIRE(head_end != std::string::npos);
    CHECK(it.received.size() - head_end - 4 == row.body_bytes);
  }
}

}  // namespace
}  // namespace wasabi::http
