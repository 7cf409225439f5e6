// Finds the offset at which a controller starts to apply a ledger stream, so
// that it skips records whose keys have expired.

#ifndef LIBLEDGER_STREAM_START_H_
#define LIBLEDGER_STREAM_START_H_

#include <cstdint>
#include <functional>
#include <memory>
#include <string>

#include "LibPlatform/log_client.h"
#include "absl/status/statusor.h"

namespace wasabi::ledger {

// The result of a search.
struct StreamStart {
  // The first offset to apply.
  platform::Offset from = 0;
  // The end of the stream when the search started.
  platform::Offset end = 0;
};

// Binary search over the wall-clock times of the groups. The object keeps
// itself alive until its callback has been called.
class StreamStartFinder
    : public std::enable_shared_from_this<StreamStartFinder> {
 public:
  using Callback = std::function<void(const absl::StatusOr<StreamStart>&)>;

  // Finds an offset such that all groups before it were written before
  // `cutoff_ms`, in milliseconds since 1970. A short stream is not searched;
  // the result is then its first retained offset. Errors: those of
  // LogClient::Bounds and LogClient::Read, and kLogWentBackwards if the stream
  // ends before its reported end. `client` must outlive the search.
  static void Find(platform::LogClient* client,
                   const std::string& stream,
                   int64_t cutoff_ms,
                   Callback callback);

 private:
  StreamStartFinder(platform::LogClient* client,
                    std::string stream,
                    int64_t cutoff_ms,
                    Callback callback);

  void OnBounds(const absl::StatusOr<platform::LogPage>& page);
  void NarrowRange();
  void OnMidpoint(platform::Offset middle,
                  const absl::StatusOr<platform::LogPage>& page);
  bool IsBeforeCutoff(const platform::LogRecord& record) const;

  platform::LogClient* client_;
  const std::string stream_;
  const int64_t cutoff_ms_;
  const Callback callback_;
  // The remaining search range. Groups before low_ were written before the
  // cutoff; the group at high_ was not.
  platform::Offset low_ = 0;
  platform::Offset high_ = 0;
  // The end of the stream when the search started.
  platform::Offset end_ = 0;
};

}  // namespace wasabi::ledger

#endif  // LIBLEDGER_STREAM_START_H_
