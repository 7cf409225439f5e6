// Calls that arrived before the controller had folded its stream.

#ifndef LIBLEDGER_HELD_CALLS_H_
#define LIBLEDGER_HELD_CALLS_H_

#include <functional>
#include <utility>
#include <vector>

#include "LibCore/time.h"
#include "LibLedger/ledger_call.h"

namespace wasabi::ledger {

struct HeldCall {
  LedgerCall call;
  std::function<void(const LedgerOutcome& outcome)> callback;
  // The caller's deadline.
  core::TimePoint deadline;
  // When the call is answered even if the stream is not folded yet.
  core::TimePoint give_up_at;
};

class HeldCalls {
 public:
  void Add(HeldCall call) { calls_.push_back(std::move(call)); }

  // Removes all calls.
  std::vector<HeldCall> TakeAll() { return std::exchange(calls_, {}); }

  // Removes the calls that are to be given up at `now`.
  std::vector<HeldCall> TakeDue(core::TimePoint now) {
    std::vector<HeldCall> due;
    std::vector<HeldCall> kept;
    for (HeldCall& it : calls_) {
      (it.give_up_at <= now ? due : kept).push_back(std::move(it));
    }
    calls_ = std::move(kept);
    return due;
  }

 private:
  std::vector<HeldCall> calls_;
};

}  // namespace wasabi::ledger

#endif  // LIBLEDGER_HELD_CALLS_H_
