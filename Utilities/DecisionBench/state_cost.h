// Memory and processor time of the decision state, at several sizes.

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
  // Allocated bytes per entry; 0 for calls that keep nothing.
  double bytes_per_entry = 0;
  // Time to add one entry; for "advance" and "order" the time of one call over
  // `count` waiting requests or runners.
  double nanoseconds_per_entry = 0;
};

// Bytes and time of the owner's state per request and pointer, and the time of
// one Advance and one preference order, each at three sizes or more.
std::vector<StateCost> MeasureStateCosts();

}  // namespace wasabi::bench

#endif  // UTILITIES_DECISIONBENCH_STATE_COST_H_
