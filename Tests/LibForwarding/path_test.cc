// Tests how a host tells the loss of its path from the failure of endpoints,
// and how it finds a carrier, also in fleets of which most hosts are cut off.

#include <catch2/catch.hpp>
#include <set>
#include <vector>

#include "LibCore/text.h"
#include "LibForwarding/carrier_directory.h"
#include "LibForwarding/path_monitor.h"

namespace wasabi::forwarding {
namespace {

using core::milliseconds;
using core::seconds;

constexpr core::TimePoint kStart{seconds(1000)};

struct PathCase {
  const char* what;
  // An endpoint whose connection failed, or "" for one that was established.
  std::vector<std::pair<core::Duration, const char*>> connections;
  bool is_lost;
};

TEST_CASE("the path is lost when several endpoints fail and none answers") {
  const PathCase cases[] = {
      {"one endpoint again and again",
       {{milliseconds(0), "e1"}, {milliseconds(400), "e1"}},
       false},
      {"two endpoints",
       {{milliseconds(0), "e1"}, {milliseconds(1), "e2"}},
       true},
      {"another one answers in between",
       {{milliseconds(0), "e1"},
        {milliseconds(1), ""},
        {milliseconds(2), "e2"}},
       false},
      {"far apart", {{milliseconds(0), "e1"}, {seconds(3), "e2"}}, false},
      {"an answer ends it",
       {{milliseconds(0), "e1"}, {milliseconds(1), "e2"}, {seconds(9), ""}},
       false},
      {"only an answer ends it",
       {{milliseconds(0), "e1"}, {milliseconds(1), "e2"}, {seconds(9), "e1"}},
       true},
  };
  for (const PathCase& row : cases) {
    INFO(row.what);
    PathMonitor monitor;
    for (const auto& [at, endpoint] : row.connections) {
      if (*endpoint == '\0') {
        monitor.RecordConnected();
      } else {
        monitor.RecordFailure(core::RunnerId(endpoint), kStart + at);
      }
    }
    CHECK(monitor.is_lost() == row.is_lost);
  }
}

struct FleetCase {
  size_t hosts;
  // Share of the other hosts that are cut off too: all of the own data centre
  // first.
  double cut_share;
  // Carriers that one request may ask, on average, and at most after the first
  // second.
  double max_mean_asks;
  size_t max_asks;
};

// Hosts ask carriers one after the other until one is not cut off itself.
TEST_CASE("a host finds a carrier while much of the fleet is cut off") {
  const FleetCase cases[] = {
      {8, 0.3, 1.5, 6},  {8, 0.8, 3, 6},     {60, 0.3, 1.5, 6},
      {60, 0.6, 2.5, 6}, {300, 0.3, 1.5, 6}, {300, 0.5, 2.5, 6},
  };
  constexpr size_t kDataCentres = 3;
  constexpr int kRequests = 500;
  constexpr core::Duration kGap = milliseconds(20);
  for (const FleetCase& row : cases) {
    INFO(row.hosts << " hosts, " << row.cut_share << " cut off");
    CarrierDirectory directory(core::DataCentreId("z0"), row.hosts);
    std::vector<Carrier> carriers;
    std::set<core::HostId> cut;
    const auto n_cut =
        static_cast<size_t>(row.cut_share * static_cast<double>(row.hosts - 1));
    for (size_t i = 1; i < row.hosts; ++i) {
      carriers.push_back({.host = core::HostId(fmt::format("h{}", i)),
                          .address = core::SocketAddress(),
                          .data_centre = core::DataCentreId(fmt::format(
                              "z{}", i * kDataCentres / row.hosts))});
      if (cut.size() < n_cut) {
        cut.insert(carriers.back().host);
      }
    }
    directory.SetCarriers(carriers);
    size_t asks = 0;
    int without_carrier = 0;
    for (int i = 0; i < kRequests; ++i) {
      const core::TimePoint now = kStart + i * kGap;
      std::set<core::HostId> tried;
      bool is_carried = false;
      while (!is_carried && tried.size() < row.max_asks) {
        const auto carrier = directory.Choose(tried, now);
        if (!carrier) {
          break;
        }
        ++asks;
        tried.insert(carrier->host);
        is_carried = !cut.contains(carrier->host);
        if (!is_carried) {
          directory.RecordUnavailable(carrier->host, now);
        }
      }
      without_carrier += is_carried ? 0 : 1;
    }
    CHECK(static_cast<double>(asks) / kRequests <= row.max_mean_asks);
    // The rule lets one first try in 50 fail, and ten more.
    CHECK(without_carrier <= kRequests / 50 + 10);
  }
}

TEST_CASE("without a carrier that can help, none is asked again at once") {
  CarrierDirectory directory(core::DataCentreId("z0"), 1);
  CHECK_FALSE(directory.Choose({}, kStart));
  Carrier carrier;
  carrier.host = core::HostId("h1");
  directory.SetCarriers({carrier});
  REQUIRE(directory.Choose({}, kStart));
  directory.RecordUnavailable(core::HostId("h1"), kStart);
  CHECK_FALSE(directory.Choose({}, kStart + milliseconds(900)));
  CHECK(directory.Choose({}, kStart + milliseconds(1100)));
}

}  // namespace
}  // namespace wasabi::forwarding
