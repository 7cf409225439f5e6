// Guards against a callback that cancels its own call and is destroyed while it
// runs, and against a call that never ends since it has the handle that libcurl
// had given to a cancelled one: the removal took the handle alone for its name.

#include <catch2/catch.hpp>
#include <memory>
#include <optional>

#include "LibCore/event_loop.h"
#include "LibCore/result_code.h"
#include "LibHttp/client.h"
#include "Tests/Support/RawServer/raw_server.h"
#include "Tests/Support/free_address.h"

namespace wasabi::http {
namespace {

constexpr core::Duration kTestTimeout = core::seconds(2);
constexpr int kCalls = 10;

TEST_CASE("a callback that cancels its call is the last one") {
  core::EventLoop loop;
  support::RawServer server(&loop,
                            support::FreeAddress(support::LoopbackIp(3)));
  server.SetAnswer("HTTP/1.1 200 OK\r\nContent-Length: 2\r\n\r\nok", false);
  Client client(&loop);
  ClientRequest request;
  request.address = server.address();
  request.total_timeout = kTestTimeout;
  int callbacks_run = 0;
  std::shared_ptr<ClientCall> cancelled;
  ClientCallbacks callbacks;
  callbacks.on_headers = [&](int /*status*/, const Headers& /*headers*/) {
    cancelled->Cancel();
    ++callbacks_run;
  };
  callbacks.on_data = [&](std::string_view /*chunk*/) { ++callbacks_run; };
  callbacks.on_done = [&](const absl::Status& /*status*/) { ++callbacks_run; };
  cancelled = client.Send(request, std::move(callbacks));
  const auto timer = loop.NewTimer([&loop] { loop.Stop(); });
  timer->StartOnce(core::milliseconds(100));
  loop.Run();
  CHECK(callbacks_run == 1);
  CHECK(client.calls_in_flight() == 0);
}

TEST_CASE("the removal of a cancelled call does not end the next one") {
  core::EventLoop loop;
  support::RawServer server(&loop,
                            support::FreeAddress(support::LoopbackIp(3)));
  server.SetAnswer("HTTP/1.1 200 OK\r\nContent-Length: 2\r\n\r\nok", false);
  Client client(&loop);
  ClientRequest request;
  request.address = server.address();
  request.needs_fresh_connection = true;
  request.total_timeout = kTestTimeout;
  for (int i = 0; i < kCalls; ++i) {
    std::shared_ptr<ClientCall> cancelled;
    ClientCallbacks callbacks;
    callbacks.on_headers = [&](int /*status*/, const Headers& /*headers*/) {
      cancelled->Cancel();
      loop.Stop();
    };
    cancelled = client.Send(request, std::move(callbacks));
    loop.Run();
    // The cancelled call has ended by now, as its body was not taken.
    std::optional<core::ResultCode> code;
    client.Fetch(request, [&](const absl::StatusOr<ClientResponse>& response) {
      code = core::CodeOf(response.status());
      loop.Stop();
    });
    const auto watchdog = loop.NewTimer([&loop] { loop.Stop(); });
    watchdog->StartOnce(2 * kTestTimeout);
    loop.Run();
    REQUIRE(code == core::ResultCode::kOk);
  }
}

}  // namespace
}  // namespace wasabi::http
