#include "Services/Router/quarantine_controller.h"

#include <utility>

#include "LibCore/hash.h"
#include "LibCore/message.h"
#include "LibCore/text.h"

namespace wasabi::router {

QuarantineController::QuarantineController(
    core::EventLoop* loop,
    core::EventRing* events,
    link::Link* link,
    core::HostId self,
    std::function<membership::MemberTableSnapshot()> members)
    : loop_(loop),
      events_(events),
      link_(link),
      self_(std::move(self)),
      members_(std::move(members)) {}

routing::QuarantineVerdict QuarantineController::VerdictFor(
    uint64_t digest) const {
  return table_.VerdictFor(digest, loop_->Now());
}

core::Duration QuarantineController::RetryAfter(uint64_t digest) const {
  return table_.RetryAfter(digest, loop_->Now());
}

void QuarantineController::RecordCrash(const core::RunnerId& runner,
                                       const std::vector<uint64_t>& digests) {
  const core::TimePoint now = loop_->Now();
  const auto time = static_cast<uint64_t>(now.time_since_epoch().count());
  const uint64_t incarnation = core::CombineHashes(
      core::CombineHashes(self_.Hash(), time), next_crash_++);
  table_.RecordCrash(routing::MakeCrashId(runner, incarnation), digests, now);
  for (const uint64_t digest : digests) {
    const bool is_refused =
        VerdictFor(digest) == routing::QuarantineVerdict::kRefuse;
    events_->Record(
        is_refused ? core::EventCode::kDigestQuarantined
                   : core::EventCode::kDigestSuspected,
        "", fmt::format("digest={:016x} runner={}", digest, runner.value()));
  }
  has_unshared_changes_ = true;
  Share();
}

void QuarantineController::RecordCompletion(uint64_t digest) {
  has_unshared_changes_ =
      table_.RecordCompletion(digest) || has_unshared_changes_;
}

void QuarantineController::Serve(
    const std::shared_ptr<link::InboundCall>& call) {
  const auto delta = core::Decode<routing::QuarantineDelta>(call->request());
  if (delta.ok()) {
    table_.Merge(*delta, loop_->Now());
  }
  call->Finish(delta.status());
}

void QuarantineController::Tick() {
  table_.Expire(loop_->Now());
  Share();
}

void QuarantineController::Share() {
  const routing::QuarantineDelta delta = table_.TakeDelta(loop_->Now());
  if (!has_unshared_changes_ || delta.crashes.empty()) {
    return;
  }
  has_unshared_changes_ = false;
  const std::string message = core::Encode(delta);
  const membership::MemberTableSnapshot members = members_();
  for (const membership::Member& member : members->members()) {
    if (member.role == membership::MemberRole::kRouter && member.id != self_) {
      link_->Call(member.link_address, link::CallKind::kShareQuarantine,
                  message,
                  {[](std::string_view) {}, [](const absl::Status&) {}});
    }
  }
}

}  // namespace wasabi::router
