#include "LibForwarding/retry_allowance.h"

#include <algorithm>
#include <catch2/catch.hpp>
#include <vector>

#include "LibCore/text.h"

namespace wasabi::forwarding {
namespace {

using core::milliseconds;
using core::seconds;

// A process that runs for longer than a window.
constexpr core::TimePoint kLongAgo{seconds(1)};
// The start of each test.
constexpr core::TimePoint kStart{seconds(100)};

// Returns the largest number of `times` in some `window`.
size_t MostIn(const std::vector<core::TimePoint>& times,
              core::Duration window) {
  size_t most = 0;
  for (auto first = times.begin(); first != times.end(); ++first) {
    const auto last = std::lower_bound(first, times.end(), *first + window);
    most = std::max(most, static_cast<size_t>(last - first));
  }
  return most;
}

TEST_CASE("all hosts together stay within the fleet's limit in every window") {
  // Every request fails on every host, so each one asks for a retry: the load
  // pattern of a pool whose endpoints all return errors.
  const RetryAllowancePolicy policy{
      .ratio = 0.2, .slack = 56, .window = seconds(10)};
  constexpr size_t kHosts = 8;
  constexpr int kRequestsPerSecond = 20;
  std::vector<RetryAllowance> hosts(kHosts, RetryAllowance(policy, kLongAgo));
  std::vector<core::TimePoint> retries;
  for (int i = 0; i < kRequestsPerSecond * 30; ++i) {
    const core::TimePoint now =
        kStart + i * milliseconds(1000) / kRequestsPerSecond;
    for (RetryAllowance& host : hosts) {
      host.RecordRequest(now);
      if (host.TryRetry(kHosts, now)) {
        retries.push_back(now);
      }
    }
  }
  const double requests_per_window = kRequestsPerSecond * kHosts * 10.0;
  const double bound = policy.ratio * requests_per_window + policy.slack;
  CHECK(static_cast<double>(MostIn(retries, policy.window)) <= bound);
  CHECK(!retries.empty());
}

struct KillCase {
  const char* what;
  size_t hosts;
  double requests_per_second;
  // Hosts that are killed at once, from the first, and when.
  size_t killed;
  std::vector<core::Duration> kills;
};

// Guards against processes that begin with a whole part of the slack, although
// the one before has spent it within the same window.
TEST_CASE("hosts that were killed stay within the fleet's limit") {
  const RetryAllowancePolicy policy{
      .ratio = 0.2, .slack = 56, .window = seconds(10)};
  const KillCase cases[] = {
      {"all of two hosts", 2, 20, 2, {seconds(15)}},
      {"all of eight hosts, with much traffic", 8, 400, 8, {seconds(15)}},
      {"all, three times in a window",
       3,
       60,
       3,
       {seconds(15), seconds(18), seconds(21)}},
      {"one host, five times in a window",
       4,
       60,
       1,
       {seconds(14), seconds(15), seconds(16), seconds(18), seconds(20)}},
  };
  for (const KillCase& row : cases) {
    INFO(row.what);
    std::vector<RetryAllowance> hosts(row.hosts,
                                      RetryAllowance(policy, kLongAgo));
    std::vector<core::TimePoint> retries;
    size_t next_kill = 0;
    const int n = static_cast<int>(row.requests_per_second * 40);
    for (int i = 0; i < n; ++i) {
      const core::TimePoint now =
          kStart + core::FromSeconds(i / row.requests_per_second);
      if (next_kill < row.kills.size() &&
          now >= kStart + row.kills[next_kill]) {
        ++next_kill;
        std::vector<RetryAllowance> after;
        for (size_t k = 0; k < row.hosts; ++k) {
          after.push_back(k < row.killed ? RetryAllowance(policy, now)
                                         : hosts[k]);
        }
        hosts.swap(after);
      }
      RetryAllowance& host = hosts[static_cast<size_t>(i) % row.hosts];
      host.RecordRequest(now);
      // Each request would be sent three times more.
      for (int k = 0; k < 3 && host.TryRetry(row.hosts, now); ++k) {
        retries.push_back(now);
      }
    }
    const double requests =
        row.requests_per_second * core::ToSeconds(policy.window);
    CHECK(static_cast<double>(MostIn(retries, policy.window)) <=
          policy.ratio * requests + policy.slack);
  }
}

TEST_CASE("a host that has just started may retry a few requests") {
  RetryAllowance host({.ratio = 0.2, .slack = 56, .window = seconds(10)},
                      kStart);
  CHECK_FALSE(host.TryRetry(2, kStart));
  for (int i = 0; i < 100; ++i) {
    host.RecordRequest(kStart + seconds(1));
  }
  int taken = 0;
  while (host.TryRetry(2, kStart + seconds(1))) {
    ++taken;
  }
  CHECK(taken == 4);
  CHECK_FALSE(host.TryRetry(2, kStart + milliseconds(9'999)));
  // A window after its start it has its part of the slack.
  CHECK(host.TryRetry(2, kStart + seconds(10)));
}

TEST_CASE("a host without traffic can use its part of the slack") {
  RetryAllowance host({.ratio = 0.2, .slack = 50, .window = seconds(10)},
                      kLongAgo);
  int taken = 0;
  while (host.TryRetry(10, kStart)) {
    ++taken;
  }
  CHECK(taken == 4);
  CHECK(host.TryRetry(10, kStart + seconds(11)));
}

}  // namespace
}  // namespace wasabi::forwarding
