#include "Services/Forwarder/topic_controller.h"

#include <algorithm>
#include <utility>

#include "LibCore/compression.h"
#include "LibCore/message.h"
#include "LibCore/process_seed.h"
#include "LibCore/text.h"
#include "LibCore/try.h"

namespace wasabi::forwarder {

namespace {

using membership::ApplicationKind;
using membership::Member;

// Long-poll time of a read from the platform. It is shorter than the view age
// at which other hosts fall back to reading the platform themselves.
constexpr core::Duration kLongPollWait = core::milliseconds(500);
// Interval of topic reports in a small fleet. In a large fleet it grows, so
// that a relay sends no more than the maximum bytes per second below. It stays
// well under the view age at which the receivers read the platform themselves,
// also when a report is lost. A report with changes is sent immediately.
constexpr core::Duration kMinTopicReportInterval = core::milliseconds(200);
constexpr double kMaxTopicReportBytesPerSecond = 20'000;
// Typical bytes of a report on one topic without changes, with its headers.
constexpr double kTopicReportBytes = 60;
// A host reads the platform itself when its view is older than a share of the
// smaller of the bounds on leaving endpoints and configurations. The share
// grows with the reader rank, so that the next readers take over first. It
// leaves every host time for a second attempt within the bound.
constexpr double kFirstFallbackShare = 0.5;
constexpr double kFallbackShareStep = 0.05;
constexpr size_t kMaxFallbackSteps = 3;
// Only hosts with a reader rank below this relay the records that they read.
constexpr size_t kActingReaderRanks = 3;
// Maximum retry backoff while the platform does not respond. The first hosts in
// the order of readers retry often and inform the other hosts when the platform
// is back. The other hosts retry as well, because the platform may be rejecting
// only those readers, but rarely, so that a large fleet does not overload it.
constexpr core::Duration kReaderMaxBackoff = core::milliseconds(400);
constexpr core::Duration kMinNonReaderMaxBackoff = core::seconds(2);
constexpr core::Duration kMaxNonReaderMaxBackoff = core::seconds(4);
constexpr core::Duration kNonReaderMaxBackoffPerHost = core::milliseconds(20);
// Long-poll time and view age for topics that are not urgent.
constexpr core::Duration kLongPollWaitNotUrgent = core::seconds(2);
constexpr core::Duration kFallbackAgeNotUrgent = core::seconds(20);
// A host that starts gives the others time to send it copies of the topics
// before it reads the platform itself. The time grows with the fleet, and each
// host waits for a random share of it, so that hundreds of hosts that start
// together don't all read the platform.
struct StartPatience {
  // Time until the host reads the addresses of the fleet.
  core::Duration until_fleet_is_read{};
  // Time after that for copies of the other topics.
  core::Duration per_host{};
  core::Duration maximum{};
};
constexpr StartPatience kRestart = {.per_host = core::milliseconds(1),
                                    .maximum = core::milliseconds(300)};
// When the fleet starts for the first time, no caller waits. The host first
// lets the others register.
constexpr StartPatience kFirstStart = {.until_fleet_is_read = core::seconds(2),
                                       .per_host = core::milliseconds(12),
                                       .maximum = core::seconds(4)};
constexpr double kMinPatienceShare = 0.5;
constexpr core::Duration kCallsRecordPeriod = core::seconds(10);
constexpr core::Duration kCopyTimeout = core::milliseconds(800);
// Minimum time between two fetches of a topic's copy. Configurations that
// change in quick succession are fetched together.
constexpr core::Duration kMinFetchInterval = core::milliseconds(300);
constexpr core::Duration kMinFetchIntervalNotUrgent = core::seconds(1);
// A fetch starts after a random delay of up to this time for each host of the
// data centre.
constexpr core::Duration kFetchSpreadPerPeer = core::milliseconds(5);
// Time for which an encoded copy is served again while its topic is unchanged.
constexpr core::Duration kCopyCacheTime = core::milliseconds(100);
// Maximum size of a decompressed copy.
constexpr size_t kMaxCopyBytes = 16U << 20U;

absl::StatusOr<forwarding::TopicSnapshot> DecodeCopy(
    const absl::StatusOr<http::ClientResponse>& response) {
  if (!response.ok()) {
    return response.status();
  }
  TRY_ASSIGN(const std::string body,
             core::Decompress(response->body, kMaxCopyBytes));
  return core::Decode<forwarding::TopicSnapshot>(body);
}

}  // namespace

TopicController::TopicController(const TopicContext& context,
                                 const ForwarderSettings& settings,
                                 SendFunction send)
    : context_(context),
      settings_(settings),
      send_(std::move(send)),
      random_(core::ProcessSeed(settings.host.Hash())),
      fleet_topic_(context.fleet_topic),
      started_at_(context.scheduler->Now()),
      patience_share_(kMinPatienceShare +
                      (1 - kMinPatienceShare) * random_.Unit()) {}

void TopicController::Tick() {
  RefreshTopics();
  StartDueFetches();
  SendTopicReports();
  RecordPlatformCalls();
}

platform::LogEpoch TopicController::LatestEpoch() const {
  platform::LogEpoch epoch = 0;
  for (const RelayedTopic& it : topics_) {
    epoch = std::max(epoch, it.view->epoch());
  }
  return epoch;
}

void TopicController::SetTopics(std::vector<RelayedTopic> topics) {
  topics_ = std::move(topics);
}

std::string TopicController::EncodedCopy(uint8_t topic) {
  const core::TimePoint now = context_.scheduler->Now();
  for (const RelayedTopic& it : topics_) {
    if (it.relay->topic() != topic || !it.view->is_loaded()) {
      continue;
    }
    CachedCopy& cached = copies_[topic];
    const bool is_current =
        cached.next == it.view->next() && cached.epoch == it.view->epoch();
    if (!is_current || now - cached.encoded_at > kCopyCacheTime) {
      // The age is right at the end of the time in the cache.
      const auto snapshot =
          forwarding::MakeTopicSnapshot(*it.view, now + kCopyCacheTime);
      cached = {.body = core::Compress(core::Encode(snapshot)),
                .next = it.view->next(),
                .epoch = it.view->epoch(),
                .encoded_at = now};
    }
    return cached.body;
  }
  return {};
}

void TopicController::UpdateBounds(const ForwarderSettings& settings) {
  settings_.leaving_bound = settings.leaving_bound;
  settings_.configuration_bound = settings.configuration_bound;
}

uint64_t TopicController::platform_calls() const {
  const auto calls_of = [](const platform::TopicView& view) {
    return view.calls().snapshot_reads + view.calls().tail_reads;
  };
  uint64_t calls = fleet_topic_->writes();
  for (const RelayedTopic& it : topics_) {
    calls += calls_of(*it.view);
  }
  return calls;
}

void TopicController::RecordPlatformCalls() {
  if (context_.scheduler->Now() < next_calls_record_at_) {
    return;
  }
  next_calls_record_at_ = context_.scheduler->Now() + kCallsRecordPeriod;
  const auto describe = [](const platform::TopicView& view) {
    return fmt::format(" {}={}+{}", view.topic(), view.calls().snapshot_reads,
                       view.calls().tail_reads);
  };
  std::string calls = fmt::format("writes={}", fleet_topic_->writes());
  for (const RelayedTopic& it : topics_) {
    calls += describe(*it.view);
  }
  if (calls != recorded_calls_) {
    recorded_calls_ = calls;
    context_.events->Record(
        core::EventCode::kPlatformCalls, "",
        fmt::format("{} reader_rank={} is_relay={} members={}", calls,
                    roles_.reader_rank, roles_.is_relay, roles_.others.size()));
  }
}

core::Duration TopicController::FallbackAge() const {
  const size_t steps = std::min(roles_.reader_rank, kMaxFallbackSteps);
  const double share =
      kFirstFallbackShare + kFallbackShareStep * static_cast<double>(steps);
  const core::Duration bound =
      std::min(settings_.leaving_bound, settings_.configuration_bound);
  return core::FromSeconds(core::ToSeconds(bound) * share);
}

bool TopicController::IsActingReader(const RelayedTopic& topic) const {
  const core::Duration since_read =
      context_.scheduler->Now() - topic.view->read_at();
  return roles_.reader_rank == 0 || (roles_.reader_rank < kActingReaderRanks &&
                                     since_read < 2 * FallbackAge());
}

void TopicController::RefreshTopics() {
  if (fleet_topic_loaded_at_ == core::TimePoint() &&
      fleet_topic_->view()->is_loaded()) {
    fleet_topic_loaded_at_ = context_.scheduler->Now();
  }
  const core::Duration maximum_backoff = MaximumBackoff();
  for (const RelayedTopic& it : topics_) {
    it.view->SetMaximumBackoff(maximum_backoff);
    if (!MayRead(it)) {
      continue;
    }
    if (IsReader()) {
      it.view->RefreshIfStale(
          core::Duration::zero(),
          it.is_urgent ? kLongPollWait : kLongPollWaitNotUrgent);
    } else {
      it.view->RefreshIfStale(
          it.is_urgent ? FallbackAge() : kFallbackAgeNotUrgent,
          core::Duration::zero());
    }
  }
}

core::Duration TopicController::MaximumBackoff() const {
  if (roles_.reader_rank < kActingReaderRanks) {
    return kReaderMaxBackoff;
  }
  const auto hosts = static_cast<int64_t>(roles_.others.size());
  return std::clamp<core::Duration>(kNonReaderMaxBackoffPerHost * hosts,
                                    kMinNonReaderMaxBackoff,
                                    kMaxNonReaderMaxBackoff);
}

bool TopicController::IsReader() const {
  if (roles_.reader_rank != 0) {
    return false;
  }
  // A host that has just started takes itself for the first of the few hosts
  // that it knows.
  const size_t registered_hosts = fleet_topic_->addresses().size();
  return fleet_topic_->view()->is_loaded() &&
         2 * roles_.others.size() >= registered_hosts;
}

bool TopicController::MayRead(const RelayedTopic& topic) const {
  if (topic.view->is_loaded()) {
    return true;
  }
  const core::TimePoint now = context_.scheduler->Now();
  const StartPatience& patience =
      settings_.is_first_start ? kFirstStart : kRestart;
  if (!topic.is_urgent) {
    return now - started_at_ >= ShareOf(patience.until_fleet_is_read);
  }
  if (!fleet_topic_->view()->is_loaded()) {
    return now - started_at_ >=
           ShareOf(patience.until_fleet_is_read + patience.maximum);
  }
  const auto hosts = static_cast<int64_t>(fleet_topic_->addresses().size());
  const core::Duration wait =
      std::min<core::Duration>(patience.maximum, patience.per_host * hosts);
  return IsReader() || now - fleet_topic_loaded_at_ >= ShareOf(wait);
}

core::Duration TopicController::ShareOf(core::Duration patience) const {
  return core::FromSeconds(core::ToSeconds(patience) * patience_share_);
}

void TopicController::SendTopicReports() {
  const core::TimePoint now = context_.scheduler->Now();
  const bool is_relay_due = now >= next_report_to_relays_at_;
  const bool is_peer_due = now >= next_report_to_peers_at_;
  for (const RelayedTopic& it : topics_) {
    const bool has_updates = it.is_urgent && it.relay->has_updates();
    const bool goes_to_relays =
        IsActingReader(it) && (is_relay_due || has_updates);
    const bool goes_to_peers = roles_.is_relay && (is_peer_due || has_updates);
    if (!it.view->is_loaded() || (!goes_to_relays && !goes_to_peers)) {
      continue;
    }
    const std::string body = core::Encode(it.relay->MakeReport(*it.view, now));
    if (goes_to_relays) {
      send_(roles_.report_relays, ApplicationKind::kTopicReport, body);
    }
    if (goes_to_peers) {
      send_(roles_.data_centre_peers, ApplicationKind::kTopicReport, body);
    }
  }
  if (is_relay_due) {
    next_report_to_relays_at_ =
        now + TopicReportInterval(roles_.report_relays.size());
  }
  if (is_peer_due) {
    next_report_to_peers_at_ =
        now + TopicReportInterval(roles_.data_centre_peers.size());
  }
}

core::Duration TopicController::TopicReportInterval(size_t receivers) const {
  const double bytes = kTopicReportBytes * static_cast<double>(topics_.size()) *
                       static_cast<double>(receivers);
  return std::max(kMinTopicReportInterval,
                  core::FromSeconds(bytes / kMaxTopicReportBytesPerSecond));
}

absl::Status TopicController::OnReport(const Member& from,
                                       std::string_view body) {
  TRY_ASSIGN(const forwarding::TopicReport report,
             core::Decode<forwarding::TopicReport>(body));
  for (const RelayedTopic& it : topics_) {
    if (it.relay->topic() != report.topic) {
      continue;
    }
    const bool is_current = forwarding::ApplyTopicReport(report, it.view);
    const bool has_newer = report.epoch > it.view->epoch() ||
                           report.next > it.view->next() ||
                           !it.view->is_loaded();
    if (!is_current && has_newer) {
      FetchCopy(from, it);
    }
  }
  return absl::OkStatus();
}

void TopicController::FetchCopy(const Member& from, const RelayedTopic& topic) {
  const uint8_t number = topic.relay->topic();
  const core::TimePoint now = context_.scheduler->Now();
  if (now < next_fetch_at_[number] ||
      !fetches_in_flight_.insert(number).second) {
    return;
  }
  next_fetch_at_[number] =
      now + (topic.is_urgent ? kMinFetchInterval : kMinFetchIntervalNotUrgent);
  // The neighbours of a relay hear of a change at the same moment.
  const core::Duration spread =
      kFetchSpreadPerPeer *
      static_cast<int64_t>(roles_.data_centre_peers.size());
  pending_fetches_.push_back(
      {.topic = number,
       .from = from.link_address,
       .view = topic.view,
       .due_at =
           now + core::FromSeconds(core::ToSeconds(spread) * random_.Unit())});
}

void TopicController::StartDueFetches() {
  const core::TimePoint now = context_.scheduler->Now();
  std::vector<PendingFetch> due;
  std::erase_if(pending_fetches_, [&](const PendingFetch& it) {
    if (it.due_at > now) {
      return false;
    }
    due.push_back(it);
    return true;
  });
  for (const PendingFetch& it : due) {
    SendFetch(it);
  }
}

void TopicController::SendFetch(const PendingFetch& fetch) {
  http::ClientRequest request;
  request.address = fetch.from;
  request.target = fmt::format("/v1/topics/{}", fetch.topic);
  request.total_timeout = kCopyTimeout;
  context_.client->Fetch(
      request, [this, number = fetch.topic, view = fetch.view](
                   const absl::StatusOr<http::ClientResponse>& response) {
        fetches_in_flight_.erase(number);
        const auto copy = DecodeCopy(response);
        if (copy.ok()) {
          forwarding::ApplyTopicSnapshot(*copy, view);
          return;
        }
        context_.events->Record(core::EventCode::kPlatformDown, "",
                                fmt::format("topic={} no copy: {}", number,
                                            core::MessageOf(copy.status())));
        if (view->is_loaded()) {
          view->RefreshIfStale(core::Duration::zero(), core::Duration::zero());
        }
      });
}

}  // namespace wasabi::forwarder
