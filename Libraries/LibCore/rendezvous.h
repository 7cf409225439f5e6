// Weighted rendezvous hashing (highest random weight). A change of one
// candidate moves only the keys that it wins or loses.

#ifndef LIBCORE_RENDEZVOUS_H_
#define LIBCORE_RENDEZVOUS_H_

#include <cstddef>
#include <cstdint>
#include <span>
#include <vector>

namespace wasabi::core {

// A candidate: the stable hash of its name, and its share of the keys.
struct RendezvousCandidate {
  uint64_t hash = 0;
  double weight = 1.0;
};

// Indices of `candidates` from the most to the least preferred for `key_hash`.
// Candidates whose weight is not positive are left out.
std::vector<size_t> RendezvousOrder(
    uint64_t key_hash,
    std::span<const RendezvousCandidate> candidates);

// The most preferred index; `candidates.size()` where there is none.
size_t RendezvousWinner(uint64_t key_hash,
                        std::span<const RendezvousCandidate> candidates);

}  // namespace wasabi::core

#endif  // LIBCORE_RENDEZVOUS_H_
