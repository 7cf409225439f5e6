#include "LibForwarding/send_clearance.h"

#include <utility>

#include "LibCore/text.h"

namespace wasabi::forwarding {

namespace {

// Maximum share of the latency objective for which a request waits for a slot
// at an endpoint. The rest is for its service.
constexpr double kMaxSlotWaitShare = 0.5;
// Permits that are asked of other hosts, and denied, before only endpoints that
// need no permit are chosen: without this bound, a request that meets a pool
// whose endpoints are all at their limits asks for each of them in turn. A
// question takes 1 to 4 ms, and up to 100 ms if the other host is silent.
constexpr uint32_t kMaxDeniedQuestions = 4;
// The same for permits that this host denies itself, which takes no time but a
// choice among all endpoints of the pool.
constexpr uint32_t kMaxDenials = 32;

}  // namespace

SendClearance::SendClearance(ForwardContext* context,
                             const ForwardRequest& request,
                             EndpointChooser* chooser,
                             core::TimePoint answer_deadline,
                             Callbacks callbacks)
    : context_(context),
      request_(request),
      chooser_(chooser),
      answer_deadline_(answer_deadline),
      callbacks_(std::move(callbacks)) {}

bool SendClearance::Ask() {
  return AskForPoolSlot() || AskByOwnChoice();
}

void SendClearance::Return(const Endpoint& endpoint) {
  context_->places->OnFinished(endpoint.id, Now());
  context_->pool_slots->OnFinished(endpoint.pool, Now());
}

bool SendClearance::AskForPoolSlot() {
  const core::Duration objective =
      request_.route->latency_objective > core::Duration::zero()
          ? request_.route->latency_objective
          : answer_deadline_ - Now();
  const auto slot = chooser_->SlotRequest(
      tried_, core::FromSeconds(core::ToSeconds(objective) * kMaxSlotWaitShare),
      Now());
  if (!slot) {
    return false;
  }
  callbacks_.on_asking();
  context_->pool_slots->Acquire(
      *slot, Now(), [weak = weak_from_this()](const PoolSlotResult& result) {
        const auto self = weak.lock();
        if (self != nullptr && !self->is_cancelled_) {
          self->OnPoolSlot(result);
        }
      });
  return true;
}

void SendClearance::OnPoolSlot(const PoolSlotResult& result) {
  if (result.outcome == PoolSlotOutcome::kFull) {
    ++context_->metrics->Counter("forward_pool_slots_denied");
    context_->events->Record(
        core::EventCode::kPoolSlotDenied, request_.id.value(),
        fmt::format("pool={} wait_ms={} sends={}", chooser_->pool().value(),
                    core::ToMilliseconds(result.wait), sends_));
    callbacks_.on_decided(
        {.outcome = ClearanceOutcome::kPoolFull, .wait = result.wait});
    return;
  }
  if (result.outcome == PoolSlotOutcome::kGranted) {
    // It may have left, or its data centre been evacuated, since the question.
    const Endpoint* endpoint =
        context_->endpoints->FindAvailable(result.endpoint);
    if (endpoint != nullptr) {
      ++context_->metrics->Counter("forward_pool_slots_granted");
      Grant(*endpoint);
      return;
    }
    context_->pool_slots->OnFinished(chooser_->pool(), Now());
  }
  ++context_->metrics->Counter("forward_pool_slots_unknown");
  if (!AskByOwnChoice()) {
    callbacks_.on_decided({.outcome = ClearanceOutcome::kNoEndpoint});
  }
}

bool SendClearance::AskByOwnChoice() {
  const Endpoint* endpoint = chooser_->Choose(tried_, Now());
  if (endpoint == nullptr) {
    return false;
  }
  callbacks_.on_asking();
  if (context_->places->IsBrittle(endpoint->id)) {
    AskForPlace(*endpoint);
  } else if (context_->permits->IsLimited(endpoint->id)) {
    AskForPermit(*endpoint);
  } else {
    Grant(*endpoint);
  }
  return true;
}

void SendClearance::AskForPlace(const Endpoint& endpoint) {
  context_->places->Acquire(
      endpoint.id, Now(), [weak = weak_from_this(), endpoint](bool is_granted) {
        const auto self = weak.lock();
        if (self != nullptr && !self->is_cancelled_ && is_granted) {
          self->AskForPermit(endpoint);
        } else if (self != nullptr && !self->is_cancelled_) {
          self->Deny();
        }
      });
}

void SendClearance::AskForPermit(const Endpoint& endpoint) {
  is_asking_ = false;
  const bool is_asking = context_->permits->Acquire(
      endpoint.id, Now(), [weak = weak_from_this(), endpoint](bool is_granted) {
        const auto self = weak.lock();
        if (self != nullptr && !self->is_cancelled_) {
          self->OnPermit(endpoint, is_granted);
        }
      });
  // A permit that is denied at once may have led to a question about another
  // endpoint by now.
  is_asking_ = is_asking_ || is_asking;
}

void SendClearance::OnPermit(const Endpoint& endpoint, bool is_granted) {
  if (is_granted && WithholdIfEvacuated(endpoint)) {
    return;
  }
  if (is_granted) {
    Grant(endpoint);
    return;
  }
  // A place that was granted stays free.
  context_->places->OnFinished(endpoint.id, Now());
  CountDenial(endpoint.id);
  Deny();
}

void SendClearance::CountDenial(const core::RunnerId& endpoint) {
  ++denials_;
  denied_questions_ += is_asking_ ? 1 : 0;
  is_asking_ = false;
  chooser_->IgnoreReports(context_->permits->IsCold(endpoint));
  if (denied_questions_ != kMaxDeniedQuestions && denials_ != kMaxDenials) {
    return;
  }
  chooser_->AllowLimited(false);
  ++context_->metrics->Counter("forward_permits_exhausted");
  context_->events->Record(
      core::EventCode::kPermitsExhausted, request_.id.value(),
      fmt::format("endpoint={} denials={} denied_questions={} ms={}",
                  endpoint.value(), denials_, denied_questions_,
                  core::ToMilliseconds(Now() - request_.received_at)));
}

bool SendClearance::WithholdIfEvacuated(const Endpoint& endpoint) {
  if (!context_->endpoints->IsEvacuated(endpoint.data_centre)) {
    return false;
  }
  context_->events->Record(
      core::EventCode::kSendWithheld, request_.id.value(),
      fmt::format("endpoint={} data_centre={} sends={}", endpoint.id.value(),
                  endpoint.data_centre.value(), sends_));
  context_->places->OnFinished(endpoint.id, Now());
  callbacks_.on_decided({.outcome = ClearanceOutcome::kEvacuated});
  return true;
}

void SendClearance::Grant(const Endpoint& endpoint) {
  tried_.insert(endpoint.id);
  ++sends_;
  denials_ = 0;
  denied_questions_ = 0;
  chooser_->AllowLimited(true);
  chooser_->IgnoreReports(false);
  callbacks_.on_decided(
      {.outcome = ClearanceOutcome::kGranted, .endpoint = &endpoint});
}

void SendClearance::Deny() {
  ++context_->metrics->Counter("forward_permits_denied");
  callbacks_.on_decided({.outcome = ClearanceOutcome::kDenied});
}

}  // namespace wasabi::forwarding
