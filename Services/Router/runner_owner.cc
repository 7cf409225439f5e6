#include "Services/Router/runner_owner.h"

#include <algorithm>
#include <utility>

#include "LibCore/result_code.h"
#include "LibCore/text.h"

namespace wasabi::router {

namespace {

using core::EventCode;
using core::MakeStatus;
using core::ResultCode;

// Number of endpoint crashes after which a request is refused.
constexpr uint32_t kCrashesUntilRefused = 2;
constexpr core::Duration kRefusalRetryAfter = std::chrono::seconds(1);

std::string_view PriorityName(routing::Priority priority) {
  switch (priority) {
    case routing::Priority::kUrgent:
      return "urgent";
    case routing::Priority::kBatch:
      return "batch";
    case routing::Priority::kNormal:
      break;
  }
  return "normal";
}

EndpointCondition ConditionOf(routing::EndpointState state) {
  switch (state) {
    case routing::EndpointState::kDown:
      return EndpointCondition::kDown;
    case routing::EndpointState::kLeaving:
      return EndpointCondition::kLeaving;
    case routing::EndpointState::kUp:
      break;
  }
  return EndpointCondition::kHealthy;
}

EventCode EventOf(routing::EndpointState state) {
  switch (state) {
    case routing::EndpointState::kDown:
      return EventCode::kRunnerDown;
    case routing::EndpointState::kLeaving:
      return EventCode::kRunnerLeaving;
    case routing::EndpointState::kUp:
      break;
  }
  return EventCode::kRunnerUp;
}

// Returns whether an attempt whose connection broke with `status` may have
// reached the engine. One that did not cannot have crashed it.
bool MayHaveRun(const absl::Status& status) {
  return core::CodeOf(status) != ResultCode::kPeerUnreachable;
}

// Passes an answer on to a sink.
class SinkListener : public AnswerListener {
 public:
  explicit SinkListener(std::shared_ptr<WorkSink> sink)
      : sink_(std::move(sink)) {}

  void OnAnswerChunk(uint32_t index, std::string_view payload) override {
    sink_->OnChunk(index, payload);
  }
  void OnAnswerDone(const absl::Status& status) override {
    sink_->OnDone(status);
  }

 private:
  std::shared_ptr<WorkSink> sink_;
};

}  // namespace

enum class WorkPhase { kWaiting, kRunning, kEnded };

// A request at its owner. The callbacks of its attempt keep it alive.
struct RunnerOwner::Work {
  SubmitWork message;
  std::string key;
  std::shared_ptr<WorkSink> sink;
  std::vector<std::shared_ptr<SinkListener>> listeners;
  std::shared_ptr<AnswerRecord> record;
  std::shared_ptr<EngineAttempt> attempt;
  core::TimePoint deadline;
  WorkPhase phase = WorkPhase::kWaiting;
  bool is_cancel_pending = false;

  // Sends `to` the stored chunks from `offset` on, then all later chunks.
  absl::Status Attach(uint32_t offset, const std::shared_ptr<WorkSink>& to) {
    auto listener = std::make_shared<SinkListener>(to);
    listeners.push_back(listener);
    return record->Listen(offset, listener);
  }
};

RunnerOwner::RunnerOwner(const OwnerContext* context,
                         const platform::ListedHost& runner,
                         const routing::AdmissionPolicy& policy)
    : context_(context),
      runner_(runner.id),
      pool_(runner.pool),
      address_(runner.address),
      admission_(core::RunnerId(runner.id), policy),
      last_use_(context->loop->Now()) {
  monitor_ = std::make_unique<RunnerMonitor>(
      context_->loop, context_->control_client, address_,
      context_->settings->load_poll_period,
      [this](const LoadReport& report) { OnReport(report); },
      [this](bool is_refused) { OnPollFailure(is_refused); });
  context_->events->Record(EventCode::kOwnershipTaken, "",
                           fmt::format("runner={}", runner_.value()));
}

RunnerOwner::~RunnerOwner() {
  *alive_ = false;
  for (const auto& [key, work] : work_by_key_) {
    if (work->attempt != nullptr) {
      work->attempt->Cancel();
    }
  }
}

void RunnerOwner::Submit(const SubmitWork& message,
                         const std::shared_ptr<WorkSink>& sink) {
  const core::TimePoint now = context_->loop->Now();
  last_use_ = now;
  if (message.crashes >= kCrashesUntilRefused ||
      context_->quarantine_verdict(message.content_digest) ==
          routing::QuarantineVerdict::kRefuse) {
    sink->OnDone(core::MakeRefusal(
        ResultCode::kQuarantined,
        "requests with this content have crashed endpoints",
        context_->quarantine_retry_after(message.content_digest)));
    return;
  }
  const std::string key = AnswerKey(message.organisation, message.request);
  const auto existing = work_by_key_.find(key);
  if (existing != work_by_key_.end() &&
      existing->second->phase == WorkPhase::kRunning &&
      existing->second->Attach(message.resume_from, sink).ok()) {
    return;
  }
  if (existing != work_by_key_.end()) {
    sink->OnTryNext();
    return;
  }
  auto work = std::make_shared<Work>();
  work->message = message;
  work->key = key;
  work->sink = sink;
  work->record = std::make_shared<AnswerRecord>(message.resume_from,
                                                message.content_digest);
  work->deadline = now + core::milliseconds(message.remaining_ms);
  if (!has_first_poll_result_) {
    // The runner's first report tells how much work of a former owner it is
    // still running. Without it the load bound could not be enforced.
    deferred_work_.push_back(work);
    return;
  }
  Admit(work);
}

void RunnerOwner::AdmitDeferredWork() {
  if (has_first_poll_result_) {
    return;
  }
  has_first_poll_result_ = true;
  for (const WorkPointer& work : std::exchange(deferred_work_, {})) {
    Admit(work);
  }
}

void RunnerOwner::Admit(const WorkPointer& work) {
  const routing::AdmissionDecision decision = admission_.Offer(
      ToItem(*work), context_->pool_demand(pool_), context_->loop->Now());
  switch (decision.verdict) {
    case routing::Verdict::kRun:
      work_by_key_[work->key] = work;
      StartAttempt(work);
      return;
    case routing::Verdict::kWait:
      work_by_key_[work->key] = work;
      context_->events->Record(EventCode::kRequestQueued,
                               work->message.request.value(),
                               fmt::format("runner={}", runner_.value()));
      return;
    case routing::Verdict::kTryNext:
      work->sink->OnTryNext();
      return;
    case routing::Verdict::kFollowPointer:
      work->sink->OnFollowPointer(decision.pointer);
      return;
    case routing::Verdict::kRefuse:
      work->sink->OnDone(core::MakeRefusal(
          ResultCode::kOverloaded, "the pool has reached its load bound",
          decision.retry_after));
      return;
  }
}

void RunnerOwner::StartAttempt(const WorkPointer& work) {
  work->phase = WorkPhase::kRunning;
  ++running_count_;
  const SubmitWork& message = work->message;
  EngineAttemptRequest request;
  request.engine = address_;
  request.request_id = message.request.value();
  request.attempt = message.attempt;
  request.chat = message.chat.value();
  request.priority = std::string(PriorityName(message.priority));
  request.trace_parent = message.trace_parent;
  request.body = message.body;
  request.resume_from = message.resume_from;
  request.is_bound = !context_->settings->IsDisabled("answer_binding");
  EngineAttemptCallbacks callbacks;
  callbacks.on_chunk = [this, alive = alive_, work](std::string_view payload) {
    if (*alive) {
      OnChunk(work, payload);
    }
  };
  callbacks.on_done = [this, alive = alive_, work](const absl::Status& status) {
    if (*alive) {
      OnAttemptDone(work, status);
    }
  };
  context_->events->Record(
      EventCode::kAttemptStarted, message.request.value(),
      fmt::format("runner={} attempt={} from={}", runner_.value(),
                  message.attempt, message.resume_from));
  context_->answers->PutIfAbsent(work->key, work->record,
                                 context_->loop->Now());
  work->sink->OnStarted();
  work->attempt =
      EngineAttempt::Start(context_->data_client, request, std::move(callbacks),
                           context_->loop->Now());
}

void RunnerOwner::OnChunk(const WorkPointer& work, std::string_view payload) {
  if (work->listeners.empty()) {
    // The first chunk proves that the engine accepted the request. From here on
    // the sink receives its outcome from the answer record.
    (void)work->Attach(work->record->next_index(), work->sink);
  }
  work->record->Append(payload);
}

void RunnerOwner::OnAttemptDone(const WorkPointer& work,
                                const absl::Status& status) {
  if (work->phase != WorkPhase::kRunning) {
    return;
  }
  const ResultCode code = core::CodeOf(status);
  const bool is_before_first_chunk = work->listeners.empty();
  if (status.ok()) {
    context_->report_completion(work->message.content_digest);
    FinishWork(work, status);
    return;
  }
  context_->events->Record(EventCode::kAttemptFailed,
                           work->message.request.value(),
                           fmt::format("runner={} code={}", runner_.value(),
                                       static_cast<int>(code)));
  if (code == ResultCode::kMismatchedAnswer) {
    context_->events->Record(EventCode::kAnswerMismatched,
                             work->message.request.value(),
                             fmt::format("runner={}", runner_.value()));
    FinishWork(work, status);
    return;
  }
  if (code == ResultCode::kAnswerTruncated ||
      code == ResultCode::kPeerUnreachable) {
    OnConnectionBroken(work, status);
    return;
  }
  const bool is_refused_by_engine =
      code == ResultCode::kOverloaded || code == ResultCode::kStopping;
  if (code == ResultCode::kStopping) {
    health_.SetLeaving(true, context_->loop->Now());
    ApplyHealth();
  }
  if (is_refused_by_engine && is_before_first_chunk &&
      !work->message.is_last_choice) {
    const std::shared_ptr<WorkSink> sink = work->sink;
    DropWork(work);
    sink->OnTryNext();
    return;
  }
  FinishWork(work, status);
}

void RunnerOwner::OnConnectionBroken(const WorkPointer& work,
                                     const absl::Status& status) {
  probed_attempts_.emplace_back(work, status);
  if (probed_attempts_.size() == 1) {
    monitor_->Probe([this](bool is_alive) { OnProbeDone(is_alive); });
  }
}

void RunnerOwner::OnProbeDone(bool is_alive) {
  const auto broken = std::exchange(probed_attempts_, {});
  if (!is_alive) {
    ReportCrash(broken);
    health_.ObserveCrash(context_->loop->Now());
    ApplyHealth();
  }
  for (const auto& [work, status] : broken) {
    if (!MayHaveRun(status) && (!is_alive || !work->message.is_last_choice)) {
      ReturnUnsent(work);
      continue;
    }
    FinishWork(work,
               !is_alive && MayHaveRun(status)
                   ? MakeStatus(ResultCode::kEndpointFailed,
                                "the endpoint crashed while it ran the request")
                   : MakeStatus(ResultCode::kAnswerTruncated,
                                core::MessageOf(status)));
  }
}

void RunnerOwner::ReportCrash(const std::vector<BrokenAttempt>& broken) {
  std::vector<uint64_t> digests;
  for (const auto& [work, status] : broken) {
    if (MayHaveRun(status)) {
      digests.push_back(work->message.content_digest);
    }
  }
  if (!digests.empty()) {
    context_->report_crash(runner_, digests);
  }
}

void RunnerOwner::ReturnUnsent(const WorkPointer& work) {
  if (work->phase == WorkPhase::kEnded) {
    return;
  }
  const std::shared_ptr<WorkSink> sink = work->sink;
  DropWork(work);
  sink->OnTryNext();
}

void RunnerOwner::FinishWork(const WorkPointer& work,
                             const absl::Status& status) {
  if (work->phase == WorkPhase::kEnded) {
    return;
  }
  const bool is_before_first_chunk = work->listeners.empty();
  const std::shared_ptr<WorkSink> sink = work->sink;
  if (status.ok()) {
    context_->events->Record(EventCode::kAttemptFinished,
                             work->message.request.value(),
                             fmt::format("runner={} chunks={}", runner_.value(),
                                         work->record->next_index()));
  }
  DropWork(work);
  work->record->Finish(status);
  if (is_before_first_chunk) {
    sink->OnDone(status);
  }
}

void RunnerOwner::DropWork(const WorkPointer& work) {
  const bool was_running = work->phase == WorkPhase::kRunning;
  work->phase = WorkPhase::kEnded;
  work_by_key_.erase(work->key);
  if (was_running) {
    --running_count_;
  }
  admission_.Finish(core::RequestId(work->key), context_->loop->Now());
  last_use_ = context_->loop->Now();
  // Posted, because callers may be iterating over the work.
  context_->loop->Post([this, alive = alive_] {
    if (*alive) {
      Advance();
    }
  });
}

void RunnerOwner::Advance() {
  const routing::AdmissionProgress progress =
      admission_.Advance(context_->pool_demand(pool_), context_->loop->Now());
  for (const core::RequestId& request : progress.to_run) {
    if (const WorkPointer work = FindWork(request)) {
      StartAttempt(work);
    }
  }
  for (const core::RequestId& request : progress.to_refuse) {
    if (const WorkPointer work = FindWork(request)) {
      FinishWork(work, core::MakeRefusal(
                           ResultCode::kOverloaded,
                           "the request cannot start before its deadline",
                           progress.retry_after));
    }
  }
  for (const core::RequestId& request : progress.to_displace) {
    if (const WorkPointer work = FindWork(request)) {
      const std::shared_ptr<WorkSink> sink = work->sink;
      DropWork(work);
      sink->OnTryNext();
    }
  }
}

void RunnerOwner::Tick() {
  const core::TimePoint now = context_->loop->Now();
  std::vector<WorkPointer> overdue;
  std::vector<WorkPointer> silent;
  for (const auto& [key, work] : work_by_key_) {
    if (work->deadline <= now) {
      overdue.push_back(work);
      continue;
    }
    if (work->phase != WorkPhase::kRunning || work->is_cancel_pending) {
      continue;
    }
    const core::Duration limit =
        work->attempt->has_chunks()
            ? context_->settings->silence_limit
            : context_->settings->first_chunk_silence_limit;
    if (now - work->attempt->last_progress() > limit) {
      silent.push_back(work);
    }
  }
  for (const WorkPointer& work : overdue) {
    const bool has_started = work->phase == WorkPhase::kRunning;
    if (has_started) {
      work->attempt->Cancel();
    }
    FinishWork(
        work,
        has_started
            ? MakeStatus(ResultCode::kDeadlineExceeded,
                         "the deadline expired before the answer was complete")
            : core::MakeRefusal(
                  ResultCode::kDeadlineTooShort,
                  "the deadline expired before the start of the request",
                  kRefusalRetryAfter));
  }
  for (const WorkPointer& work : silent) {
    CancelSilentAttempt(work);
  }
  Advance();
}

void RunnerOwner::CancelSilentAttempt(const WorkPointer& work) {
  if (context_->settings->IsDisabled("silence_detection")) {
    return;
  }
  work->is_cancel_pending = true;
  // The DELETE request uses a new connection. It tests whether the endpoint
  // responds and ends the silent run there, so that the request does not run
  // twice after it is resumed.
  http::ClientRequest cancel;
  cancel.method = "DELETE";
  cancel.address = address_;
  cancel.target = fmt::format("/v1/requests/{}", work->message.request.value());
  cancel.needs_fresh_connection = true;
  cancel.total_timeout = std::chrono::milliseconds(500);
  context_->control_client->Fetch(
      cancel, [this, alive = alive_,
               work](const absl::StatusOr<http::ClientResponse>& response) {
        if (!*alive || work->phase != WorkPhase::kRunning) {
          return;
        }
        work->is_cancel_pending = false;
        if (!response.ok()) {
          // The endpoint does not respond either. The periodic polls determine
          // its state.
          return;
        }
        context_->events->Record(EventCode::kConnectionSilent,
                                 work->message.request.value(),
                                 fmt::format("runner={}", runner_.value()));
        work->attempt->Cancel();
        FinishWork(work, MakeStatus(ResultCode::kAnswerTruncated,
                                    "the connection to the engine is silent "
                                    "and received no data within the limit"));
      });
}

void RunnerOwner::OnReport(const LoadReport& report) {
  const core::TimePoint now = context_->loop->Now();
  const uint32_t requests = report.running + report.waiting;
  admission_.ObserveReport(requests, report.outstanding_tokens, now,
                           report.age);
  context_->report_load(runner_, requests);
  health_.ObserveSuccess(now);
  health_.SetLeaving(
      report.is_leaving && !context_->settings->IsDisabled("leaving_report"),
      now);
  ApplyHealth();
  AdmitDeferredWork();
}

void RunnerOwner::OnPollFailure(bool is_refused) {
  const core::TimePoint now = context_->loop->Now();
  if (is_refused) {
    health_.ObserveCrash(now);
  } else {
    health_.ObserveFailure(now);
  }
  ApplyHealth();
  AdmitDeferredWork();
  if (health_.state() == routing::EndpointState::kDown) {
    FailRunning(MakeStatus(ResultCode::kAnswerTruncated,
                           "the endpoint stopped responding to load polls"));
  }
}

void RunnerOwner::FailRunning(const absl::Status& status) {
  std::vector<WorkPointer> running;
  for (const auto& [key, work] : work_by_key_) {
    const bool is_probed = std::any_of(
        probed_attempts_.begin(), probed_attempts_.end(),
        [&work = work](const auto& it) { return it.first == work; });
    if (!is_probed) {
      running.push_back(work);
    }
  }
  for (const WorkPointer& work : running) {
    if (work->attempt != nullptr) {
      work->attempt->Cancel();
      FinishWork(work, status);
      continue;
    }
    const std::shared_ptr<WorkSink> sink = work->sink;
    DropWork(work);
    sink->OnTryNext();
  }
}

void RunnerOwner::ApplyHealth() {
  const routing::EndpointState state = health_.state();
  const bool is_up = state == routing::EndpointState::kUp;
  const double share = health_.Share(context_->loop->Now());
  admission_.SetAcceptsWork(is_up && is_listed_as_accepting_);
  if (share > 0) {
    admission_.SetLoadShare(share);
  }
  if (!is_up || state != recorded_state_) {
    // Reported repeatedly, because the condition expires in the fleet.
    context_->report_condition(runner_, ConditionOf(state));
  }
  if (state == recorded_state_) {
    return;
  }
  recorded_state_ = state;
  context_->events->Record(EventOf(state), "",
                           fmt::format("runner={}", runner_.value()));
}

void RunnerOwner::RecordPointer(const core::ChatKey& chat,
                                const core::RunnerId& target) {
  admission_.RecordPointer(chat, target, context_->loop->Now());
}

void RunnerOwner::ErasePointersTo(const core::RunnerId& target) {
  admission_.ErasePointersTo(target);
}

void RunnerOwner::Release() {
  if (is_released_) {
    return;
  }
  is_released_ = true;
  context_->events->Record(EventCode::kOwnershipReleased, "",
                           fmt::format("runner={}", runner_.value()));
  std::vector<WorkPointer> waiting = std::exchange(deferred_work_, {});
  for (const auto& [key, work] : work_by_key_) {
    if (work->phase != WorkPhase::kRunning) {
      waiting.push_back(work);
    }
  }
  for (const WorkPointer& work : waiting) {
    FinishWork(work,
               MakeStatus(ResultCode::kWrongOwner,
                          "ownership of the runner moved to another host"));
  }
}

void RunnerOwner::Resume() {
  if (is_released_) {
    is_released_ = false;
    admission_.StartCountingInheritedLoad();
  }
}

void RunnerOwner::OnOwnershipTransfer() {
  admission_.StopCountingInheritedLoad();
  context_->events->Record(EventCode::kOwnershipTransferReceived, "",
                           fmt::format("runner={}", runner_.value()));
}

void RunnerOwner::SetPolicy(const routing::AdmissionPolicy& policy) {
  admission_.SetPolicy(policy);
}

void RunnerOwner::SetListedAsAccepting(bool is_accepting) {
  if (is_accepting == is_listed_as_accepting_) {
    return;
  }
  is_listed_as_accepting_ = is_accepting;
  ApplyHealth();
}

routing::PoolDemand RunnerOwner::Demand() const {
  return admission_.Demand(context_->loop->Now());
}

RunnerOwner::WorkPointer RunnerOwner::FindWork(
    const core::RequestId& request) const {
  const auto it = work_by_key_.find(request.value());
  return it == work_by_key_.end() ? nullptr : it->second;
}

routing::WorkItem RunnerOwner::ToItem(const Work& work) const {
  routing::WorkItem item;
  item.request = core::RequestId(work.key);
  item.organisation = work.message.organisation;
  item.organisation_weight = work.message.organisation_weight;
  item.chat = work.message.chat;
  item.priority = work.message.priority;
  item.size = work.message.size;
  item.content_digest = work.message.content_digest;
  item.deadline = work.deadline;
  item.choice = work.message.choice;
  item.is_last_choice = work.message.is_last_choice;
  item.pointer_use = work.message.pointer_use;
  item.runs_alone = work.message.crashes > 0 ||
                    context_->quarantine_verdict(work.message.content_digest) ==
                        routing::QuarantineVerdict::kRunAlone;
  return item;
}

}  // namespace wasabi::router
