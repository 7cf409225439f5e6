#include "LibForwarding/endpoint_registry.h"

#include <catch2/catch.hpp>
#include <string>
#include <vector>

#include "LibCore/text.h"

namespace wasabi::forwarding {
namespace {

using core::milliseconds;
using core::seconds;

constexpr core::Duration kNoGrace{};
const core::RunnerId kId("e1");

Registration Make(int64_t started_at_ms, int64_t sequence, bool is_leaving) {
  Registration it;
  it.endpoint.id = kId;
  it.endpoint.pool = core::PoolId("p");
  it.endpoint.started_at_ms = started_at_ms;
  it.endpoint.is_leaving = is_leaving;
  it.sequence = sequence;
  return it;
}

struct Fixture {
  EndpointTable table;
  EndpointRegistry registry{&table};
  core::TimePoint now{seconds(100)};

  bool IsAvailable() const {
    return !table.Available(core::PoolId("p")).empty();
  }
};

struct LateCase {
  const char* what;
  Registration later;
  bool is_available;
};

TEST_CASE("a registration that took effect late is ignored") {
  // The current registration has start time 10 and sequence 5, and says that
  // the endpoint is leaving.
  const LateCase cases[] = {
      {"an earlier write", Make(10, 4, false), false},
      {"a write of an earlier start", Make(9, 99, false), false},
      {"a later write", Make(10, 6, false), true},
      {"a later start, whose counts begin anew", Make(11, 1, false), true},
  };
  for (const LateCase& row : cases) {
    INFO(row.what);
    Fixture it;
    it.registry.Put(Make(10, 5, true), it.now);
    it.registry.Put(row.later, it.now);
    CHECK(it.IsAvailable() == row.is_available);
  }
}

TEST_CASE(
    "an endpoint is removed at once if its registration is dropped without "
    "grace") {
  Fixture it;
  it.registry.Put(Make(10, 5, false), it.now);
  CHECK(it.registry.Drop(kId, kNoGrace, it.now));
  CHECK_FALSE(it.IsAvailable());
  // The platform applies the last write again.
  it.registry.Put(Make(10, 5, false), it.now + seconds(1));
  CHECK_FALSE(it.IsAvailable());
}

TEST_CASE("a registration that expired in an outage has a grace period") {
  Fixture it;
  it.registry.Put(Make(10, 5, false), it.now);
  CHECK_FALSE(it.registry.Drop(kId, seconds(2), it.now));
  it.registry.Expire(it.now + milliseconds(1900));
  CHECK(it.IsAvailable());
  SECTION("it reappears") {
    // Hosts that received only the drop must also receive the return.
    CHECK(it.registry.Put(Make(10, 6, false), it.now + milliseconds(1950)) ==
          RegistryOutcome::kChanged);
    it.registry.Expire(it.now + seconds(5));
    CHECK(it.IsAvailable());
  }
  SECTION("it does not reappear") {
    it.registry.Expire(it.now + milliseconds(2001));
    CHECK_FALSE(it.IsAvailable());
  }
}

TEST_CASE("a snapshot drops the registrations that it does not contain") {
  Fixture it;
  it.registry.Put(Make(10, 5, false), it.now);
  it.registry.Replace({}, kNoGrace, it.now);
  CHECK_FALSE(it.IsAvailable());
}

TEST_CASE(
    "the observer receives the previous registration of a restarted endpoint") {
  Fixture it;
  std::vector<int64_t> gone;
  it.table.SetRemovalObserver([&gone](const Endpoint& before) {
    gone.push_back(before.started_at_ms);
  });
  it.registry.Put(Make(10, 5, false), it.now);
  it.registry.Put(Make(10, 6, true), it.now);
  it.registry.Put(Make(11, 1, false), it.now);
  it.registry.Drop(kId, kNoGrace, it.now);
  CHECK(gone == std::vector<int64_t>{10, 11});
}

// Guards against knowledge of an endpoint that is dropped with a registration
// which only lapsed.
TEST_CASE("an endpoint ends when another start or address is registered") {
  Fixture it;
  std::vector<int64_t> ended;
  it.table.SetEndObserver([&ended](const Endpoint& before) {
    ended.push_back(before.started_at_ms);
  });
  it.registry.Put(Make(10, 5, false), it.now);
  it.registry.Drop(kId, kNoGrace, it.now);
  CHECK(ended.empty());
  it.registry.Put(Make(10, 6, false), it.now);
  CHECK(ended.empty());
  it.registry.Drop(kId, kNoGrace, it.now);
  it.registry.Put(Make(11, 1, false), it.now);
  CHECK(ended == std::vector<int64_t>{10});
  it.registry.Put(Make(12, 1, false), it.now);
  CHECK(ended == std::vector<int64_t>{10, 11});
}

TEST_CASE("removed registrations are kept up to a number") {
  EndpointTable table;
  size_t ended = 0;
  table.SetEndObserver([&ended](const Endpoint& /*before*/) { ++ended; });
  constexpr size_t kEndpoints = 1'500;
  for (size_t i = 0; i < kEndpoints; ++i) {
    Endpoint endpoint;
    endpoint.id = core::RunnerId(fmt::format("e{}", i));
    table.Put(endpoint);
    table.Remove(endpoint.id);
  }
  CHECK(ended == 500);
}

}  // namespace
}  // namespace wasabi::forwarding
