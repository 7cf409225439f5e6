#include "LibForwarding/retry_allowance.h"

#include <catch2/catch.hpp>
#include <vector>

namespace wasabi::forwarding {
namespace {

using core::milliseconds;
using core::seconds;

TEST_CASE("all hosts together stay within the fleet's limit in every window") {
  // Every request fails on every host, so each one asks for a retry: the load
  // pattern of a pool whose endpoints all return errors.
  const RetryAllowancePolicy policy{
      .ratio = 0.2, .slack = 56, .window = seconds(10)};
  constexpr size_t kHosts = 8;
  constexpr int kRequestsPerSecond = 20;
  std::vector<RetryAllowance> hosts(kHosts, RetryAllowance(policy));
  std::vector<core::TimePoint> retries;
  const core::TimePoint start{seconds(100)};
  for (int i = 0; i < kRequestsPerSecond * 30; ++i) {
    const core::TimePoint now =
        start + i * milliseconds(1000) / kRequestsPerSecond;
    for (RetryAllowance& host : hosts) {
      host.RecordRequest(now);
      if (host.TryRetry(kHosts, now)) {
        retries.push_back(now);
      }
    }
  }
  const double requests_per_window = kRequestsPerSecond * kHosts * 10.0;
  const double bound = policy.ratio * requests_per_window + policy.slack;
  for (size_t first = 0; first < retries.size(); ++first) {
    size_t last = first;
    while (last < retries.size() &&
           retries[last] - retries[first] < policy.window) {
      ++last;
    }
    REQUIRE(static_cast<double>(last - first) <= bound);
  }
  CHECK(!retries.empty());
}

TEST_CASE("a host without traffic can use its part of the slack") {
  RetryAllowance host({.ratio = 0.2, .slack = 50, .window = seconds(10)});
  const core::TimePoint now{seconds(100)};
  int taken = 0;
  while (host.TryRetry(10, now)) {
    ++taken;
  }
  CHECK(taken == 4);
  CHECK(host.TryRetry(10, now + seconds(11)));
}

}  // namespace
}  // namespace wasabi::forwarding
