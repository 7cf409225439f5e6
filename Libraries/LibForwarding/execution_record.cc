#include "LibForwarding/execution_record.h"

namespace wasabi::forwarding {

std::string_view NameOf(ExecutionState state) {
  switch (state) {
    case ExecutionState::kNeverSent:
      return "never_sent";
    case ExecutionState::kRefused:
      return "refused";
    case ExecutionState::kSent:
      return "sent";
    case ExecutionState::kUnknown:
      return "unknown";
  }
  return "invalid";
}

bool ExecutionRecord::BeginSend() {
  if (is_promised_ || (!may_repeat_ && MayHaveRun())) {
    return false;
  }
  ++open_sends_;
  return true;
}

void ExecutionRecord::RecordRefusal() {
  if (open_sends_ == 0) {
    return;
  }
  --open_sends_;
  has_been_refused_ = true;
}

void ExecutionRecord::RecordUnknown() {
  if (open_sends_ == 0) {
    return;
  }
  --open_sends_;
  is_unknown_ = true;
}

std::optional<NotRunPromise> ExecutionRecord::PromiseNotRun() {
  if (MayHaveRun()) {
    return std::nullopt;
  }
  is_promised_ = true;
  return NotRunPromise();
}

ExecutionState ExecutionRecord::state() const {
  if (is_unknown_) {
    return ExecutionState::kUnknown;
  }
  if (open_sends_ > 0) {
    return ExecutionState::kSent;
  }
  return has_been_refused_ ? ExecutionState::kRefused
                           : ExecutionState::kNeverSent;
}

}  // namespace wasabi::forwarding
