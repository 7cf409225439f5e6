#include "LibForwarding/place_exchange.h"

#include <algorithm>
#include <utility>

#include "LibCore/hash.h"
#include "LibCore/try.h"

namespace wasabi::forwarding {

namespace {

using membership::ApplicationKind;

// An answer takes a few milliseconds.
constexpr core::Duration kMaxAnswerTime = core::milliseconds(50);
// A host that is taken to be away is not asked again for this long. It must be
// less than kSettlingTime: a host that has restarted grants all places then,
// and the others must not take places without asking any more.
constexpr core::Duration kSilenceTime = core::milliseconds(250);
// A host that left this many questions in a row unanswered is taken to be away.
// With a tenth of the datagrams lost, one question in five goes unanswered.
constexpr int kMaxUnanswered = 5;
// An endpoint that had no place is not asked for again for this long.
constexpr core::Duration kFullTime = core::milliseconds(10);
constexpr core::Duration kReportInterval = core::milliseconds(400);
// A host that was not heard of for this long has no requests in flight.
constexpr core::Duration kHolderLifetime = core::seconds(2);
// Hosts have reported what they have in flight by then: one interval, a tick,
// and the time that a datagram and the news of the change take.
constexpr core::Duration kSettlingTime =
    kReportInterval + core::milliseconds(100);
// A host that has just started asks this many others which endpoints are
// brittle. Some of them may be down, and datagrams get lost.
constexpr int kNewsQuestions = 6;
constexpr int kNewsQuestionsAtOnce = 2;
constexpr core::Duration kNewsQuestionInterval = core::milliseconds(100);
// Distinguishes the keys of pools from those of endpoints.
constexpr uint64_t kPoolSalt = 0x706f6f6c;
// What is recorded of a pool that is brittle.
constexpr double kBrittlePool = 1;

uint64_t KeyOf(const core::PoolId& pool) {
  return core::CombineHashes(pool.Hash(), kPoolSalt);
}

}  // namespace

PlaceExchange::PlaceExchange(core::HostId self,
                             InFlightFunction in_flight,
                             SendFunction send,
                             uint64_t first_sequence)
    : self_(std::move(self)),
      in_flight_(std::move(in_flight)),
      send_(std::move(send)),
      order_(self_, kSettlingTime),
      brittle_(self_, ApplicationKind::kBrittleEndpoints, send_),
      sequence_(first_sequence) {
  order_.SetHosts({self_}, {});
}

void PlaceExchange::SetHosts(const std::vector<core::HostId>& running,
                             size_t fleet_size,
                             core::TimePoint now) {
  order_.SetHosts(running, now);
  fleet_size_ = std::max(fleet_size, running.size());
}

void PlaceExchange::RecordBrittle(const Endpoint& endpoint,
                                  bool is_brittle,
                                  core::TimePoint now) {
  brittle_.Record(
      endpoint.id.Hash(),
      is_brittle ? std::optional<double>(endpoint.slots) : std::nullopt, now);
  brittle_.Record(KeyOf(endpoint.pool),
                  is_brittle ? std::optional(kBrittlePool) : std::nullopt, now);
}

bool PlaceExchange::IsBrittle(const Endpoint& endpoint) const {
  return brittle_.Find(endpoint.id.Hash()) ||
         brittle_.Find(KeyOf(endpoint.pool));
}

void PlaceExchange::Forget(const Endpoint& endpoint) {
  if (brittle_.Find(KeyOf(endpoint.pool))) {
    return;
  }
  const uint64_t key = endpoint.id.Hash();
  brittle_.Forget(key);
  holders_.erase(key);
  full_until_.erase(key);
}

core::TimePoint PlaceExchange::FullUntil(const core::RunnerId& endpoint) const {
  const auto it = full_until_.find(endpoint.Hash());
  const bool counts =
      it != full_until_.end() && brittle_.Find(endpoint.Hash()).has_value();
  return counts ? it->second : core::TimePoint();
}

uint32_t PlaceExchange::OwnDemand(uint64_t endpoint) const {
  const auto waiting = std::count_if(
      questions_.begin(), questions_.end(),
      [endpoint](const auto& it) { return it.second.endpoint == endpoint; });
  return in_flight_(endpoint) + static_cast<uint32_t>(waiting);
}

PlaceReport PlaceExchange::MakeReport(uint64_t endpoint, core::TimePoint now) {
  return {.sequence = ++sequence_,
          .in_flight = OwnDemand(endpoint),
          .slots = brittle_.ReportOf(endpoint, now)};
}

GrantReply<bool> PlaceExchange::Acquire(const Endpoint& endpoint,
                                        core::TimePoint now,
                                        Callback callback) {
  if (!IsBrittle(endpoint)) {
    return true;
  }
  const uint64_t key = endpoint.id.Hash();
  if (!brittle_.Find(key)) {
    // Only its pool has said so.
    brittle_.Record(key, endpoint.slots, now);
  }
  const core::HostId granter = GranterOf(key);
  reported_.insert(key);
  if (granter == self_) {
    const bool is_granted = Grant(self_, MakeReport(key, now), now);
    if (!is_granted) {
      full_until_[key] = now + kFullTime;
    }
    return is_granted;
  }
  if (granter.empty()) {
    return TakeOwnPlace(key, now + kFullTime);
  }
  const auto silent = silent_until_.find(granter);
  if (silent != silent_until_.end() && now < silent->second) {
    return TakeOwnPlace(key, silent->second);
  }
  const PlaceReport report = MakeReport(key, now);
  questions_[report.sequence] = {.endpoint = key,
                                 .asked = granter,
                                 .callback = std::move(callback),
                                 .ends_at = now + kMaxAnswerTime};
  send_({granter}, ApplicationKind::kPlaceQuestion, core::Encode(report));
  return std::nullopt;
}

PlaceExchange::Holder& PlaceExchange::RecordHolder(const core::HostId& host,
                                                   const PlaceReport& report,
                                                   core::TimePoint now) {
  Holder& holder = holders_[report.slots.endpoint][host];
  if (report.sequence > holder.sequence ||
      now - holder.heard_at > kHolderLifetime) {
    holder = {.sequence = report.sequence,
              .in_flight = report.in_flight,
              .heard_at = now};
  }
  return holder;
}

bool PlaceExchange::Grant(const core::HostId& host,
                          const PlaceReport& report,
                          core::TimePoint now) {
  const uint64_t endpoint = report.slots.endpoint;
  const std::optional<double> slots = brittle_.Find(endpoint);
  if (!slots) {
    return true;
  }
  Holder& holder = RecordHolder(host, report, now);
  if (!order_.IsSettled(endpoint, now)) {
    return false;
  }
  uint32_t taken = 0;
  for (const auto& [other, it] : holders_[endpoint]) {
    taken += now - it.heard_at > kHolderLifetime ? 0 : it.in_flight;
  }
  // Parts of a divided fleet share the places by their sizes.
  const double seen = static_cast<double>(order_.running().size()) /
                      static_cast<double>(fleet_size_);
  if (taken + 1 > std::max(1.0, *slots * seen)) {
    return false;
  }
  ++holder.in_flight;
  return true;
}

bool PlaceExchange::HasOwnPlace(uint64_t endpoint) const {
  // The first hosts in the endpoint's order have one place each, of half of the
  // places: the others may still be taken by those that were granted some.
  const std::optional<double> slots = brittle_.Find(endpoint);
  if (!slots) {
    return true;
  }
  return order_.IsAmongFirst(endpoint, static_cast<size_t>(*slots / 2)) &&
         OwnDemand(endpoint) == 0;
}

bool PlaceExchange::TakeOwnPlace(uint64_t endpoint,
                                 core::TimePoint full_until) {
  const bool has_place = HasOwnPlace(endpoint);
  if (!has_place) {
    full_until_[endpoint] = full_until;
  }
  return has_place;
}

void PlaceExchange::OnFinished(const core::RunnerId& endpoint,
                               core::TimePoint now) {
  if (!brittle_.Find(endpoint.Hash())) {
    return;
  }
  // This host's own place may be free again.
  full_until_.erase(endpoint.Hash());
  SendReport(endpoint.Hash(), now);
}

void PlaceExchange::SendReport(uint64_t endpoint, core::TimePoint now) {
  const PlaceReport report = MakeReport(endpoint, now);
  const core::HostId granter = GranterOf(endpoint);
  reported_.insert(endpoint);
  if (granter == self_) {
    RecordHolder(self_, report, now);
    return;
  }
  if (!granter.empty()) {
    send_({granter}, ApplicationKind::kPlaceReport, core::Encode(report));
  }
}

void PlaceExchange::Tick(core::TimePoint now) {
  // 1. Questions without an answer.
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
    const bool is_silent = ++unanswered_[it.asked] >= kMaxUnanswered;
    if (is_silent) {
      silent_until_[it.asked] = now + kSilenceTime;
    }
    // A place may have been granted, and the answer lost.
    SendReport(it.endpoint, now);
    it.callback(is_silent &&
                TakeOwnPlace(it.endpoint, silent_until_[it.asked]));
  }
  // 2. State that is over.
  std::erase_if(silent_until_,
                [now](const auto& it) { return now >= it.second; });
  absl::erase_if(full_until_,
                 [now](const auto& it) { return now >= it.second; });
  absl::erase_if(holders_, [this](const auto& it) {
    return !brittle_.Find(it.first).has_value();
  });
  brittle_.Tick(now);
  AskForNews(now);
  // 3. What this host has in flight, once more.
  if (now < next_reports_at_) {
    return;
  }
  next_reports_at_ = now + kReportInterval;
  for (const uint64_t it : std::exchange(reported_, {})) {
    if (!brittle_.Find(it)) {
      continue;
    }
    if (OwnDemand(it) > in_flight_(it)) {
      // The question that is under way said as much.
      reported_.insert(it);
      continue;
    }
    SendReport(it, now);
    if (OwnDemand(it) == 0) {
      reported_.erase(it);
    }
  }
}

void PlaceExchange::AskForNews(core::TimePoint now) {
  const std::vector<core::HostId>& hosts = order_.running();
  if (hosts.size() <= 1 || news_questions_ >= kNewsQuestions ||
      now < next_news_question_at_) {
    return;
  }
  next_news_question_at_ = now + kNewsQuestionInterval;
  for (int i = 0; i < kNewsQuestionsAtOnce; ++i, ++news_questions_) {
    const core::HostId& it =
        hosts[(self_.Hash() + static_cast<size_t>(news_questions_)) %
              hosts.size()];
    if (it != self_) {
      send_({it}, ApplicationKind::kBrittleQuestion, "");
    }
  }
}

absl::Status PlaceExchange::OnNewsQuestion(const core::HostId& from,
                                           core::TimePoint now) {
  brittle_.SendAll(from, now);
  return absl::OkStatus();
}

absl::Status PlaceExchange::OnQuestion(const core::HostId& from,
                                       std::string_view body,
                                       core::TimePoint now) {
  TRY_ASSIGN(const auto report, core::Decode<PlaceReport>(body));
  const uint64_t endpoint = report.slots.endpoint;
  brittle_.Merge(report.slots, now);
  PlaceAnswer answer{.sequence = report.sequence,
                     .slots = brittle_.ReportOf(endpoint, now)};
  if (GranterOf(endpoint) != self_) {
    answer.is_misdirected = true;
  } else {
    answer.is_granted = Grant(from, report, now);
  }
  send_({from}, ApplicationKind::kPlaceAnswer, core::Encode(answer));
  return absl::OkStatus();
}

absl::Status PlaceExchange::OnAnswer(const core::HostId& from,
                                     std::string_view body,
                                     core::TimePoint now) {
  TRY_ASSIGN(const auto answer, core::Decode<PlaceAnswer>(body));
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
  brittle_.Merge(answer.slots, now);
  if (answer.is_misdirected) {
    question.callback(TakeOwnPlace(question.endpoint, now + kFullTime));
    return absl::OkStatus();
  }
  if (!answer.is_granted) {
    full_until_[question.endpoint] = now + kFullTime;
  }
  question.callback(answer.is_granted);
  return absl::OkStatus();
}

absl::Status PlaceExchange::OnReport(const core::HostId& from,
                                     std::string_view body,
                                     core::TimePoint now) {
  TRY_ASSIGN(const auto report, core::Decode<PlaceReport>(body));
  brittle_.Merge(report.slots, now);
  if (brittle_.Find(report.slots.endpoint) &&
      GranterOf(report.slots.endpoint) == self_) {
    RecordHolder(from, report, now);
  }
  return absl::OkStatus();
}

}  // namespace wasabi::forwarding
