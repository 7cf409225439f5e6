// Messages between an entry router and the owner of a runner, carried by
// LibLink. Fields are encoded in order without their names.

#ifndef SERVICES_ROUTER_WORK_MESSAGE_H_
#define SERVICES_ROUTER_WORK_MESSAGE_H_

#include <cstdint>
#include <string>
#include <vector>

#include "LibCore/identifier.h"
#include "LibCore/message.h"
#include "LibRouting/work_item.h"

namespace wasabi::router {

// Requests that the owner of `runner` run a request
// (link::CallKind::kSubmitWork).
struct SubmitWork {
  core::RunnerId runner;
  core::PoolId pool;
  core::RequestId request;
  core::OrganisationId organisation;
  double organisation_weight = 1.0;
  core::ChatKey chat;
  routing::Priority priority = routing::Priority::kNormal;
  routing::WorkSize size;
  uint64_t content_digest = 0;
  // Time left until the deadline, in milliseconds.
  int64_t remaining_ms = 0;
  // Index that the entry router has reached in the preference order; 0 is the
  // first choice.
  uint32_t choice = 0;
  bool is_last_choice = false;
  routing::PointerUse pointer_use = routing::PointerUse::kUnused;
  // Attempt number, starting at 1.
  uint32_t attempt = 1;
  // Index of the first chunk that the entry router still needs.
  uint32_t resume_from = 0;
  // Number of endpoints that crashed while running the request.
  uint32_t crashes = 0;
  // The sender could not reach the owner in its member table. The receiver acts
  // as the owner regardless of its member table.
  bool is_forced = false;
  // JSON request for the engine, without "resume_from".
  std::string body;
  std::string trace_parent;

  MSGPACK_DEFINE(runner,
                 pool,
                 request,
                 organisation,
                 organisation_weight,
                 chat,
                 priority,
                 size,
                 content_digest,
                 remaining_ms,
                 choice,
                 is_last_choice,
                 pointer_use,
                 attempt,
                 resume_from,
                 crashes,
                 is_forced,
                 body,
                 trace_parent);
};

// Kinds of WorkReply; the values are sent over the link.
enum class WorkReplyKind : uint8_t {
  // The request was sent to the runner.
  kStarted,
  // `payload` is chunk `index` of the answer.
  kChunk,
  // The request did not run here. The entry router tries the next runner.
  kTryNext,
  // The request did not run here. `payload` is the id of the runner that holds
  // the chat's context.
  kFollowPointer,
};

// One reply message of a kSubmitWork or kReattach call.
struct WorkReply {
  WorkReplyKind kind = WorkReplyKind::kStarted;
  uint32_t index = 0;
  std::string payload;

  MSGPACK_DEFINE(kind, index, payload);
};

// Informs the owner of a chat's first-choice runner that a displaced turn of
// the chat ran on `target` (link::CallKind::kRecordPointer).
struct PointerUpdate {
  core::RunnerId first_choice;
  core::PoolId pool;
  core::ChatKey chat;
  core::RunnerId target;

  MSGPACK_DEFINE(first_choice, pool, chat, target);
};

// Informs the new owner of a runner that the former owner has no more work in
// flight there (link::CallKind::kTransferOwnership).
struct OwnershipTransfer {
  core::RunnerId runner;
  core::PoolId pool;
  std::vector<PointerUpdate> pointers;

  MSGPACK_DEFINE(runner, pool, pointers);
};

// Requests an answer from chunk `offset` on (link::CallKind::kReattach).
struct ReattachRequest {
  core::OrganisationId organisation;
  core::RequestId request;
  uint32_t offset = 0;

  MSGPACK_DEFINE(organisation, request, offset);
};

}  // namespace wasabi::router

MSGPACK_ADD_ENUM(wasabi::router::WorkReplyKind);

#endif  // SERVICES_ROUTER_WORK_MESSAGE_H_
