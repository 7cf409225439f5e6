#include "Tests/Support/host_registration.h"

#include <nlohmann/json.hpp>
#include <utility>

#include "Tests/Support/http_replies.h"

namespace wasabi::support {

namespace {

// Interval between two PUT requests with an unchanged row.
constexpr core::Duration kRefreshPeriod = std::chrono::seconds(2);
// Delay before a failed PUT request is retried.
constexpr core::Duration kRetryDelay = std::chrono::milliseconds(200);
constexpr core::Duration kPutTimeout = std::chrono::seconds(1);

}  // namespace

HostRegistration::HostRegistration(core::EventLoop* loop,
                                   const core::SocketAddress& platform,
                                   HostRow row)
    : loop_(loop), platform_(platform), row_(std::move(row)), client_(loop) {
  timer_ = loop_->NewTimer([this] { Put(); });
  Put();
}

void HostRegistration::MarkLeaving() {
  row_.state = "leaving";
  Put();
}

void HostRegistration::Put() {
  if (platform_.empty()) {
    return;
  }
  http::ClientRequest request;
  request.method = "PUT";
  request.address = platform_;
  request.target = "/v1/hosts/" + row_.id;
  request.body = nlohmann::json({{"id", row_.id},
                                 {"kind", row_.kind},
                                 {"pool", row_.pool},
                                 {"data_centre", row_.data_centre},
                                 {"address", row_.address},
                                 {"state", row_.state}})
                     .dump();
  request.total_timeout = kPutTimeout;
  client_.Fetch(request, [this](absl::StatusOr<http::ClientResponse> response) {
    const bool is_registered = response.ok() && response->status == kHttpOk;
    timer_->StartOnce(is_registered ? kRefreshPeriod : kRetryDelay);
  });
}

}  // namespace wasabi::support
