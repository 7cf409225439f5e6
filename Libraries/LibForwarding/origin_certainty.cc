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
constexpr size_t kMaxDoubts = 10'000;

}  // namespace

void OriginCertainty::RecordBreak(const core::SocketAddress& address,
                                  core::TimePoint now) {
  Doubt doubt;
  doubt.broken_at = now;
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
  if (it != doubts_.end() && !it->second.connected_at) {
    it->second.connected_at = now;
  }
}

void OriginCertainty::RecordRead(
    core::TimePoint started_at,
    const std::set<core::SocketAddress>& outdated) {
  for (auto& [address, doubt] : doubts_) {
    if (!outdated.contains(address) && started_at >= doubt.broken_at) {
      doubt.read_at = std::max(doubt.read_at.value_or(started_at), started_at);
    }
  }
  std::erase_if(doubts_, [](const auto& it) {
    const Doubt& doubt = it.second;
    return doubt.connected_at && doubt.read_at &&
           *doubt.read_at >= *doubt.connected_at;
  });
  Serve(started_at, outdated);
}

void OriginCertainty::Serve(core::TimePoint started_at,
                            const std::set<core::SocketAddress>& outdated) {
  const auto served = std::stable_partition(
      waiting_.begin(), waiting_.end(), [&](const Waiting& it) {
        return started_at < it.since || outdated.contains(it.address);
      });
  const std::vector<Waiting> ended(std::make_move_iterator(served),
                                   std::make_move_iterator(waiting_.end()));
  waiting_.erase(served, waiting_.end());
  for (const Waiting& it : ended) {
    it.callback(it.has_broken);
  }
}

bool OriginCertainty::IsCertain(const core::SocketAddress& address) const {
  return !doubts_.contains(address);
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

void OriginCertainty::AfterRead(const core::SocketAddress& address,
                                core::TimePoint now,
                                Callback callback) {
  std::erase_if(waiting_, [now](const Waiting& it) {
    return now - it.since > OriginHistory::kStreamLifetime;
  });
  waiting_.push_back(
      {.address = address, .since = now, .callback = std::move(callback)});
}

bool OriginCertainty::IsReadDue(core::TimePoint now) const {
  return !waiting_.empty() && now - waiting_.front().since >= kMaxWaitForView;
}

void OriginCertainty::DropOldest() {
  doubts_.erase(std::min_element(
      doubts_.begin(), doubts_.end(), [](const auto& a, const auto& b) {
        return a.second.broken_at < b.second.broken_at;
      }));
}

}  // namespace wasabi::forwarding
