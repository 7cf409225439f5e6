// Measures memory and CPU time of the admission and placement state at several
// sizes.

#ifndef UTILITIES_DECISIONBENCH_STATE_COST_H_
#define UTILITIES_DECISIONBENCH_STATE_COST_H_

#include <cstdint>
#include <string>
#include <vector>

namespace wasabi::bench {

// The cost of `count` entries of one kind.
struct StateCost {
  // "running_request", "waiting_request", "pointer", "advance" or "order".
  std::string kind;
  uint64_t count = 0;
  // Allocated bytes per entry; 0 for calls that allocate no lasting state.
  double bytes_per_entry = 0;
  // Time to add one entry. For "advance" and "order", the time of one call over
  // `count` waiting requests or runners.
  double nanoseconds_per_entry = 0;
};

// Measures the bytes and time per request and per pointer in the owner's state,
// and the time of one Advance call and of one preference order, each at three
// or more sizes.
std::vector<StateCost> MeasureStateCosts();

}  // namespace wasabi::bench

#endif  // UTILITIES_DECISIONBENCH_STATE_COST_H_
