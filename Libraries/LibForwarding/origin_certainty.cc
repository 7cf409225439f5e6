#include "LibForwarding/origin_certainty.h"

#include <algorithm>
#include <iterator>
#include <utility>

#include "LibForwarding/origin_history.h"

namespace wasabi::forwarding {

namespace {

// An endpoint that crashed is back after some seconds, so that a read this old
// seldom misses its new start.
constexpr core::Duration kMaxReadAge = core::milliseconds(300);
// The reads that keep the view current mostly come before that.
constexpr core::Duration kMaxWaitForView = core::milliseconds(400);
// An endpoint that lives and reaches the platform has registered by then.
constexpr core::Duration kMaxReadTime = core::seconds(5);
constexpr size_t kMaxDoubts = 10'000;
// An endpoint that ends is back after some seconds. No process ends and another
// one accepts connections within this time.
constexpr core::Duration kMinRestartTime = core::milliseconds(400);
// With a longer time between two turns, the process may have stood still.
constexpr core::Duration kMaxTurn = core::milliseconds(200);
constexpr size_t kMaxHeard = 10'000;

}  // namespace

void OriginCertainty::RecordBreak(const core::SocketAddress& address,
                                  core::TimePoint now) {
  Doubt doubt;
  doubt.broken_at = now;
  const auto heard = heard_at_.find(address);
  if (heard != heard_at_.end()) {
    doubt.heard_at = heard->second;
  }
  const auto it = doubts_.find(address);
  if (it != doubts_.end()) {
    doubt.before = it->second.connected_at
                       ? std::make_shared<const Doubt>(it->second)
                       : it->second.before;
  }
  doubts_[address] = doubt;
  for (Waiting& it : waiting_) {
    it.has_broken = it.has_broken || it.address == address;
  }
  if (doubts_.size() > kMaxDoubts) {
    DropOldest();
  }
}

void OriginCertainty::RecordConnected(const core::SocketAddress& address,
                                      core::TimePoint now) {
  const auto it = doubts_.find(address);
  if (it == doubts_.end() || it->second.connected_at) {
    return;
  }
  const auto& heard_at = it->second.heard_at;
  if (!heard_at || now - *heard_at >= kMinRestartTime) {
    it->second.connected_at = now;
    it->second.before.reset();
    return;
  }
  // It is the process of before, which may have been in doubt.
  if (const std::shared_ptr<const Doubt> before = it->second.before) {
    it->second = *before;
  } else {
    doubts_.erase(it);
  }
}

void OriginCertainty::RecordHeard(const core::SocketAddress& address,
                                  core::TimePoint now) {
  const bool is_prompt =
      now - turned_at_ <= kMaxTurn && now - resumed_at_ > kMaxTurn;
  if (!is_prompt) {
    return;
  }
  if (heard_at_.size() >= kMaxHeard) {
    heard_at_.clear();
  }
  heard_at_[address] = now;
}

void OriginCertainty::RecordTurn(core::TimePoint now) {
  if (now - turned_at_ > kMaxTurn) {
    resumed_at_ = now;
  }
  turned_at_ = now;
}

void OriginCertainty::RecordRead(
    core::TimePoint started_at,
    LogPosition end,
    const std::set<core::SocketAddress>& outdated) {
  for (auto& [address, doubt] : doubts_) {
    if (!outdated.contains(address) && started_at >= doubt.broken_at) {
      doubt.read_at = std::max(doubt.read_at.value_or(started_at), started_at);
    }
    const bool has_end = doubt.log_end && doubt.log_end->epoch == end.epoch;
    if (doubt.connected_at && started_at >= *doubt.connected_at && !has_end) {
      doubt.log_end = end;
      doubt.scanned_to = end;
    }
  }
}

void OriginCertainty::RecordScan(LogPosition from, LogPosition to) {
  for (auto& [address, doubt] : doubts_) {
    const bool has_no_gap = doubt.scanned_to.epoch == from.epoch &&
                            doubt.scanned_to.offset >= from.offset;
    if (doubt.log_end && has_no_gap) {
      doubt.scanned_to = std::max(doubt.scanned_to, to);
    }
  }
}

bool OriginCertainty::RecordRegistration(const Endpoint& endpoint,
                                         LogPosition position) {
  const auto it = doubts_.find(endpoint.address);
  if (it == doubts_.end()) {
    return false;
  }
  Doubt& doubt = it->second;
  const bool is_written_later = doubt.log_end &&
                                doubt.log_end->epoch == position.epoch &&
                                position.offset >= doubt.log_end->offset;
  if (is_written_later) {
    doubt.started_at_ms =
        std::max(doubt.started_at_ms.value_or(endpoint.started_at_ms),
                 endpoint.started_at_ms);
  }
  return doubt.connected_at.has_value();
}

void OriginCertainty::Settle(const EndpointTable& endpoints) {
  const bool may_be_settled = std::any_of(
      doubts_.begin(), doubts_.end(),
      [](const auto& it) { return it.second.started_at_ms.has_value(); });
  if (may_be_settled) {
    for (const auto& [id, endpoint] : endpoints.all()) {
      if (IsCertain(endpoint)) {
        doubts_.erase(endpoint.address);
      }
    }
  }
  const auto settled = std::stable_partition(
      waiting_.begin(), waiting_.end(),
      [this](const Waiting& it) { return doubts_.contains(it.address); });
  const std::vector<Waiting> ended(std::make_move_iterator(settled),
                                   std::make_move_iterator(waiting_.end()));
  waiting_.erase(settled, waiting_.end());
  for (const Waiting& it : ended) {
    it.callback(it.has_broken);
  }
}

bool OriginCertainty::IsCertain(const Endpoint& endpoint) const {
  const auto it = doubts_.find(endpoint.address);
  return it == doubts_.end() ||
         it->second.started_at_ms == endpoint.started_at_ms;
}

bool OriginCertainty::IsReadLately(const core::SocketAddress& address,
                                   core::TimePoint now) const {
  const auto it = doubts_.find(address);
  return it == doubts_.end() ||
         (it->second.read_at && now - *it->second.read_at <= kMaxReadAge);
}

bool OriginCertainty::IsConnected(const core::SocketAddress& address) const {
  const auto it = doubts_.find(address);
  return it == doubts_.end() || it->second.connected_at;
}

void OriginCertainty::WhenCertain(const core::SocketAddress& address,
                                  core::TimePoint now,
                                  Callback callback) {
  std::erase_if(waiting_, [now](const Waiting& it) {
    return now - it.since > OriginHistory::kStreamLifetime;
  });
  waiting_.push_back(
      {.address = address, .since = now, .callback = std::move(callback)});
}

bool OriginCertainty::IsReadDue(core::TimePoint now) const {
  return std::any_of(waiting_.begin(), waiting_.end(),
                     [now](const Waiting& it) {
                       return now - it.since >= kMaxWaitForView &&
                              now - it.since < kMaxReadTime;
                     });
}

std::optional<LogPosition> OriginCertainty::NeededFrom(
    core::TimePoint now) const {
  std::optional<LogPosition> from;
  for (const auto& [address, doubt] : doubts_) {
    const bool is_open = doubt.log_end && !doubt.started_at_ms;
    if (is_open && now - *doubt.connected_at < kMaxReadTime) {
      from = std::min(from.value_or(doubt.scanned_to), doubt.scanned_to);
    }
  }
  return from;
}

void OriginCertainty::DropOldest() {
  doubts_.erase(std::min_element(
      doubts_.begin(), doubts_.end(), [](const auto& a, const auto& b) {
        return a.second.broken_at < b.second.broken_at;
      }));
}

}  // namespace wasabi::forwarding
