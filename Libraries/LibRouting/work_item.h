// A request as the routing decisions see it.

#ifndef LIBROUTING_WORK_ITEM_H_
#define LIBROUTING_WORK_ITEM_H_

#include <algorithm>
#include <compare>
#include <cstdint>

#include "LibCore/identifier.h"
#include "LibCore/message.h"
#include "LibCore/time.h"

namespace wasabi::routing {

// How urgent a request is; lower values go first.
enum class Priority : uint8_t { kUrgent, kNormal, kBatch };

// The work that a request brings, in tokens.
struct WorkSize {
  // The whole prompt.
  uint32_t prompt_tokens = 0;
  // The part of the prompt that an earlier turn of the chat may have left in a
  // runner's cache.
  uint32_t reusable_tokens = 0;
  // The expected length of the answer.
  uint32_t output_tokens = 0;

  auto operator<=>(const WorkSize&) const = default;
  MSGPACK_DEFINE(prompt_tokens, reusable_tokens, output_tokens);

  // Outstanding work where the reusable part is warm, or is not.
  uint32_t WarmTokens() const {
    return prompt_tokens - std::min(prompt_tokens, reusable_tokens) +
           output_tokens;
  }
  uint32_t ColdTokens() const { return prompt_tokens + output_tokens; }
};

// How the pointer that the owner of a chat's first choice may hold bears on a
// request.
enum class PointerUse : uint8_t {
  // Not asked yet; the first choice may answer with a pointer.
  kUnused,
  // The request came to this runner by a pointer: its chat is warm here.
  kFollowed,
  // The pointer's runner had no room; the request goes by preference order and
  // its chat is cold everywhere else.
  kSkipped,
};

struct WorkItem {
  core::RequestId request;
  core::OrganisationId organisation;
  // The organisation's share of a contended runner.
  double organisation_weight = 1.0;
  // Empty for a request that belongs to no chat.
  core::ChatKey chat;
  Priority priority = Priority::kNormal;
  WorkSize size;
  // Digest of the request's content, by which crashes are recognised.
  uint64_t content_digest = 0;
  // When the caller gives up, on the deciding host's clock.
  core::TimePoint deadline;
  // Position of the runner in the request's preference order, from 0.
  uint32_t choice = 0;
  // No runner is left to try after this one.
  bool is_last_choice = false;
  PointerUse pointer_use = PointerUse::kUnused;
  // A crash suspect: nothing else may run beside it, see quarantine_table.h.
  bool runs_alone = false;
};

}  // namespace wasabi::routing

MSGPACK_ADD_ENUM(wasabi::routing::Priority);
MSGPACK_ADD_ENUM(wasabi::routing::PointerUse);

#endif  // LIBROUTING_WORK_ITEM_H_
