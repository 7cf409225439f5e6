#include "LibRouting/fair_queue.h"

#include <algorithm>
#include <catch2/catch.hpp>
#include <string>
#include <vector>

#include "LibCore/random_source.h"

namespace wasabi::routing {
namespace {

WaitingItem MakeWaiting(uint64_t number,
                        const std::string& organisation,
                        double weight,
                        double tokens,
                        Priority priority = Priority::kNormal) {
  WaitingItem waiting;
  waiting.item.request = core::RequestId(std::to_string(number));
  waiting.item.organisation = core::OrganisationId(organisation);
  waiting.item.organisation_weight = weight;
  waiting.item.priority = priority;
  waiting.tokens = tokens;
  return waiting;
}

TEST_CASE("more urgent requests go first, equal ones in order of arrival") {
  FairQueue queue;
  queue.Push(MakeWaiting(0, "a", 1, 10, Priority::kBatch));
  queue.Push(MakeWaiting(1, "a", 1, 10, Priority::kNormal));
  queue.Push(MakeWaiting(2, "a", 1, 10, Priority::kUrgent));
  queue.Push(MakeWaiting(3, "a", 1, 10, Priority::kNormal));
  CHECK(queue.CountAhead(Priority::kUrgent) == 1);
  CHECK(queue.CountAhead(Priority::kBatch) == 4);
  for (const char* expected : {"2", "1", "3", "0"}) {
    CHECK(queue.Pop().item.request.value() == expected);
  }
  CHECK(queue.Front() == nullptr);
}

TEST_CASE("a removed request isn't served") {
  FairQueue queue;
  queue.Push(MakeWaiting(0, "a", 1, 10));
  queue.Push(MakeWaiting(1, "a", 1, 20));
  CHECK(queue.Remove(core::RequestId("0")).has_value());
  CHECK_FALSE(queue.Remove(core::RequestId("0")).has_value());
  CHECK(queue.tokens() == 20);
  CHECK(queue.Pop().item.request.value() == "1");
}

// Simulates two organisations that always have queued requests. Returns the
// largest difference between their weighted service, relative to the bound of
// start-time fair queueing: the weighted size of one largest request of each.
double WorstUnfairness(uint64_t seed, bool is_one_organisation) {
  constexpr uint64_t kMaxTokens = 1000;
  core::RandomSource random(seed);
  const std::vector<double> weights = {
      1.0 + static_cast<double>(random.Below(4)), 1.0};
  const std::vector<uint64_t> backlog = {3, 3 + random.Below(30)};
  std::vector<double> service(2);
  FairQueue queue;
  uint64_t number = 0;
  const auto add = [&](size_t owner) {
    const std::string name =
        is_one_organisation ? "one" : std::to_string(owner);
    queue.Push(
        MakeWaiting(2 * number++ + owner, name, weights[owner],
                    1.0 + static_cast<double>(random.Below(kMaxTokens))));
  };
  for (size_t owner = 0; owner < 2; ++owner) {
    for (uint64_t i = 0; i < backlog[owner]; ++i) {
      add(owner);
    }
  }
  double worst = 0;
  for (int i = 0; i < 500; ++i) {
    const WaitingItem served = queue.Pop();
    const size_t owner = std::stoull(served.item.request.value()) % 2;
    service[owner] += served.tokens / weights[owner];
    add(owner);
    const double limit = kMaxTokens / weights[0] + kMaxTokens / weights[1];
    worst = std::max(worst, std::abs(service[0] - service[1]) / limit);
  }
  return worst;
}

TEST_CASE("organisations share a runner by weight, regardless of backlog") {
  for (uint64_t seed = 0; seed < 2000; ++seed) {
    CAPTURE(seed);
    REQUIRE(WorstUnfairness(seed, false) <= 1);
  }
}

TEST_CASE("without per-organisation queueing the larger backlog dominates") {
  CHECK(WorstUnfairness(1, true) > 5);
}

}  // namespace
}  // namespace wasabi::routing
