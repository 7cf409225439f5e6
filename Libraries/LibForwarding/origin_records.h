// The records that the fleet keeps in its own topic of the platform so that
// streams can be resumed after all hosts have been killed: which versions each
// pool has had lately, and where streams began. A value never changes its
// layout: an older build reads what a newer one wrote, and the reverse.

#ifndef LIBFORWARDING_ORIGIN_RECORDS_H_
#define LIBFORWARDING_ORIGIN_RECORDS_H_

#include <compare>
#include <cstdint>
#include <map>
#include <string>
#include <string_view>
#include <vector>

#include "LibCore/identifier.h"
#include "LibCore/message.h"
#include "LibForwarding/stream_origin.h"

namespace wasabi::forwarding {

// Key of the record of versions. The other keys are those of stream slots.
inline constexpr std::string_view kVersionsKey = "versions";

// The origins that the endpoints of one pool have had within the last lifetime
// of a stream.
struct PoolOrigins {
  // Hash of the pool's id.
  uint64_t pool = 0;
  // Sorted.
  std::vector<uint64_t> origins;

  MSGPACK_DEFINE(pool, origins);
  auto operator<=>(const PoolOrigins&) const = default;
};

// The record of versions of all pools.
struct VersionRecord {
  // The history of the platform's log (platform::LogEpoch) in which it was
  // written. A record of an earlier history may have lost its successors.
  int64_t epoch = 0;
  // Sorted by pool.
  std::vector<PoolOrigins> pools;

  MSGPACK_DEFINE(epoch, pools);
  auto operator<=>(const VersionRecord&) const = default;
};

// Streams of one origin.
struct OriginStreams {
  uint64_t origin = 0;
  // Hashes of the streams' keys, eight bytes each, the most significant first.
  std::string streams;

  MSGPACK_DEFINE(origin, streams);
  auto operator<=>(const OriginStreams&) const = default;
};

// The value of a stream slot.
struct StreamSlotRecord {
  std::vector<OriginStreams> origins;

  MSGPACK_DEFINE(origins);
};

// Collects streams by origin.
class StreamBatch {
 public:
  void Add(StreamKey stream, StreamOrigin origin);
  void Add(const std::vector<OriginStreams>& streams);
  std::vector<OriginStreams> Streams() const;
  // Number of streams.
  size_t size() const { return size_; }

 private:
  std::map<uint64_t, std::string> by_origin_;
  size_t size_ = 0;
};

// Returns the hashes of the streams' keys in OriginStreams::streams. An
// incomplete last one is left out.
std::vector<StreamKey> DecodeStreams(std::string_view bytes);

// Returns the key of slot `slot` of the recorder `host`.
std::string SlotKey(const core::HostId& host, uint32_t slot);

}  // namespace wasabi::forwarding

#endif  // LIBFORWARDING_ORIGIN_RECORDS_H_
