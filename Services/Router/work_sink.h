// Interface for the outcome of submitted work.

#ifndef SERVICES_ROUTER_WORK_SINK_H_
#define SERVICES_ROUTER_WORK_SINK_H_

#include <cstdint>
#include <memory>
#include <string_view>

#include "LibCore/identifier.h"
#include "absl/status/status.h"

namespace wasabi::router {

// Receives OnStarted and OnChunk calls, then at most one of OnTryNext,
// OnFollowPointer and OnDone.
class WorkSink {
 public:
  virtual ~WorkSink() = default;
  // The request was sent to the runner.
  virtual void OnStarted() = 0;
  // The work did not run and may be submitted to the next runner of the
  // preference order.
  virtual void OnTryNext() = 0;
  // The work did not run here; `runner` holds the chat's context.
  virtual void OnFollowPointer(const core::RunnerId& runner) = 0;
  // Receives chunk `index` of the answer. Indices arrive in order without gaps.
  virtual void OnChunk(uint32_t index, std::string_view payload) = 0;
  // The work has ended with `status`. Not called after OnTryNext or
  // OnFollowPointer.
  virtual void OnDone(const absl::Status& status) = 0;
};

}  // namespace wasabi::router

#endif  // SERVICES_ROUTER_WORK_SINK_H_
