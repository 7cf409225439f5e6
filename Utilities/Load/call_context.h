// State that all chat and service calls of one load run share.

#ifndef UTILITIES_LOAD_CALL_CONTEXT_H_
#define UTILITIES_LOAD_CALL_CONTEXT_H_

#include <vector>

#include "LibCore/event_loop.h"
#include "LibHttp/client.h"
#include "Utilities/Load/experiment.h"
#include "Utilities/Load/host_directory.h"

namespace wasabi::load {

// The pointers are not owned and must outlive every call that uses the context.
struct CallContext {
  core::EventLoop* loop = nullptr;
  http::Client* client = nullptr;
  HostDirectory* directory = nullptr;
  CallerPattern caller;
  // Collects the time between consecutive tokens of each answer, in
  // milliseconds.
  std::vector<float>* token_gaps_ms = nullptr;
};

}  // namespace wasabi::load

#endif  // UTILITIES_LOAD_CALL_CONTEXT_H_
