#include "LibForwarding/send_clearance.h"

#include <utility>

#include "LibCore/text.h"

namespace wasabi::forwarding {

namespace {

// Maximum share of the latency objective for which a request waits for a slot
// at an endpoint. The rest is for its service.
constexpr double kMaxSlotWaitShare = 0.5;
// Places and permits that are asked of other hosts, and denied, before only
// endpoints that need none are chosen: without this bound, a request that meets
// a pool whose endpoints are all at their limits asks for each of them in turn.
// A question takes 1 to 4 ms, and up to 100 ms if the other host is silent.
constexpr uint32_t kMaxDeniedQuestions = 4;
// The same for those that this host denies itself, which takes no time but a
// choice among all endpoints of the pool.
constexpr uint32_t kMaxDenials = 32;
// Denials at one endpoint before it is no longer chosen. A question may have
// been lost.
constexpr uint32_t kMaxDenialsAtEndpoint = 2;

}  // namespace

SendClearance::SendClearance(ForwardContext* context,
                             const ForwardRequest& request,
                             EndpointChooser* chooser,
                             core::TimePoint answer_deadline,
                             Callback on_decided)
    : context_(context),
      request_(request),
      chooser_(chooser),
      answer_deadline_(answer_deadline),
      on_decided_(std::move(on_decided)) {}

Clearance SendClearance::Ask() {
  const std::optional<Clearance> by_slot = AskForPoolSlot();
  return by_slot ? *by_slot : AskByOwnChoice();
}

void SendClearance::Return(const Endpoint& endpoint) {
  context_->places->OnFinished(endpoint.id, Now());
  context_->pool_slots->OnFinished(endpoint.pool, Now());
}

std::optional<Clearance> SendClearance::AskForPoolSlot() {
  const core::Duration objective =
      request_.route->latency_objective > core::Duration::zero()
          ? request_.route->latency_objective
          : answer_deadline_ - Now();
  const auto slot = chooser_->SlotRequest(
      excluded_,
      core::FromSeconds(core::ToSeconds(objective) * kMaxSlotWaitShare), Now());
  if (!slot) {
    return std::nullopt;
  }
  const GrantReply<PoolSlotResult> reply = context_->pool_slots->Acquire(
      *slot, Now(), [weak = weak_from_this()](const PoolSlotResult& result) {
        const auto self = weak.lock();
        if (self != nullptr && !self->is_cancelled_) {
          self->Decide(self->OnPoolSlot(result));
        }
      });
  return reply ? OnPoolSlot(*reply)
               : Clearance{.outcome = ClearanceOutcome::kPending};
}

Clearance SendClearance::OnPoolSlot(const PoolSlotResult& result) {
  if (result.outcome == PoolSlotOutcome::kFull) {
    ++context_->metrics->Counter("forward_pool_slots_denied");
    context_->events->Record(
        core::EventCode::kPoolSlotDenied, request_.id.value(),
        fmt::format("pool={} wait_ms={} sends={}", chooser_->pool().value(),
                    core::ToMilliseconds(result.wait), sends_));
    return {.outcome = ClearanceOutcome::kPoolFull, .wait = result.wait};
  }
  if (result.outcome == PoolSlotOutcome::kGranted) {
    // It may have left, or its data centre been evacuated, since the question.
    const Endpoint* endpoint =
        context_->endpoints->FindAvailable(result.endpoint);
    if (endpoint != nullptr) {
      ++context_->metrics->Counter("forward_pool_slots_granted");
      return Grant(*endpoint);
    }
    context_->pool_slots->OnFinished(chooser_->pool(), Now());
  }
  ++context_->metrics->Counter("forward_pool_slots_unknown");
  return AskByOwnChoice();
}

Clearance SendClearance::AskByOwnChoice() {
  bool was_denied = false;
  while (const Endpoint* endpoint = chooser_->Choose(excluded_, Now())) {
    GrantReply<bool> reply = AskForPlace(*endpoint);
    if (reply == true) {
      reply = AskForPermit(*endpoint);
    }
    if (!reply) {
      return {.outcome = ClearanceOutcome::kPending};
    }
    if (*reply) {
      return Grant(*endpoint);
    }
    was_denied = true;
  }
  return {.outcome = was_denied ? ClearanceOutcome::kDenied
                                : ClearanceOutcome::kNoEndpoint};
}

GrantReply<bool> SendClearance::AskForPlace(const Endpoint& endpoint) {
  const GrantReply<bool> reply = context_->places->Acquire(
      endpoint, Now(), [weak = weak_from_this(), endpoint](bool is_granted) {
        const auto self = weak.lock();
        if (self != nullptr && !self->is_cancelled_) {
          self->OnPlace(endpoint, is_granted);
        }
      });
  if (reply == false) {
    CountDenial(endpoint.id, false);
  }
  return reply;
}

GrantReply<bool> SendClearance::AskForPermit(const Endpoint& endpoint) {
  const GrantReply<bool> reply = context_->permits->Acquire(
      endpoint.id, Now(), [weak = weak_from_this(), endpoint](bool is_granted) {
        const auto self = weak.lock();
        if (self != nullptr && !self->is_cancelled_) {
          self->OnPermit(endpoint, is_granted);
        }
      });
  if (reply == false) {
    // A place that was granted stays free.
    context_->places->OnFinished(endpoint.id, Now());
    CountDenial(endpoint.id, false);
  }
  return reply;
}

void SendClearance::OnPlace(const Endpoint& endpoint, bool is_granted) {
  if (!is_granted) {
    CountDenial(endpoint.id, true);
    Decide({.outcome = ClearanceOutcome::kDenied});
    return;
  }
  const GrantReply<bool> reply = AskForPermit(endpoint);
  if (reply == true && !WithholdIfEvacuated(endpoint)) {
    Decide(Grant(endpoint));
  } else if (reply == false) {
    Decide({.outcome = ClearanceOutcome::kDenied});
  }
}

void SendClearance::OnPermit(const Endpoint& endpoint, bool is_granted) {
  if (!is_granted) {
    // A place that was granted stays free.
    context_->places->OnFinished(endpoint.id, Now());
    CountDenial(endpoint.id, true);
    Decide({.outcome = ClearanceOutcome::kDenied});
  } else if (!WithholdIfEvacuated(endpoint)) {
    Decide(Grant(endpoint));
  }
}

void SendClearance::CountDenial(const core::RunnerId& endpoint,
                                bool was_asked) {
  ++context_->metrics->Counter("forward_permits_denied");
  ++denials_;
  denied_questions_ += was_asked ? 1 : 0;
  if (++denials_at_[endpoint] >= kMaxDenialsAtEndpoint) {
    excluded_.insert(endpoint);
  }
  chooser_->IgnoreReports(context_->permits->IsCold(endpoint));
  const bool has_reached_bound =
      (was_asked && denied_questions_ == kMaxDeniedQuestions) ||
      denials_ == kMaxDenials;
  if (!has_reached_bound) {
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
  Decide({.outcome = ClearanceOutcome::kEvacuated});
  return true;
}

Clearance SendClearance::Grant(const Endpoint& endpoint) {
  tried_.insert(endpoint.id);
  excluded_ = tried_;
  denials_at_.clear();
  ++sends_;
  denials_ = 0;
  denied_questions_ = 0;
  chooser_->AllowLimited(true);
  chooser_->IgnoreReports(false);
  return {.outcome = ClearanceOutcome::kGranted, .endpoint = &endpoint};
}

void SendClearance::Decide(const Clearance& clearance) {
  if (!is_cancelled_) {
    on_decided_(clearance);
  }
}

}  // namespace wasabi::forwarding
