#include "Tests/Support/Fleet/http_probe.h"

#include <thread>
#include <utility>

#include "LibCore/result_code.h"

namespace wasabi::support {

namespace {

constexpr core::Duration kCallTimeout = std::chrono::seconds(5);
constexpr core::Duration kPollPeriod = std::chrono::milliseconds(10);

}  // namespace

absl::StatusOr<http::ClientResponse> FetchNow(
    const http::ClientRequest& request) {
  core::EventLoop loop;
  http::Client client(&loop);
  http::ClientRequest bounded = request;
  if (bounded.total_timeout == core::Duration::zero()) {
    bounded.total_timeout = kCallTimeout;
  }
  absl::StatusOr<http::ClientResponse> result =
      core::MakeStatus(core::ResultCode::kPeerUnreachable, "not called");
  client.Fetch(bounded, [&](absl::StatusOr<http::ClientResponse> response) {
    result = std::move(response);
    loop.Stop();
  });
  loop.Run();
  return result;
}

absl::StatusOr<http::ClientResponse> GetNow(const core::SocketAddress& address,
                                            const std::string& target) {
  http::ClientRequest request;
  request.address = address;
  request.target = target;
  return FetchNow(request);
}

absl::StatusOr<http::ClientResponse> PostNow(const core::SocketAddress& address,
                                             const std::string& target,
                                             const nlohmann::json& body) {
  http::ClientRequest request;
  request.method = "POST";
  request.address = address;
  request.target = target;
  request.body = body.dump();
  return FetchNow(request);
}

bool WaitUntil(const std::function<bool()>& is_done, core::Duration timeout) {
  const core::TimePoint end = core::Clock::now() + timeout;
  while (core::Clock::now() < end) {
    if (is_done()) {
      return true;
    }
    std::this_thread::sleep_for(kPollPeriod);
  }
  return is_done();
}

}  // namespace wasabi::support
