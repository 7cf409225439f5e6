#include "LibForwarding/endpoint_registry.h"

#include <catch2/catch.hpp>
#include <string>

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
  // The endpoint, started at 10, has said at 5 that it leaves.
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

TEST_CASE("an endpoint whose registration went is gone at once") {
  Fixture it;
  it.registry.Put(Make(10, 5, false), it.now);
  CHECK(it.registry.Drop(kId, kNoGrace, it.now));
  CHECK_FALSE(it.IsAvailable());
  // The last write, applied once more by the platform.
  it.registry.Put(Make(10, 5, false), it.now + seconds(1));
  CHECK_FALSE(it.IsAvailable());
}

TEST_CASE("a registration that lapsed in an outage has time to come back") {
  Fixture it;
  it.registry.Put(Make(10, 5, false), it.now);
  CHECK_FALSE(it.registry.Drop(kId, seconds(2), it.now));
  it.registry.Expire(it.now + milliseconds(1900));
  CHECK(it.IsAvailable());
  SECTION("it comes back") {
    // Hosts that only heard of the drop need to hear of the return.
    CHECK(it.registry.Put(Make(10, 6, false), it.now + milliseconds(1950)) ==
          RegistryOutcome::kChanged);
    it.registry.Expire(it.now + seconds(5));
    CHECK(it.IsAvailable());
  }
  SECTION("it doesn't") {
    it.registry.Expire(it.now + milliseconds(2001));
    CHECK_FALSE(it.IsAvailable());
  }
}

TEST_CASE("a snapshot drops what it lacks") {
  Fixture it;
  it.registry.Put(Make(10, 5, false), it.now);
  it.registry.Replace({}, kNoGrace, it.now);
  CHECK_FALSE(it.IsAvailable());
}

TEST_CASE("a start under the same id is told, with what held before") {
  Fixture it;
  std::vector<int64_t> gone;
  it.table.SetGoneObserver([&gone](const Endpoint& before) {
    gone.push_back(before.started_at_ms);
  });
  it.registry.Put(Make(10, 5, false), it.now);
  it.registry.Put(Make(10, 6, true), it.now);
  it.registry.Put(Make(11, 1, false), it.now);
  it.registry.Drop(kId, kNoGrace, it.now);
  CHECK(gone == std::vector<int64_t>{10, 11});
}

}  // namespace
}  // namespace wasabi::forwarding
