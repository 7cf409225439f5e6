// Remembers which origins the endpoints of each pool have had lately. Where
// there was only one, a stream of unknown origin can only have begun there.
//
// Load pattern: after all hosts were killed, callers resume streams at hosts
// that know nothing older than themselves, while a release replaces endpoints.
// A process that has just started has not seen the versions that left before.
// Its history therefore counts only once it reaches back further than any
// stream can live: by its own observation, by what another host or the platform
// has recorded, or because the whole fleet has started for the first time.

#ifndef LIBFORWARDING_ORIGIN_HISTORY_H_
#define LIBFORWARDING_ORIGIN_HISTORY_H_

#include <cstdint>
#include <map>
#include <optional>
#include <set>
#include <vector>

#include "LibCore/identifier.h"
#include "LibCore/time.h"
#include "LibForwarding/endpoint_table.h"
#include "LibForwarding/origin_records.h"
#include "LibForwarding/route.h"
#include "LibForwarding/stream_origin.h"

namespace wasabi::forwarding {

class OriginHistory {
 public:
  // Longer than callers wait for a stream, over all their attempts: four times
  // the longest deadline of deployed fleets.
  static constexpr core::Duration kStreamLifetime = core::seconds(60);

  // Declares that no stream began before this process started.
  void SetFirstStart() { is_complete_ = true; }

  // Records the origins of the registered endpoints, also of those that leave.
  // `view_age` is the age of the registrations. Must be called about twice a
  // second. After a gap, or on stale registrations, versions may have come and
  // gone unseen: the history is then incomplete.
  void Observe(const EndpointTable& endpoints,
               core::Duration view_age,
               core::TimePoint now);
  // Records that a stream has begun at `endpoint`.
  void RecordStream(const Endpoint& endpoint, core::TimePoint now);

  // Adds origins that another host or the platform knows. If `is_complete`,
  // they are all that the listed pools had before this process observed them.
  void AddPast(const std::vector<PoolOrigins>& pools,
               bool is_complete,
               core::TimePoint now);
  // Declares that the pools that are not known have had no origin.
  void SetComplete() { is_complete_ = true; }

  // Returns the time up to which the registrations that were observed last
  // tell what there was.
  core::TimePoint known_until() const { return known_until_; }
  // Returns whether the observation without a gap began on registrations of
  // `time` or before, so that what was known until then has no gap to it.
  bool HasObservedSince(core::TimePoint time) const {
    return observed_since_ && known_from_ <= time;
  }

  // Returns whether the history of every pool reaches back far enough.
  bool IsComplete(core::TimePoint now) const;
  bool IsComplete(uint64_t pool, core::TimePoint now) const;

  // Returns the recent origins of all pools, or of those whose hashes are in
  // `pools` if it is not empty; these are listed even without an origin.
  std::vector<PoolOrigins> Recent(const std::vector<uint64_t>& pools,
                                  core::TimePoint now) const;
  // Returns whether the pool has had more than one origin lately.
  bool HasSeveral(uint64_t pool, core::TimePoint now) const;
  // Returns the only origin that the endpoints of `pools` have had lately, or
  // nullopt if there were several or none, or the history is incomplete.
  std::optional<StreamOrigin> OnlyOrigin(const std::vector<WeightedPool>& pools,
                                         core::TimePoint now) const;

 private:
  void Record(uint64_t pool, StreamOrigin origin, core::TimePoint now);

  bool is_complete_ = false;
  // Start of the observation without a gap.
  std::optional<core::TimePoint> observed_since_;
  core::TimePoint observed_at_{};
  // The times of the first and of the last registrations that were observed.
  core::TimePoint known_from_{};
  core::TimePoint known_until_{};
  // Pools whose past is known from another host, by the hashes of their ids.
  std::set<uint64_t> complete_pools_;
  // When each origin of a pool was last observed, by the hash of the pool's id.
  std::map<uint64_t, std::map<StreamOrigin, core::TimePoint>> seen_at_;
};

}  // namespace wasabi::forwarding

#endif  // LIBFORWARDING_ORIGIN_HISTORY_H_
