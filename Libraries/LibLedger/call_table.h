// Table of the calls that one partition controller has in progress. Each entry
// lists the callers that wait for the call's outcome.

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

// The stage that the call of a key has reached on this host.
enum class CallStage {
  // The intent is queued in the group writer.
  kQueued,
  // The group that contains the intent is being appended.
  kAppending,
  // The append's result is uncertain. The intent may be in the stream, but the
  // call must not run.
  kAbandoned,
  // The dispatcher is running the call.
  kRunning,
  // The outcome is known, but its record has not been read back yet.
  kRecording,
  // Another writer's intent is the valid one; this host waits for its outcome.
  kFollowing,
};

// Receives the outcome of a call.
using LedgerCallback = std::function<void(const LedgerOutcome& outcome)>;

// A caller that waits for the outcome of a call in progress.
struct CallWaiter {
  // Unique within one call table.
  uint64_t id = 0;
  LedgerCallback callback;
};

// A call in progress and its waiters.
struct CallInProgress {
  LedgerCall call;
  CallStage stage = CallStage::kQueued;
  // The attempt number in this host's intent; 0 if the intent was written by
  // another writer.
  uint64_t attempt = 0;
  // When the append of the intent started. Set from kAppending on.
  core::TimePoint sent_at;
  // When the outcome became known. Set from kRecording on.
  core::TimePoint ended_at;
  // The outcome with its complete body, which the record may omit. Set from
  // kRecording on.
  LedgerOutcome result;
  std::list<CallWaiter> waiters;
};

// Holds at most one call per key and assigns attempt and waiter numbers.
class CallTable {
 public:
  // `scheduler` must outlive the table. It runs the callbacks.
  explicit CallTable(platform::Scheduler* scheduler) : scheduler_(scheduler) {}

  // Adds a call for a key that has no call in progress. The returned reference
  // stays valid until Finish is called for the key.
  CallInProgress& Add(const LedgerCall& call, CallStage stage);
  // Adds a call in stage kQueued with a new attempt number. The caller queues
  // the intent.
  CallInProgress& AddAttempt(const LedgerCall& call);
  // Returns the call in progress for `key`, or nullptr.
  CallInProgress* Find(const LedgerKey& key);
  // Returns the call in progress for `key` if its attempt number is `attempt`,
  // or nullptr.
  CallInProgress* FindAttempt(const LedgerKey& key, uint64_t attempt);
  // Returns the keys of all calls in progress.
  std::vector<LedgerKey> Keys() const;
  // Returns the keys of the calls in `stage`.
  std::vector<LedgerKey> KeysIn(CallStage stage) const;
  size_t size() const { return calls_.size(); }
  bool empty() const { return calls_.empty(); }
  // Total size in bytes of the request bodies of all calls in progress.
  size_t body_bytes() const { return body_bytes_; }

  // Adds a waiter to `call` and returns the waiter's id.
  uint64_t AddWaiter(CallInProgress* call, LedgerCallback callback);
  // Removes the waiter `id` and returns its callback, or nullopt if the waiter
  // was already answered.
  std::optional<LedgerCallback> RemoveWaiter(CallInProgress* call, uint64_t id);

  // Schedules `callback` with `outcome`. The callback never runs inside this
  // call.
  void Answer(const LedgerCallback& callback, const LedgerOutcome& outcome);
  // Schedules the callbacks of all current waiters of `call` and removes the
  // waiters.
  void AnswerWaiters(CallInProgress* call, const LedgerOutcome& outcome);
  // Answers all waiters of the call for `key` and removes the call. Does
  // nothing if there is no such call.
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
