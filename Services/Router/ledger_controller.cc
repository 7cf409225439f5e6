#include "Services/Router/ledger_controller.h"

#include <algorithm>
#include <chrono>
#include <set>
#include <utility>

#include "LibCore/message.h"
#include "LibCore/result_code.h"
#include "LibCore/text.h"
#include "LibLedger/ledger_key.h"

namespace wasabi::router {

namespace {

using core::ResultCode;
using ledger::LedgerCall;
using ledger::LedgerOutcome;
using membership::MemberRole;

constexpr core::Duration kRetryBackoff = std::chrono::milliseconds(50);
constexpr core::Duration kMaxRetryBackoff = std::chrono::milliseconds(200);
constexpr core::Duration kRetryAfter = std::chrono::seconds(1);
constexpr int kMaxTries = 40;

std::string OwnershipName(int partition) {
  return fmt::format("ledger/{}", partition);
}

int64_t WallMilliseconds() {
  const auto since_epoch = std::chrono::system_clock::now().time_since_epoch();
  return std::chrono::duration_cast<std::chrono::milliseconds>(since_epoch)
      .count();
}

ledger::DispatchResult ToResult(absl::StatusOr<http::ClientResponse> response) {
  using Kind = ledger::DispatchResult::Kind;
  if (response.ok()) {
    return {Kind::kAnswered, response->status, std::move(response->body)};
  }
  const ResultCode code = core::CodeOf(response.status());
  const bool is_not_run = code == ResultCode::kPeerUnreachable ||
                          code == ResultCode::kNoEndpoint ||
                          code == ResultCode::kDeadlineTooShort;
  return {is_not_run ? Kind::kNotRun : Kind::kUnknown, 0, ""};
}

}  // namespace

// Submits one call to the owner of its partition and retries until it has an
// outcome. Its pending callbacks keep it alive.
class LedgerController::Submission
    : public std::enable_shared_from_this<Submission> {
 public:
  Submission(LedgerController* controller,
             const LedgerCall& call,
             Callback callback)
      : controller_(controller),
        call_(call),
        callback_(std::move(callback)),
        deadline_(controller->context_.loop->Now() +
                  core::milliseconds(call.deadline_ms)) {}

  void Try() {
    const LedgerContext& context = controller_->context_;
    const core::Duration remaining = deadline_ - context.loop->Now();
    const membership::MemberTableSnapshot members = context.members();
    const membership::Member* owner = PickOwner(*members);
    if (owner == nullptr || ++tries_ > kMaxTries ||
        remaining <= core::Duration::zero()) {
      FinishWithUnknownOutcome();
      return;
    }
    call_.deadline_ms = core::ToMilliseconds(remaining);
    current_owner_ = owner->id;
    if (owner->id == context.self) {
      controller_->SubmitHere(
          call_, [self = shared_from_this()](const LedgerOutcome& outcome) {
            self->OnOutcome(outcome);
          });
      return;
    }
    link::CallHandlers handlers;
    handlers.on_message = [self = shared_from_this()](std::string_view bytes) {
      const auto outcome = core::Decode<LedgerOutcome>(bytes);
      if (outcome.ok()) {
        self->OnOutcome(*outcome);
      }
    };
    handlers.on_done = [self = shared_from_this()](const absl::Status&) {
      self->OnCallDone();
    };
    context.link->Call(owner->link_address, link::CallKind::kLedgerCall,
                       core::Encode(call_), std::move(handlers));
  }

 private:
  const membership::Member* PickOwner(const membership::MemberTable& members) {
    const int partition = ledger::PartitionOf(call_.organisation, call_.key);
    const auto owners =
        members.RankedOwners(OwnershipName(partition), MemberRole::kRouter);
    for (const membership::Member* owner : owners) {
      if (!failed_owners_.contains(owner->id)) {
        return owner;
      }
    }
    // Every owner was tried. Start again, since the hosts may agree on the
    // owner by now.
    failed_owners_.clear();
    return owners.empty() ? nullptr : owners.front();
  }

  void OnOutcome(const LedgerOutcome& outcome) {
    if (is_ended_) {
      return;
    }
    if (outcome.result_code() == ResultCode::kWrongOwner) {
      ScheduleRetry();
      return;
    }
    is_ended_ = true;
    callback_(outcome);
  }

  void OnCallDone() {
    if (is_ended_ || is_waiting_) {
      return;
    }
    ScheduleRetry();
  }

  void ScheduleRetry() {
    failed_owners_.insert(current_owner_);
    is_waiting_ = true;
    timer_ = controller_->context_.loop->NewTimer([self = shared_from_this()] {
      self->is_waiting_ = false;
      const auto keep_timer = std::move(self->timer_);
      self->Try();
    });
    timer_->StartOnce(std::min(kRetryBackoff * tries_, kMaxRetryBackoff));
  }

  void FinishWithUnknownOutcome() {
    is_ended_ = true;
    // An earlier call with the same key may be running at an owner that is
    // unreachable from this host. Only an owner can therefore report that a
    // call did not run.
    callback_(ledger::MakeOutcome(ResultCode::kOutcomeUnknown, kRetryAfter));
  }

  LedgerController* controller_;
  LedgerCall call_;
  Callback callback_;
  core::TimePoint deadline_;
  core::HostId current_owner_;
  std::set<core::HostId> failed_owners_;
  std::unique_ptr<core::Timer> timer_;
  int tries_ = 0;
  bool is_waiting_ = false;
  bool is_ended_ = false;
};

LedgerController::LedgerController(LedgerContext context, uint64_t seed)
    : context_(std::move(context)), random_(seed), scheduler_(context_.loop) {}

void LedgerController::Update() {
  const membership::MemberTableSnapshot members = context_.members();
  for (int partition = 0; partition < ledger::kLedgerPartitions; ++partition) {
    const membership::Member* owner =
        members->OwnerOf(OwnershipName(partition), MemberRole::kRouter);
    const bool is_owner = owner != nullptr && owner->id == context_.self;
    if (is_owner && !partitions_.contains(partition)) {
      Open(partition);
    }
    if (!is_owner && partitions_.contains(partition)) {
      Close(partition);
    }
  }
}

void LedgerController::Open(int partition) {
  ledger::PartitionDependencies dependencies;
  dependencies.log = context_.log;
  dependencies.scheduler = &scheduler_;
  dependencies.dispatcher = this;
  dependencies.wall_clock = &WallMilliseconds;
  dependencies.on_event = [this](core::EventCode code,
                                 std::string_view request_id,
                                 std::string_view detail) {
    context_.events->Record(code, request_id, detail);
  };
  ledger::PartitionOptions options;
  options.partition = partition;
  options.writer = random_.Next();
  options.requires_read_back = context_.requires_read_back;
  const auto controller =
      ledger::PartitionController::Create(dependencies, options);
  partitions_[partition] = controller;
  controller->Open();
}

void LedgerController::Close(int partition) {
  const auto controller = partitions_.at(partition);
  partitions_.erase(partition);
  const uint64_t id = next_closing_++;
  closing_[id] = controller;
  controller->Close([this, id] {
    // Posted, because this callback runs inside a member function of the
    // controller.
    context_.loop->Post([this, id] { closing_.erase(id); });
  });
}

void LedgerController::Submit(const LedgerCall& call, Callback callback) {
  std::make_shared<Submission>(this, call, std::move(callback))->Try();
}

void LedgerController::SubmitHere(const LedgerCall& call, Callback callback) {
  const int partition = ledger::PartitionOf(call.organisation, call.key);
  const auto it = partitions_.find(partition);
  if (it == partitions_.end()) {
    context_.loop->Post([callback = std::move(callback)] {
      callback(ledger::MakeOutcome(ResultCode::kWrongOwner, kRetryAfter));
    });
    return;
  }
  it->second->Submit(call, std::move(callback));
}

void LedgerController::Serve(const std::shared_ptr<link::InboundCall>& call) {
  const auto message = core::Decode<LedgerCall>(call->request());
  if (!message.ok()) {
    call->Finish(message.status());
    return;
  }
  SubmitHere(*message, [call](const LedgerOutcome& outcome) {
    call->Send(core::Encode(outcome));
    call->Finish(absl::OkStatus());
  });
}

bool LedgerController::is_idle() const {
  return closing_.empty() &&
         std::all_of(partitions_.begin(), partitions_.end(),
                     [](const auto& it) {
                       return it.second->calls_in_progress() == 0;
                     });
}

void LedgerController::Dispatch(const LedgerCall& call,
                                uint64_t attempt,
                                core::Duration timeout,
                                ledger::Dispatcher::Callback callback) {
  const intent::ConfigurationView configuration = context_.configuration();
  const intent::Deployment* deployment =
      configuration->DeploymentOf(call.organisation);
  const bool is_known =
      deployment != nullptr && deployment->services.contains(call.service);
  if (!is_known) {
    context_.loop->Post([callback = std::move(callback)] {
      callback({ledger::DispatchResult::Kind::kNotRun, 0, ""});
    });
    return;
  }
  ServiceCall message;
  message.pool = deployment->services.at(call.service).pool;
  message.path = call.path;
  message.request_id = call.request_id.value();
  message.idempotency_key = call.key;
  message.trace_parent = call.trace_parent;
  message.body = call.body;
  message.attempt = static_cast<uint32_t>(attempt);
  message.deadline = context_.loop->Now() + timeout;
  context_.caller->Call(message,
                        [callback = std::move(callback)](
                            absl::StatusOr<http::ClientResponse> response) {
                          callback(ToResult(std::move(response)));
                        });
}

}  // namespace wasabi::router
