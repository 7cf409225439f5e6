#include "Tests/LibForwarding/engine_model.h"

#include <algorithm>

namespace wasabi::forwarding {

void EngineModel::Submit(size_t id,
                         uint32_t uncached_tokens,
                         uint32_t output_tokens,
                         core::TimePoint now) {
  waiting_.push_back({.id = id,
                      .uncached_tokens = uncached_tokens,
                      .output_tokens = std::max<uint32_t>(output_tokens, 1)});
  if (!is_stepping_) {
    BeginStep(now);
  }
}

void EngineModel::BeginStep(core::TimePoint now) {
  while (!waiting_.empty() && running_.size() < options_.slots) {
    running_.push_back(waiting_.front());
    waiting_.pop_front();
  }
  is_stepping_ = !running_.empty();
  uint32_t prefill = 0;
  size_t decoding = 0;
  for (const Request& it : running_) {
    prefill += it.uncached_tokens;
    decoding += it.uncached_tokens == 0 ? 1 : 0;
  }
  chunk_ = std::min(prefill, options_.chunk_tokens);
  double ms = chunk_ / options_.prefill_tokens_per_ms;
  if (decoding > 0) {
    ms += options_.step_ms +
          options_.step_ms_per_request * static_cast<double>(decoding);
  }
  step_end_ = now + core::FromSeconds(ms * slowness_ / 1000);
}

void EngineModel::FinishStep(const EventObserver& on_event) {
  for (Request& it : running_) {
    if (it.uncached_tokens > 0) {
      const uint32_t n = std::min(chunk_, it.uncached_tokens);
      it.uncached_tokens -= n;
      chunk_ -= n;
      continue;
    }
    ++it.produced_tokens;
    const bool is_last = it.produced_tokens == it.output_tokens;
    if (is_last || it.produced_tokens % options_.tokens_per_event == 0) {
      on_event(it.id, step_end_, is_last);
    }
  }
  std::erase_if(running_, [](const Request& it) {
    return it.produced_tokens == it.output_tokens;
  });
}

void EngineModel::AdvanceTo(core::TimePoint now,
                            const EventObserver& on_event) {
  while (is_stepping_ && step_end_ <= now) {
    FinishStep(on_event);
    BeginStep(step_end_);
  }
}

}  // namespace wasabi::forwarding
