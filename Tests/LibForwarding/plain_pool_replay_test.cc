// Simulates, in virtual time, the load of a small pool of a plain service
// behind many hosts: four endpoints with six slots each, 79 hosts, requests of
// 60 ms at 45 in 100 of the pool's capacity, and load reports that are much
// older than a request lasts.

#include <catch2/catch.hpp>
#include <map>
#include <string>
#include <vector>

#include "LibCore/random_source.h"
#include "LibCore/text.h"
#include "LibForwarding/endpoint_selector.h"
#include "LibForwarding/load_table.h"
#include "LibForwarding/service_times.h"

namespace wasabi::forwarding {
namespace {

using core::milliseconds;

constexpr size_t kHosts = 79;
constexpr size_t kEndpoints = 4;
constexpr uint32_t kSlots = 6;
constexpr core::Duration kServiceTime = milliseconds(60);
constexpr core::Duration kReportInterval = milliseconds(750);
constexpr double kRequestsPerSecond = 180;
constexpr int kRequests = 5400;

struct Replay {
  explicit Replay(bool uses_stale_reports)
      : uses_stale_reports(uses_stale_reports) {
    for (size_t i = 0; i < kEndpoints; ++i) {
      endpoints.emplace_back(fmt::format("e{}", i));
    }
  }

  void ExchangeReports() {
    for (size_t from = 0; from < kHosts; ++from) {
      const LoadReport report = boards[from].MakeReport();
      for (size_t to = 0; to < kHosts; ++to) {
        if (to != from) {
          boards[to].ApplyReport(core::HostId(std::to_string(from)), report,
                                 now);
        }
      }
    }
  }

  size_t Choose(size_t host) {
    const LoadTable& board = boards[host];
    const bool uses_reports =
        uses_stale_reports ||
        times[host].AreReportsUseful(pool, kReportInterval, now);
    std::vector<EndpointCandidate> candidates;
    for (const core::RunnerId& it : endpoints) {
      candidates.push_back(
          {.hash = it.Hash(),
           .load = uses_reports ? board.Load(it) : board.OwnLoad(it),
           .slots = kSlots});
    }
    const Selection selection =
        SelectEndpoint(candidates, std::nullopt, random.Next(), {});
    // A host that considers all endpoints full sends the request nowhere, which
    // counts as a failure.
    return selection.outcome == SelectionOutcome::kChosen ? selection.index
                                                          : kEndpoints;
  }

  void EndRequests() {
    while (!running.empty() && running.begin()->first <= now) {
      const core::TimePoint ended_at = running.begin()->first;
      const auto [host, endpoint] = running.begin()->second;
      boards[host].Finish(endpoints[endpoint]);
      times[host].Finish(pool, ended_at);
      times[host].RecordServed(pool, ended_at);
      --held[endpoint];
      running.erase(running.begin());
    }
  }

  // Returns whether an endpoint's load is above the required bound: a multiple
  // of the mean, plus three.
  bool IsOverloaded(size_t endpoint) const {
    double total = 0;
    for (const uint32_t it : held) {
      total += it;
    }
    return held[endpoint] > 2 * total / kEndpoints + 3;
  }

  // Returns the share of requests that reach an endpoint above the bound, or
  // that their host refuses although the pool has free slots.
  double Run() {
    int failed = 0;
    core::TimePoint next_report = now;
    for (int i = 0; i < kRequests; ++i) {
      now += core::FromSeconds(2 * random.Unit() / kRequestsPerSecond);
      EndRequests();
      if (now >= next_report) {
        ExchangeReports();
        next_report = now + kReportInterval;
      }
      const size_t host = random.Below(kHosts);
      const size_t endpoint = Choose(host);
      if (endpoint == kEndpoints) {
        ++failed;
        continue;
      }
      boards[host].Start(endpoints[endpoint]);
      times[host].Start(pool, now);
      ++held[endpoint];
      failed += IsOverloaded(endpoint) ? 1 : 0;
      running.emplace(now + kServiceTime, std::make_pair(host, endpoint));
    }
    return static_cast<double>(failed) / kRequests;
  }

  const bool uses_stale_reports;
  const core::PoolId pool{"p"};
  core::RandomSource random{7};
  core::TimePoint now{core::seconds(1)};
  std::vector<core::RunnerId> endpoints;
  std::vector<LoadTable> boards{kHosts};
  std::vector<ServiceTimes> times{kHosts};
  std::vector<uint32_t> held = std::vector<uint32_t>(kEndpoints);
  std::multimap<core::TimePoint, std::pair<size_t, size_t>> running;
};

TEST_CASE("hosts with stale reports keep a small pool balanced") {
  // The required target: at most 3 in 100.
  constexpr double kMaxShare = 0.03;
  CHECK(Replay(false).Run() <= kMaxShare);
  // The previous rule fails: all hosts follow the same stale report.
  CHECK(Replay(true).Run() > kMaxShare);
}

}  // namespace
}  // namespace wasabi::forwarding
