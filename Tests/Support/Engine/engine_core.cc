#include "Tests/Support/Engine/engine_core.h"

#include <algorithm>
#include <utility>

namespace wasabi::support {

namespace {

template <typename T>
void InsertSorted(std::vector<T>* items, const T& item) {
  items->insert(std::upper_bound(items->begin(), items->end(), item), item);
}

}  // namespace

EngineCore::EngineCore(const EngineLimits& limits)
    : limits_(limits), kv_cache_(limits.kv_capacity_tokens) {}

SequenceId EngineCore::Submit(SequenceRequest request) {
  const SequenceId id = next_id_++;
  Sequence& it = sequences_[id];
  it.prefix = PrefixOf(request.messages);
  it.prompt_tokens = TokensOf(request.messages);
  it.next_token = request.resume_from;
  it.request = std::move(request);
  InsertSorted(&waiting_, Order(it.request.priority, id));
  return id;
}

bool EngineCore::Cancel(SequenceId sequence) {
  const auto it = sequences_.find(sequence);
  if (it == sequences_.end()) {
    return false;
  }
  const Order order(it->second.request.priority, sequence);
  std::erase(waiting_, order);
  std::erase(running_, order);
  if (it->second.is_running) {
    kv_cache_.Release(it->second.request.chat, it->second.reserved_tokens);
  }
  sequences_.erase(it);
  return true;
}

std::vector<StepOutput> EngineCore::Step() {
  AdmitWaiting();
  Prefill();
  std::vector<StepOutput> outputs;
  for (const auto& [priority, id] : running_) {
    Sequence& it = sequences_.at(id);
    if (it.prefill_left > 0) {
      continue;
    }
    const uint32_t index = it.next_token++;
    const bool is_last = it.next_token >= it.request.answer_tokens;
    outputs.push_back({id, index, it.cached_tokens, is_last});
  }
  for (const StepOutput& output : outputs) {
    if (output.is_last) {
      Complete(output.sequence);
    }
  }
  return outputs;
}

core::Duration EngineCore::StepDuration() const {
  return limits_.step + limits_.step_per_sequence * running_.size();
}

EngineLoad EngineCore::Load() const {
  EngineLoad load;
  load.running = static_cast<uint32_t>(running_.size());
  load.waiting = static_cast<uint32_t>(waiting_.size());
  for (const auto& [id, sequence] : sequences_) {
    load.outstanding_tokens += OutstandingTokens(sequence);
  }
  load.kv_free = kv_cache_.FreeShare();
  return load;
}

void EngineCore::AdmitWaiting() {
  while (!waiting_.empty() && running_.size() < limits_.max_running) {
    const Order order = waiting_.front();
    if (!Admit(&sequences_.at(order.second))) {
      return;
    }
    waiting_.erase(waiting_.begin());
    InsertSorted(&running_, order);
  }
}

bool EngineCore::Admit(Sequence* sequence) {
  const SequenceRequest& request = sequence->request;
  uint32_t cached = 0;
  if (!request.chat.empty()) {
    cached = kv_cache_.CachedTokens(request.chat, sequence->prefix);
  }
  const uint32_t uncached = sequence->prompt_tokens - cached;
  const uint32_t reserved = uncached + request.answer_tokens;
  // A sequence larger than the KV memory would otherwise never run, so it is
  // admitted once the batch is empty.
  if (!kv_cache_.Reserve(request.chat, reserved)) {
    if (!running_.empty()) {
      return false;
    }
    kv_cache_.ReserveUnchecked(reserved);
  }
  sequence->is_running = true;
  sequence->cached_tokens = cached;
  sequence->reserved_tokens = reserved;
  // A resumed sequence also prefills the answer tokens before `resume_from`.
  sequence->prefill_left = uncached + request.resume_from;
  return true;
}

void EngineCore::Prefill() {
  uint32_t budget = limits_.prefill_tokens_per_step;
  for (const auto& [priority, id] : running_) {
    Sequence& it = sequences_.at(id);
    const uint32_t n = std::min(budget, it.prefill_left);
    it.prefill_left -= n;
    budget -= n;
    if (budget == 0) {
      return;
    }
  }
}

void EngineCore::Complete(SequenceId id) {
  const auto it = sequences_.find(id);
  Sequence sequence = std::move(it->second);
  sequences_.erase(it);
  std::erase(running_, Order(sequence.request.priority, id));
  kv_cache_.Release(sequence.request.chat, sequence.reserved_tokens);
  if (sequence.request.chat.empty()) {
    return;
  }
  std::vector<ChatMessage> context = std::move(sequence.request.messages);
  context.push_back({"assistant", std::move(sequence.request.answer)});
  kv_cache_.Store(sequence.request.chat, PrefixOf(context));
}

uint64_t EngineCore::OutstandingTokens(const Sequence& sequence) const {
  const uint32_t prefill =
      sequence.is_running ? sequence.prefill_left : sequence.prompt_tokens;
  const uint32_t answer_tokens = sequence.request.answer_tokens;
  return prefill + answer_tokens - std::min(answer_tokens, sequence.next_token);
}

}  // namespace wasabi::support
