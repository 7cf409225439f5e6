#include "Tests/LibLedger/ledger_simulation.h"

#include <utility>

namespace wasabi::ledger {

namespace {

constexpr size_t kRetentionRecords = 100000;
constexpr char kOrganisation[] = "organisation";

}  // namespace

LedgerSimulation::LedgerSimulation(size_t hosts, uint64_t seed)
    : log_(&time_, seed, kRetentionRecords),
      endpoint_(&time_, seed + 1),
      hosts_(hosts) {}

void LedgerSimulation::Start() {
  for (size_t i = 0; i < hosts_.size(); ++i) {
    StartHost(i);
  }
}

void LedgerSimulation::StartHost(size_t host) {
  Host& it = hosts_[host];
  it.scheduler = std::make_unique<testing::HostScheduler>(&time_);
  it.client =
      std::make_unique<testing::FakeLogClient>(&log_, it.scheduler.get());
  it.dispatcher =
      std::make_unique<FakeDispatcher>(&endpoint_, it.scheduler.get());
  PartitionDependencies dependencies;
  dependencies.log = it.client.get();
  dependencies.scheduler = it.scheduler.get();
  dependencies.dispatcher = it.dispatcher.get();
  dependencies.wall_clock = [this] {
    return core::ToMilliseconds(time_.Now().time_since_epoch());
  };
  PartitionOptions options = options_;
  options.writer = next_writer_++;
  it.controller = PartitionController::Create(dependencies, options);
  it.controller->Open();
}

size_t LedgerSimulation::Submit(size_t host,
                                const std::string& key,
                                core::Duration deadline,
                                const std::string& body,
                                bool is_over_rate_limit) {
  const size_t index = submissions_.size();
  LedgerCall call;
  call.organisation = core::OrganisationId(kOrganisation);
  call.key = key;
  call.service = "service";
  call.path = "/path";
  call.body = body;
  call.is_over_rate_limit = is_over_rate_limit;
  call.content_digest = DigestOf(call.service, call.path, call.body);
  call.deadline_ms = core::ToMilliseconds(deadline);
  call.request_id = core::RequestId("request-" + std::to_string(index));
  submissions_.push_back({.key = key,
                          .request_id = call.request_id.value(),
                          .host = host,
                          .deadline = deadline,
                          .has_host_crashed = false,
                          .outcome = std::nullopt});
  const Host& it = hosts_[host];
  it.scheduler->CallAfter(
      core::Duration::zero(), [this, call, index, controller = it.controller] {
        controller->Submit(call, [this, index](const LedgerOutcome& outcome) {
          submissions_[index].outcome = outcome;
        });
      });
  return index;
}

void LedgerSimulation::Pause(size_t host) {
  hosts_[host].scheduler->Pause();
}

void LedgerSimulation::Resume(size_t host) {
  hosts_[host].scheduler->Resume();
}

void LedgerSimulation::Restart(size_t host) {
  hosts_[host].scheduler->Crash();
  retired_hosts_.push_back(std::move(hosts_[host]));
  retired_hosts_.back().controller.reset();
  for (Submission& submission : submissions_) {
    if (submission.host == host && !submission.outcome) {
      submission.has_host_crashed = true;
    }
  }
  StartHost(host);
}

void LedgerSimulation::Replace(size_t host) {
  hosts_[host].controller->Close([] {});
  retired_hosts_.push_back(std::move(hosts_[host]));
  StartHost(host);
}

core::ResultCode LedgerSimulation::CodeOf(size_t submission) const {
  const std::optional<LedgerOutcome>& outcome =
      submissions_[submission].outcome;
  return outcome ? outcome->result_code() : core::ResultCode::kCallerGone;
}

std::vector<std::string> LedgerSimulation::Executions(
    const std::string& key) const {
  const auto it = endpoint_.executions().find(key);
  return it == endpoint_.executions().end() ? std::vector<std::string>()
                                            : it->second;
}

}  // namespace wasabi::ledger
