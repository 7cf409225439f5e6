// Holds the calls that arrive before the controller has read its stream up to
// the initial end.

#ifndef LIBLEDGER_HELD_CALLS_H_
#define LIBLEDGER_HELD_CALLS_H_

#include <functional>
#include <utility>
#include <vector>

#include "LibCore/time.h"
#include "LibLedger/ledger_call.h"

namespace wasabi::ledger {

// A call that cannot be processed before the partition is open.
struct HeldCall {
  LedgerCall call;
  std::function<void(const LedgerOutcome& outcome)> callback;
  // When the caller's own deadline expires.
  core::TimePoint deadline;
  // When the call is answered even if the partition is not open yet. Never
  // later than `deadline`.
  core::TimePoint expires_at;
};

// The held calls of one controller, in order of arrival.
class HeldCalls {
 public:
  void Add(HeldCall call) { calls_.push_back(std::move(call)); }

  // Removes and returns all calls.
  std::vector<HeldCall> TakeAll() { return std::exchange(calls_, {}); }

  // Removes and returns the calls that have expired at `now`.
  std::vector<HeldCall> TakeExpired(core::TimePoint now) {
    std::vector<HeldCall> due;
    std::vector<HeldCall> kept;
    for (HeldCall& it : calls_) {
      (it.expires_at <= now ? due : kept).push_back(std::move(it));
    }
    calls_ = std::move(kept);
    return due;
  }

 private:
  std::vector<HeldCall> calls_;
};

}  // namespace wasabi::ledger

#endif  // LIBLEDGER_HELD_CALLS_H_
