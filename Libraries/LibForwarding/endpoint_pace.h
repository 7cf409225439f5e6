// Estimates how much longer than usual work takes at each endpoint, from the
// gaps between events that this host relays, from what endpoints state of their
// machine's speed, and from other hosts. Performs no I/O; the caller passes in
// the time.
//
// Load pattern: up to 35 in 100 endpoints are three to five times slower for
// some seconds, during a burst. A host relays few streams at each of them, so
// one observation has to suffice to tell the others. Speeds that change many
// times a second average out within the time over which an estimate is
// smoothed.

#ifndef LIBFORWARDING_ENDPOINT_PACE_H_
#define LIBFORWARDING_ENDPOINT_PACE_H_

#include <cstdint>
#include <optional>
#include <vector>

#include "LibCore/identifier.h"
#include "LibCore/time.h"
#include "LibForwarding/answer_baseline.h"
#include "LibForwarding/caller_needs.h"
#include "LibForwarding/gap_baseline.h"
#include "LibForwarding/pace_report.h"
#include "absl/container/flat_hash_map.h"
#include "absl/container/flat_hash_set.h"

namespace wasabi::forwarding {

// A pace above this one is news for other hosts. Streams tolerate a lower one:
// their gap objective is several times the usual gap.
inline constexpr double kSlowPace = 1.8;

// A belief about an endpoint that has changed from slow to usual or back.
struct PaceChange {
  uint32_t endpoint = 0;
  double pace = 1;
  // Time since the observation.
  core::Duration age{};

  auto operator<=>(const PaceChange&) const = default;
};

class EndpointPace {
 public:
  // `seed` differs between hosts. Reports fade at a rate that it determines, so
  // that some hosts try a slow endpoint again before all do.
  explicit EndpointPace(uint64_t seed) : seed_(seed) {}

  // Records the time between two events of a stream at an endpoint with `load`
  // requests. Events that arrive together count as one.
  void RecordGap(const core::PoolId& pool,
                 const core::RunnerId& endpoint,
                 core::Duration gap,
                 uint32_t load,
                 core::TimePoint now);
  // Records that an endpoint answered a request with `needs` after `time`: the
  // first event of a stream, or the whole answer of a plain call.
  void RecordAnswer(const core::PoolId& pool,
                    const core::RunnerId& endpoint,
                    const CallerNeeds& needs,
                    core::Duration time,
                    core::TimePoint now);
  // Records that an endpoint states that work takes `pace` times as long as
  // usual on its machine.
  void RecordStated(const core::PoolId& pool,
                    const core::RunnerId& endpoint,
                    double pace,
                    core::TimePoint now);
  // Discards what is known of an endpoint that restarted or was removed.
  // Observations of other hosts from before `now` no longer count.
  void Forget(const core::RunnerId& endpoint, core::TimePoint now);

  // Returns whether an endpoint of the pool has stated its machine's speed.
  bool IsStated(const core::PoolId& pool) const {
    return stating_pools_.contains(pool);
  }
  // Returns the time that work takes at an endpoint as a multiple of the usual
  // time; 1 if nothing is known.
  double PaceOf(const core::RunnerId& endpoint, core::TimePoint now) const;
  // Returns whether a stream would probably exceed `gap_objective` at an
  // endpoint with `load` requests. False if there is no objective.
  bool WouldMissGaps(const core::PoolId& pool,
                     const core::RunnerId& endpoint,
                     uint32_t load,
                     core::Duration gap_objective,
                     core::TimePoint now) const;
  // Returns whether a request with `needs` would come near one of its
  // objectives at an endpoint with `load` requests. False for an objective that
  // it does not have, and until this host knows the usual times of the pool.
  bool ComesNearObjective(const core::PoolId& pool,
                          const core::RunnerId& endpoint,
                          uint32_t load,
                          const CallerNeeds& needs,
                          core::TimePoint now) const;

  // Applies the report of another host. Returns whether it was new.
  bool Merge(const PaceReport& report, core::TimePoint now);
  // Returns what this host has observed and the fleet does not know yet. The
  // result counts as reported.
  std::vector<PaceReport> TakeNews(core::TimePoint now);
  // Returns what is known of an endpoint from reports, own ones included.
  PaceReport ReportOf(uint32_t endpoint, core::TimePoint now) const;
  // Returns the endpoints that have become slow or usual since the last call.
  std::vector<PaceChange> TakeChanges(core::TimePoint now);
  // Discards what has faded.
  void Expire(core::TimePoint now);

 private:
  // Sums that decay, so that an estimate without new observations fades. The
  // logarithms of the observed paces are averaged: one gap beside a long prompt
  // moves a mean of the paces themselves too far.
  struct Evidence {
    // Usual seconds of the observed work, and their sum multiplied by the
    // logarithm of the pace.
    double seconds = 0;
    double log_pace_seconds = 0;
    // Number of observations.
    double count = 0;
    core::TimePoint updated_at{};
  };
  struct Reported {
    double pace = 1;
    core::TimePoint observed_at{};
  };
  struct Entry {
    Evidence own;
    std::optional<Reported> reported;
    // When this host last reported the endpoint.
    core::TimePoint sent_at{};
    // Observations from before this time are of an earlier life.
    core::TimePoint valid_from{};
    bool was_slow = false;
  };

  static Evidence At(const Evidence& evidence, core::TimePoint now);
  double PaceOf(uint32_t key, const Entry& entry, core::TimePoint now) const;
  static bool IsNews(const Entry& entry, double own, core::TimePoint now);
  void Add(const core::RunnerId& endpoint,
           double pace,
           double seconds,
           core::TimePoint now);

  uint64_t seed_;
  absl::flat_hash_map<uint32_t, Entry> entries_;
  absl::flat_hash_map<core::PoolId, GapBaseline> baselines_;
  absl::flat_hash_map<core::PoolId, AnswerBaseline> answers_;
  absl::flat_hash_set<core::PoolId> stating_pools_;
};

}  // namespace wasabi::forwarding

#endif  // LIBFORWARDING_ENDPOINT_PACE_H_
