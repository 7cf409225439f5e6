// The platform stand-in, served on a free port by the test's own event loop.

#ifndef TESTS_LIBPLATFORM_PLATFORM_FIXTURE_H_
#define TESTS_LIBPLATFORM_PLATFORM_FIXTURE_H_

#include <memory>
#include <optional>
#include <string>

#include "LibCore/event_loop.h"
#include "LibHttp/client.h"
#include "LibHttp/server.h"
#include "Tests/Support/Platform/platform_service.h"

namespace wasabi::platform {

class PlatformFixture {
 public:
  explicit PlatformFixture(const standin::PlatformOptions& options);

  // Runs the loop until `start` has called its callback, and returns the value
  // passed to the callback.
  template <typename Value, typename Start>
  absl::StatusOr<Value> Await(const Start& start) {
    std::optional<absl::StatusOr<Value>> result;
    start([&](const absl::StatusOr<Value>& value) {
      result = value;
      loop_.Stop();
    });
    loop_.Run();
    return *result;
  }

  // Sends a request to the stand-in and requires that it succeeds.
  void Send(const std::string& method,
            const std::string& target,
            const std::string& body);

  core::EventLoop* loop() { return &loop_; }
  http::Client* client() { return &client_; }
  const core::SocketAddress& address() const { return address_; }
  void StopServer() { server_.reset(); }

 private:
  core::EventLoop loop_;
  standin::PlatformService service_;
  std::unique_ptr<http::Server> server_;
  core::SocketAddress address_;
  http::Client client_;
};

}  // namespace wasabi::platform

#endif  // TESTS_LIBPLATFORM_PLATFORM_FIXTURE_H_
