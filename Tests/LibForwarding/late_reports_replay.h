// Replays, in virtual time, requests for shared prompts from many hosts that
// hear of each other's load late.

#ifndef TESTS_LIBFORWARDING_LATE_REPORTS_REPLAY_H_
#define TESTS_LIBFORWARDING_LATE_REPORTS_REPLAY_H_

#include <cstddef>
#include <cstdint>

#include "LibCore/time.h"

namespace wasabi::forwarding {

struct LateReportsLoad {
  size_t hosts = 1;
  size_t endpoints = 1;
  // Between two load reports, and the requests that start meanwhile.
  core::Duration interval{};
  int requests_per_interval = 1;
  int intervals = 1;
  // Requests that run at once when the load has settled.
  int running = 1;
  uint64_t prompts = 1;
  // Share of the requests that are about one prompt, beside its usual share.
  double hot_share = 0;
  uint64_t seed = 1;
};

struct LateReportsResult {
  int requests = 0;
  // Requests that reached an endpoint with more than twice the mean load and
  // three more.
  int above_bound = 0;
  // Pairs of a prompt and an endpoint that had requests for it.
  size_t places = 0;
};

LateReportsResult ReplayLateReports(const LateReportsLoad& load);

}  // namespace wasabi::forwarding

#endif  // TESTS_LIBFORWARDING_LATE_REPORTS_REPLAY_H_
