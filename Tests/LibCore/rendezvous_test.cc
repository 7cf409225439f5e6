#include "LibCore/rendezvous.h"

#include <catch2/catch.hpp>
#include <string>
#include <vector>

#include "LibCore/hash.h"

namespace wasabi::core {
namespace {

std::vector<RendezvousCandidate> MakeCandidates(int count) {
  std::vector<RendezvousCandidate> candidates;
  for (int i = 0; i < count; ++i) {
    candidates.push_back({StableHash("runner-" + std::to_string(i)), 1.0});
  }
  return candidates;
}

TEST_CASE("removing one candidate moves only its keys") {
  constexpr int kKeys = 5000;
  std::vector<RendezvousCandidate> before = MakeCandidates(9);
  std::vector<RendezvousCandidate> after = before;
  after[4].weight = 0;
  int moved = 0;
  for (uint64_t key = 0; key < kKeys; ++key) {
    const size_t old_winner = RendezvousWinner(key, before);
    const size_t new_winner = RendezvousWinner(key, after);
    if (old_winner != new_winner) {
      CHECK(old_winner == 4);
      ++moved;
    }
  }
  CHECK(moved < kKeys / 9.0 * 1.2);
  CHECK(moved > kKeys / 9.0 * 0.8);
}

TEST_CASE("keys are distributed in proportion to the weights") {
  std::vector<RendezvousCandidate> candidates = MakeCandidates(2);
  candidates[0].weight = 3.0;
  int first = 0;
  constexpr int kKeys = 10000;
  for (uint64_t key = 0; key < kKeys; ++key) {
    first += RendezvousWinner(key, candidates) == 0 ? 1 : 0;
  }
  CHECK(first > kKeys * 0.73);
  CHECK(first < kKeys * 0.77);
}

TEST_CASE("the preference order starts with the winner") {
  const std::vector<RendezvousCandidate> candidates = MakeCandidates(9);
  for (uint64_t key = 0; key < 100; ++key) {
    CHECK(RendezvousOrder(key, candidates).front() ==
          RendezvousWinner(key, candidates));
  }
}

}  // namespace
}  // namespace wasabi::core
