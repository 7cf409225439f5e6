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
