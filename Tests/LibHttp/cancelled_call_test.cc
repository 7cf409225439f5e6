// Guards against a callback that cancels its own call and is destroyed while it
// runs.

#include <catch2/catch.hpp>
#include <memory>

#include "LibCore/event_loop.h"
#include "LibHttp/client.h"
#include "Tests/Support/RawServer/raw_server.h"
#include "Tests/Support/free_address.h"

namespace wasabi::http {
namespace {

constexpr core::Duration kTestTimeout = core::seconds(2);

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

}  // namespace
}  // namespace wasabi::http
