#include "LibForwarding/gap_baseline.h"

#include <algorithm>
#include <bit>

namespace wasabi::forwarding {

namespace {

// A host of the largest fleets sees this many events in less than a second.
constexpr uint64_t kMinGaps = 30;

}  // namespace

size_t GapBaseline::IndexOf(uint32_t load) {
  return std::min<size_t>(static_cast<size_t>(std::bit_width(load)),
                          kBuckets - 1);
}

void GapBaseline::Record(core::Duration gap, uint32_t load, bool is_usual) {
  const Bucket* known = Nearest(load);
  if (known != nullptr) {
    pool_pace_.Add(core::ToSeconds(gap) / known->usual.value());
  }
  if (is_usual) {
    Bucket& bucket = buckets_[IndexOf(load)];
    bucket.usual.Add(core::ToSeconds(gap));
    bucket.high.Add(core::ToSeconds(gap));
  }
}

const GapBaseline::Bucket* GapBaseline::Nearest(uint32_t load) const {
  const size_t index = IndexOf(load);
  for (size_t distance = 0; distance < kBuckets; ++distance) {
    for (const size_t i : {index - distance, index + distance}) {
      if (i < kBuckets && buckets_[i].usual.count() >= kMinGaps) {
        return &buckets_[i];
      }
    }
  }
  return nullptr;
}

std::optional<core::Duration> GapBaseline::Usual(uint32_t load) const {
  const Bucket* bucket = Nearest(load);
  if (bucket == nullptr) {
    return std::nullopt;
  }
  // While most endpoints of a pool are slow, that is its usual pace.
  const double pool_pace =
      pool_pace_.count() < kMinGaps ? 1.0 : std::max(1.0, pool_pace_.value());
  return core::FromSeconds(bucket->usual.value() * pool_pace);
}

std::optional<core::Duration> GapBaseline::Long(uint32_t load) const {
  const Bucket* bucket = Nearest(load);
  if (bucket == nullptr || bucket->high.count() < kMinGaps) {
    return std::nullopt;
  }
  return core::FromSeconds(bucket->high.value());
}

}  // namespace wasabi::forwarding
