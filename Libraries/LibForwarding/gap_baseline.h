// The usual time between two events of a stream in one pool, by the number of
// requests at the endpoint: engines decode all their requests in one batch, so
// that gaps grow with it. Performs no I/O.

#ifndef LIBFORWARDING_GAP_BASELINE_H_
#define LIBFORWARDING_GAP_BASELINE_H_

#include <array>
#include <cstddef>
#include <cstdint>
#include <optional>

#include "LibCore/time.h"
#include "LibRouting/quantile_tracker.h"

namespace wasabi::forwarding {

class GapBaseline {
 public:
  // Records a gap at an endpoint with `load` requests. Only gaps of endpoints
  // whose pace `is_usual` count by load: avoided endpoints have few requests,
  // so that their gaps would soon pass for usual at a low load. The others
  // count towards the pace of the pool as a whole, a median that tolerates a
  // third of slow endpoints.
  void Record(core::Duration gap, uint32_t load, bool is_usual);

  // Returns the median gap; nullopt until enough gaps are known.
  std::optional<core::Duration> Usual(uint32_t load) const;
  // Returns the gap that one event in fifty exceeds, because the endpoint
  // prefills prompts in between; nullopt until enough gaps are known.
  std::optional<core::Duration> Long(uint32_t load) const;

 private:
  static constexpr size_t kBuckets = 9;

  struct Bucket {
    routing::QuantileTracker usual{0.5};
    routing::QuantileTracker high{0.98};
  };

  // Returns the bucket of `load`: each holds twice the loads of the one before.
  static size_t IndexOf(uint32_t load);
  // Returns the bucket of the nearest load for which enough gaps are known, or
  // nullptr.
  const Bucket* Nearest(uint32_t load) const;

  std::array<Bucket, kBuckets> buckets_;
  // Gaps of all endpoints as a multiple of the usual gap at their load.
  routing::QuantileTracker pool_pace_{0.5};
};

}  // namespace wasabi::forwarding

#endif  // LIBFORWARDING_GAP_BASELINE_H_
