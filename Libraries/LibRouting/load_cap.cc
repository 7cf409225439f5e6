#include "LibRouting/load_cap.h"

#include <algorithm>
#include <cmath>
#include <limits>

namespace wasabi::routing {

namespace {

// Rounds up to a whole request; the margin keeps 1.25 × 4 from becoming 6 by a
// rounding error of the sum.
double CeilRequests(double requests) {
  constexpr double kMargin = 1e-9;
  return std::ceil(requests - kMargin);
}

}  // namespace

bool LoadCap::Admits(const RunnerLoad& load) const {
  if (load.requests < free_requests) {
    return true;
  }
  return load.requests < requests && load.tokens < tokens;
}

LoadCap MakeLoadCap(const LoadCapInput& input) {
  const uint32_t limit = std::max(1U, input.max_running);
  const uint32_t free_requests = std::clamp(input.minimum_cap, 1U, limit);
  if (input.pool.runners == 0) {
    return {limit, std::numeric_limits<double>::infinity(), free_requests};
  }
  const double runners = input.pool.runners;
  const double factor = input.load_bound * input.share / runners;
  const double requests = std::max(input.pool.requests, input.own.requests);
  const double tokens = std::max(input.pool.tokens, input.own.tokens);
  const double bounded =
      std::min<double>(CeilRequests(factor * requests), limit);
  const auto cap = std::max(free_requests, static_cast<uint32_t>(bounded));
  return {cap, factor * tokens, free_requests};
}

}  // namespace wasabi::routing
