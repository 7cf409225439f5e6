// Simulates, in virtual time, requests for shared prompts from many hosts that
// receive each other's load reports late.

#ifndef TESTS_LIBFORWARDING_LATE_REPORTS_REPLAY_H_
#define TESTS_LIBFORWARDING_LATE_REPORTS_REPLAY_H_

#include <cstddef>
#include <cstdint>

#include "LibCore/time.h"

namespace wasabi::forwarding {

struct LateReportsLoad {
  size_t hosts = 1;
  size_t endpoints = 1;
  // Time between two load reports, and the number of requests that start in it.
  core::Duration interval{};
  int requests_per_interval = 1;
  int intervals = 1;
  // Number of concurrent requests once the load has settled.
  int running = 1;
  uint64_t prompts = 1;
  // Share of the requests that are for one hot prompt, in addition to the share
  // that every prompt has.
  double hot_share = 0;
  uint64_t seed = 1;
};

struct LateReportsResult {
  int requests = 0;
  // Requests that reached an endpoint with more than twice the mean load plus
  // three, or that found no endpoint.
  int above_bound = 0;
  // Number of distinct pairs of a prompt and an endpoint that received requests
  // for it.
  size_t places = 0;
};

LateReportsResult ReplayLateReports(const LateReportsLoad& load);

}  // namespace wasabi::forwarding

#endif  // TESTS_LIBFORWARDING_LATE_REPORTS_REPLAY_H_
