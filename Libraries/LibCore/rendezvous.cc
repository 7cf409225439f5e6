#include "LibCore/rendezvous.h"

#include <algorithm>
#include <cmath>

#include "LibCore/hash.h"

namespace wasabi::core {

namespace {

// Returns -weight / ln(u) for a hash u in (0, 1): the probability that a
// candidate has the highest score is proportional to its weight.
double Score(uint64_t key_hash, const RendezvousCandidate& candidate) {
  constexpr double kScale = 1.0 / 9007199254740994.0;  // 1 / (2^53 + 2).
  const uint64_t mixed = CombineHashes(candidate.hash, key_hash) >> 11U;
  const double unit = (static_cast<double>(mixed) + 1.0) * kScale;
  return -candidate.weight / std::log(unit);
}

}  // namespace

std::vector<size_t> RendezvousOrder(
    uint64_t key_hash,
    std::span<const RendezvousCandidate> candidates) {
  struct Scored {
    double score;
    size_t index;
  };
  std::vector<Scored> scored;
  scored.reserve(candidates.size());
  for (size_t i = 0; i < candidates.size(); ++i) {
    if (candidates[i].weight > 0) {
      scored.push_back({Score(key_hash, candidates[i]), i});
    }
  }
  std::sort(scored.begin(), scored.end(),
            [&](const Scored& a, const Scored& b) {
              if (a.score != b.score) {
                return a.score > b.score;
              }
              return candidates[a.index].hash < candidates[b.index].hash;
            });
  std::vector<size_t> order;
  order.reserve(scored.size());
  for (const Scored& it : scored) {
    order.push_back(it.index);
  }
  return order;
}

size_t RendezvousWinner(uint64_t key_hash,
                        std::span<const RendezvousCandidate> candidates) {
  size_t winner = candidates.size();
  double best = 0;
  for (size_t i = 0; i < candidates.size(); ++i) {
    if (candidates[i].weight <= 0) {
      continue;
    }
    const double score = Score(key_hash, candidates[i]);
    const bool is_better =
        winner == candidates.size() || score > best ||
        (score == best && candidates[i].hash < candidates[winner].hash);
    if (is_better) {
      winner = i;
      best = score;
    }
  }
  return winner;
}

}  // namespace wasabi::core
