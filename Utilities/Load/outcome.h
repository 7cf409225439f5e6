// How requests ended, as their callers saw it.

#ifndef UTILITIES_LOAD_OUTCOME_H_
#define UTILITIES_LOAD_OUTCOME_H_

#include <compare>
#include <cstdint>
#include <string>
#include <vector>

#include "LibCore/time.h"

namespace wasabi::load {

enum class Ending {
  // A whole answer, right or wrong.
  kAnswered,
  // Refused as not run.
  kRefused,
  // The outcome was said to be unknown.
  kUnknown,
  // Another explicit error.
  kFailed,
  // Neither an answer nor an explicit error before the caller gave up.
  kNone,
};

// What one send of a request led to.
struct ChatOutcome {
  // The request id of the last send.
  std::string request_id;
  // Request ids that were refused as not run before it.
  std::vector<std::string> refused_ids;
  Ending ending = Ending::kNone;
  // The result code of an explicit error.
  int code = 0;
  std::string digest;
  std::string text;
  // Chunks that named another request.
  uint32_t foreign_chunks = 0;
  uint32_t max_tokens = 0;
  uint32_t prompt_tokens = 0;
  uint32_t cached_tokens = 0;
  uint32_t reusable_tokens = 0;
  // Sends of the request itself, reattachments left out.
  uint32_t sends = 0;
  uint32_t reattachments = 0;
  // From the start of the experiment to the arrival.
  core::Duration arrival = core::Duration::zero();
  // From the first send to the first token; zero where there was none.
  core::Duration first_token = core::Duration::zero();

  auto operator<=>(const ChatOutcome&) const = default;
};

// One send of a service call; resends of a key are outcomes of their own.
struct ServiceOutcome {
  std::string idempotency_key;
  Ending ending = Ending::kNone;
  int code = 0;
  // The key that the answer names.
  std::string answered_key;
  // Sends of this call, the first one included.
  int64_t sends = 0;
  core::Duration latency = core::Duration::zero();

  auto operator<=>(const ServiceOutcome&) const = default;
};

}  // namespace wasabi::load

#endif  // UTILITIES_LOAD_OUTCOME_H_
