// The data centres that operators have evacuated, from the records of the
// configuration topic. Decision code without I/O: the caller supplies the
// records, their offsets and the time.
//
// Handles the load of a fleet in which an operator takes a whole data centre
// out of use, or puts it back, while the topic is compacted, read through other
// hosts, or restored from a backup.

#ifndef LIBFORWARDING_EVACUATION_SET_H_
#define LIBFORWARDING_EVACUATION_SET_H_

#include <compare>
#include <cstdint>
#include <map>
#include <optional>
#include <set>
#include <vector>

#include "LibCore/identifier.h"
#include "LibCore/time.h"
#include "LibPlatform/keyed_topic_client.h"

namespace wasabi::forwarding {

// An operator's record that evacuates a data centre.
struct EvacuationRecord {
  core::DataCentreId data_centre;
  platform::Offset offset = 0;

  auto operator<=>(const EvacuationRecord&) const = default;
};

enum class EvacuationChangeKind : uint8_t {
  kBegan,
  // The record is missing from a new history of the topic; the evacuation stays
  // in force for kRestoredEvacuationLifetime.
  kRetained,
  kEnded,
};

struct EvacuationChange {
  core::DataCentreId data_centre;
  EvacuationChangeKind kind = EvacuationChangeKind::kBegan;

  auto operator<=>(const EvacuationChange&) const = default;
};

// An evacuation whose record is missing from a restored topic stays in force
// for this long. Operators write records that a restore lost again within
// seconds; until then the data centre may still be without power. The time is
// limited because a host that reads copies of the topic cannot tell a lost
// record from one that was dropped after the restore.
inline constexpr core::Duration kRestoredEvacuationLifetime = core::seconds(60);

class EvacuationSet {
 public:
  using Changes = std::vector<EvacuationChange>;

  // Applies a snapshot of the topic, which holds `records` and ends at `next`.
  // `may_lack_records` states that the topic was restored or truncated since
  // the last snapshot, so that a missing record was not necessarily dropped.
  Changes Replace(const std::vector<EvacuationRecord>& records,
                  platform::Offset next,
                  bool may_lack_records,
                  core::TimePoint now);
  // Applies a record that evacuates its data centre, or drops the evacuation.
  // Ignores one with a smaller offset than the record that is in force.
  Changes Put(const EvacuationRecord& record);
  Changes Drop(const EvacuationRecord& record);
  // Ends retained evacuations whose time has passed.
  Changes Expire(core::TimePoint now);

  std::set<core::DataCentreId> data_centres() const;

 private:
  struct State {
    platform::Offset offset = 0;
    // Set while the evacuation is retained without a record.
    std::optional<core::TimePoint> retained_until = std::nullopt;
  };

  std::map<core::DataCentreId, State> evacuated_;
};

}  // namespace wasabi::forwarding

#endif  // LIBFORWARDING_EVACUATION_SET_H_
