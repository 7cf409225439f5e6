// The seeded sequence of requests of an experiment. It depends on the
// experiment and on which turns have been answered, and on no clock.

#ifndef UTILITIES_LOAD_WORKLOAD_H_
#define UTILITIES_LOAD_WORKLOAD_H_

#include <compare>
#include <cstdint>
#include <map>
#include <nlohmann/json.hpp>
#include <string>
#include <vector>

#include "LibCore/random_source.h"
#include "LibCore/time.h"
#include "Tests/Support/answer_text.h"
#include "Utilities/Load/experiment.h"

namespace wasabi::load {

// One turn of a chat as it is sent.
struct ChatTurn {
  std::string chat;
  std::string organisation;
  std::string model;
  std::vector<support::ChatMessage> messages;
  // Tokens that the answer has.
  uint32_t max_tokens = 0;
  // Prompt tokens that the chat's answered turns may have left in a cache.
  uint32_t reusable_tokens = 0;

  auto operator<=>(const ChatTurn&) const = default;
};

// The JSON body of `turn`.
nlohmann::json BodyOf(const ChatTurn& turn);

// One call to a plain service.
struct ServiceCallPlan {
  std::string organisation;
  std::string idempotency_key;
  std::string body;
  // The call goes through two hosts at once, with the same key.
  bool is_sent_twice = false;

  auto operator<=>(const ServiceCallPlan&) const = default;
};

class Workload {
 public:
  // `run` is part of every name, so that runs against one fleet don't share
  // chats or keys.
  Workload(const Experiment& experiment, std::string run);

  // Time from an arrival at `elapsed` to the next one.
  core::Duration TimeToNextTurn(core::Duration elapsed);
  core::Duration TimeToNextServiceCall();

  // The turn that arrives at `elapsed`: the chat whose pause ended first, or a
  // new chat where none is back.
  ChatTurn NextTurn(core::Duration elapsed);

  // Notes that `turn` was answered with `answer`; the chat returns later.
  void FinishTurn(const ChatTurn& turn,
                  const std::string& answer,
                  core::Duration elapsed);

  // Notes that `turn` had no whole answer; the chat ends.
  void AbandonTurn(const ChatTurn& turn);

  ServiceCallPlan NextServiceCall();

 private:
  struct Chat {
    std::string organisation;
    std::vector<support::ChatMessage> history;
    int64_t turns = 0;
  };

  bool IsSurging(core::Duration elapsed) const;
  double RateAt(core::Duration elapsed) const;
  double ShareOfSurge() const;
  double ShareOf(const std::string& organisation) const;
  std::string PickOrganisation(core::Duration elapsed,
                               core::RandomSource* random) const;
  std::string StartChat(core::Duration elapsed);
  std::string PickChat(core::Duration elapsed);
  std::string MakeText(uint32_t tokens);

  const Experiment experiment_;
  const std::string run_;
  // Each decision has a source of its own, so that the times of answers don't
  // change when requests arrive or what they are.
  core::RandomSource arrival_random_;
  core::RandomSource turn_random_;
  core::RandomSource pause_random_;
  core::RandomSource service_arrival_random_;
  core::RandomSource service_random_;
  std::map<std::string, Chat> chats_;
  // Chats in a pause, by the time of their return.
  std::multimap<core::Duration, std::string> returns_;
  uint64_t next_chat_ = 1;
  uint64_t next_key_ = 1;
};

}  // namespace wasabi::load

#endif  // UTILITIES_LOAD_WORKLOAD_H_
