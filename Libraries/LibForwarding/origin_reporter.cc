#include "LibForwarding/origin_reporter.h"

#include <algorithm>
#include <utility>

#include "LibCore/hash.h"
#include "LibCore/rendezvous.h"
#include "LibCore/try.h"

namespace wasabi::forwarding {

namespace {

using membership::ApplicationKind;

// Streams that began longer ago have ended: callers of deployed fleets wait for
// 15 s at most.
constexpr core::Duration kMaxStreamAge = core::seconds(20);
// Streams of one pool that are kept in case a second version appears.
constexpr size_t kMaxUnreported = 1U << 14U;
// Streams that fit in a datagram.
constexpr size_t kMaxStreamsPerReport = 100;
constexpr size_t kMaxReportsPerTick = 2;
// Hosts that share a recorder. At 4,900 streams a second and 380 hosts a
// recorder receives 175 streams a second from them.
constexpr size_t kHostsPerGroup = 14;
// In a fleet of several groups a recorder hears from many hosts, whose reports
// are mostly overhead.
constexpr core::Duration kReportInterval = core::milliseconds(100);
constexpr size_t kRecordersPerGroup = 2;
// A confirmation takes up to 0.2 s in a large fleet.
constexpr core::Duration kResendAfter = core::milliseconds(300);
constexpr size_t kMaxSends = 4;
constexpr uint64_t kGroupKey = 0x6f726967696e7331;

}  // namespace

OriginReporter::OriginReporter(core::HostId self,
                               OriginRecorder::SendFunction send,
                               OriginRecorder* recorder,
                               uint64_t first_sequence)
    : self_(std::move(self)),
      send_(std::move(send)),
      recorder_(recorder),
      next_sequence_(first_sequence) {}

size_t OriginReporter::GroupsOf(size_t hosts) {
  return std::max<size_t>(1, (hosts + kHostsPerGroup - 1) / kHostsPerGroup);
}

void OriginReporter::SetHosts(const std::vector<core::HostId>& hosts) {
  std::vector<core::HostId> all = hosts;
  if (std::find(all.begin(), all.end(), self_) == all.end()) {
    all.push_back(self_);
  }
  // Groups are ranges of the sorted hosts, so that they are equally large.
  // Recorders are members of their group, so that none works for two.
  std::sort(all.begin(), all.end());
  const size_t groups = GroupsOf(all.size());
  const size_t n = all.size();
  const auto self = static_cast<size_t>(
      std::find(all.begin(), all.end(), self_) - all.begin());
  const size_t group = self * groups / n;
  for (size_t i = n; i > 0; --i) {
    if ((i - 1) * groups / n != group) {
      all.erase(all.begin() + static_cast<std::ptrdiff_t>(i - 1));
    }
  }
  std::vector<core::RendezvousCandidate> candidates;
  for (const core::HostId& it : all) {
    candidates.push_back({.hash = it.Hash(), .weight = 1.0});
  }
  recorders_.clear();
  for (const size_t i : core::RendezvousOrder(
           core::CombineHashes(kGroupKey, group), candidates)) {
    if (recorders_.size() < kRecordersPerGroup) {
      recorders_.push_back(all[i]);
    }
  }
  recorder_->SetWriters(groups);
  report_interval_ = groups > 1 ? kReportInterval : core::Duration::zero();
}

void OriginReporter::OnStreamBegun(uint64_t pool,
                                   StreamKey stream,
                                   StreamOrigin origin,
                                   core::TimePoint now) {
  std::deque<BegunStream>& streams = unreported_[pool];
  streams.push_back({.stream = stream, .origin = origin, .at = now});
  if (streams.size() > kMaxUnreported) {
    streams.pop_front();
  }
}

void OriginReporter::Tick(const OriginHistory& history, core::TimePoint now) {
  if (now >= next_reports_at_) {
    next_reports_at_ = now + report_interval_;
    QueueReports(history, now);
  }
  SendReports(now);
}

void OriginReporter::QueueReports(const OriginHistory& history,
                                  core::TimePoint now) {
  size_t reports = 0;
  for (auto it = unreported_.begin(); it != unreported_.end();) {
    std::deque<BegunStream>& streams = it->second;
    while (!streams.empty() && now - streams.front().at > kMaxStreamAge) {
      streams.pop_front();
    }
    const bool is_reported =
        !streams.empty() && history.HasSeveral(it->first, now);
    // The newest streams first: their callers are the likeliest to return.
    while (is_reported && !streams.empty() && reports < kMaxReportsPerTick) {
      StreamBatch batch;
      while (!streams.empty() && batch.size() < kMaxStreamsPerReport) {
        batch.Add(streams.back().stream, streams.back().origin);
        streams.pop_back();
      }
      reports_[next_sequence_++] = {.streams = batch.Streams(),
                                    .next_send_at = now};
      ++reports;
    }
    it = streams.empty() ? unreported_.erase(it) : std::next(it);
  }
}

void OriginReporter::SendReports(core::TimePoint now) {
  for (auto it = reports_.begin(); it != reports_.end();) {
    Report& report = it->second;
    if (now < report.next_send_at) {
      ++it;
      continue;
    }
    const bool is_given_up = recorders_.empty() || report.sends >= kMaxSends;
    if (is_given_up) {
      it = reports_.erase(it);
      continue;
    }
    const core::HostId& to = recorders_[report.sends % recorders_.size()];
    ++report.sends;
    report.next_send_at = now + kResendAfter;
    if (to == self_) {
      recorder_->Add(report.streams);
      it = reports_.erase(it);
      continue;
    }
    send_({to}, ApplicationKind::kOriginsToRecord,
          core::Encode(RecordOriginsRequest{.sequence = it->first,
                                            .origins = report.streams}));
    ++it;
  }
}

absl::Status OriginReporter::OnRecorded(std::string_view body) {
  TRY_ASSIGN(const auto message, core::Decode<OriginsRecordedMessage>(body));
  for (const uint64_t it : message.sequences) {
    reports_.erase(it);
  }
  return absl::OkStatus();
}

}  // namespace wasabi::forwarding
