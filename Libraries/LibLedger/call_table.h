// The calls of one controller that are in progress, with the callers that wait
// for them.

#ifndef LIBLEDGER_CALL_TABLE_H_
#define LIBLEDGER_CALL_TABLE_H_

#include <cstdint>
#include <functional>
#include <list>
#include <optional>
#include <vector>

#include "LibCore/time.h"
#include "LibLedger/ledger_call.h"
#include "LibPlatform/scheduler.h"
#include "absl/container/node_hash_map.h"

namespace wasabi::ledger {

// Where the call of a key stands on this host.
enum class CallStage {
  kQueued,     // The intent waits for its group.
  kAppending,  // The intent's group is on its way.
  kAbandoned,  // The intent may be in the stream but must not be run.
  kRunning,    // The dispatcher runs the call.
  kRecording,  // The end is not read back yet.
  kFollowing,  // Another writer's intent counts.
};

using LedgerCallback = std::function<void(const LedgerOutcome& outcome)>;

// A caller that waits for a call in progress.
struct CallWaiter {
  // Unique within the controller.
  uint64_t id = 0;
  LedgerCallback callback;
};

struct CallInProgress {
  LedgerCall call;
  CallStage stage = CallStage::kQueued;
  // The attempt of the call's intent; 0 for a call of another writer.
  uint64_t attempt = 0;
  // When the intent was sent, and when the call ended.
  core::TimePoint sent_at;
  core::TimePoint ended_at;
  // The result in full, from kRecording on.
  LedgerOutcome result;
  std::list<CallWaiter> waiters;
};

class CallTable {
 public:
  // `scheduler` must outlive the table and runs the callbacks.
  explicit CallTable(platform::Scheduler* scheduler) : scheduler_(scheduler) {}

  // Adds the call of a key that has none. References stay valid until Finish.
  CallInProgress& Add(const LedgerCall& call, CallStage stage);
  // Adds a call with an attempt of its own, whose intent is to be queued.
  CallInProgress& AddAttempt(const LedgerCall& call);
  // The call of `key`, or nullptr.
  CallInProgress* Find(const LedgerKey& key);
  // The call of `key` if it is that attempt, or nullptr.
  CallInProgress* FindAttempt(const LedgerKey& key, uint64_t attempt);
  std::vector<LedgerKey> Keys() const;
  // The keys whose calls are in `stage`.
  std::vector<LedgerKey> KeysIn(CallStage stage) const;
  size_t size() const { return calls_.size(); }
  bool empty() const { return calls_.empty(); }
  // Bytes of the bodies of all calls in progress.
  size_t body_bytes() const { return body_bytes_; }

  // Adds a waiter and returns its id.
  uint64_t AddWaiter(CallInProgress* call, LedgerCallback callback);
  // Removes a waiter; nullopt when it was answered already.
  std::optional<LedgerCallback> TakeWaiter(CallInProgress* call, uint64_t id);

  // Calls `callback` in a later turn.
  void Answer(const LedgerCallback& callback, const LedgerOutcome& outcome);
  // Answers everyone who waits for `call` now.
  void AnswerWaiters(CallInProgress* call, const LedgerOutcome& outcome);
  // Answers everyone who waits for the call of `key` and removes it.
  void Finish(const LedgerKey& key, const LedgerOutcome& outcome);

 private:
  platform::Scheduler* scheduler_;
  absl::node_hash_map<LedgerKey, CallInProgress> calls_;
  size_t body_bytes_ = 0;
  uint64_t next_attempt_ = 1;
  uint64_t next_waiter_ = 1;
};

}  // namespace wasabi::ledger

#endif  // LIBLEDGER_CALL_TABLE_H_
