#include "LibForwarding/stream_origin_exchange.h"

#include <algorithm>
#include <utility>

#include "LibCore/try.h"

namespace wasabi::forwarding {

namespace {

using membership::ApplicationKind;

// Longer than callers wait for a stream, over all their attempts.
constexpr core::Duration kLifetime = core::seconds(60);
constexpr size_t kMaxEntries = 1U << 16U;
// Hosts that keep the origin of a stream, besides the one that relays it.
constexpr size_t kKeepers = 3;
// Hosts that are asked: more than keep it, as hosts may disagree about the
// fleet.
constexpr size_t kAsked = 6;
// An answer takes a few milliseconds. A query that was lost is repeated once.
constexpr core::Duration kRepeatAfter = core::milliseconds(60);
constexpr core::Duration kMaxSearchTime = core::milliseconds(200);
// Records that fit in a datagram.
constexpr size_t kMaxRecordsPerReport = 50;

}  // namespace

StreamOriginExchange::StreamOriginExchange(core::HostId self, SendFunction send)
    : self_(std::move(self)),
      send_(std::move(send)),
      table_(kLifetime, kMaxEntries) {}

void StreamOriginExchange::SetHosts(const std::vector<core::HostId>& hosts) {
  hosts_ = hosts;
  candidates_.clear();
  for (const core::HostId& it : hosts_) {
    candidates_.push_back({.hash = it.Hash(), .weight = 1.0});
  }
}

std::vector<core::HostId> StreamOriginExchange::FirstHosts(StreamKey stream,
                                                           size_t n) const {
  std::vector<core::HostId> first;
  for (const size_t i : core::RendezvousOrder(stream.hash, candidates_)) {
    if (first.size() < n && hosts_[i] != self_) {
      first.push_back(hosts_[i]);
    }
  }
  return first;
}

void StreamOriginExchange::Record(StreamKey stream,
                                  StreamOrigin origin,
                                  core::TimePoint now) {
  table_.Put(stream, origin, now);
  for (const core::HostId& it : FirstHosts(stream, kKeepers)) {
    StreamOriginReport& report = unsent_[it];
    report.records.push_back({.stream = stream.hash, .origin = origin.hash});
    if (report.records.size() >= kMaxRecordsPerReport) {
      SendReports();
    }
  }
}

void StreamOriginExchange::Find(StreamKey stream,
                                core::TimePoint now,
                                Callback callback) {
  const auto known = table_.Find(stream);
  if (known) {
    callback(known);
    return;
  }
  const auto [it, is_new] = searches_.try_emplace(stream);
  it->second.callbacks.push_back(std::move(callback));
  if (!is_new) {
    return;
  }
  const std::vector<core::HostId> hosts = FirstHosts(stream, kAsked);
  it->second.asked = hosts;
  it->second.repeat_at = now + kRepeatAfter;
  it->second.ends_at = now + kMaxSearchTime;
  if (hosts.empty()) {
    Finish(stream, std::nullopt);
    return;
  }
  Ask(stream, hosts);
}

void StreamOriginExchange::Ask(StreamKey stream,
                               const std::vector<core::HostId>& hosts) {
  send_(hosts, ApplicationKind::kStreamOriginQuery,
        core::Encode(StreamOriginQuery{.stream = stream.hash}));
}

void StreamOriginExchange::Tick(core::TimePoint now) {
  table_.Expire(now);
  SendReports();
  std::vector<StreamKey> overdue;
  std::map<StreamKey, std::vector<core::HostId>> repeated;
  for (auto& [stream, search] : searches_) {
    if (now >= search.ends_at) {
      overdue.push_back(stream);
    } else if (now >= search.repeat_at && !search.is_repeated) {
      search.is_repeated = true;
      repeated.emplace(stream, search.asked);
    }
  }
  for (const StreamKey it : overdue) {
    Finish(it, std::nullopt);
  }
  for (const auto& [stream, hosts] : repeated) {
    Ask(stream, hosts);
  }
}

void StreamOriginExchange::SendReports() {
  for (const auto& [host, report] : std::exchange(unsent_, {})) {
    send_({host}, ApplicationKind::kStreamOrigins, core::Encode(report));
  }
}

void StreamOriginExchange::Finish(StreamKey stream,
                                  std::optional<StreamOrigin> origin) {
  const auto it = searches_.find(stream);
  const std::vector<Callback> callbacks = std::move(it->second.callbacks);
  searches_.erase(it);
  for (const Callback& callback : callbacks) {
    callback(origin);
  }
}

absl::Status StreamOriginExchange::OnReport(std::string_view body,
                                            core::TimePoint now) {
  TRY_ASSIGN(const auto report, core::Decode<StreamOriginReport>(body));
  for (const StreamOriginRecord& it : report.records) {
    if (it.origin) {
      table_.Put({it.stream}, {*it.origin}, now);
    }
  }
  return absl::OkStatus();
}

absl::Status StreamOriginExchange::OnQuery(const core::HostId& from,
                                           std::string_view body) {
  TRY_ASSIGN(const auto query, core::Decode<StreamOriginQuery>(body));
  StreamOriginRecord answer{.stream = query.stream, .origin = std::nullopt};
  if (const auto origin = table_.Find({query.stream})) {
    answer.origin = origin->hash;
  }
  send_({from}, ApplicationKind::kStreamOriginAnswer, core::Encode(answer));
  return absl::OkStatus();
}

absl::Status StreamOriginExchange::OnAnswer(const core::HostId& from,
                                            std::string_view body,
                                            core::TimePoint now) {
  TRY_ASSIGN(const auto answer, core::Decode<StreamOriginRecord>(body));
  const StreamKey stream{answer.stream};
  const auto it = searches_.find(stream);
  if (it == searches_.end()) {
    return absl::OkStatus();
  }
  if (answer.origin) {
    table_.Put(stream, {*answer.origin}, now);
    Finish(stream, StreamOrigin{*answer.origin});
    return absl::OkStatus();
  }
  std::erase(it->second.asked, from);
  if (it->second.asked.empty()) {
    Finish(stream, std::nullopt);
  }
  return absl::OkStatus();
}

}  // namespace wasabi::forwarding
