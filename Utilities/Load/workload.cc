#include "Utilities/Load/workload.h"

#include <algorithm>
#include <cmath>
#include <utility>

#include "LibCore/hash.h"
#include "LibCore/text.h"

namespace wasabi::load {

using support::ChatMessage;

namespace {

// Distinguishes the random sources that are derived from the experiment's seed.
enum class Purpose : uint64_t {
  kArrivals,
  kTurns,
  kPauses,
  kServiceArrivals,
  kServiceCalls,
};

core::RandomSource MakeSource(uint64_t seed, Purpose purpose) {
  return core::RandomSource(
      core::CombineHashes(seed, static_cast<uint64_t>(purpose)));
}

// Returns the time to the next arrival of a Poisson process.
core::Duration TimeToNext(double per_second, core::RandomSource* random) {
  // 1 - Unit() is in (0, 1], so the logarithm is finite.
  return core::FromSeconds(-std::log(1 - random->Unit()) / per_second);
}

uint32_t Pick(const Range& range, core::RandomSource* random) {
  const auto spread = static_cast<uint64_t>(range.high - range.low + 1);
  return static_cast<uint32_t>(range.low) +
         static_cast<uint32_t>(random->Below(spread));
}

}  // namespace

nlohmann::json BodyOf(const ChatTurn& turn) {
  nlohmann::json messages = nlohmann::json::array();
  for (const ChatMessage& message : turn.messages) {
    messages.push_back({{"role", message.role}, {"content", message.content}});
  }
  return {{"model", turn.model},
          {"messages", std::move(messages)},
          {"stream", true},
          {"max_tokens", turn.max_tokens},
          {"prompt_cache_key", turn.chat}};
}

Workload::Workload(const Experiment& experiment, std::string run)
    : experiment_(experiment),
      run_(std::move(run)),
      arrival_random_(MakeSource(experiment.seed, Purpose::kArrivals)),
      turn_random_(MakeSource(experiment.seed, Purpose::kTurns)),
      pause_random_(MakeSource(experiment.seed, Purpose::kPauses)),
      service_arrival_random_(
          MakeSource(experiment.seed, Purpose::kServiceArrivals)),
      service_random_(MakeSource(experiment.seed, Purpose::kServiceCalls)) {}

core::Duration Workload::TimeToNextTurn(core::Duration elapsed) {
  return TimeToNext(RateAt(elapsed), &arrival_random_);
}

core::Duration Workload::TimeToNextServiceCall() {
  return TimeToNext(experiment_.service.calls_per_second,
                    &service_arrival_random_);
}

ChatTurn Workload::NextTurn(core::Duration elapsed) {
  const std::string name = PickChat(elapsed);
  Chat& chat = chats_.at(name);
  const ChatPattern& pattern = experiment_.chats;
  const bool is_summary = turn_random_.Unit() < pattern.summary_share;
  ChatTurn turn;
  turn.chat = name;
  turn.organisation = chat.organisation;
  turn.model = pattern.model;
  turn.reusable_tokens = support::TokensOf(chat.history);
  const Range& answer =
      is_summary ? pattern.summary_answer_tokens : pattern.answer_tokens;
  turn.max_tokens = std::max(1U, Pick(answer, &turn_random_));
  const Range& usual =
      chat.history.empty() ? pattern.first_prompt_tokens : pattern.turn_tokens;
  const uint32_t tokens =
      Pick(is_summary ? pattern.summary_prompt_tokens : usual, &turn_random_);
  turn.messages = chat.history;
  turn.messages.push_back({"user", MakeText(tokens)});
  return turn;
}

void Workload::FinishTurn(const ChatTurn& turn,
                          const std::string& answer,
                          core::Duration elapsed) {
  Chat& chat = chats_.at(turn.chat);
  if (++chat.turns >= experiment_.chats.turns) {
    chats_.erase(turn.chat);
    return;
  }
  chat.history = turn.messages;
  chat.history.push_back({"assistant", answer});
  const core::Duration pause =
      core::milliseconds(Pick(experiment_.chats.pause_ms, &pause_random_));
  returns_.emplace(elapsed + pause, turn.chat);
}

void Workload::AbandonTurn(const ChatTurn& turn) {
  chats_.erase(turn.chat);
}

ServiceCallPlan Workload::NextServiceCall() {
  constexpr uint64_t kItems = 1000;
  ServiceCallPlan plan;
  plan.organisation =
      PickOrganisation(core::Duration::zero(), &service_random_);
  plan.idempotency_key = fmt::format("{}-key-{}", run_, next_key_++);
  plan.body = nlohmann::json({{"item", service_random_.Below(kItems)},
                              {"key", plan.idempotency_key}})
                  .dump();
  plan.is_sent_twice =
      service_random_.Unit() < experiment_.service.resend_share;
  return plan;
}

bool Workload::IsSurging(core::Duration elapsed) const {
  const SurgePattern& surge = experiment_.surge;
  return !surge.organisations.empty() && elapsed >= surge.start &&
         elapsed < surge.start + surge.duration;
}

double Workload::RateAt(core::Duration elapsed) const {
  const double usual = experiment_.chats.turns_per_second;
  if (!IsSurging(elapsed)) {
    return usual;
  }
  return usual * (1 + ShareOfSurge() * (experiment_.surge.factor - 1));
}

double Workload::ShareOfSurge() const {
  double share = 0;
  for (const std::string& it : experiment_.surge.organisations) {
    share += ShareOf(it);
  }
  return share;
}

double Workload::ShareOf(const std::string& organisation) const {
  const OrganisationPattern& pattern = experiment_.organisations;
  const auto large = static_cast<double>(pattern.large.size());
  const double small = static_cast<double>(pattern.names.size()) - large;
  if (large == 0 || small == 0) {
    return 1 / static_cast<double>(pattern.names.size());
  }
  const bool is_large = std::find(pattern.large.begin(), pattern.large.end(),
                                  organisation) != pattern.large.end();
  return is_large ? pattern.large_share / large
                  : (1 - pattern.large_share) / small;
}

std::string Workload::PickOrganisation(core::Duration elapsed,
                                       core::RandomSource* random) const {
  const std::vector<std::string>& names = experiment_.organisations.names;
  const std::vector<std::string>& surging = experiment_.surge.organisations;
  std::vector<double> weights;
  double total = 0;
  for (const std::string& it : names) {
    const bool is_surging =
        IsSurging(elapsed) &&
        std::find(surging.begin(), surging.end(), it) != surging.end();
    const double factor = is_surging ? experiment_.surge.factor : 1.0;
    weights.push_back(ShareOf(it) * factor);
    total += weights.back();
  }
  double left = random->Unit() * total;
  for (size_t i = 0; i < names.size(); ++i) {
    left -= weights[i];
    if (left < 0) {
      return names[i];
    }
  }
  return names.back();
}

std::string Workload::StartChat(core::Duration elapsed) {
  std::string name = fmt::format("{}-chat-{}", run_, next_chat_++);
  chats_[name].organisation = PickOrganisation(elapsed, &turn_random_);
  return name;
}

std::string Workload::PickChat(core::Duration elapsed) {
  const auto first = returns_.begin();
  if (first == returns_.end() || first->first > elapsed) {
    return StartChat(elapsed);
  }
  std::string name = first->second;
  returns_.erase(first);
  return name;
}

std::string Workload::MakeText(uint32_t tokens) {
  std::string text;
  text.reserve(size_t{tokens} * support::kBytesPerToken);
  constexpr uint64_t kVariants = 0x1000;
  for (uint32_t i = 0; i < tokens; ++i) {
    text += fmt::format("{:03x} ", turn_random_.Below(kVariants));
  }
  return text;
}

}  // namespace wasabi::load
