// Simulates a model engine without sockets or clocks: continuous batching,
// chunked prefill in the same steps as decode, priorities and a limited KV
// memory. The caller drives the steps, so tests can run it in virtual time.

#ifndef TESTS_SUPPORT_ENGINE_ENGINE_CORE_H_
#define TESTS_SUPPORT_ENGINE_ENGINE_CORE_H_

#include <compare>
#include <cstdint>
#include <map>
#include <string>
#include <vector>

#include "LibCore/time.h"
#include "Tests/Support/Engine/kv_cache.h"
#include "Tests/Support/answer_text.h"

namespace wasabi::support {

// The speed and the capacity of a simulated engine.
struct EngineLimits {
  // Duration of a step with an empty batch.
  core::Duration step = std::chrono::milliseconds(3);
  // Time that each running sequence adds to a step.
  core::Duration step_per_sequence = std::chrono::microseconds(10);
  // Prefill budget of one step in prompt tokens, shared by all running
  // sequences.
  uint32_t prefill_tokens_per_step = 24;
  // Maximum number of sequences in the batch; further sequences are queued.
  uint32_t max_running = 64;
  // Size of the KV memory in tokens.
  uint64_t kv_capacity_tokens = 200'000;

  auto operator<=>(const EngineLimits&) const = default;
};

// Identifies a submitted request within one EngineCore.
using SequenceId = uint64_t;

// A request as it is submitted to the engine.
struct SequenceRequest {
  // Key of the KV cache entry. Empty for a request outside of any chat, whose
  // context is not cached.
  std::string chat;
  // Lower values are scheduled first.
  int priority = 1;
  std::vector<ChatMessage> messages;
  // Text of the complete answer; it becomes part of the cached context.
  std::string answer;
  // Length of the complete answer in tokens.
  uint32_t answer_tokens = 0;
  // Index of the first answer token to emit.
  uint32_t resume_from = 0;
};

// The result of a step for one sequence.
struct StepOutput {
  SequenceId sequence = 0;
  // Index of the emitted answer token. Equals the answer's length if the
  // sequence was resumed at its end and emits no token.
  uint32_t token_index = 0;
  // Prompt tokens that were cached when the sequence was admitted.
  uint32_t cached_tokens = 0;
  // True if this output completes the sequence.
  bool is_last = false;

  auto operator<=>(const StepOutput&) const = default;
};

// A snapshot of the engine's load.
struct EngineLoad {
  uint32_t running = 0;
  uint32_t waiting = 0;
  // Prompt tokens left to prefill plus answer tokens left to emit.
  uint64_t outstanding_tokens = 0;
  // Free share of the KV memory, in [0, 1].
  double kv_free = 1;

  auto operator<=>(const EngineLoad&) const = default;
};

class EngineCore {
 public:
  explicit EngineCore(const EngineLimits& limits);

  // Queues a request. A later step admits it once the batch and the KV memory
  // have capacity.
  SequenceId Submit(SequenceRequest request);

  // Removes a queued or running request. Returns false if it is unknown or
  // already finished.
  bool Cancel(SequenceId sequence);

  // Runs one step: admits queued sequences, spends the prefill budget, and
  // emits one token for each sequence whose prefill is complete.
  std::vector<StepOutput> Step();

  // Returns the duration of the next step with the current batch.
  core::Duration StepDuration() const;

  bool is_idle() const { return sequences_.empty(); }
  EngineLoad Load() const;

  KvCache& kv_cache() { return kv_cache_; }

 private:
  struct Sequence {
    SequenceRequest request;
    std::vector<PrefixBlock> prefix;
    uint32_t prompt_tokens = 0;
    bool is_running = false;
    uint32_t cached_tokens = 0;
    uint32_t reserved_tokens = 0;
    uint32_t prefill_left = 0;
    uint32_t next_token = 0;
  };
  using Order = std::pair<int, SequenceId>;

  void AdmitWaiting();
  bool Admit(Sequence* sequence);
  void Prefill();
  void Complete(SequenceId id);
  uint64_t OutstandingTokens(const Sequence& sequence) const;

  const EngineLimits limits_;
  KvCache kv_cache_;
  SequenceId next_id_ = 1;
  std::map<SequenceId, Sequence> sequences_;
  // Queued and running sequences, sorted by priority and then by submission.
  std::vector<Order> waiting_;
  std::vector<Order> running_;
};

}  // namespace wasabi::support

#endif  // TESTS_SUPPORT_ENGINE_ENGINE_CORE_H_
