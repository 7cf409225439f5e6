#include "LibForwarding/request_wait.h"

#include <algorithm>
#include <utility>

#include "LibCore/text.h"
#include "LibForwarding/pool_outlook.h"
#include "LibForwarding/retry_delay.h"
#include "LibForwarding/waiting_counts.h"
#include "LibRouting/return_phase.h"

namespace wasabi::forwarding {

namespace {

// Maximum share of the remaining time for which a request is queued on this
// host. The rest leaves the caller time to retry.
constexpr double kMaxQueueTimeShare = 0.25;
// Part of the latency objective, as a divisor, for which a request may be held
// and then refused.
constexpr int kMaxHeldShare = 8;
// The same for a request that was expected to start in time when it had waited
// for that part. It is late if the forecast was wrong, as at the onset of an
// overload, but a refusal would make it later still.
constexpr double kMaxSecuredTimeShare = 0.5;
// Share of the latency objective within which a request has to start. The rest
// is left for the time until its first event and for errors of the forecast.
constexpr double kStartShare = 0.5;

// Returns an item whose place in the queue depends on its priority and arrival
// alone.
routing::WorkItem ItemByArrival(int priority) {
  routing::WorkItem item;
  item.priority = PriorityClassOf(priority);
  return item;
}

}  // namespace

RequestWait::RequestWait(ForwardContext* context,
                         const ForwardRequest& request,
                         const EndpointChooser* chooser,
                         core::TimePoint answer_deadline,
                         Callbacks callbacks)
    : context_(context),
      request_(request),
      chooser_(chooser),
      answer_deadline_(answer_deadline),
      callbacks_(std::move(callbacks)) {}

void RequestWait::RecordArrival() {
  if (!context_->load_control_enabled) {
    return;
  }
  organisation_weight_ = context_->waiting->AdmissionOf(chooser_->pool())
                             .RecordArrival(Item(), Now());
  // Those that wait have the first choice of what is free.
  context_->waiting->Serve(chooser_->pool());
}

void RequestWait::Join() {
  if (context_->load_control_enabled && EndIfHopeless()) {
    return;
  }
  const routing::WorkItem item = context_->load_control_enabled
                                     ? Item()
                                     : ItemByArrival(request_.priority);
  ticket_ = context_->waiting->Join(
      chooser_->pool(), item, [weak = weak_from_this()]() {
        const auto self = weak.lock();
        return self == nullptr || self->callbacks_.try_start();
      });
  const core::Duration left = answer_deadline_ - Now();
  LimitWait(left);
  ++context_->metrics->Counter("forward_waits");
  context_->events->Record(
      core::EventCode::kRequestQueued, request_.id.value(),
      fmt::format("pool={} priority={} waiting={} left_ms={} returned={}",
                  chooser_->pool().value(), request_.priority,
                  context_->waiting->SizeOf(chooser_->pool()),
                  core::ToMilliseconds(left), item.has_returned));
}

void RequestWait::LimitWait(core::Duration left) {
  const core::Duration queue_time =
      core::FromSeconds(core::ToSeconds(left) * kMaxQueueTimeShare);
  const core::TimePoint review_at =
      request_.received_at + request_.route->latency_objective / kMaxHeldShare;
  if (context_->load_control_enabled && Now() < review_at &&
      review_at < Now() + queue_time) {
    StartTimer(review_at - Now(), [](RequestWait* self) { self->Review(); });
  } else {
    StartTimer(queue_time,
               [](RequestWait* self) { self->callbacks_.on_timeout(); });
  }
}

void RequestWait::StartTimer(core::Duration delay,
                             std::function<void(RequestWait*)> handle) {
  timer_ = context_->loop->NewTimer(
      [weak = weak_from_this(), handle = std::move(handle)]() {
        if (const auto self = weak.lock()) {
          // The handler may replace the timer that holds it.
          const auto call = handle;
          call(self.get());
        }
      });
  timer_->StartOnce(delay);
}

void RequestWait::Review() {
  if (!EndIfHopeless()) {
    context_->waiting->Secure(*ticket_);
    StartTimer(core::FromSeconds(core::ToSeconds(answer_deadline_ - Now()) *
                                 kMaxSecuredTimeShare),
               [](RequestWait* self) { self->callbacks_.on_timeout(); });
  }
}

bool RequestWait::EndIfHopeless() {
  const core::Duration objective = request_.route->latency_objective;
  if (objective <= core::Duration::zero()) {
    return false;
  }
  const core::TimePoint now = Now();
  const core::TimePoint latest_start =
      std::min(request_.received_at +
                   core::FromSeconds(core::ToSeconds(objective) * kStartShare),
               answer_deadline_);
  const routing::PoolAdmission& admission =
      context_->waiting->AdmissionOf(chooser_->pool());
  const routing::PoolOutlook outlook =
      OutlookOf(*context_, chooser_->pool(), now);
  const routing::WorkItem item = Item();
  const auto expected =
      ticket_ ? admission.ExpectedStart(IdOf(*ticket_), outlook, now)
              : admission.ExpectedStart(item, outlook, now);
  if (!expected || now + *expected <= latest_start) {
    return false;
  }
  ++context_->metrics->Counter("forward_early_refusals");
  const core::Duration retry_after =
      PacedRetryDelay(context_, request_, chooser_->pool(), item);
  RecordEarlyRefusal(item, outlook, *expected, latest_start - now, retry_after);
  callbacks_.on_hopeless(retry_after);
  return true;
}

void RequestWait::RecordEarlyRefusal(const routing::WorkItem& item,
                                     const routing::PoolOutlook& outlook,
                                     core::Duration expected,
                                     core::Duration limit,
                                     core::Duration retry_after) {
  double elsewhere = 0;
  for (const auto& [priority, n] : outlook.waiting_elsewhere) {
    elsewhere += priority <= item.priority ? n : 0;
  }
  context_->events->Record(
      core::EventCode::kRefusedEarly, request_.id.value(),
      fmt::format("pool={} priority={} returned={} expected_ms={} limit_ms={} "
                  "places={:.0f} running={:.0f} waiting={} elsewhere={:.0f} "
                  "hosts={} counts_age_ms={} retry_after_ms={}",
                  chooser_->pool().value(), request_.priority,
                  item.has_returned, core::ToMilliseconds(expected),
                  core::ToMilliseconds(limit), outlook.places,
                  outlook.running.requests,
                  context_->waiting->SizeOf(chooser_->pool()), elsewhere,
                  outlook.hosts, core::ToMilliseconds(outlook.age),
                  core::ToMilliseconds(retry_after)));
}

routing::WorkItem RequestWait::Item() const {
  const routing::ReturnPhase phase(request_.content_digest,
                                   request_.route->latency_objective);
  const auto hosts = static_cast<double>(context_->host_count());
  routing::WorkItem item;
  item.organisation = request_.organisation;
  item.organisation_weight = organisation_weight_;
  item.organisation_backlog =
      WaitingElsewhere(*context_->loads, chooser_->pool(),
                       request_.organisation) /
      std::max(1.0, hosts);
  item.priority = PriorityClassOf(request_.priority);
  item.has_returned = phase.IsInPhase(request_.deadline - request_.received_at);
  item.content_digest = request_.content_digest;
  item.deadline = request_.deadline;
  return item;
}

void RequestWait::Leave() {
  timer_.reset();
  if (ticket_) {
    context_->waiting->Leave(*ticket_);
    ticket_.reset();
  }
}

}  // namespace wasabi::forwarding
