// Memory and processor time of the decision state, at several sizes.

#ifndef UTILITIES_DECISIONBENCH_STATE_COST_H_
#define UTILITIES_DECISIONBENCH_STATE_COST_H_

#include <cstdint>
#include <string>
#include <vector>

namespace wasabi::bench {

// The cost of `count` entries of one kind.
struct StateCost {
  // "running_request", "waiting_request", "pointer" or "order".
  std::string kind;
  uint64_t count = 0;
  // Allocated bytes per entry; 0 for "order", which keeps nothing.
  double bytes_per_entry = 0;
  // Time per entry: to add one, or to order the runners once.
  double nanoseconds_per_entry = 0;
};

// Bytes and time of the owner's state per request and pointer at three sizes
// each, and the time of one preference order over pools of several sizes.
std::vector<StateCost> MeasureStateCosts();

}  // namespace wasabi::bench

#endif  // UTILITIES_DECISIONBENCH_STATE_COST_H_
