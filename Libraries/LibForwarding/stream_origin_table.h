// Remembers for a limited time at which origins streams began.

#ifndef LIBFORWARDING_STREAM_ORIGIN_TABLE_H_
#define LIBFORWARDING_STREAM_ORIGIN_TABLE_H_

#include <cstddef>
#include <deque>
#include <optional>

#include "LibCore/time.h"
#include "LibForwarding/stream_origin.h"
#include "absl/container/flat_hash_map.h"

namespace wasabi::forwarding {

class StreamOriginTable {
 public:
  // Entries are kept for `lifetime`, and at most `max_entries` of them.
  StreamOriginTable(core::Duration lifetime, size_t max_entries)
      : lifetime_(lifetime), max_entries_(max_entries) {}

  // Has no effect on a stream that is already known: its first part decides.
  void Put(StreamKey stream, StreamOrigin origin, core::TimePoint now);
  std::optional<StreamOrigin> Find(StreamKey stream) const;
  // Removes the entries whose lifetime is over.
  void Expire(core::TimePoint now);
  size_t size() const { return origins_.size(); }

 private:
  struct Expiry {
    core::TimePoint at;
    uint64_t stream = 0;
  };

  void RemoveOldest();

  const core::Duration lifetime_;
  const size_t max_entries_;
  // By the hash of the stream's key.
  absl::flat_hash_map<uint64_t, StreamOrigin> origins_;
  // Oldest first.
  std::deque<Expiry> expiries_;
};

}  // namespace wasabi::forwarding

#endif  // LIBFORWARDING_STREAM_ORIGIN_TABLE_H_
