// Where crash suspects run.

#ifndef LIBROUTING_ISOLATION_ORDER_H_
#define LIBROUTING_ISOLATION_ORDER_H_

#include <cstdint>
#include <vector>

#include "LibRouting/placement.h"

namespace wasabi::routing {

// Indices into `runners` from the first choice for a suspect on. The digest
// decides, so that all copies of a request meet at one owner and run one after
// the other; and the first choices fall on at most a third of the pool, so
// that suspects, which need a runner each, leave the others to ordinary work.
std::vector<size_t> IsolationOrder(const std::vector<RunnerView>& runners,
                                   uint64_t content_digest);

}  // namespace wasabi::routing

#endif  // LIBROUTING_ISOLATION_ORDER_H_
