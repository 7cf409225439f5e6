#include "LibForwarding/endpoint_shares.h"

#include <catch2/catch.hpp>
#include <string>
#include <vector>

namespace wasabi::forwarding {
namespace {

using core::milliseconds;
using core::seconds;

constexpr uint64_t kBusy = 1;
constexpr core::Duration kInterval = seconds(1);
constexpr SelectionPolicy kPolicy = {.load_bound = 2.0};

// Ten endpoints with five requests each, except for the busy one.
std::vector<EndpointCandidate> Pool(uint32_t busy_load) {
  std::vector<EndpointCandidate> pool;
  for (uint64_t hash = 1; hash <= 10; ++hash) {
    pool.push_back(
        {.hash = hash, .load = hash == kBusy ? busy_load : 5, .slots = 64});
  }
  return pool;
}

core::TimePoint At(core::Duration time) {
  return core::TimePoint(seconds(100)) + time;
}

struct FallCase {
  std::string name;
  uint32_t load;
  core::Duration interval;
  bool falls;
};

TEST_CASE("a share falls if stale reports show an endpoint near the bound") {
  const auto row = GENERATE(values<FallCase>({
      {"at the mean", 5, kInterval, false},
      {"between the fills", 10, kInterval, false},
      {"near the bound", 12, kInterval, true},
      {"far above the bound", 40, kInterval, true},
      {"near the bound, reports in time", 12, milliseconds(250), false},
  }));
  INFO(row.name);
  EndpointShares shares;
  shares.Update(Pool(row.load), kPolicy, row.interval, At(seconds(0)));
  CHECK((shares.Of(kBusy) < 1) == row.falls);
  CHECK(shares.Of(kBusy) >= 0.5);
  CHECK(shares.Of(2) == 1);
}

TEST_CASE("a share is adjusted once per interval, down fast and up slowly") {
  EndpointShares shares;
  shares.Update(Pool(40), kPolicy, kInterval, At(seconds(0)));
  const double first = shares.Of(kBusy);
  shares.Update(Pool(40), kPolicy, kInterval, At(milliseconds(999)));
  CHECK(shares.Of(kBusy) == first);
  shares.Update(Pool(40), kPolicy, kInterval, At(seconds(1)));
  const double second = shares.Of(kBusy);
  CHECK(second < first);
  shares.Update(Pool(2), kPolicy, kInterval, At(seconds(2)));
  const double third = shares.Of(kBusy);
  CHECK(third > second);
  CHECK(third - second < first - second);
}

TEST_CASE("a share never falls to zero and is 1 again after a pause") {
  EndpointShares shares;
  for (int i = 0; i < 20; ++i) {
    shares.Update(Pool(40), kPolicy, kInterval, At(seconds(i)));
  }
  CHECK(shares.Of(kBusy) > 0);
  shares.Update(Pool(0), kPolicy, kInterval, At(seconds(60)));
  CHECK(shares.Of(kBusy) == 1);
}

TEST_CASE("an endpoint that left the pool is forgotten") {
  EndpointShares shares;
  shares.Update(Pool(40), kPolicy, kInterval, At(seconds(0)));
  std::vector<EndpointCandidate> others = Pool(40);
  others.erase(others.begin());
  shares.Update(others, kPolicy, kInterval, At(seconds(1)));
  CHECK(shares.Of(kBusy) == 1);
}

}  // namespace
}  // namespace wasabi::forwarding
