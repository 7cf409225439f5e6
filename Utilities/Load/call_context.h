// What all calls of a run share.

#ifndef UTILITIES_LOAD_CALL_CONTEXT_H_
#define UTILITIES_LOAD_CALL_CONTEXT_H_

#include <vector>

#include "LibCore/event_loop.h"
#include "LibHttp/client.h"
#include "Utilities/Load/experiment.h"
#include "Utilities/Load/host_directory.h"

namespace wasabi::load {

struct CallContext {
  core::EventLoop* loop = nullptr;
  http::Client* client = nullptr;
  HostDirectory* directory = nullptr;
  CallerPattern caller;
  // Times between two tokens of one answer, milliseconds.
  std::vector<float>* token_gaps_ms = nullptr;
};

}  // namespace wasabi::load

#endif  // UTILITIES_LOAD_CALL_CONTEXT_H_
