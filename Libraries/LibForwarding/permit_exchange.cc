#include "LibForwarding/permit_exchange.h"

#include <algorithm>
#include <cmath>
#include <utility>

#include "LibCore/hash.h"
#include "LibCore/try.h"

namespace wasabi::forwarding {

namespace {

using membership::ApplicationKind;

// An answer takes a few milliseconds.
constexpr core::Duration kMaxAnswerTime = core::milliseconds(50);
// A host that did not answer is not asked again for this long.
constexpr core::Duration kSilenceTime = core::seconds(1);
// Time in each of its turns in which a host may use its own share. Hosts that
// saved theirs up could send them all at the same moment.
constexpr core::Duration kTurnLength = core::seconds(1);
constexpr core::Duration kMaxWait = core::seconds(5);
// The bucket of an endpoint that nobody asked for is dropped after this time.
constexpr core::Duration kBucketLifetime = core::seconds(10);

}  // namespace

PermitExchange::PermitExchange(core::HostId self, SendFunction send)
    : self_(std::move(self)),
      send_(std::move(send)),
      limits_(self_, ApplicationKind::kEndpointLimits, send_) {
  SetHosts({self_}, 1);
}

void PermitExchange::SetHosts(const std::vector<core::HostId>& running,
                              size_t fleet_size) {
  running_ = running;
  candidates_.clear();
  for (const core::HostId& it : running_) {
    candidates_.push_back({.hash = it.Hash(), .weight = 1.0});
  }
  fleet_size_ = std::max(fleet_size, running_.size());
}

core::HostId PermitExchange::GranterOf(uint64_t endpoint) const {
  const size_t winner = core::RendezvousWinner(endpoint, candidates_);
  return winner < running_.size() ? running_[winner] : core::HostId();
}

void PermitExchange::RecordLimit(const core::RunnerId& endpoint,
                                 std::optional<double> per_second,
                                 core::TimePoint now) {
  limits_.Record(endpoint.Hash(), per_second, now);
}

void PermitExchange::Forget(const core::RunnerId& endpoint) {
  const uint64_t key = endpoint.Hash();
  limits_.Forget(key);
  buckets_.erase(key);
  exhausted_until_.erase(key);
  used_turns_.erase(key);
}

bool PermitExchange::IsLimited(const core::RunnerId& endpoint) const {
  return limits_.Find(endpoint.Hash()).has_value();
}

core::TimePoint PermitExchange::ExhaustedUntil(
    const core::RunnerId& endpoint) const {
  const auto it = exhausted_until_.find(endpoint.Hash());
  const bool counts = it != exhausted_until_.end() && IsLimited(endpoint);
  return counts ? it->second : core::TimePoint();
}

void PermitExchange::Acquire(const core::RunnerId& endpoint,
                             core::TimePoint now,
                             Callback callback) {
  const uint64_t key = endpoint.Hash();
  const std::optional<double> per_second = limits_.Find(key);
  if (!per_second) {
    callback(true);
    return;
  }
  const core::HostId granter = GranterOf(key);
  if (granter == self_) {
    const core::Duration wait = TakeGranted(key, *per_second, now);
    Exhaust(key, wait, now);
    callback(wait == core::Duration::zero());
    return;
  }
  const auto silent = silent_until_.find(granter);
  if (granter.empty() ||
      (silent != silent_until_.end() && now < silent->second)) {
    callback(TakeOwnShare(key, now));
    return;
  }
  questions_[++sequence_] = {.endpoint = key,
                             .asked = granter,
                             .callback = std::move(callback),
                             .ends_at = now + kMaxAnswerTime};
  send_({granter}, ApplicationKind::kPermitQuestion,
        core::Encode(PermitQuestion{.sequence = sequence_,
                                    .limit = limits_.ReportOf(key, now)}));
}

core::Duration PermitExchange::TakeGranted(uint64_t endpoint,
                                           double per_second,
                                           core::TimePoint now) {
  const double seen =
      static_cast<double>(running_.size()) / static_cast<double>(fleet_size_);
  PermitBucket& bucket =
      buckets_.try_emplace(endpoint, PermitBucket(now)).first->second;
  return bucket.Take(per_second * seen, now);
}

bool PermitExchange::TakeOwnShare(uint64_t endpoint, core::TimePoint now) {
  const std::optional<double> per_second = limits_.Find(endpoint);
  if (!per_second) {
    return true;
  }
  // The turns of a host come every `period`; their phase is its own.
  const double period = static_cast<double>(fleet_size_) / *per_second;
  const uint64_t mixed = core::CombineHashes(self_.Hash(), endpoint);
  const double phase = static_cast<double>(mixed >> 32U) / UINT32_MAX;
  const double turns = core::ToSeconds(now.time_since_epoch()) / period + phase;
  const auto turn = static_cast<int64_t>(std::floor(turns));
  const double into_turn = (turns - std::floor(turns)) * period;
  const auto [used, is_first] = used_turns_.try_emplace(endpoint, turn - 1);
  if (used->second != turn && into_turn < core::ToSeconds(kTurnLength)) {
    used->second = turn;
    return true;
  }
  Exhaust(endpoint, core::FromSeconds(period - into_turn), now);
  return false;
}

void PermitExchange::Exhaust(uint64_t endpoint,
                             core::Duration wait,
                             core::TimePoint now) {
  if (wait > core::Duration::zero()) {
    exhausted_until_[endpoint] = now + std::min(wait, kMaxWait);
  }
}

void PermitExchange::Tick(core::TimePoint now) {
  std::vector<Question> unanswered;
  for (auto it = questions_.begin(); it != questions_.end();) {
    if (now < it->second.ends_at) {
      ++it;
      continue;
    }
    unanswered.push_back(std::move(it->second));
    it = questions_.erase(it);
  }
  for (const Question& it : unanswered) {
    silent_until_[it.asked] = now + kSilenceTime;
    it.callback(TakeOwnShare(it.endpoint, now));
  }
  std::erase_if(silent_until_,
                [now](const auto& it) { return now >= it.second; });
  absl::erase_if(buckets_, [now](const auto& it) {
    return now - it.second.refilled_at() > kBucketLifetime;
  });
  absl::erase_if(exhausted_until_,
                 [now](const auto& it) { return now >= it.second; });
  limits_.Tick(now);
}

absl::Status PermitExchange::OnQuestion(const core::HostId& from,
                                        std::string_view body,
                                        core::TimePoint now) {
  TRY_ASSIGN(const auto question, core::Decode<PermitQuestion>(body));
  const uint64_t endpoint = question.limit.endpoint;
  limits_.Merge(question.limit, now);
  PermitAnswer answer{.sequence = question.sequence,
                      .limit = limits_.ReportOf(endpoint, now)};
  const std::optional<double> per_second = limits_.Find(endpoint);
  if (GranterOf(endpoint) != self_) {
    answer.is_misdirected = true;
  } else if (!per_second) {
    answer.is_granted = true;
  } else {
    const core::Duration wait = TakeGranted(endpoint, *per_second, now);
    answer.is_granted = wait == core::Duration::zero();
    answer.wait_milliseconds = core::ToMilliseconds(wait) + 1;
  }
  send_({from}, ApplicationKind::kPermitAnswer, core::Encode(answer));
  return absl::OkStatus();
}

absl::Status PermitExchange::OnAnswer(const core::HostId& from,
                                      std::string_view body,
                                      core::TimePoint now) {
  TRY_ASSIGN(const auto answer, core::Decode<PermitAnswer>(body));
  const auto it = questions_.find(answer.sequence);
  // An answer that comes late, as after a pause of this process, may have run
  // out.
  if (it == questions_.end() || it->second.asked != from ||
      now >= it->second.ends_at) {
    return absl::OkStatus();
  }
  const Question question = std::move(it->second);
  questions_.erase(it);
  limits_.Merge(answer.limit, now);
  if (answer.is_misdirected) {
    question.callback(TakeOwnShare(question.endpoint, now));
    return absl::OkStatus();
  }
  if (!answer.is_granted) {
    Exhaust(question.endpoint, core::milliseconds(answer.wait_milliseconds),
            now);
  }
  question.callback(answer.is_granted);
  return absl::OkStatus();
}

}  // namespace wasabi::forwarding
