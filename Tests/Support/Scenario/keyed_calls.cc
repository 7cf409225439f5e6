#include "Tests/Support/Scenario/keyed_calls.h"

#include <nlohmann/json.hpp>
#include <utility>

#include "LibCore/random_source.h"
#include "LibCore/result_code.h"
#include "LibCore/text.h"
#include "Tests/Support/Fleet/http_probe.h"
#include "Tests/Support/execution_log.h"
#include "Tests/Support/http_replies.h"

namespace wasabi::support {

namespace {

using core::ResultCode;

// Added to the deadline of a call to get its timeout at the client.
constexpr core::Duration kAnswerMargin = std::chrono::seconds(2);
// Deadline of each send in KeyedCalls::Settle.
constexpr core::Duration kSettleDeadline = std::chrono::seconds(5);
constexpr core::Duration kSettlePause = std::chrono::milliseconds(100);
constexpr size_t kLoadWorkers = 6;
constexpr core::Duration kLoadPause = std::chrono::milliseconds(20);
constexpr int kFirstRefusal = 300;
constexpr int kFirstFailure = 400;

KeyedAnswer ToAnswer(const absl::StatusOr<http::ClientResponse>& response) {
  if (!response.ok()) {
    return {};
  }
  if (response->status == kHttpOk) {
    return {0, false, response->body};
  }
  const std::string text = response->headers.Get(http::kResultCodeHeader);
  return {core::ParseNumber<int>(text).value_or(KeyedAnswer::kNoAnswer),
          !response->headers.Get(http::kRetryAfterMsHeader).empty(), ""};
}

}  // namespace

bool KeyedAnswer::is_final() const {
  const bool is_outcome = code == static_cast<int>(ResultCode::kOk) ||
                          code == static_cast<int>(ResultCode::kNotRun) ||
                          code == static_cast<int>(ResultCode::kOutcomeUnknown);
  return is_outcome && !has_retry_time;
}

bool KeyedAnswer::is_refusal() const {
  return code >= kFirstRefusal && code < kFirstFailure;
}

KeyedAnswer KeyedCalls::Send(const std::string& key,
                             size_t router,
                             core::Duration deadline) {
  const DeploymentProfile& deployment = fleet_->options().deployment;
  http::ClientRequest request;
  request.method = "POST";
  request.address = fleet_->routers().at(router);
  request.target = fmt::format("/v1/services/{}/place", deployment.service);
  request.headers = {
      {"Content-Type", "application/json"},
      {std::string(http::kOrganisationHeader), deployment.organisation},
      {std::string(http::kIdempotencyKeyHeader), key},
      {std::string(http::kDeadlineHeader),
       std::to_string(core::ToMilliseconds(deadline))}};
  request.body = nlohmann::json({{"hold", key}}).dump();
  request.total_timeout = deadline + kAnswerMargin;
  KeyedSend send;
  send.key = key;
  send.router = router;
  send.started = core::Clock::now();
  send.answer = ToAnswer(FetchNow(request));
  send.ended = core::Clock::now();
  const std::lock_guard lock(mutex_);
  sends_.push_back(send);
  return send.answer;
}

std::future<KeyedAnswer> KeyedCalls::SendInBackground(const std::string& key,
                                                      size_t router,
                                                      core::Duration deadline) {
  return std::async(std::launch::async, [this, key, router, deadline] {
    return Send(key, router, deadline);
  });
}

std::optional<KeyedAnswer> KeyedCalls::Settle(const std::string& key,
                                              core::Duration timeout) {
  const core::TimePoint end = core::Clock::now() + timeout;
  const size_t routers = fleet_->routers().size();
  for (size_t i = 0; core::Clock::now() < end; ++i) {
    const KeyedAnswer answer = Send(key, i % routers, kSettleDeadline);
    if (answer.is_final()) {
      return answer;
    }
    std::this_thread::sleep_for(kSettlePause);
  }
  return std::nullopt;
}

std::vector<KeyedSend> KeyedCalls::sends() const {
  const std::lock_guard lock(mutex_);
  return sends_;
}

std::map<std::string, size_t> KeyedCalls::Executions() const {
  std::map<std::string, size_t> executions;
  for (const std::string& path : fleet_->ExecutionFiles()) {
    const auto records = ReadExecutionFile(path);
    if (!records.ok()) {
      continue;
    }
    for (const Execution& it : *records) {
      ++executions[it.idempotency_key];
    }
  }
  return executions;
}

KeyedLoad::KeyedLoad(KeyedCalls* calls,
                     std::string prefix,
                     size_t routers,
                     core::Duration deadline,
                     uint64_t seed)
    : calls_(calls),
      prefix_(std::move(prefix)),
      routers_(routers),
      deadline_(deadline) {
  for (size_t worker = 0; worker < kLoadWorkers; ++worker) {
    workers_.emplace_back(
        [this, worker, seed] { Work(worker, seed + worker); });
  }
}

KeyedLoad::~KeyedLoad() {
  Stop();
}

void KeyedLoad::Stop() {
  is_stopped_ = true;
  for (std::thread& worker : workers_) {
    worker.join();
  }
  workers_.clear();
}

void KeyedLoad::Work(size_t worker, uint64_t seed) {
  core::RandomSource random(seed);
  for (int i = 0; !is_stopped_; ++i) {
    const std::string key = fmt::format("{}-{}-{}", prefix_, worker, i);
    const size_t first = random.Next() % routers_;
    const size_t second =
        (first + 1 + random.Next() % (routers_ - 1)) % routers_;
    const auto other = calls_->SendInBackground(key, first, deadline_);
    calls_->Send(key, second, deadline_);
    other.wait();
    std::this_thread::sleep_for(kLoadPause);
  }
}

}  // namespace wasabi::support
