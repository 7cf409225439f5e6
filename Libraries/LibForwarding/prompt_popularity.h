// Estimates, from this host's own requests, which share of a pool's requests
// has a given prompt. Callers are spread over the hosts, so every host sees
// about the same shares, and the hosts agree without communication. Performs no
// I/O; the caller passes in the time.

#ifndef LIBFORWARDING_PROMPT_POPULARITY_H_
#define LIBFORWARDING_PROMPT_POPULARITY_H_

#include <cstdint>

#include "LibCore/time.h"
#include "absl/container/flat_hash_map.h"

namespace wasabi::forwarding {

class PromptPopularity {
 public:
  // Counts a request for `prompt`. Returns the prompt's share of the recent
  // requests, from 0 to 1, or 0 if too few of them had it for an estimate.
  double Record(uint64_t prompt, core::TimePoint now);

 private:
  // A count that decays exponentially.
  struct Count {
    double value = 0;
    core::TimePoint updated_at{};
  };

  static double Add(Count& count, core::TimePoint now);
  static double DecayedValue(const Count& count, core::TimePoint now);
  void Forget(core::TimePoint now);

  Count total_;
  absl::flat_hash_map<uint64_t, Count> prompts_;
};

// Returns over how many endpoints a prompt with this share of the requests is
// spread, so that it alone fills none of them above the mean of the pool. If
// `report_interval` is short, the load bound spreads a hot prompt as far as
// needed, so the result is smaller and fewer endpoints have to process the
// prompt.
size_t ReplicasFor(double share,
                   size_t endpoint_count,
                   core::Duration report_interval);

}  // namespace wasabi::forwarding

#endif  // LIBFORWARDING_PROMPT_POPULARITY_H_
