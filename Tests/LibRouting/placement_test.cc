#include "LibRouting/placement.h"

#include <catch2/catch.hpp>
#include <set>
#include <string>
#include <vector>

#include "LibCore/result_code.h"

namespace wasabi::routing {
namespace {

std::vector<RunnerView> MakeRunners(size_t count) {
  std::vector<RunnerView> runners(count);
  for (size_t i = 0; i < count; ++i) {
    runners[i].id = core::RunnerId("runner-" + std::to_string(i));
  }
  return runners;
}

core::ChatKey Chat(int number) {
  return core::ChatKey("chat-" + std::to_string(number));
}

struct StrategyRow {
  const char* name;
  bool uses_owner_bound;
  // True if the same chat always gets the same order.
  bool is_sticky;
};

TEST_CASE("every strategy orders all runners that take work") {
  const auto row = GENERATE(StrategyRow{"owners", true, true},
                            StrategyRow{"random", false, false},
                            StrategyRow{"least_reported", false, false},
                            StrategyRow{"plain_hash", false, true},
                            StrategyRow{"bounded_hash", false, true});
  CAPTURE(row.name);
  auto strategy = MakePlacementStrategy(row.name, 1.25, 1);
  REQUIRE(strategy.ok());
  CHECK((*strategy)->IsBoundEnforcedByOwner() == row.uses_owner_bound);
  std::vector<RunnerView> runners = MakeRunners(9);
  runners[3].weight = 0;
  bool always_same = true;
  for (int i = 0; i < 200; ++i) {
    const auto order = (*strategy)->Order(runners, Chat(i), 0);
    CHECK(order.size() == 8);
    CHECK(std::set<size_t>(order.begin(), order.end()).size() == 8);
    CHECK(std::set<size_t>(order.begin(), order.end()).count(3) == 0);
    always_same &= order == (*strategy)->Order(runners, Chat(i), 0);
  }
  CHECK(always_same == row.is_sticky);
  CHECK((*strategy)->Order({}, Chat(1), 0).empty());
}

TEST_CASE("an unknown strategy is refused") {
  const auto strategy = MakePlacementStrategy("nearest", 1.25, 1);
  CHECK(core::CodeOf(strategy.status()) == core::ResultCode::kInvalidIntent);
}

TEST_CASE("requests without a chat are spread by their key") {
  auto strategy = MakePlacementStrategy("owners", 1.25, 1);
  const std::vector<RunnerView> runners = MakeRunners(9);
  std::set<size_t> firsts;
  for (uint64_t key = 0; key < 200; ++key) {
    firsts.insert((*strategy)->Order(runners, core::ChatKey(), key).front());
  }
  CHECK(firsts.size() == 9);
}

TEST_CASE("baselines that use load reports avoid loaded runners") {
  const auto* name = GENERATE("least_reported", "bounded_hash");
  auto strategy = MakePlacementStrategy(name, 1.25, 1);
  std::vector<RunnerView> runners = MakeRunners(9);
  for (RunnerView& it : runners) {
    it.reported_requests = 4;
  }
  runners[5].reported_requests = 40;
  for (int i = 0; i < 200; ++i) {
    CHECK((*strategy)->Order(runners, Chat(i), 0).back() == 5);
  }
}

}  // namespace
}  // namespace wasabi::routing
