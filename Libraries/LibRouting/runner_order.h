// Orders of a pool's runners that the placement strategies share.

#ifndef LIBROUTING_RUNNER_ORDER_H_
#define LIBROUTING_RUNNER_ORDER_H_

#include <cstdint>
#include <vector>

#include "LibCore/identifier.h"
#include "LibCore/random_source.h"
#include "LibRouting/placement.h"

namespace wasabi::routing {

// The hash that places a request: its chat's, or `spread_key` without a chat.
uint64_t PlacementKey(const core::ChatKey& chat, uint64_t spread_key);

// Indices of the runners with a positive weight, by weighted rendezvous
// hashing. A membership change moves only the chats of the changed runners.
std::vector<size_t> HashOrder(const std::vector<RunnerView>& runners,
                              uint64_t key);

// Indices of the runners with a positive weight, in the order of `runners`.
std::vector<size_t> AvailableRunners(const std::vector<RunnerView>& runners);

// The same indices in a random order.
std::vector<size_t> ShuffledRunners(const std::vector<RunnerView>& runners,
                                    core::RandomSource& random);

}  // namespace wasabi::routing

#endif  // LIBROUTING_RUNNER_ORDER_H_
