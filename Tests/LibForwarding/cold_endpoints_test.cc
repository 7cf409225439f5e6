// Tests for how long endpoints count as cold. Guards against endpoints that are
// taken for warm after a start or an evacuation, and against pools without a
// warm-up time whose endpoints are taken for cold.

#include "LibForwarding/cold_endpoints.h"

#include <catch2/catch.hpp>
#include <map>

#include "LibForwarding/endpoint_registry.h"

namespace wasabi::forwarding {
namespace {

using core::milliseconds;
using core::seconds;

constexpr core::TimePoint kNow{seconds(1000)};

RouteTableView MakeTable(core::Duration warm_up, double per_second) {
  RouteTableBuilder builder(1);
  builder.AddPool({.id = core::PoolId("p"),
                   .warm_up = warm_up,
                   .cold_per_second = per_second});
  return builder.Build();
}

Registration Make(const char* id,
                  int64_t born,
                  core::Duration cold_left = {},
                  int64_t sequence = 1) {
  Registration it;
  it.endpoint.id = core::RunnerId(id);
  it.endpoint.pool = core::PoolId("p");
  it.endpoint.data_centre = core::DataCentreId("a");
  it.endpoint.started_at_ms = born;
  it.sequence = sequence;
  it.cold_left = cold_left;
  return it;
}

struct Fixture {
  Fixture() {
    cold.SetSink([this](const core::RunnerId& id, double per_second,
                        core::Duration left, core::TimePoint now) {
      CHECK(per_second == 14);
      until[id.value()] = now + left;
    });
  }

  EndpointTable table;
  ColdEndpoints cold{&table};
  EndpointRegistry registry{&table, &cold};
  std::map<std::string, core::TimePoint> until;
};

TEST_CASE("an endpoint is cold after its start") {
  Fixture it;
  it.cold.SetPools(MakeTable(seconds(3), 14), kNow);
  it.registry.Replace({Make("old", 1), Make("young", 2, milliseconds(900))}, {},
                      kNow);
  CHECK_FALSE(it.until.contains("old"));
  CHECK(it.until["young"] == kNow + milliseconds(900));

  SECTION("a new id") {
    CHECK(it.registry.Put(Make("new", 5), kNow) == RegistryOutcome::kChanged);
    CHECK(it.until["new"] == kNow + seconds(3));
  }
  SECTION("a higher start time") {
    it.registry.Put(Make("old", 5), kNow + seconds(1));
    CHECK(it.until["old"] == kNow + seconds(4));
  }
  SECTION("a later snapshot") {
    it.registry.Replace({Make("old", 1), Make("new", 5)}, {}, kNow);
    CHECK_FALSE(it.until.contains("old"));
    CHECK(it.until["new"] == kNow + seconds(3));
  }
  SECTION("a statement that it is cold again is relayed to other hosts") {
    const auto again = Make("old", 1, seconds(2), 2);
    CHECK(it.registry.Put(again, kNow) == RegistryOutcome::kChanged);
    CHECK(it.until["old"] == kNow + seconds(2));
  }
  SECTION("repeated statements of the same time are not relayed") {
    const auto again = Make("young", 2, milliseconds(700), 2);
    CHECK(it.registry.Put(again, kNow + milliseconds(200)) ==
          RegistryOutcome::kUnchanged);
  }
  SECTION("a registration that returns after an outage is no start") {
    it.registry.Drop(core::RunnerId("old"), {}, kNow);
    it.registry.Expire(kNow + seconds(20));
    it.registry.Put(Make("old", 1, {}, 2), kNow + seconds(21));
    CHECK_FALSE(it.until.contains("old"));
  }
  SECTION("a late write of an earlier life changes nothing") {
    it.registry.Put(Make("old", 0, seconds(3)), kNow);
    CHECK_FALSE(it.until.contains("old"));
  }
  SECTION("an answer") {
    it.cold.RecordAnswer(Make("old", 1).endpoint, seconds(1), kNow);
    CHECK(it.until["old"] == kNow + seconds(1));
  }
  SECTION("the end of an evacuation of its data centre") {
    CHECK(it.cold.MarkCold(core::DataCentreId("b"), kNow) == 0);
    CHECK(it.cold.MarkCold(core::DataCentreId("a"), kNow) == 2);
    CHECK(it.until["old"] == kNow + seconds(3));
  }
}

TEST_CASE("the warm-up time may be read after the registrations") {
  Fixture it;
  it.registry.Replace({}, {}, kNow);
  it.registry.Put(Make("new", 5), kNow);
  CHECK(it.until.empty());
  it.cold.SetPools(MakeTable(seconds(3), 14), kNow + seconds(1));
  CHECK(it.until["new"] == kNow + seconds(3));
}

TEST_CASE("pools without a warm-up time or rate are never cold") {
  struct Row {
    core::Duration warm_up;
    double per_second;
  };
  for (const Row& row : {Row{{}, 14}, Row{seconds(3), 0}, Row{{}, 0}}) {
    Fixture it;
    it.cold.SetPools(MakeTable(row.warm_up, row.per_second), kNow);
    it.registry.Replace({Make("old", 1, seconds(3))}, {}, kNow);
    it.registry.Put(Make("new", 5, seconds(3)), kNow);
    CHECK(it.registry.Put(Make("old", 1, seconds(9), 2), kNow) ==
          RegistryOutcome::kUnchanged);
    CHECK(it.cold.MarkCold(core::DataCentreId("a"), kNow) == 0);
    CHECK(it.until.empty());
  }
}

}  // namespace
}  // namespace wasabi::forwarding
