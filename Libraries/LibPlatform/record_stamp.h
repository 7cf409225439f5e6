// Stamps that let an append be repeated while readers apply its record only
// once.
//
// A writer numbers its records from 1 and appends them sequentially: it appends
// record n + 1 only after record n was read back or timed out. A reader applies
// a record only if its sequence is greater than all earlier ones of its writer,
// so that all readers drop the same repeated or late copies.

#ifndef LIBPLATFORM_RECORD_STAMP_H_
#define LIBPLATFORM_RECORD_STAMP_H_

#include <compare>
#include <cstdint>

#include "LibCore/message.h"
#include "absl/container/flat_hash_map.h"

namespace wasabi::platform {

struct RecordStamp {
  // Identifies one run of a writer; chosen at random when the writer starts.
  uint64_t writer = 0;
  // Number of the record among the writer's records, from 1.
  uint64_t sequence = 0;

  auto operator<=>(const RecordStamp&) const = default;

  MSGPACK_DEFINE(writer, sequence);
};

// Drops duplicate and late records of a stream. Its records must be passed in
// offset order.
class StampFilter {
 public:
  // Returns true and stores the sequence if the record with `stamp` is to be
  // applied; returns false for a duplicate or late copy.
  bool Admit(const RecordStamp& stamp) {
    uint64_t& last = last_sequences_[stamp.writer];
    if (stamp.sequence <= last) {
      return false;
    }
    last = stamp.sequence;
    return true;
  }

  // Returns the highest admitted sequence of `writer`, or 0.
  uint64_t LastOf(uint64_t writer) const {
    const auto it = last_sequences_.find(writer);
    return it == last_sequences_.end() ? 0 : it->second;
  }

 private:
  absl::flat_hash_map<uint64_t, uint64_t> last_sequences_;
};

}  // namespace wasabi::platform

#endif  // LIBPLATFORM_RECORD_STAMP_H_
