#include "LibForwarding/endpoint_table.h"

#include <catch2/catch.hpp>

namespace wasabi::forwarding {
namespace {

const core::PoolId kPool("p");
const core::RunnerId kId("e1");
constexpr int64_t kStartedAt = 1000;

Endpoint EndpointStartedAt(int64_t started_at_ms) {
  Endpoint endpoint;
  endpoint.id = kId;
  endpoint.pool = kPool;
  endpoint.started_at_ms = started_at_ms;
  return endpoint;
}

struct DepartureCase {
  const char* what;
  // Start time in the registration that follows the departure.
  int64_t started_at_ms;
  bool is_removed_before;
  bool is_available;
};

TEST_CASE("an endpoint that announced its departure is not available") {
  const DepartureCase cases[] = {
      {"registered as before", kStartedAt, false, false},
      {"registered again after its removal", kStartedAt, true, false},
      {"restarted", kStartedAt + 1, false, true},
      {"restarted after its removal", kStartedAt + 1, true, true},
      {"a registration of an earlier life", kStartedAt - 1, false, false},
  };
  for (const DepartureCase& row : cases) {
    INFO(row.what);
    EndpointTable table;
    table.Put(EndpointStartedAt(kStartedAt));
    REQUIRE(table.Available(kPool).size() == 1);
    CHECK(table.RecordDeparture(kId, kStartedAt));
    CHECK_FALSE(table.RecordDeparture(kId, kStartedAt));
    CHECK(table.Available(kPool).empty());
    CHECK(table.Find(kId) != nullptr);
    if (row.is_removed_before) {
      table.Remove(kId);
    }
    table.Put(EndpointStartedAt(row.started_at_ms));
    CHECK(table.Available(kPool).empty() != row.is_available);
  }
}

struct MisdirectedCase {
  const char* what;
  // The registration that follows.
  Endpoint next;
  bool is_removed_before;
  bool is_available;
};

TEST_CASE("an endpoint at whose address another one answers is not available") {
  const Endpoint before = EndpointStartedAt(kStartedAt);
  Endpoint moved = before;
  moved.address = core::SocketAddress(1, 2);
  Endpoint larger = before;
  larger.slots = 2;
  const MisdirectedCase cases[] = {
      {"registered as before", before, false, false},
      {"registered again after its removal", before, true, true},
      {"restarted", EndpointStartedAt(kStartedAt + 1), false, true},
      {"at another address", moved, false, true},
      {"another registration", larger, false, true},
  };
  for (const MisdirectedCase& row : cases) {
    INFO(row.what);
    EndpointTable table;
    table.Put(before);
    CHECK(table.RecordMisdirected(kId, kStartedAt, before.address));
    CHECK_FALSE(table.RecordMisdirected(kId, kStartedAt, before.address));
    CHECK(table.Available(kPool).empty());
    CHECK(table.FindAvailable(kId.Hash()) == nullptr);
    CHECK_FALSE(table.HasAddress(before));
    CHECK(table.Find(kId) != nullptr);
    if (row.is_removed_before) {
      table.Remove(kId);
    }
    table.Put(row.next);
    CHECK(table.Available(kPool).empty() != row.is_available);
    CHECK(table.HasAddress(row.next) == row.is_available);
  }
}

TEST_CASE("an answer to an earlier registration takes no endpoint out of use") {
  EndpointTable table;
  const Endpoint endpoint = EndpointStartedAt(kStartedAt);
  const core::SocketAddress other(1, 2);
  CHECK_FALSE(table.RecordMisdirected(kId, kStartedAt, endpoint.address));
  table.Put(endpoint);
  CHECK_FALSE(table.RecordMisdirected(kId, kStartedAt - 1, endpoint.address));
  CHECK_FALSE(table.RecordMisdirected(kId, kStartedAt, other));
  CHECK(table.Available(kPool).size() == 1);
}

struct SuccessorCase {
  const char* what;
  int64_t older_started_at_ms;
  int64_t newer_started_at_ms;
  const char* newer_pool;
  bool is_newer_leaving;
  bool is_same_address;
  bool is_older_available;
};

TEST_CASE("an address belongs to the endpoint that started last") {
  const SuccessorCase cases[] = {
      {"started later", 1, 2, "p", false, true, false},
      {"equal starts", 1, 1, "p", false, true, true},
      {"started earlier", 3, 2, "p", false, true, true},
      {"unknown start", 0, 2, "p", false, true, true},
      {"unknown start of the other", 1, 0, "p", false, true, true},
      {"another address", 1, 2, "p", false, false, true},
      // It gets no requests of the pool that could show it to be wrong.
      {"another pool", 1, 2, "q", false, true, true},
      {"leaving", 1, 2, "p", true, true, true},
  };
  for (const SuccessorCase& row : cases) {
    INFO(row.what);
    EndpointTable table;
    const Endpoint older = EndpointStartedAt(row.older_started_at_ms);
    Endpoint newer = EndpointStartedAt(row.newer_started_at_ms);
    newer.id = core::RunnerId("e2");
    newer.pool = core::PoolId(row.newer_pool);
    newer.is_leaving = row.is_newer_leaving;
    if (!row.is_same_address) {
      newer.address = core::SocketAddress(1, 2);
    }
    table.Put(older);
    table.Put(newer);
    const bool is_available = table.FindAvailable(kId.Hash()) != nullptr;
    CHECK(is_available == row.is_older_available);
    CHECK(table.HasAddress(older) == row.is_older_available);
    // The order in which they are read does not matter.
    table.Remove(kId);
    table.Put(older);
    CHECK(table.HasAddress(older) == row.is_older_available);
    table.Remove(newer.id);
    CHECK(table.HasAddress(older));
  }
}

TEST_CASE("a wrong entry keeps the older endpoint at its address out of use") {
  EndpointTable table;
  const Endpoint older = EndpointStartedAt(kStartedAt);
  Endpoint wrong = EndpointStartedAt(kStartedAt + 1);
  wrong.id = core::RunnerId("e2");
  table.Put(older);
  table.Put(wrong);
  REQUIRE(table.FindAvailable(kId.Hash()) == nullptr);
  CHECK(table.RecordMisdirected(wrong.id, wrong.started_at_ms, wrong.address));
  CHECK(table.FindAvailable(kId.Hash()) != nullptr);
  CHECK(table.FindAvailable(wrong.id.Hash()) == nullptr);
  // The wrong entry moves away and comes back.
  wrong.address = core::SocketAddress(1, 2);
  table.Put(wrong);
  CHECK(table.Available(kPool).size() == 2);
  wrong.address = older.address;
  table.Put(wrong);
  CHECK(table.FindAvailable(kId.Hash()) == nullptr);
}

TEST_CASE("endpoints of an evacuated data centre are not available") {
  const core::DataCentreId zone("z2");
  EndpointTable table;
  Endpoint endpoint = EndpointStartedAt(kStartedAt);
  endpoint.data_centre = zone;
  table.Put(endpoint);
  std::vector<core::DataCentreId> ended;
  table.SetEvacuationEndObserver(
      [&ended](const core::DataCentreId& it) { ended.push_back(it); });
  table.SetEvacuated({zone, core::DataCentreId("z3")});
  CHECK(table.Available(kPool).empty());
  CHECK(table.FindAvailable(kId.Hash()) == nullptr);
  CHECK(table.Find(kId) != nullptr);
  // A registration does not end it.
  endpoint.started_at_ms = kStartedAt + 1;
  table.Put(endpoint);
  CHECK(table.Available(kPool).empty());
  CHECK(ended.empty());
  table.SetEvacuated({core::DataCentreId("z3")});
  CHECK(table.Available(kPool).size() == 1);
  CHECK(table.FindAvailable(kId.Hash()) != nullptr);
  CHECK(ended == std::vector<core::DataCentreId>{zone});
}

}  // namespace
}  // namespace wasabi::forwarding
