// Stamps that let an append be repeated and still be folded once.
//
// A writer numbers its records from 1 and appends them one after the other:
// record n + 1 follows only after record n was read back or given up. Readers
// fold a record only if its sequence is greater than every earlier one of its
// writer, so that a repeated or a late copy is dropped by all readers alike.

#ifndef LIBPLATFORM_RECORD_STAMP_H_
#define LIBPLATFORM_RECORD_STAMP_H_

#include <compare>
#include <cstdint>

#include "LibCore/message.h"
#include "absl/container/flat_hash_map.h"

namespace wasabi::platform {

struct RecordStamp {
  // Names one life of one writer; drawn at random when it starts.
  uint64_t writer = 0;
  // Counts the writer's records from 1.
  uint64_t sequence = 0;

  auto operator<=>(const RecordStamp&) const = default;

  MSGPACK_DEFINE(writer, sequence);
};

// Decides for each record of a stream, in offset order, whether it counts.
class StampFilter {
 public:
  // Whether the record with `stamp` counts; notes it if it does.
  bool Admit(const RecordStamp& stamp) {
    uint64_t& last = last_sequences_[stamp.writer];
    if (stamp.sequence <= last) {
      return false;
    }
    last = stamp.sequence;
    return true;
  }

  // The highest sequence of `writer` that counted, or 0.
  uint64_t LastOf(uint64_t writer) const {
    const auto it = last_sequences_.find(writer);
    return it == last_sequences_.end() ? 0 : it->second;
  }

 private:
  absl::flat_hash_map<uint64_t, uint64_t> last_sequences_;
};

}  // namespace wasabi::platform

#endif  // LIBPLATFORM_RECORD_STAMP_H_
