// The time that endpoints of one pool take at their usual pace until the first
// event of a stream, or until the whole answer of a plain call. It grows with
// the tokens that have to be prefilled. Performs no I/O.

#ifndef LIBFORWARDING_ANSWER_BASELINE_H_
#define LIBFORWARDING_ANSWER_BASELINE_H_

#include <array>
#include <cstddef>
#include <optional>

#include "LibCore/time.h"
#include "LibForwarding/caller_needs.h"
#include "LibRouting/quantile_tracker.h"

namespace wasabi::forwarding {

class AnswerBaseline {
 public:
  // Records that a request with `needs` was answered after `time` by an
  // endpoint at its usual pace.
  void Record(const CallerNeeds& needs, core::Duration time);

  // Returns the time that one in ten requests like the one with `needs`
  // exceeds; nullopt until enough of them are known.
  std::optional<core::Duration> Long(const CallerNeeds& needs) const;

 private:
  static constexpr size_t kBuckets = 9;

  struct Bucket {
    routing::QuantileTracker time{0.9};
  };
  using Buckets = std::array<Bucket, kBuckets>;

  // Returns the bucket of a number of tokens: each holds twice as many as the
  // one before.
  static size_t IndexOf(uint32_t tokens);

  Buckets streams_;
  Buckets calls_;
};

}  // namespace wasabi::forwarding

#endif  // LIBFORWARDING_ANSWER_BASELINE_H_
