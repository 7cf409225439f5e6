// A model of an inference engine, in virtual time: it decodes all its requests
// in one batch and prefills prompts in chunks between decode steps.

#ifndef TESTS_LIBFORWARDING_ENGINE_MODEL_H_
#define TESTS_LIBFORWARDING_ENGINE_MODEL_H_

#include <cstddef>
#include <cstdint>
#include <deque>
#include <functional>
#include <vector>

#include "LibCore/time.h"

namespace wasabi::forwarding {

struct EngineOptions {
  size_t slots = 32;
  double prefill_tokens_per_ms = 88;
  uint32_t chunk_tokens = 1024;
  double step_ms = 2.9;
  double step_ms_per_request = 0.07;
  uint32_t tokens_per_event = 8;
};

class EngineModel {
 public:
  // Called for each event of the stream `id`.
  using EventObserver =
      std::function<void(size_t id, core::TimePoint at, bool is_last)>;

  explicit EngineModel(EngineOptions options) : options_(options) {}

  // All work takes `factor` times as long as usual from the next step on.
  void SetSlowness(double factor) { slowness_ = factor; }
  void Submit(size_t id,
              uint32_t uncached_tokens,
              uint32_t output_tokens,
              core::TimePoint now);
  // Runs all steps that end before `now`.
  void AdvanceTo(core::TimePoint now, const EventObserver& on_event);

  size_t requests() const { return running_.size() + waiting_.size(); }
  size_t slots() const { return options_.slots; }

 private:
  struct Request {
    size_t id = 0;
    uint32_t uncached_tokens = 0;
    uint32_t output_tokens = 0;
    uint32_t produced_tokens = 0;
  };

  void BeginStep(core::TimePoint now);
  void FinishStep(const EventObserver& on_event);

  const EngineOptions options_;
  double slowness_ = 1;
  std::vector<Request> running_;
  std::deque<Request> waiting_;
  uint32_t chunk_ = 0;
  bool is_stepping_ = false;
  core::TimePoint step_end_;
};

}  // namespace wasabi::forwarding

#endif  // TESTS_LIBFORWARDING_ENGINE_MODEL_H_
