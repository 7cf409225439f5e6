// Replays, in virtual time, a fleet that sends streams to a pool of engines of
// which some turn slow during a burst.

#ifndef TESTS_LIBFORWARDING_PACE_REPLAY_H_
#define TESTS_LIBFORWARDING_PACE_REPLAY_H_

#include <array>
#include <cstddef>
#include <cstdint>
#include <vector>

#include "LibCore/time.h"

namespace wasabi::forwarding {

struct PaceLoad {
  const char* what = "";
  size_t hosts = 90;
  size_t endpoints = 75;
  double requests_per_second = 540;
  // Multiple of the arrival rate while endpoints are slow.
  double burst = 1.7;
  // Share of the endpoints that turn `min_slowness` to `max_slowness` times
  // slower.
  double slow_share = 0.35;
  double min_slowness = 3;
  double max_slowness = 5;
  core::Duration slow_time = core::milliseconds(6500);
  // The speed of all endpoints changes between half and twice the usual time
  // this often; zero for never.
  core::Duration swing{};
  // Share of the hosts that neither send nor receive reports.
  double cut_off_share = 0;
  // Share of the hosts whose build does not know PacePurpose.
  double earlier_build_share = 0;
  // The hosts use what they know of the endpoints' pace.
  bool uses_pace = true;
  bool states_speed = true;
  // Share of the requests that have a long prompt.
  double long_share = 0.1;
  // Long prompts go to the endpoints that their demand needs.
  bool places_long_prompts = false;
  // Long prompts share 10,500 of their tokens and have 1,300 to 11,000 of their
  // own, short ones share 700 of 830. Endpoints copy shared parts that others
  // have cached.
  bool copies_shared_parts = false;
  // Prompts are placed by their own part alone, whatever has to be copied.
  bool ignores_shared_parts = false;
};

enum PromptKind : uint8_t { kChat, kTags, kLong };
constexpr size_t kPromptKinds = 3;

struct KindResult {
  uint64_t streams = 0;
  uint64_t late = 0;
  // Late by their first event.
  uint64_t late_starts = 0;
  std::vector<double> first_event_ms;
  std::vector<double> longest_gap_ms;

  // Return quantiles, in milliseconds.
  double FirstEvent(double quantile) const;
  double LongestGap(double quantile) const;
};

struct PaceResult {
  std::array<KindResult, kPromptKinds> kinds;
  uint64_t streams = 0;
  uint64_t late = 0;
  // Requests whose shared part had not been processed at the endpoint before,
  // so that it was copied or read there.
  uint64_t copies = 0;
  // Requests that began at an endpoint with more than twice the mean load plus
  // three, outside the slow phase and the burst.
  uint64_t calm_starts = 0;
  uint64_t above_bound = 0;
  // Tokens of shared parts that endpoints copied or prefilled in the measured
  // time.
  uint64_t copied_tokens = 0;
  uint64_t read_again_tokens = 0;
  // Own tokens of the prompts that left the endpoint of their shared part.
  uint64_t leaving_tokens = 0;
  // Bytes per second that a host sends on the average, and the most that one
  // sends, while endpoints are slow.
  double mean_bytes_per_second = 0;
  double max_bytes_per_second = 0;

  double LateShare() const {
    return static_cast<double>(late) / static_cast<double>(streams);
  }
};

PaceResult ReplayPace(const PaceLoad& load, uint64_t seed);

}  // namespace wasabi::forwarding

#endif  // TESTS_LIBFORWARDING_PACE_REPLAY_H_
