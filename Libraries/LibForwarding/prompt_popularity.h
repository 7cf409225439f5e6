// Estimates from this host's own requests which share of a pool's requests is
// about one prompt. Callers spread over hosts, so every host sees about the
// same shares, and hosts agree without asking each other. Pure state.

#ifndef LIBFORWARDING_PROMPT_POPULARITY_H_
#define LIBFORWARDING_PROMPT_POPULARITY_H_

#include <cstdint>

#include "LibCore/time.h"
#include "absl/container/flat_hash_map.h"

namespace wasabi::forwarding {

class PromptPopularity {
 public:
  // Notes a request for `prompt` and returns the prompt's share of the recent
  // requests, or 0 where too few of them were about it to tell.
  double Record(uint64_t prompt, core::TimePoint now);

 private:
  // A count whose old parts fade.
  struct Count {
    double value = 0;
    core::TimePoint updated_at{};
  };

  static double Add(Count& count, core::TimePoint now);
  static double Faded(const Count& count, core::TimePoint now);
  void Forget(core::TimePoint now);

  Count total_;
  absl::flat_hash_map<uint64_t, Count> prompts_;
};

// Over how many endpoints a prompt with this share of the requests spreads, so
// that it alone fills none of them to more than the mean of the pool. Where
// hosts hear of each other's load often, the bound on the load spreads a hot
// prompt as far as need be, and fewer endpoints have to read it.
size_t ReplicasFor(double share,
                   size_t endpoint_count,
                   core::Duration report_interval);

}  // namespace wasabi::forwarding

#endif  // LIBFORWARDING_PROMPT_POPULARITY_H_
