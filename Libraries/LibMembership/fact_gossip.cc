#include "LibMembership/fact_gossip.h"

#include <algorithm>
#include <cmath>
#include <tuple>

#include "LibCore/result_code.h"
#include "LibCore/text.h"
#include "LibCore/try.h"
#include "LibMembership/gossip_message.h"

namespace wasabi::membership {

namespace {

constexpr size_t kMaxBodyBytes = 1200;
constexpr double kBurstBytes = 4000;
// Maximum number of members that are sent new facts in each tick.
constexpr int kFanout = 2;
// Transmissions of one fact by one member, as a multiple of the binary
// logarithm of the number of members.
constexpr double kTransmissionsPerDoubling = 2;
constexpr int kMinTransmissions = 10;
// Facts are resent at this period for members that joined in the meantime.
constexpr core::Duration kResendPeriod = core::seconds(5);
// Bytes reserved for the MessagePack framing, version and remaining lifetime of
// one fact.
constexpr size_t kFactOverheadBytes = 24;

int TransmissionLimit(const MemberTable& table) {
  const double doublings =
      std::log2(static_cast<double>(table.members().size()) + 1);
  return std::max(kMinTransmissions,
                  static_cast<int>(kTransmissionsPerDoubling * doublings));
}

}  // namespace

FactGossip::FactGossip(FactOptions options,
                       uint64_t random_seed,
                       SendFunction send)
    : options_(std::move(options)),
      send_(std::move(send)),
      random_(random_seed),
      bucket_(options_.rate, kBurstBytes) {}

bool FactGossip::IsSizeAllowed(const std::string& key,
                               const std::string& value) const {
  return !key.empty() && key.size() + value.size() <= options_.max_fact_bytes;
}

absl::Status FactGossip::Set(const std::string& key,
                             const std::string& value,
                             core::Duration lifetime,
                             core::TimePoint now) {
  if (!IsSizeAllowed(key, value)) {
    return core::MakeStatus(
        core::ResultCode::kMalformedMessage,
        fmt::format("fact with an empty key or above the size limit: {} bytes",
                    key.size() + value.size()));
  }
  const auto it = facts_.find(key);
  Fact fact;
  fact.value = value;
  fact.version = it == facts_.end() ? 1 : it->second.version + 1;
  fact.expires_at = now + std::min(lifetime, options_.max_lifetime);
  Store(key, std::move(fact));
  return absl::OkStatus();
}

std::optional<std::string> FactGossip::Get(const std::string& key,
                                           core::TimePoint now) const {
  const auto it = facts_.find(key);
  if (it == facts_.end() || it->second.expires_at <= now ||
      it->second.value.empty()) {
    return std::nullopt;
  }
  return it->second.value;
}

std::vector<std::pair<std::string, std::string>> FactGossip::WithPrefix(
    std::string_view prefix,
    core::TimePoint now) const {
  std::vector<std::pair<std::string, std::string>> found;
  for (auto it = facts_.lower_bound(prefix);
       it != facts_.end() && it->first.starts_with(prefix); ++it) {
    if (it->second.expires_at > now && !it->second.value.empty()) {
      found.emplace_back(it->first, it->second.value);
    }
  }
  return found;
}

void FactGossip::Store(const std::string& key, Fact fact) {
  if (facts_.size() >= options_.max_facts && !facts_.contains(key)) {
    EvictOne();
  }
  const std::string value = fact.value;
  facts_[key] = std::move(fact);
  if (observer_) {
    observer_(key, value);
  }
}

void FactGossip::EvictOne() {
  const auto it = std::min_element(
      facts_.begin(), facts_.end(), [](const auto& a, const auto& b) {
        return a.second.expires_at < b.second.expires_at;
      });
  facts_.erase(it);
}

void FactGossip::Tick(const MemberTable& table, core::TimePoint now) {
  std::erase_if(facts_,
                [now](const auto& it) { return it.second.expires_at <= now; });
  if (facts_.empty()) {
    return;
  }
  const int limit = TransmissionLimit(table);
  for (int i = 0; i < kFanout; ++i) {
    if (bucket_.Available(now) < kMaxBodyBytes + kDatagramHeaderBytes) {
      return;
    }
    SendToNext(table,
               SelectForDatagram(
                   [limit](const Fact& it) { return it.transmissions < limit; },
                   0, now),
               now);
  }
  if (now >= next_resend_at_) {
    next_resend_at_ = now + kResendPeriod;
    SendToNext(table,
               SelectForDatagram([](const Fact&) { return true; },
                                 random_.Below(facts_.size()), now),
               now);
  }
}

std::vector<FactGossip::WireFact> FactGossip::SelectForDatagram(
    const std::function<bool(const Fact&)>& is_wanted,
    size_t start,
    core::TimePoint now) {
  std::vector<WireFact> selected;
  size_t used = 0;
  auto it = std::next(facts_.begin(), static_cast<std::ptrdiff_t>(start));
  for (size_t i = 0; i < facts_.size(); ++i, ++it) {
    if (it == facts_.end()) {
      it = facts_.begin();
    }
    auto& [key, fact] = *it;
    if (!is_wanted(fact)) {
      continue;
    }
    used += key.size() + fact.value.size() + kFactOverheadBytes;
    if (used > kMaxBodyBytes) {
      break;
    }
    ++fact.transmissions;
    selected.push_back(
        {key, fact.value, fact.version,
         static_cast<uint32_t>(core::ToMilliseconds(fact.expires_at - now))});
  }
  return selected;
}

std::optional<core::HostId> FactGossip::NextPeer(const MemberTable& table) {
  if (round_.empty()) {
    for (const Member& it : table.members()) {
      round_.push_back(it.id);
    }
    std::erase(round_, options_.self);
    for (size_t i = round_.size(); i > 1; --i) {
      std::swap(round_[i - 1], round_[random_.Below(i)]);
    }
  }
  if (round_.empty()) {
    return std::nullopt;
  }
  const core::HostId peer = round_.back();
  round_.pop_back();
  return peer;
}

void FactGossip::SendToNext(const MemberTable& table,
                            const std::vector<WireFact>& facts,
                            core::TimePoint now) {
  const std::optional<core::HostId> peer =
      facts.empty() ? std::nullopt : NextPeer(table);
  if (!peer) {
    return;
  }
  const std::string body = core::Encode(facts);
  if (bucket_.TryTake(static_cast<double>(body.size() + kDatagramHeaderBytes),
                      now)) {
    send_(*peer, body);
  }
}

absl::Status FactGossip::OnDatagram(std::string_view body,
                                    core::TimePoint now) {
  TRY_ASSIGN(const std::vector<WireFact> facts,
             core::Decode<std::vector<WireFact>>(body));
  for (const WireFact& it : facts) {
    const auto known = facts_.find(it.key);
    const bool is_newer =
        known == facts_.end() ||
        std::tie(it.version, it.value) >
            std::tie(known->second.version, known->second.value);
    if (!is_newer || !IsSizeAllowed(it.key, it.value) || it.remaining_ms == 0) {
      continue;
    }
    Fact fact;
    fact.value = it.value;
    fact.version = it.version;
    fact.expires_at =
        now + std::min<core::Duration>(core::milliseconds(it.remaining_ms),
                                       options_.max_lifetime);
    Store(it.key, std::move(fact));
  }
  return absl::OkStatus();
}

}  // namespace wasabi::membership
