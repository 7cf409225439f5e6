#include "LibRouting/load_cap.h"

#include <algorithm>
#include <cmath>
#include <limits>

namespace wasabi::routing {

namespace {

// Rounds up to whole requests. The margin prevents a floating-point error in
// the sum from rounding 1.25 × 4 up to 6.
double CeilRequests(double requests) {
  constexpr double kMargin = 1e-9;
  return std::ceil(requests - kMargin);
}

}  // namespace

bool LoadCap::Admits(const RunnerLoad& load) const {
  if (load.requests < guaranteed_requests) {
    return true;
  }
  return load.requests < requests && load.tokens < tokens;
}

LoadCap MakeLoadCap(const LoadCapInput& input) {
  const uint32_t limit = std::max(1U, input.max_running);
  const uint32_t guaranteed_requests = std::clamp(input.minimum_cap, 1U, limit);
  if (input.pool.runners == 0) {
    return {limit, std::numeric_limits<double>::infinity(),
            guaranteed_requests};
  }
  const double runners = input.pool.runners;
  const double factor = input.load_bound * input.share / runners;
  const double requests = std::max(input.pool.requests, input.own.requests);
  const double tokens = std::max(input.pool.tokens, input.own.tokens);
  const double bounded =
      std::min<double>(CeilRequests(factor * requests), limit);
  const auto cap =
      std::max(guaranteed_requests, static_cast<uint32_t>(bounded));
  return {cap, factor * tokens, guaranteed_requests};
}

}  // namespace wasabi::routing
