#include "LibForwarding/crash_exchange.h"

#include <utility>

#include "LibCore/message.h"
#include "LibCore/try.h"

namespace wasabi::forwarding {

namespace {

constexpr int kSends = 3;
constexpr core::Duration kSendInterval = core::milliseconds(200);
// In a large fleet the changes of this time are reported together.
constexpr core::Duration kBatchInterval = core::milliseconds(200);

}  // namespace

CrashExchange::CrashExchange(core::HostId self,
                             CrashSuspects* suspects,
                             SendFunction send)
    : self_(std::move(self)), suspects_(suspects), send_(std::move(send)) {}

void CrashExchange::Tick(core::TimePoint now) {
  if (now >= next_batch_at_) {
    QueueChanges(now);
  }
  const std::vector<core::HostId> receivers = peers_.ReceiversOf(self_);
  for (Report& it : pending_) {
    if (now < it.next_send_at) {
      continue;
    }
    send_(receivers, membership::ApplicationKind::kCrashes, it.body);
    --it.remaining_sends;
    it.next_send_at = now + kSendInterval;
  }
  std::erase_if(pending_,
                [](const Report& it) { return it.remaining_sends <= 0; });
}

void CrashExchange::QueueChanges(core::TimePoint now) {
  if (peers_.UsesAggregators()) {
    next_batch_at_ = now + kBatchInterval;
  }
  // Every host hears the same from each aggregator of its data centre, so these
  // need not repeat themselves.
  const int sends = peers_.PassesReportsOn(self_) ? 1 : kSends;
  for (const CrashReport& report : suspects_->TakeChanges(now)) {
    for (const CrashReport& it : SplitReport(report)) {
      pending_.push_back({.body = core::Encode(it),
                          .remaining_sends = sends,
                          .next_send_at = now});
    }
  }
}

absl::Status CrashExchange::OnReport(std::string_view body,
                                     core::TimePoint now) {
  TRY_ASSIGN(const CrashReport report, core::Decode<CrashReport>(body));
  suspects_->MergeReport(report, peers_.PassesReportsOn(self_), now);
  return absl::OkStatus();
}

}  // namespace wasabi::forwarding
