#include "Tests/Support/Scenario/bystander.h"

#include "LibHttp/headers.h"
#include "Tests/Support/Fleet/http_probe.h"
#include "Tests/Support/http_replies.h"

namespace wasabi::support {

namespace {

constexpr core::Duration kAnswerTimeout = std::chrono::seconds(10);

}  // namespace

Bystander::Bystander(const core::SocketAddress& router)
    : thread_([this, router] { Work(router); }) {}

Bystander::~Bystander() {
  is_stopped_ = true;
  thread_.join();
}

bool Bystander::WaitForNextAnswer() {
  const int seen = answered_ + failed_;
  WaitUntil([&] { return answered_ + failed_ > seen + 1; }, kAnswerTimeout);
  return answered_ + failed_ > seen + 1;
}

void Bystander::Work(const core::SocketAddress& router) {
  while (!is_stopped_) {
    http::ClientRequest request;
    request.method = "POST";
    request.address = router;
    request.target = kSmallChatTarget;
    request.headers = {
        {std::string(http::kOrganisationHeader), "quito-schools"}};
    request.body = kSmallChat;
    const auto response = FetchNow(request);
    const bool is_good = response.ok() && response->status == kHttpOk;
    ++(is_good ? answered_ : failed_);
  }
}

}  // namespace wasabi::support
