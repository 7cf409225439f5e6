#include "LibForwarding/pool_slot_exchange.h"

#include <algorithm>
#include <optional>
#include <tuple>
#include <utility>

#include "LibCore/hash.h"
#include "LibCore/try.h"

namespace wasabi::forwarding {

namespace {

using membership::ApplicationKind;

// An answer takes 1 to 4 ms. With the time until the next tick, a request loses
// less than a third of an objective of 300 ms.
constexpr core::Duration kMaxAnswerTime = core::milliseconds(25);
// A host that left this many questions in a row unanswered is taken to be away,
// and is not asked again for a time. Single datagrams get lost.
constexpr int kMaxUnanswered = 3;
constexpr core::Duration kSilenceTime = core::seconds(1);
constexpr core::Duration kReportInterval = core::milliseconds(400);
// A host that was not heard of for this long has no requests in flight.
constexpr core::Duration kHolderLifetime = core::seconds(2);
// Requests that may wait at an endpoint, as a multiple of its slots. Endpoints
// turn away what exceeds their waiting room, whose size they do not state.
constexpr uint32_t kMaxWaitingPerSlot = 1;
// Bounds the memory for endpoints that no longer exist.
constexpr size_t kMaxEndpoints = 64;

uint32_t KeyOf(uint64_t endpoint) {
  return static_cast<uint32_t>(endpoint);
}

// Returns how long a request waits at an endpoint with `slots` that has `taken`
// requests, in milliseconds.
int64_t WaitAt(uint32_t taken, uint32_t slots, int64_t service_ms) {
  return taken < slots ? 0 : (taken + 1 - slots) * service_ms / slots;
}

PoolSlotQuestion ToMessage(const PoolSlotRequest& request,
                           PoolSlotReport report) {
  PoolSlotQuestion question;
  question.report = std::move(report);
  for (const PoolSlotRequest::Candidate& it : request.candidates) {
    question.candidates.push_back({.endpoint = KeyOf(it.endpoint),
                                   .slots = std::max(it.slots, 1U),
                                   .is_near = it.is_near});
  }
  question.service_ms = core::ToMilliseconds(request.service_time);
  question.max_wait_ms = core::ToMilliseconds(request.max_wait);
  return question;
}

PoolSlotResult ToResult(const PoolSlotAnswer& answer,
                        const std::vector<uint64_t>& endpoints) {
  if (answer.is_misdirected) {
    return {};
  }
  if (!answer.is_granted) {
    return {.outcome = PoolSlotOutcome::kFull,
            .wait = core::milliseconds(std::max<int64_t>(answer.wait_ms, 0))};
  }
  const auto it = std::find_if(
      endpoints.begin(), endpoints.end(),
      [&answer](uint64_t hash) { return KeyOf(hash) == answer.endpoint; });
  if (it == endpoints.end()) {
    return {};
  }
  return {.outcome = PoolSlotOutcome::kGranted, .endpoint = *it};
}

}  // namespace

PoolSlotExchange::PoolSlotExchange(core::HostId self,
                                   InFlightFunction in_flight,
                                   SendFunction send,
                                   uint64_t first_sequence)
    : self_(std::move(self)),
      in_flight_(std::move(in_flight)),
      send_(std::move(send)),
      sequence_(first_sequence) {
  SetHosts({self_});
}

void PoolSlotExchange::SetHosts(const std::vector<core::HostId>& running) {
  running_ = running;
  candidates_.clear();
  for (const core::HostId& it : running_) {
    candidates_.push_back({.hash = it.Hash(), .weight = 1.0});
  }
}

core::HostId PoolSlotExchange::GranterOf(uint64_t pool) const {
  const size_t winner = core::RendezvousWinner(pool, candidates_);
  return winner < running_.size() ? running_[winner] : core::HostId();
}

PoolSlotReport PoolSlotExchange::MakeReport(uint64_t pool) {
  PoolSlotReport report{.sequence = ++sequence_, .pool = pool};
  for (const uint64_t it : endpoints_[pool]) {
    const uint32_t n = in_flight_(it);
    if (n > 0) {
      report.counts.push_back({.endpoint = KeyOf(it), .in_flight = n});
    }
  }
  for (const auto& [sequence, question] : questions_) {
    if (question.pool == pool) {
      report.pending.push_back(sequence);
    }
  }
  return report;
}

GrantReply<PoolSlotResult> PoolSlotExchange::Acquire(
    const PoolSlotRequest& request,
    core::TimePoint now,
    Callback callback) {
  const uint64_t pool = request.pool.Hash();
  const core::HostId granter = GranterOf(pool);
  std::set<uint64_t>& known = endpoints_[pool];
  if (known.size() > kMaxEndpoints) {
    std::erase_if(known, [this](uint64_t it) { return in_flight_(it) == 0; });
  }
  std::vector<uint64_t> hashes;
  for (const PoolSlotRequest::Candidate& it : request.candidates) {
    known.insert(it.endpoint);
    hashes.push_back(it.endpoint);
  }
  reported_.insert(pool);
  const PoolSlotQuestion question = ToMessage(request, MakeReport(pool));
  if (granter == self_) {
    return ToResult(Grant(self_, question, now), hashes);
  }
  const auto silent = silent_until_.find(granter);
  if (granter.empty() ||
      (silent != silent_until_.end() && now < silent->second)) {
    return PoolSlotResult();
  }
  questions_[question.report.sequence] = {.pool = pool,
                                          .asked = granter,
                                          .endpoints = std::move(hashes),
                                          .callback = std::move(callback),
                                          .ends_at = now + kMaxAnswerTime};
  send_({granter}, ApplicationKind::kPoolSlotQuestion, core::Encode(question));
  return std::nullopt;
}

PoolSlotExchange::Holder& PoolSlotExchange::RecordHolder(
    const core::HostId& host,
    const PoolSlotReport& report,
    core::TimePoint now) {
  Holder& holder = holders_[report.pool][host];
  const bool has_restarted = now - holder.heard_at > kHolderLifetime;
  if (report.sequence <= holder.sequence && !has_restarted) {
    return holder;
  }
  std::erase_if(holder.grants, [&](const UnreportedGrant& it) {
    const bool is_pending =
        std::find(report.pending.begin(), report.pending.end(), it.sequence) !=
        report.pending.end();
    return has_restarted || (!is_pending && it.sequence < report.sequence);
  });
  holder.sequence = report.sequence;
  holder.counts = report.counts;
  holder.heard_at = now;
  return holder;
}

absl::flat_hash_map<uint32_t, uint32_t> PoolSlotExchange::Taken(
    uint64_t pool,
    core::TimePoint now) const {
  absl::flat_hash_map<uint32_t, uint32_t> taken;
  if (const auto own = endpoints_.find(pool); own != endpoints_.end()) {
    for (const uint64_t it : own->second) {
      taken[KeyOf(it)] += in_flight_(it);
    }
  }
  const auto holders = holders_.find(pool);
  if (holders == holders_.end()) {
    return taken;
  }
  for (const auto& [host, holder] : holders->second) {
    if (host == self_ || now - holder.heard_at > kHolderLifetime) {
      continue;
    }
    for (const PoolSlotCount& it : holder.counts) {
      taken[it.endpoint] += it.in_flight;
    }
    for (const UnreportedGrant& it : holder.grants) {
      ++taken[it.endpoint];
    }
  }
  return taken;
}

PoolSlotAnswer PoolSlotExchange::Grant(const core::HostId& host,
                                       const PoolSlotQuestion& question,
                                       core::TimePoint now) {
  const uint64_t pool = question.report.pool;
  Holder& holder = RecordHolder(host, question.report, now);
  auto taken = Taken(pool, now);
  const auto rank = [&](const PoolSlotCandidate& it) {
    const double fill = static_cast<double>(taken[it.endpoint] + 1) / it.slots;
    return std::make_tuple(
        fill, !it.is_near,
        core::CombineHashes(it.endpoint, question.report.sequence));
  };
  const auto best = std::min_element(
      question.candidates.begin(), question.candidates.end(),
      [&](const auto& a, const auto& b) { return rank(a) < rank(b); });
  PoolSlotAnswer answer{.sequence = question.report.sequence};
  if (best == question.candidates.end() || best->slots == 0) {
    return answer;
  }
  const uint32_t n = taken[best->endpoint];
  const int64_t wait_ms = WaitAt(n, best->slots, question.service_ms);
  const bool has_room =
      n < best->slots ||
      (question.service_ms > 0 && n < best->slots * (1 + kMaxWaitingPerSlot) &&
       wait_ms <= question.max_wait_ms);
  if (!has_room) {
    answer.wait_ms = wait_ms;
    return answer;
  }
  answer.is_granted = true;
  answer.endpoint = best->endpoint;
  // Requests of this host itself are counted as soon as they start.
  if (host != self_) {
    holder.grants.push_back(
        {.sequence = question.report.sequence, .endpoint = best->endpoint});
  }
  return answer;
}

void PoolSlotExchange::OnFinished(const core::PoolId& pool,
                                  core::TimePoint now) {
  const uint64_t key = pool.Hash();
  if (reported_.contains(key)) {
    SendReport(key, now);
  }
}

void PoolSlotExchange::SendReport(uint64_t pool, core::TimePoint now) {
  const core::HostId granter = GranterOf(pool);
  if (granter == self_ || granter.empty()) {
    return;
  }
  const auto silent = silent_until_.find(granter);
  if (silent == silent_until_.end() || now >= silent->second) {
    send_({granter}, ApplicationKind::kPoolSlotReport,
          core::Encode(MakeReport(pool)));
  }
}

void PoolSlotExchange::EndUnanswered(core::TimePoint now) {
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
    if (++unanswered_[it.asked] >= kMaxUnanswered) {
      silent_until_[it.asked] = now + kSilenceTime;
    }
    // A slot may have been granted, and the answer lost.
    SendReport(it.pool, now);
    it.callback({});
  }
}

void PoolSlotExchange::Tick(core::TimePoint now) {
  EndUnanswered(now);
  std::erase_if(silent_until_,
                [now](const auto& it) { return now >= it.second; });
  if (now < next_reports_at_) {
    return;
  }
  next_reports_at_ = now + kReportInterval;
  for (auto& [pool, holders] : holders_) {
    std::erase_if(holders, [now](const auto& it) {
      return now - it.second.heard_at > kHolderLifetime;
    });
  }
  absl::erase_if(holders_, [](const auto& it) { return it.second.empty(); });
  for (const uint64_t it : std::exchange(reported_, {})) {
    SendReport(it, now);
    const std::set<uint64_t>& known = endpoints_[it];
    const bool is_idle = std::none_of(
        known.begin(), known.end(),
        [this](uint64_t endpoint) { return in_flight_(endpoint) > 0; });
    if (is_idle && questions_.empty()) {
      endpoints_.erase(it);
    } else {
      reported_.insert(it);
    }
  }
}

absl::Status PoolSlotExchange::OnQuestion(const core::HostId& from,
                                          std::string_view body,
                                          core::TimePoint now) {
  TRY_ASSIGN(const auto question, core::Decode<PoolSlotQuestion>(body));
  PoolSlotAnswer answer{.sequence = question.report.sequence,
                        .is_misdirected = true};
  if (GranterOf(question.report.pool) == self_) {
    answer = Grant(from, question, now);
  }
  send_({from}, ApplicationKind::kPoolSlotAnswer, core::Encode(answer));
  return absl::OkStatus();
}

absl::Status PoolSlotExchange::OnAnswer(const core::HostId& from,
                                        std::string_view body,
                                        core::TimePoint now) {
  TRY_ASSIGN(const auto answer, core::Decode<PoolSlotAnswer>(body));
  const auto it = questions_.find(answer.sequence);
  // An answer that comes late, as after a pause of this process, may have run
  // out.
  if (it == questions_.end() || it->second.asked != from ||
      now >= it->second.ends_at) {
    return absl::OkStatus();
  }
  const Question question = std::move(it->second);
  questions_.erase(it);
  unanswered_.erase(from);
  question.callback(ToResult(answer, question.endpoints));
  return absl::OkStatus();
}

absl::Status PoolSlotExchange::OnReport(const core::HostId& from,
                                        std::string_view body,
                                        core::TimePoint now) {
  TRY_ASSIGN(const auto report, core::Decode<PoolSlotReport>(body));
  if (GranterOf(report.pool) == self_) {
    RecordHolder(from, report, now);
  }
  return absl::OkStatus();
}

}  // namespace wasabi::forwarding
