// Interface to the platform's append-only log service.
//
// The log settles everything that hosts must agree on: all readers of a stream
// see the same records in the same offset order.

#ifndef LIBPLATFORM_LOG_CLIENT_H_
#define LIBPLATFORM_LOG_CLIENT_H_

#include <cstdint>
#include <functional>
#include <string>
#include <vector>

#include "LibCore/time.h"
#include "absl/status/statusor.h"

namespace wasabi::platform {

// A position in a stream; the first record of a stream has offset 0.
using Offset = int64_t;

struct LogRecord {
  Offset offset = 0;
  std::string body;

  auto operator<=>(const LogRecord&) const = default;
};

// A contiguous range of records.
struct LogPage {
  // The oldest offset that the log retains.
  Offset first_retained = 0;
  // The offset of the next append.
  Offset end = 0;
  std::vector<LogRecord> records;
};

class LogClient {
 public:
  using AppendCallback = std::function<void(absl::StatusOr<Offset>)>;
  using ReadCallback = std::function<void(absl::StatusOr<LogPage>)>;

  virtual ~LogClient() = default;

  // Appends one record and returns its offset. Errors: kPlatformUnavailable
  // when the record was certainly not stored (the log refused it or was never
  // reached); kAppendUncertain when it may have been stored although no
  // response arrived.
  virtual void Append(const std::string& stream,
                      std::string body,
                      AppendCallback callback) = 0;

  // Reads from offset `from` on, waiting up to `wait` for the first record.
  // Errors: kPlatformUnavailable; kRecordsTruncated when `from` is before the
  // retained range, which Bounds() returns.
  virtual void Read(const std::string& stream,
                    Offset from,
                    core::Duration wait,
                    ReadCallback callback) = 0;

  // Returns the retained range of a stream, without records.
  virtual void Bounds(const std::string& stream, ReadCallback callback) = 0;
};

}  // namespace wasabi::platform

#endif  // LIBPLATFORM_LOG_CLIENT_H_
