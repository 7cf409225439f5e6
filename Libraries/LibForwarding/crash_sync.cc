#include "LibForwarding/crash_sync.h"

#include <utility>

#include "LibCore/try.h"

namespace wasabi::forwarding {

namespace {

using membership::ApplicationKind;

constexpr core::Duration kInterval = core::seconds(1);
// Interval while an endpoint has crashed a short time ago. Reports may not
// reach everyone then, as the hosts that pass them on may be cut off too.
constexpr core::Duration kNewsInterval = core::milliseconds(300);
constexpr core::Duration kNewsLifetime = core::seconds(6);
// A host that has just started asks several hosts in a short time.
constexpr core::Duration kEarlyInterval = core::milliseconds(200);
constexpr int kEarlyQuestions = 5;
// Maximum number of suspects in all datagrams of a message, and in each.
constexpr size_t kMaxIds = 200;
constexpr size_t kMaxIdsPerDatagram = 100;

}  // namespace

CrashSync::CrashSync(CrashSuspects* suspects,
                     uint64_t random_seed,
                     SendFunction send)
    : suspects_(suspects),
      random_(random_seed),
      send_(std::move(send)),
      early_questions_(kEarlyQuestions) {}

void CrashSync::Tick(core::TimePoint now) {
  if (now < next_question_at_ || hosts_.empty()) {
    return;
  }
  next_question_at_ = now + Interval(now);
  Send(hosts_[random_.Below(hosts_.size())], true, now);
}

core::Duration CrashSync::Interval(core::TimePoint now) {
  if (early_questions_ > 0) {
    --early_questions_;
    return kEarlyInterval;
  }
  const auto crashed_at = suspects_->last_crash_at();
  return crashed_at && now - *crashed_at < kNewsLifetime ? kNewsInterval
                                                         : kInterval;
}

absl::Status CrashSync::OnMessage(const core::HostId& from,
                                  std::string_view body,
                                  core::TimePoint now) {
  TRY_ASSIGN(const auto message, core::Decode<CrashSyncMessage>(body));
  for (const CrashReport& it : message.reports) {
    suspects_->MergeReport(it, false, now);
  }
  if (message.is_question) {
    Send(from, false, now);
  }
  return absl::OkStatus();
}

void CrashSync::Send(const core::HostId& to,
                     bool is_question,
                     core::TimePoint now) {
  std::vector<CrashReport> parts;
  for (const CrashReport& report :
       suspects_->OpenSuspects(kMaxIds, random_.Next(), now)) {
    for (CrashReport& it : SplitReport(report)) {
      parts.push_back(std::move(it));
    }
  }
  if (is_question) {
    send_({to}, ApplicationKind::kCrashSync,
          core::Encode(CrashSyncMessage{.is_question = true, .reports = {}}));
  }
  // Reports of few ids share a datagram.
  CrashSyncMessage message;
  size_t ids = 0;
  for (CrashReport& it : parts) {
    // The id and age of a crash take as much room as two suspects.
    const size_t size = it.in_flight.size() + it.cleared.size() + 2;
    if (ids > 0 && ids + size > kMaxIdsPerDatagram) {
      send_({to}, ApplicationKind::kCrashSync, core::Encode(message));
      message = {};
      ids = 0;
    }
    message.reports.push_back(std::move(it));
    ids += size;
  }
  if (ids > 0) {
    send_({to}, ApplicationKind::kCrashSync, core::Encode(message));
  }
}

}  // namespace wasabi::forwarding
