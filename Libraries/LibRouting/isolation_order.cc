#include "LibRouting/isolation_order.h"

#include <algorithm>

#include "LibRouting/runner_order.h"

namespace wasabi::routing {

std::vector<size_t> IsolationOrder(const std::vector<RunnerView>& runners,
                                   uint64_t content_digest) {
  // A fixed hash key, so that all hosts rank the runners of a pool identically.
  constexpr uint64_t kRankKey = 0x69736f6c61746531ULL;
  constexpr size_t kPoolDivisor = 3;
  std::vector<size_t> order = HashOrder(runners, kRankKey);
  if (order.empty()) {
    return order;
  }
  const size_t isolation_size =
      std::max<size_t>(1, order.size() / kPoolDivisor);
  const size_t first = content_digest % isolation_size;
  std::rotate(order.begin(), order.begin() + static_cast<ptrdiff_t>(first),
              order.begin() + static_cast<ptrdiff_t>(isolation_size));
  return order;
}

}  // namespace wasabi::routing
