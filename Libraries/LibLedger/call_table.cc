#include "LibLedger/call_table.h"

#include <algorithm>
#include <utility>

namespace wasabi::ledger {

CallInProgress& CallTable::Add(const LedgerCall& call, CallStage stage) {
  CallInProgress& it = calls_[call.ledger_key()];
  it.call = call;
  it.stage = stage;
  body_bytes_ += call.body.size();
  return it;
}

CallInProgress& CallTable::AddAttempt(const LedgerCall& call) {
  CallInProgress& it = Add(call, CallStage::kQueued);
  it.attempt = next_attempt_++;
  return it;
}

CallInProgress* CallTable::Find(const LedgerKey& key) {
  const auto it = calls_.find(key);
  return it == calls_.end() ? nullptr : &it->second;
}

CallInProgress* CallTable::FindAttempt(const LedgerKey& key, uint64_t attempt) {
  CallInProgress* it = Find(key);
  return it != nullptr && it->attempt == attempt ? it : nullptr;
}

std::vector<LedgerKey> CallTable::Keys() const {
  std::vector<LedgerKey> keys;
  for (const auto& [key, call] : calls_) {
    keys.push_back(key);
  }
  return keys;
}

std::vector<LedgerKey> CallTable::KeysIn(CallStage stage) const {
  std::vector<LedgerKey> keys;
  for (const auto& [key, call] : calls_) {
    if (call.stage == stage) {
      keys.push_back(key);
    }
  }
  return keys;
}

uint64_t CallTable::AddWaiter(CallInProgress* call, LedgerCallback callback) {
  const uint64_t id = next_waiter_++;
  call->waiters.push_back({id, std::move(callback)});
  return id;
}

std::optional<LedgerCallback> CallTable::RemoveWaiter(CallInProgress* call,
                                                      uint64_t id) {
  const auto it =
      std::find_if(call->waiters.begin(), call->waiters.end(),
                   [id](const CallWaiter& waiter) { return waiter.id == id; });
  if (it == call->waiters.end()) {
    return std::nullopt;
  }
  LedgerCallback callback = std::move(it->callback);
  call->waiters.erase(it);
  return callback;
}

void CallTable::Answer(const LedgerCallback& callback,
                       const LedgerOutcome& outcome) {
  scheduler_->CallAfter(core::Duration::zero(),
                        [callback, outcome] { callback(outcome); });
}

void CallTable::AnswerWaiters(CallInProgress* call,
                              const LedgerOutcome& outcome) {
  for (const CallWaiter& waiter : std::exchange(call->waiters, {})) {
    Answer(waiter.callback, outcome);
  }
}

void CallTable::Finish(const LedgerKey& key, const LedgerOutcome& outcome) {
  CallInProgress* it = Find(key);
  if (it != nullptr) {
    AnswerWaiters(it, outcome);
    body_bytes_ -= it->call.body.size();
    calls_.erase(key);
  }
}

}  // namespace wasabi::ledger
