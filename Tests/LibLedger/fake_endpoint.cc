#include "Tests/LibLedger/fake_endpoint.h"

#include <utility>

namespace wasabi::ledger {

std::string AnswerBody(const std::string& key) {
  return "answer to " + key;
}

core::Duration FakeDispatcher::ShortDelay() {
  constexpr uint64_t kMaxDelayUs = 20000;
  return core::microseconds(200 + endpoint_->random_.Below(kMaxDelayUs));
}

void FakeDispatcher::Dispatch(const LedgerCall& call,
                              uint64_t /*attempt*/,
                              core::Duration timeout,
                              Callback callback) {
  // The delay on the host's scheduler allows the host to be paused or to crash
  // between the decision to dispatch and the send.
  host_->CallAfter(ShortDelay(), [this, call, timeout, callback] {
    endpoint_->network_->CallAfter(
        ShortDelay(),
        [this, call, timeout, callback] { Arrive(call, timeout, callback); });
  });
}

void FakeDispatcher::Arrive(const LedgerCall& call,
                            core::Duration timeout,
                            const Callback& callback) {
  core::RandomSource& random = endpoint_->random_;
  const FakeEndpoint::Faults& faults = endpoint_->faults_;
  DispatchResult result;
  core::Duration duration = ShortDelay();
  if (random.Unit() < faults.refuse) {
    result.kind = DispatchResult::Kind::kNotRun;
  } else {
    endpoint_->executions_[call.key].push_back(call.request_id.value());
    if (random.Unit() < faults.hang) {
      duration = timeout;
    } else if (random.Unit() >= faults.crash) {
      result = {DispatchResult::Kind::kAnswered, 200, AnswerBody(call.key)};
    }
  }
  host_->CallAfter(duration, [callback, result] { callback(result); });
}

}  // namespace wasabi::ledger
