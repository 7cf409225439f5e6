#include "Utilities/Load/load_run.h"

#include <unistd.h>

#include <algorithm>
#include <set>
#include <tuple>
#include <utility>

#include "LibCore/text.h"
#include "Utilities/Load/chat_call.h"
#include "Utilities/Load/service_call.h"

namespace wasabi::load {

namespace {

constexpr std::string_view kControlBytesCounter = "wasabi_control_bytes_total";

// Returns a name that differs between runs, so that runs don't share request
// ids and idempotency keys.
std::string MakeRunName(const Experiment& experiment) {
  return fmt::format("{}-{}-{}", experiment.seed, getpid(),
                     support::MonotonicNanoseconds() / 1'000'000);
}

}  // namespace

LoadRun::LoadRun(core::EventLoop* loop, const RunOptions& options)
    : loop_(loop),
      options_(options),
      run_name_(MakeRunName(options.experiment)),
      client_(loop),
      directory_(loop,
                 &client_,
                 options.is_direct ? options.engines : options.entries,
                 options.is_direct,
                 options.experiment.seed),
      workload_(options.experiment, run_name_) {
  context_ = {loop, &client_, &directory_, options.experiment.caller,
              &records_.token_gaps_ms};
  turn_timer_ = loop_->NewTimer([this] { OnTurnArrival(); });
  service_timer_ = loop_->NewTimer([this] { OnServiceArrival(); });
  warm_up_timer_ = loop_->NewTimer([this] { OnWarmUpEnd(); });
  end_timer_ = loop_->NewTimer([this] { OnLastArrival(); });
}

void LoadRun::Start(std::function<void(const RunRecords& records)> callback) {
  callback_ = std::move(callback);
  start_ = loop_->Now();
  const Experiment& experiment = options_.experiment;
  if (experiment.chats.turns_per_second > 0) {
    next_turn_ = start_ + workload_.TimeToNextTurn(core::Duration::zero());
    turn_timer_->StartOnce(next_turn_ - start_);
  }
  const bool has_services = !experiment.service.name.empty() &&
                            experiment.service.calls_per_second > 0;
  if (has_services && !options_.is_direct) {
    next_service_ = start_ + workload_.TimeToNextServiceCall();
    service_timer_->StartOnce(next_service_ - start_);
  }
  warm_up_timer_->StartOnce(experiment.warm_up);
  end_timer_->StartOnce(experiment.duration);
}

void LoadRun::OnTurnArrival() {
  // Arrival times don't depend on when the timer fires: after a late timer, all
  // arrivals that are due start at once.
  while (next_turn_ <= loop_->Now() && !has_ended_) {
    // Unlike the clock, the planned time is the same in all runs with one seed.
    const core::Duration planned = next_turn_ - start_;
    StartTurn(planned);
    next_turn_ += workload_.TimeToNextTurn(planned);
  }
  if (!has_ended_) {
    turn_timer_->StartOnce(next_turn_ - loop_->Now());
  }
}

void LoadRun::OnServiceArrival() {
  while (next_service_ <= loop_->Now() && !has_ended_) {
    StartServiceCall();
    next_service_ += workload_.TimeToNextServiceCall();
  }
  if (!has_ended_) {
    service_timer_->StartOnce(next_service_ - loop_->Now());
  }
}

void LoadRun::StartTurn(core::Duration planned) {
  const ChatTurn turn = workload_.NextTurn(planned);
  const std::string request_id =
      fmt::format("{}-request-{}", run_name_, next_request_++);
  ++open_calls_;
  ++open_streams_;
  records_.peak_streams = std::max(records_.peak_streams, open_streams_);
  ChatCall::Start(&context_, turn, request_id, planned,
                  [this, turn](const ChatOutcome& outcome) {
                    if (outcome.ending == Ending::kAnswered) {
                      workload_.FinishTurn(turn, outcome.text, Elapsed());
                    } else {
                      workload_.AbandonTurn(turn);
                    }
                    records_.chats.push_back(outcome);
                    --open_streams_;
                    --open_calls_;
                    FinishWhenIdle();
                  });
}

void LoadRun::StartServiceCall() {
  const ServiceCallPlan plan = workload_.NextServiceCall();
  const size_t first_address = next_request_++;
  SendServiceCall(plan, first_address);
  if (plan.is_sent_twice) {
    SendServiceCall(plan, first_address + 1);
  }
}

void LoadRun::SendServiceCall(const ServiceCallPlan& plan,
                              size_t first_address) {
  ++open_calls_;
  ServiceCall::Start(&context_, options_.experiment.service, plan,
                     first_address, [this](const ServiceOutcome& outcome) {
                       records_.services.push_back(outcome);
                       --open_calls_;
                       FinishWhenIdle();
                     });
}

void LoadRun::OnWarmUpEnd() {
  records_.begin_ns = support::MonotonicNanoseconds();
  ReadCounters(&counters_before_, [] {});
}

void LoadRun::OnLastArrival() {
  has_ended_ = true;
  records_.end_ns = support::MonotonicNanoseconds();
  ++open_calls_;
  ReadCounters(&counters_after_, [this] {
    --open_calls_;
    FinishWhenIdle();
  });
}

void LoadRun::FinishWhenIdle() {
  if (has_ended_ && open_calls_ == 0) {
    CollectRecords();
  }
}

void LoadRun::ReadCounters(std::vector<double>* counters,
                           const std::function<void()>& next) {
  FetchCounters(&client_, options_.routers, std::string(kControlBytesCounter),
                [counters, next](std::vector<double> values) {
                  *counters = std::move(values);
                  next();
                });
}

void LoadRun::CollectRecords() {
  const double seconds =
      static_cast<double>(records_.end_ns - records_.begin_ns) / 1e9;
  const size_t n = std::min(counters_before_.size(), counters_after_.size());
  for (size_t i = 0; i < n; ++i) {
    if (counters_before_[i] >= 0 && counters_after_[i] >= 0) {
      records_.control_bytes_per_second.push_back(
          (counters_after_[i] - counters_before_[i]) / seconds);
    }
  }
  records_.host_questions = directory_.query_count();
  std::vector<core::SocketAddress> addresses = options_.engines;
  addresses.insert(addresses.end(), options_.services.begin(),
                   options_.services.end());
  FetchEndpointRecords(&client_, addresses,
                       [this](std::vector<EndpointRecords> endpoints) {
                         records_.endpoints = std::move(endpoints);
                         AddExecutions();
                         callback_(records_);
                       });
}

void LoadRun::AddExecutions() {
  using Identity = std::tuple<std::string, std::string, int64_t>;
  std::set<Identity> known;
  const auto add = [&](const std::vector<support::Execution>& executions) {
    for (const support::Execution& it : executions) {
      if (known.emplace(it.request_id, it.attempt, it.start_ns).second) {
        records_.executions.push_back(it);
      }
    }
  };
  for (const EndpointRecords& it : records_.endpoints) {
    add(it.executions);
  }
  for (const std::string& path : options_.execution_files) {
    const auto executions = support::ReadExecutionFile(path);
    if (executions.ok()) {
      add(*executions);
    }
  }
}

}  // namespace wasabi::load
