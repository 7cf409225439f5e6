// The order in which a member probes the others: every member once per round,
// so that the time to the next probe of any one is bounded.

#ifndef LIBMEMBERSHIP_PROBE_ORDER_H_
#define LIBMEMBERSHIP_PROBE_ORDER_H_

#include <cstdint>
#include <optional>
#include <vector>

#include "LibCore/random_source.h"

namespace wasabi::membership {

class ProbeOrder {
 public:
  // The next of `candidates` other than `self`. Members that joined within the
  // round are added at a random place of its rest.
  std::optional<uint64_t> Next(const std::vector<uint64_t>& candidates,
                               uint64_t self,
                               core::RandomSource* random);

  // Takes a member into the round.
  void Insert(uint64_t id_hash, core::RandomSource* random);

 private:
  void StartRound(const std::vector<uint64_t>& candidates,
                  core::RandomSource* random);

  // What is left of the round, the next one at the back.
  std::vector<uint64_t> round_;
};

}  // namespace wasabi::membership

#endif  // LIBMEMBERSHIP_PROBE_ORDER_H_
