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
// Questions about one endpoint at a time.
constexpr size_t kMaxOpenQuestions = 64;
// A host that did not answer is not asked again for this long.
constexpr core::Duration kSilenceTime = core::seconds(1);
// Time in each of its turns in which a host may use its own share. Hosts that
// saved theirs up could send them all at the same moment.
constexpr core::Duration kTurnLength = core::seconds(1);
constexpr core::Duration kMaxWait = core::seconds(5);
// The bucket of an endpoint that nobody asked for is dropped after this time.
constexpr core::Duration kBucketLifetime = core::seconds(10);
// In this time after a change of the hosts that this host sees, as after its
// start, another host may still take itself for the granting host of a cold
// endpoint. Membership settles within about 2 s.
constexpr core::Duration kSettlingTime = core::milliseconds(2500);
// Share of the permits of a cold endpoint that are granted in this time.
constexpr double kUnsettledShare = 0.65;
// A host whose question about a cold endpoint was denied asks again no sooner.
constexpr core::Duration kMinColdWait = core::milliseconds(20);

}  // namespace

PermitExchange::PermitExchange(core::HostId self,
                               SendFunction send,
                               uint64_t first_sequence)
    : self_(std::move(self)),
      send_(std::move(send)),
      limits_(self_, ApplicationKind::kEndpointLimits, send_),
      cold_(self_, send_),
      sequence_(first_sequence) {
  SetHosts({self_}, 1);
}

void PermitExchange::SetHosts(const std::vector<core::HostId>& running,
                              size_t fleet_size) {
  have_hosts_changed_ = have_hosts_changed_ || running_ != running;
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

void PermitExchange::MarkCold(const core::RunnerId& endpoint,
                              double per_second,
                              core::Duration left,
                              core::TimePoint now) {
  cold_.Record(endpoint.Hash(), {.per_second = per_second, .until = now + left},
               now);
}

void PermitExchange::Forget(const core::RunnerId& endpoint) {
  const uint64_t key = endpoint.Hash();
  limits_.Forget(key);
  buckets_.erase(key);
  exhausted_until_.erase(key);
  used_turns_.erase(key);
}

bool PermitExchange::IsLimited(const core::RunnerId& endpoint) const {
  return LimitOf(endpoint.Hash()).has_value();
}

std::optional<double> PermitExchange::LimitOf(uint64_t endpoint) const {
  std::optional<double> limit = limits_.Find(endpoint);
  if (const auto cold = cold_.Find(endpoint)) {
    limit = std::min(limit.value_or(cold->per_second), cold->per_second);
  }
  return limit;
}

double PermitExchange::SeenShare() const {
  return static_cast<double>(running_.size()) /
         static_cast<double>(fleet_size_);
}

core::TimePoint PermitExchange::ExhaustedUntil(
    const core::RunnerId& endpoint) const {
  const auto it = exhausted_until_.find(endpoint.Hash());
  const bool counts = it != exhausted_until_.end() && IsLimited(endpoint);
  return counts ? it->second : core::TimePoint();
}

GrantReply<bool> PermitExchange::Acquire(const core::RunnerId& endpoint,
                                         core::TimePoint now,
                                         Callback callback) {
  const GrantReply<bool> reply = TakeWithoutQuestion(endpoint.Hash(), now);
  if (!reply) {
    AskOrWait(endpoint.Hash(), now, std::move(callback));
  }
  return reply;
}

GrantReply<bool> PermitExchange::TakeWithoutQuestion(uint64_t endpoint,
                                                     core::TimePoint now) {
  const std::optional<double> per_second = LimitOf(endpoint);
  if (!per_second) {
    return true;
  }
  const core::HostId granter = GranterOf(endpoint);
  if (granter == self_) {
    const core::Duration wait = TakeGranted(endpoint, *per_second, now);
    Exhaust(endpoint, wait, now);
    return wait == core::Duration::zero();
  }
  const auto silent = silent_until_.find(granter);
  if (granter.empty() ||
      (silent != silent_until_.end() && now < silent->second)) {
    return TakeOwnShare(endpoint, now);
  }
  return std::nullopt;
}

void PermitExchange::AskOrWait(uint64_t endpoint,
                               core::TimePoint now,
                               Callback callback) {
  const auto asking = asking_.find(endpoint);
  if (asking != asking_.end() &&
      asking->second.open >= asking->second.max_open) {
    asking->second.waiting.push_back(std::move(callback));
    return;
  }
  Ask(endpoint, GranterOf(endpoint), now, std::move(callback));
}

void PermitExchange::Ask(uint64_t endpoint,
                         const core::HostId& granter,
                         core::TimePoint now,
                         Callback callback) {
  ++asking_[endpoint].open;
  questions_[++sequence_] = {.endpoint = endpoint,
                             .asked = granter,
                             .callback = std::move(callback),
                             .ends_at = now + kMaxAnswerTime};
  send_({granter}, ApplicationKind::kPermitQuestion,
        core::Encode(PermitQuestion{.sequence = sequence_,
                                    .limit = limits_.ReportOf(endpoint, now),
                                    .cold = cold_.ReportOf(endpoint, now)}));
}

void PermitExchange::EndWithPermit(uint64_t endpoint, core::TimePoint now) {
  Asking& ended = asking_[endpoint];
  --ended.open;
  ended.max_open = std::min(ended.max_open * 2, kMaxOpenQuestions);
  // Each callback may ask too.
  for (auto it = asking_.find(endpoint); it != asking_.end();
       it = asking_.find(endpoint)) {
    Asking& asking = it->second;
    if (asking.waiting.empty() || asking.open >= asking.max_open) {
      break;
    }
    Callback next = std::move(asking.waiting.front());
    asking.waiting.pop_front();
    if (const GrantReply<bool> reply = TakeWithoutQuestion(endpoint, now)) {
      next(*reply);
    } else {
      AskOrWait(endpoint, now, std::move(next));
    }
  }
}

std::deque<PermitExchange::Callback> PermitExchange::EndWithoutPermit(
    uint64_t endpoint) {
  Asking& asking = asking_[endpoint];
  --asking.open;
  asking.max_open = 1;
  return std::exchange(asking.waiting, {});
}

core::Duration PermitExchange::TakeGranted(uint64_t endpoint,
                                           double per_second,
                                           core::TimePoint now) {
  if (const auto cold = cold_.Find(endpoint)) {
    const bool is_settled = now >= unsettled_until_;
    const double granted = cold_policy_.GrantedPerSecond(per_second) *
                           SeenShare() * (is_settled ? 1 : kUnsettledShare);
    ColdPermits& permits =
        cold_permits_.try_emplace(endpoint, ColdPermits(is_settled, now))
            .first->second;
    // What counts after the cold time is decided then.
    return std::min(permits.Take(granted, now),
                    std::max(cold->until - now, kMinColdWait));
  }
  PermitBucket& bucket =
      buckets_.try_emplace(endpoint, PermitBucket(now)).first->second;
  return bucket.Take(per_second * SeenShare(), now);
}

bool PermitExchange::TakeOwnShare(uint64_t endpoint, core::TimePoint now) {
  const std::optional<double> limit = LimitOf(endpoint);
  if (!limit) {
    return true;
  }
  const bool is_cold = cold_.Find(endpoint).has_value();
  const double per_second =
      is_cold ? cold_policy_.UnaskedPerSecond(*limit) : *limit;
  // The turns of a host come every `period`; their phase is its own.
  const double period = static_cast<double>(fleet_size_) / per_second;
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
  if (std::exchange(have_hosts_changed_, false)) {
    unsettled_until_ = now + kSettlingTime;
  }
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
    const std::deque<Callback> waiting = EndWithoutPermit(it.endpoint);
    it.callback(TakeOwnShare(it.endpoint, now));
    for (const Callback& callback : waiting) {
      callback(TakeOwnShare(it.endpoint, now));
    }
  }
  std::erase_if(silent_until_,
                [now](const auto& it) { return now >= it.second; });
  absl::erase_if(buckets_, [now](const auto& it) {
    return now - it.second.refilled_at() > kBucketLifetime;
  });
  absl::erase_if(cold_permits_, [now](const auto& it) {
    return now - it.second.last_taken_at() > kBucketLifetime;
  });
  absl::erase_if(asking_, [](const auto& it) {
    return it.second.open == 0 && it.second.waiting.empty();
  });
  absl::erase_if(exhausted_until_,
                 [now](const auto& it) { return now >= it.second; });
  limits_.Tick(now);
  cold_.Tick(now);
}

absl::Status PermitExchange::OnQuestion(const core::HostId& from,
                                        std::string_view body,
                                        core::TimePoint now) {
  TRY_ASSIGN(const auto question, core::Decode<PermitQuestion>(body));
  const uint64_t endpoint = question.limit.endpoint;
  limits_.Merge(question.limit, now);
  if (question.cold.endpoint == endpoint) {
    cold_.Merge(question.cold, now);
  }
  PermitAnswer answer{.sequence = question.sequence,
                      .limit = limits_.ReportOf(endpoint, now),
                      .cold = cold_.ReportOf(endpoint, now)};
  const std::optional<double> per_second = LimitOf(endpoint);
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
  const bool knows_cold_state = answer.cold.endpoint == question.endpoint;
  if (knows_cold_state) {
    cold_.Merge(answer.cold, now);
  }
  const bool is_cold_unknown_to_granter =
      !knows_cold_state && cold_.Find(question.endpoint).has_value();
  if (answer.is_misdirected || is_cold_unknown_to_granter) {
    const std::deque<Callback> waiting = EndWithoutPermit(question.endpoint);
    question.callback(TakeOwnShare(question.endpoint, now));
    for (const Callback& it : waiting) {
      it(TakeOwnShare(question.endpoint, now));
    }
    return absl::OkStatus();
  }
  if (answer.is_granted) {
    question.callback(true);
    EndWithPermit(question.endpoint, now);
    return absl::OkStatus();
  }
  Exhaust(question.endpoint, core::milliseconds(answer.wait_milliseconds), now);
  const std::deque<Callback> waiting = EndWithoutPermit(question.endpoint);
  question.callback(false);
  for (const Callback& it : waiting) {
    it(false);
  }
  return absl::OkStatus();
}

}  // namespace wasabi::forwarding
