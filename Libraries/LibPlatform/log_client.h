// Access to the platform's append-only log service.
//
// The log decides everything that must be agreed on: all readers of a stream
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

// A position in a stream; the first record ever has offset 0.
using Offset = int64_t;

struct LogRecord {
  Offset offset = 0;
  std::string body;

  auto operator<=>(const LogRecord&) const = default;
};

// A run of records without gaps.
struct LogPage {
  // The oldest offset that the log still keeps.
  Offset first_kept = 0;
  // The offset that the next append will get.
  Offset end = 0;
  std::vector<LogRecord> records;
};

class LogClient {
 public:
  using AppendCallback = std::function<void(absl::StatusOr<Offset>)>;
  using ReadCallback = std::function<void(absl::StatusOr<LogPage>)>;

  virtual ~LogClient() = default;

  // Appends one record. Errors: kPlatformUnavailable when the record was
  // certainly not kept (the log refused it or was never reached), and
  // kAppendUncertain when it may have been kept although no answer came.
  virtual void Append(const std::string& stream,
                      std::string body,
                      AppendCallback callback) = 0;

  // Reads from offset `from` on, waiting up to `wait` for a first record.
  // Errors: kPlatformUnavailable; kRecordsForgotten when `from` is older than
  // what is kept (Bounds tells from where to read).
  virtual void Read(const std::string& stream,
                    Offset from,
                    core::Duration wait,
                    ReadCallback callback) = 0;

  // The kept range of a stream, with no records.
  virtual void Bounds(const std::string& stream, ReadCallback callback) = 0;
};

}  // namespace wasabi::platform

#endif  // LIBPLATFORM_LOG_CLIENT_H_
