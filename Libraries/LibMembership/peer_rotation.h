// Determines the order in which a member contacts the others. Each shuffled
// round visits every member once, which bounds the time between two contacts
// with the same member.

#ifndef LIBMEMBERSHIP_PEER_ROTATION_H_
#define LIBMEMBERSHIP_PEER_ROTATION_H_

#include <cstdint>
#include <optional>
#include <vector>

#include "LibCore/random_source.h"

namespace wasabi::membership {

class PeerRotation {
 public:
  // Returns the id hash of the next member in the round that is in `candidates`
  // and not `self`, or nullopt if there is none. Starts a new round from
  // `candidates` when the current one is finished.
  std::optional<uint64_t> Next(const std::vector<uint64_t>& candidates,
                               uint64_t self,
                               core::RandomSource* random);

  // Inserts a member that has joined at a random position in the remaining part
  // of the current round.
  void Insert(uint64_t id_hash, core::RandomSource* random);

 private:
  void StartRound(const std::vector<uint64_t>& candidates,
                  core::RandomSource* random);

  // Members not yet visited in this round. The next one is at the back.
  std::vector<uint64_t> round_;
};

}  // namespace wasabi::membership

#endif  // LIBMEMBERSHIP_PEER_ROTATION_H_
