// Generates the seeded sequence of an experiment's requests. The sequence
// depends on the experiment and on which turns have been answered, but reads no
// clock.

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

// The request of one chat turn.
struct ChatTurn {
  std::string chat;
  std::string organisation;
  std::string model;
  std::vector<support::ChatMessage> messages;
  // Exact length of the answer, in tokens.
  uint32_t max_tokens = 0;
  // Prompt tokens that an engine may have cached from the chat's earlier turns.
  uint32_t reusable_tokens = 0;

  auto operator<=>(const ChatTurn&) const = default;
};

// Returns the JSON request body of `turn`.
nlohmann::json BodyOf(const ChatTurn& turn);

// One call to a plain service.
struct ServiceCallPlan {
  std::string organisation;
  std::string idempotency_key;
  std::string body;
  // The call is sent through two hosts at the same time, with the same key.
  bool is_sent_twice = false;

  auto operator<=>(const ServiceCallPlan&) const = default;
};

class Workload {
 public:
  // `run` is part of all chat names and idempotency keys, so that runs against
  // the same fleet don't share them.
  Workload(const Experiment& experiment, std::string run);

  // Returns the time from an arrival at `elapsed`, counted from the start of
  // the experiment, to the next arrival.
  core::Duration TimeToNextTurn(core::Duration elapsed);
  core::Duration TimeToNextServiceCall();

  // Returns the turn that arrives at `elapsed`. It belongs to the chat whose
  // pause ended first, or to a new chat if no chat's pause has ended.
  ChatTurn NextTurn(core::Duration elapsed);

  // Records that `turn` was answered with `answer` at `elapsed`. The chat
  // continues after a pause, or ends if this was its last turn.
  void FinishTurn(const ChatTurn& turn,
                  const std::string& answer,
                  core::Duration elapsed);

  // Records that `turn` received no complete answer, which ends the chat.
  void AbandonTurn(const ChatTurn& turn);

  // Returns the next service call.
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
  // Each kind of decision uses a separate random source, so that the timing of
  // answers affects neither the arrival times nor the content of requests.
  core::RandomSource arrival_random_;
  core::RandomSource turn_random_;
  core::RandomSource pause_random_;
  core::RandomSource service_arrival_random_;
  core::RandomSource service_random_;
  std::map<std::string, Chat> chats_;
  // Chats that are pausing, ordered by the time of their next turn.
  std::multimap<core::Duration, std::string> returns_;
  uint64_t next_chat_ = 1;
  uint64_t next_key_ = 1;
};

}  // namespace wasabi::load

#endif  // UTILITIES_LOAD_WORKLOAD_H_
