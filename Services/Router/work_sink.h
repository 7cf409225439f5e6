// Receives what becomes of submitted work.

#ifndef SERVICES_ROUTER_WORK_SINK_H_
#define SERVICES_ROUTER_WORK_SINK_H_

#include <cstdint>
#include <memory>
#include <string_view>

#include "LibCore/identifier.h"
#include "absl/status/status.h"

namespace wasabi::router {

class WorkSink {
 public:
  virtual ~WorkSink() = default;
  virtual void OnStarted() = 0;
  // The work did not run; the next runner of the preference order may.
  virtual void OnTryNext() = 0;
  // The work did not run; the chat's context is on `runner`.
  virtual void OnFollowPointer(const core::RunnerId& runner) = 0;
  // Chunk `index` of the answer; indices arrive in order without gaps.
  virtual void OnChunk(uint32_t index, std::string_view payload) = 0;
  // The end. Neither OnTryNext nor OnFollowPointer is followed by it.
  virtual void OnDone(const absl::Status& status) = 0;
};

}  // namespace wasabi::router

#endif  // SERVICES_ROUTER_WORK_SINK_H_
