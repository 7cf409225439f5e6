// Functions for ordering the runners of a pool, shared by the placement
// strategies.

#ifndef LIBROUTING_RUNNER_ORDER_H_
#define LIBROUTING_RUNNER_ORDER_H_

#include <cstdint>
#include <vector>

#include "LibCore/identifier.h"
#include "LibCore/random_source.h"
#include "LibRouting/placement.h"

namespace wasabi::routing {

// Returns the hash that determines the placement of a request: the hash of its
// chat, or `spread_key` if `chat` is empty.
uint64_t PlacementKey(const core::ChatKey& chat, uint64_t spread_key);

// Returns the indices of the runners with a positive weight, ordered by
// weighted rendezvous hashing. A membership change moves only the chats of the
// runners that changed.
std::vector<size_t> HashOrder(const std::vector<RunnerView>& runners,
                              uint64_t key);

// Returns the indices of the runners with a positive weight, in the order of
// `runners`.
std::vector<size_t> AvailableRunners(const std::vector<RunnerView>& runners);

// Returns the indices of the runners with a positive weight, in random order.
std::vector<size_t> ShuffledRunners(const std::vector<RunnerView>& runners,
                                    core::RandomSource& random);

}  // namespace wasabi::routing

#endif  // LIBROUTING_RUNNER_ORDER_H_
