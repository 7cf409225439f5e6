#include "LibMembership/peer_rotation.h"

#include <algorithm>
#include <utility>

namespace wasabi::membership {

void PeerRotation::StartRound(const std::vector<uint64_t>& candidates,
                              core::RandomSource* random) {
  round_ = candidates;
  for (size_t i = round_.size(); i > 1; --i) {
    std::swap(round_[i - 1], round_[random->Below(i)]);
  }
}

std::optional<uint64_t> PeerRotation::Next(
    const std::vector<uint64_t>& candidates,
    uint64_t self,
    core::RandomSource* random) {
  const auto is_candidate = [&](uint64_t id_hash) {
    return id_hash != self && std::find(candidates.begin(), candidates.end(),
                                        id_hash) != candidates.end();
  };
  constexpr int kRounds = 2;
  for (int i = 0; i < kRounds; ++i) {
    while (!round_.empty()) {
      const uint64_t id_hash = round_.back();
      round_.pop_back();
      if (is_candidate(id_hash)) {
        return id_hash;
      }
    }
    StartRound(candidates, random);
  }
  return std::nullopt;
}

void PeerRotation::Insert(uint64_t id_hash, core::RandomSource* random) {
  const auto place = static_cast<std::ptrdiff_t>(
      random->Below(static_cast<uint64_t>(round_.size()) + 1));
  round_.insert(round_.begin() + place, id_hash);
}

}  // namespace wasabi::membership
