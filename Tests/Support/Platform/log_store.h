// The in-memory log streams of the platform stand-in.

#ifndef TESTS_SUPPORT_PLATFORM_LOG_STORE_H_
#define TESTS_SUPPORT_PLATFORM_LOG_STORE_H_

#include <cstddef>
#include <deque>
#include <map>
#include <string>

#include "LibPlatform/log_client.h"
#include "absl/status/statusor.h"

namespace wasabi::standin {

class LogStore {
 public:
  // Each stream retains its latest `retention_records` records.
  explicit LogStore(size_t retention_records);

  // Appends a record to `stream`, which the first append creates, and returns
  // the record's offset.
  platform::Offset Append(const std::string& stream, std::string body);

  // Returns up to `limit` records from offset `from` on. The page hides the
  // newest `stale_by` records, as a lagging replica would. Returns
  // ResultCode::kRecordsTruncated if the record at `from` is no longer
  // retained.
  absl::StatusOr<platform::LogPage> Read(const std::string& stream,
                                         platform::Offset from,
                                         size_t limit,
                                         platform::Offset stale_by) const;

  // Returns the retained offset range of `stream` without any records.
  platform::LogPage Bounds(const std::string& stream,
                           platform::Offset stale_by) const;

  // Drops the records before `offset`, as retention would.
  void TrimBefore(const std::string& stream, platform::Offset offset);

  // Drops the records from offset `end` on. Later appends reuse their offsets.
  void Truncate(const std::string& stream, platform::Offset end);

 private:
  struct Stream {
    platform::Offset first = 0;
    std::deque<std::string> bodies;

    platform::Offset end() const {
      return first + static_cast<platform::Offset>(bodies.size());
    }
  };

  const size_t retention_records_;
  std::map<std::string, Stream> streams_;
};

}  // namespace wasabi::standin

#endif  // TESTS_SUPPORT_PLATFORM_LOG_STORE_H_
