// Messages between an entry and the owner of a runner, carried by LibLink.

#ifndef SERVICES_ROUTER_WORK_MESSAGE_H_
#define SERVICES_ROUTER_WORK_MESSAGE_H_

#include <cstdint>
#include <string>
#include <vector>

#include "LibCore/identifier.h"
#include "LibCore/message.h"
#include "LibRouting/work_item.h"

namespace wasabi::router {

// Asks the owner of `runner` to run a request (link::CallKind::kSubmitWork).
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
  // Time left until the caller gives up, in milliseconds.
  int64_t remaining_ms = 0;
  uint32_t choice = 0;
  bool is_last_choice = false;
  routing::PointerUse pointer_use = routing::PointerUse::kUnused;
  // Counts the attempts of the request, from 1.
  uint32_t attempt = 1;
  // First chunk of the answer that is still needed.
  uint32_t resume_from = 0;
  // Endpoints that died while they ran the request.
  uint32_t crashes = 0;
  // The sender could not reach the owner it knows, so that the receiver acts
  // as the owner whatever its own table says.
  bool is_forced = false;
  // The engine's JSON request, without "resume_from".
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

enum class WorkReplyKind : uint8_t {
  // The request was sent to the runner.
  kStarted,
  // `payload` is chunk number `index` of the answer.
  kChunk,
  // The request did not run here; try the next runner.
  kTryNext,
  // The request did not run here; `payload` names the runner to try.
  kFollowPointer,
};

// One answer message of a kSubmitWork or kReattach call.
struct WorkReply {
  WorkReplyKind kind = WorkReplyKind::kStarted;
  uint32_t index = 0;
  std::string payload;

  MSGPACK_DEFINE(kind, index, payload);
};

// Tells the owner of a chat's first choice where a displaced turn ran.
struct PointerNote {
  core::RunnerId first_choice;
  core::PoolId pool;
  core::ChatKey chat;
  core::RunnerId target;

  MSGPACK_DEFINE(first_choice, pool, chat, target);
};

// Tells the new owner of a runner that the former one has nothing in flight
// there any more.
struct HandOver {
  core::RunnerId runner;
  core::PoolId pool;
  std::vector<PointerNote> pointers;

  MSGPACK_DEFINE(runner, pool, pointers);
};

// Asks for the rest of an answer from chunk `offset` on.
struct ReattachRequest {
  core::OrganisationId organisation;
  core::RequestId request;
  uint32_t offset = 0;

  MSGPACK_DEFINE(organisation, request, offset);
};

}  // namespace wasabi::router

MSGPACK_ADD_ENUM(wasabi::router::WorkReplyKind);

#endif  // SERVICES_ROUTER_WORK_MESSAGE_H_
