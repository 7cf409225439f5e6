// The stand-in engine without sockets or clocks: continuous batching in steps,
// prefill that shares the steps with decode, priorities and limited KV memory.
// The caller decides when a step is over, so tests run it in virtual time.

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

// The speed and the size of an engine.
struct EngineLimits {
  // Time of a step with an empty batch.
  core::Duration step = std::chrono::milliseconds(3);
  // What each running sequence adds to a step.
  core::Duration step_per_sequence = std::chrono::microseconds(10);
  // Prompt tokens that one step prefills, shared by all sequences.
  uint32_t prefill_tokens_per_step = 24;
  // Sequences that run at once; the others wait.
  uint32_t max_running = 64;
  // KV memory, in tokens.
  uint64_t kv_capacity_tokens = 200'000;

  auto operator<=>(const EngineLimits&) const = default;
};

// Names one submitted request inside an engine.
using SequenceId = uint64_t;

// A request as the engine runs it.
struct SequenceRequest {
  // Empty for a request that belongs to no chat: nothing is cached for it.
  std::string chat;
  // Lower values go first.
  int priority = 1;
  std::vector<ChatMessage> messages;
  // The whole answer, as the context that stays behind.
  std::string answer;
  // Tokens of the whole answer.
  uint32_t answer_tokens = 0;
  // The first token to emit.
  uint32_t resume_from = 0;
};

// What a step did for one sequence.
struct StepOutput {
  SequenceId sequence = 0;
  // The emitted token of the answer; the answer's length where the sequence
  // was resumed at its end and emits none.
  uint32_t token_index = 0;
  // Prompt tokens that the cache held when the sequence was admitted.
  uint32_t cached_tokens = 0;
  // The sequence is finished with this token.
  bool is_last = false;

  auto operator<=>(const StepOutput&) const = default;
};

// The load as of one moment.
struct EngineLoad {
  uint32_t running = 0;
  uint32_t waiting = 0;
  // Prompt tokens still to prefill and answer tokens still to emit.
  uint64_t outstanding_tokens = 0;
  double kv_free = 1;

  auto operator<=>(const EngineLoad&) const = default;
};

class EngineCore {
 public:
  explicit EngineCore(const EngineLimits& limits);

  // Adds a request; it runs when a step has room for it.
  SequenceId Submit(SequenceRequest request);

  // Drops a request. Returns false where it is unknown or finished.
  bool Cancel(SequenceId sequence);

  // Performs one step: admits waiting sequences, prefills, emits one token of
  // each sequence whose prompt is prefilled.
  std::vector<StepOutput> Step();

  // The time that the next step takes.
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
  // Waiting and running sequences by priority, then by age.
  std::vector<Order> waiting_;
  std::vector<Order> running_;
};

}  // namespace wasabi::support

#endif  // TESTS_SUPPORT_ENGINE_ENGINE_CORE_H_
