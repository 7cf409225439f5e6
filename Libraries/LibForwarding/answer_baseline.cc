#include "LibForwarding/answer_baseline.h"

#include <algorithm>
#include <bit>

namespace wasabi::forwarding {

namespace {

// A host of a large fleet relays a few streams of a pool each second.
constexpr uint64_t kMinAnswers = 10;
// Prompts with fewer uncached tokens take the same time: one chunk of prefill.
constexpr uint32_t kSmallestBucketTokens = 256;

}  // namespace

size_t AnswerBaseline::IndexOf(uint32_t tokens) {
  const auto width =
      static_cast<size_t>(std::bit_width(tokens / kSmallestBucketTokens));
  return std::min(width, kBuckets - 1);
}

void AnswerBaseline::Record(const CallerNeeds& needs, core::Duration time) {
  Buckets& buckets = needs.is_stream ? streams_ : calls_;
  buckets[IndexOf(needs.uncached_tokens)].time.Add(core::ToSeconds(time));
}

std::optional<core::Duration> AnswerBaseline::Long(
    const CallerNeeds& needs) const {
  const Buckets& buckets = needs.is_stream ? streams_ : calls_;
  const auto& time = buckets[IndexOf(needs.uncached_tokens)].time;
  if (time.count() < kMinAnswers) {
    return std::nullopt;
  }
  return core::FromSeconds(time.value());
}

}  // namespace wasabi::forwarding
