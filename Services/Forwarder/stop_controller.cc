#include "Services/Forwarder/stop_controller.h"

#include "LibCore/text.h"

namespace wasabi::forwarder {

void StopController::Begin(const routing::StopPolicy& policy,
                           core::TimePoint signalled_after) {
  if (has_begun()) {
    return;
  }
  parts_.context->stop.emplace(policy, signalled_after, parts_.loop->Now());
  parts_.context->events->Record(core::EventCode::kProcessStopping, "",
                                 DescribeOpenWork());
  parts_.callers->CloseAfterResponses();
  parts_.tunnels->Stop();
}

void StopController::Tick() {
  if (!has_begun()) {
    return;
  }
  const core::TimePoint now = parts_.loop->Now();
  if (now >= schedule().listens_until() && !has_stopped_listening_) {
    has_stopped_listening_ = true;
    parts_.callers->StopListening();
  }
  parts_.context->active_requests.RefuseTooLate();
  if (now >= schedule().interrupts_at() && !has_interrupted_) {
    has_interrupted_ = true;
    InterruptRequests();
    // The ended requests still have steps in the loop.
    return;
  }
  if (!IsDrained() && now < schedule().ends_at()) {
    return;
  }
  parts_.context->events->Record(core::EventCode::kProcessStopped, "",
                                 DescribeOpenWork());
  parts_.on_stopped();
  // Steps that were posted before use the daemon, so they run first.
  parts_.loop->Post([loop = parts_.loop]() { loop->Stop(); });
}

void StopController::InterruptRequests() {
  parts_.refuse_held();
  parts_.context->active_requests.InterruptAll(schedule().began_at());
  parts_.callers->RefuseUnread();
  parts_.tunnels->InterruptAll();
}

bool StopController::IsDrained() const {
  return has_stopped_listening_ && parts_.callers->connection_count() == 0 &&
         parts_.tunnels->open_tunnels() == 0;
}

std::string StopController::DescribeOpenWork() const {
  return fmt::format(
      "in_flight={} sessions={} connections={} buffered_bytes={} tunnels={} "
      "is_loaded={}",
      parts_.callers->open_transactions(),
      parts_.context->active_requests.size(),
      parts_.callers->connection_count(), parts_.callers->buffered_bytes(),
      parts_.tunnels->open_tunnels(), parts_.has_loaded());
}

}  // namespace wasabi::forwarder
