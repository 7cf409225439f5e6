// Outcomes of requests as observed by their callers.

#ifndef UTILITIES_LOAD_OUTCOME_H_
#define UTILITIES_LOAD_OUTCOME_H_

#include <compare>
#include <cstdint>
#include <string>
#include <vector>

#include "LibCore/time.h"

namespace wasabi::load {

enum class Ending {
  // A complete answer, whether correct or not.
  kAnswered,
  // An explicit refusal, which states that the request was not run.
  kRefused,
  // An explicit error that states that the outcome is unknown.
  kUnknown,
  // Any other explicit error.
  kFailed,
  // The caller timed out, or used all its sends, without an answer or an
  // explicit error.
  kNone,
};

// The outcome of one chat turn, over all its sends and reattachments.
struct ChatOutcome {
  // The request id of the last send.
  std::string request_id;
  // Request ids of this turn that were refused, and so not run.
  std::vector<std::string> refused_ids;
  Ending ending = Ending::kNone;
  // The result code of an explicit error; 0 if there was none.
  int code = 0;
  // Digest of the request, from which the expected answer is computed.
  std::string digest;
  std::string text;
  // Chunks that carried the id of another request.
  uint32_t foreign_chunks = 0;
  uint32_t max_tokens = 0;
  uint32_t prompt_tokens = 0;
  uint32_t cached_tokens = 0;
  uint32_t reusable_tokens = 0;
  // Sends of the request itself, not counting reattachments.
  uint32_t sends = 0;
  uint32_t reattachments = 0;
  // Time from the start of the experiment to the arrival of the turn.
  core::Duration arrival = core::Duration::zero();
  // Time from the first send to the first token; zero if no token was received.
  core::Duration first_token = core::Duration::zero();

  auto operator<=>(const ChatOutcome&) const = default;
};

// The outcome of one service call, over all its retries. A call that is sent
// through two hosts at the same time has two outcomes with the same key.
struct ServiceOutcome {
  std::string idempotency_key;
  Ending ending = Ending::kNone;
  int code = 0;
  // The idempotency key that the answer contains.
  std::string answered_key;
  // Sends of this call, including the first.
  int64_t sends = 0;
  core::Duration latency = core::Duration::zero();

  auto operator<=>(const ServiceOutcome&) const = default;
};

}  // namespace wasabi::load

#endif  // UTILITIES_LOAD_OUTCOME_H_
