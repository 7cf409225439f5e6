// Weighted rendezvous hashing (highest random weight): a change of one
// candidate moves only the keys that it gains or loses.

#ifndef LIBCORE_RENDEZVOUS_H_
#define LIBCORE_RENDEZVOUS_H_

#include <cstddef>
#include <cstdint>
#include <span>
#include <vector>

namespace wasabi::core {

// A candidate: the stable hash of its name, and a weight that determines its
// share of the keys.
struct RendezvousCandidate {
  uint64_t hash = 0;
  double weight = 1.0;
};

// Returns the indices of `candidates` from the most to the least preferred for
// `key_hash`. Candidates without a positive weight are omitted.
std::vector<size_t> RendezvousOrder(
    uint64_t key_hash,
    std::span<const RendezvousCandidate> candidates);

// Returns the index of the most preferred candidate, or `candidates.size()` if
// no candidate has a positive weight.
size_t RendezvousWinner(uint64_t key_hash,
                        std::span<const RendezvousCandidate> candidates);

}  // namespace wasabi::core

#endif  // LIBCORE_RENDEZVOUS_H_
