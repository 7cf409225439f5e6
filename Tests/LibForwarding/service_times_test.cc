#include "LibForwarding/service_times.h"

#include <catch2/catch.hpp>
#include <cmath>
#include <set>
#include <string>
#include <vector>

#include "LibCore/random_source.h"

namespace wasabi::forwarding {
namespace {

using core::milliseconds;
using core::seconds;

const core::PoolId kPool("p");
constexpr core::Duration kReportAge = milliseconds(740);

// A pool with exponentially distributed service times.
struct PoolCase {
  std::string name;
  double mean_seconds;
  double requests_per_second;
  // Whether reports of the age kReportAge are useful.
  bool is_useful;
};

// Returns the share of the requests in the first `duration` seconds of 79 hosts
// for which AreReportsUseful returns `is_useful`.
double ShareOf(const PoolCase& row, double duration, bool is_useful) {
  constexpr size_t kHosts = 79;
  core::RandomSource random(11);
  int agreeing = 0;
  int requests = 0;
  for (size_t host = 0; host < kHosts; ++host) {
    ServiceTimes times;
    std::multiset<double> ends;
    double now = 0;
    const auto at = [](double time) {
      return core::TimePoint(seconds(1)) + core::FromSeconds(time);
    };
    while (now < duration) {
      now += -std::log(1 - random.Unit()) / row.requests_per_second;
      while (!ends.empty() && *ends.begin() <= now) {
        times.Finish(kPool, at(*ends.begin()));
        times.RecordServed(kPool, at(*ends.begin()));
        ends.erase(ends.begin());
      }
      ++requests;
      agreeing +=
          times.AreReportsUseful(kPool, kReportAge, at(now)) == is_useful ? 1
                                                                          : 0;
      times.Start(kPool, at(now));
      ends.insert(now - std::log(1 - random.Unit()) * row.mean_seconds);
    }
  }
  return static_cast<double>(agreeing) / requests;
}

TEST_CASE(
    "hosts tell from their first requests whether old reports are useful") {
  const auto row = GENERATE(values<PoolCase>({
      {"long requests that have mostly not ended yet", 1.1, 5.5, true},
      {"very long requests", 5, 5.5, true},
      {"short requests", 0.06, 2.3, false},
  }));
  INFO(row.name);
  CHECK(ShareOf(row, 8, row.is_useful) > 0.85);
}

TEST_CASE("reports count as useful until a request was served") {
  ServiceTimes times;
  const core::TimePoint now{seconds(5)};
  CHECK(times.AreReportsUseful(kPool, kReportAge, now));
  times.Start(kPool, now);
  times.Finish(kPool, now + milliseconds(1));
  CHECK(times.AreReportsUseful(kPool, kReportAge, now + milliseconds(1)));
}

TEST_CASE("reports become useful again when requests become long") {
  ServiceTimes times;
  core::TimePoint now{seconds(5)};
  for (int i = 0; i < 50; ++i) {
    times.Start(kPool, now);
    now += milliseconds(50);
    times.Finish(kPool, now);
    times.RecordServed(kPool, now);
  }
  CHECK_FALSE(times.AreReportsUseful(kPool, kReportAge, now));
  for (int i = 0; i < 10; ++i) {
    times.Start(kPool, now);
  }
  CHECK(times.AreReportsUseful(kPool, kReportAge, now + seconds(10)));
}

}  // namespace
}  // namespace wasabi::forwarding
