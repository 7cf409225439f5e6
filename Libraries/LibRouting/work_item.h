// The properties of a request that routing decisions depend on.

#ifndef LIBROUTING_WORK_ITEM_H_
#define LIBROUTING_WORK_ITEM_H_

#include <algorithm>
#include <compare>
#include <cstdint>

#include "LibCore/identifier.h"
#include "LibCore/message.h"
#include "LibCore/time.h"

namespace wasabi::routing {

// Priority class of a request. Lower values are served first. Callers of the
// platform use further values, up to 255.
enum class Priority : uint8_t { kUrgent, kNormal, kBatch };

// The amount of work of a request, in tokens.
struct WorkSize {
  // The whole prompt.
  uint32_t prompt_tokens = 0;
  // The prompt prefix that may be in a runner's cache from an earlier turn of
  // the chat.
  uint32_t reusable_tokens = 0;
  // Expected length of the answer.
  uint32_t output_tokens = 0;

  auto operator<=>(const WorkSize&) const = default;
  MSGPACK_DEFINE(prompt_tokens, reusable_tokens, output_tokens);

  // Return the outstanding work on a runner whose cache holds the reusable
  // prefix (warm), and on any other runner (cold).
  uint32_t WarmTokens() const {
    return prompt_tokens - std::min(prompt_tokens, reusable_tokens) +
           output_tokens;
  }
  uint32_t ColdTokens() const { return prompt_tokens + output_tokens; }
};

// How a request has used the pointer of its chat. The owner of a chat's first
// choice keeps a pointer to the runner that the chat was displaced to, see
// pointer_table.h.
enum class PointerUse : uint8_t {
  // No pointer was used yet. The first choice may answer with a pointer.
  kUnused,
  // The request followed a pointer to this runner, whose cache holds the chat's
  // context.
  kFollowed,
  // The runner that the pointer leads to had no capacity. The request tries the
  // runners in preference order, and its chat is cold on all of them.
  kSkipped,
};

// A request that is offered to a runner.
struct WorkItem {
  core::RequestId request;
  core::OrganisationId organisation;
  // The organisation's weight in fair queueing.
  double organisation_weight = 1.0;
  // Work of the organisation that waits on other hosts, as the share of one
  // host, in tokens. An organisation whose requests wait elsewhere does not get
  // ahead here.
  double organisation_backlog = 0;
  // Empty if the request does not belong to a chat.
  core::ChatKey chat;
  Priority priority = Priority::kNormal;
  WorkSize size;
  // Whether the request was refused before and came back at the time that it
  // was given.
  bool has_returned = false;
  // Digest of the request's content, which identifies it in the quarantine
  // table.
  uint64_t content_digest = 0;
  // Time at which the caller times out, on the clock of the deciding host.
  core::TimePoint deadline;
  // Position of the runner in the request's preference order, starting at 0.
  uint32_t choice = 0;
  // True if no runner remains to be tried after this one.
  bool is_last_choice = false;
  PointerUse pointer_use = PointerUse::kUnused;
  // True for a crash suspect: no other request may run on the runner meanwhile,
  // see quarantine_table.h.
  bool runs_alone = false;
};

}  // namespace wasabi::routing

MSGPACK_ADD_ENUM(wasabi::routing::Priority);
MSGPACK_ADD_ENUM(wasabi::routing::PointerUse);

#endif  // LIBROUTING_WORK_ITEM_H_
