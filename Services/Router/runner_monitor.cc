#include "Services/Router/runner_monitor.h"

#include <nlohmann/json.hpp>
#include <utility>

#include "LibCore/result_code.h"

namespace wasabi::router {

namespace {

using nlohmann::json;

constexpr int kHttpOk = 200;
constexpr core::Duration kPollTimeout = std::chrono::milliseconds(500);

uint32_t NumberOf(const json& report, const char* key) {
  const auto it = report.find(key);
  return it != report.end() && it->is_number_unsigned() ? it->get<uint32_t>()
                                                        : 0;
}

absl::StatusOr<LoadReport> ParseReport(const std::string& body) {
  const json report = json::parse(body, nullptr, false);
  if (!report.is_object()) {
    return core::MakeStatus(core::ResultCode::kMalformedMessage,
                            "the load report is not a JSON object");
  }
  const auto leaving = report.find("leaving");
  LoadReport it;
  it.running = NumberOf(report, "running");
  it.waiting = NumberOf(report, "waiting");
  it.outstanding_tokens = NumberOf(report, "outstanding_tokens");
  it.is_leaving =
      leaving != report.end() && leaving->is_boolean() && leaving->get<bool>();
  return it;
}

}  // namespace

RunnerMonitor::RunnerMonitor(core::EventLoop* loop,
                             http::Client* client,
                             core::SocketAddress address,
                             core::Duration period,
                             ReportCallback on_report,
                             FailureCallback on_failure)
    : loop_(loop),
      client_(client),
      address_(address),
      period_(period),
      on_report_(std::move(on_report)),
      on_failure_(std::move(on_failure)) {
  timer_ = loop_->NewTimer([this] { Poll(); });
  timer_->StartOnce(core::Duration::zero());
}

RunnerMonitor::~RunnerMonitor() {
  *alive_ = false;
}

http::ClientRequest RunnerMonitor::PollRequest() const {
  http::ClientRequest request;
  request.address = address_;
  request.target = "/v1/load";
  request.connect_timeout = kPollTimeout;
  request.total_timeout = kPollTimeout;
  request.needs_fresh_connection = true;
  request.headers = {{"Connection", "close"}};
  return request;
}

void RunnerMonitor::Poll() {
  client_->Fetch(PollRequest(),
                 [this, alive = alive_](
                     const absl::StatusOr<http::ClientResponse>& response) {
                   if (!*alive) {
                     return;
                   }
                   timer_->StartOnce(period_);
                   OnAnswer(response);
                 });
}

void RunnerMonitor::Probe(std::function<void(bool)> callback) {
  client_->Fetch(PollRequest(),
                 [this, alive = alive_, callback = std::move(callback)](
                     const absl::StatusOr<http::ClientResponse>& response) {
                   if (!*alive) {
                     return;
                   }
                   const bool is_alive = response.ok();
                   OnAnswer(response);
                   if (*alive) {
                     callback(is_alive);
                   }
                 });
}

void RunnerMonitor::OnAnswer(
    const absl::StatusOr<http::ClientResponse>& response) {
  if (!response.ok()) {
    on_failure_(core::CodeOf(response.status()) ==
                core::ResultCode::kPeerUnreachable);
    return;
  }
  last_answer_ = loop_->Now();
  if (response->status != kHttpOk) {
    return;
  }
  const absl::StatusOr<LoadReport> report = ParseReport(response->body);
  if (report.ok()) {
    on_report_(*report);
  }
}

}  // namespace wasabi::router
