// Finds where a controller begins to fold a ledger stream that holds more than
// the lifetime of its keys.

#ifndef LIBLEDGER_STREAM_START_H_
#define LIBLEDGER_STREAM_START_H_

#include <cstdint>
#include <functional>
#include <memory>
#include <string>

#include "LibPlatform/log_client.h"
#include "absl/status/statusor.h"

namespace wasabi::ledger {

struct StreamStart {
  // The first offset to fold.
  platform::Offset from = 0;
  // The end of the stream when the search began.
  platform::Offset end = 0;
};

// A binary search by the groups' wall-clock times, which keeps itself alive
// until its callback was called.
class StreamStartFinder
    : public std::enable_shared_from_this<StreamStartFinder> {
 public:
  using Callback = std::function<void(const absl::StatusOr<StreamStart>&)>;

  // Finds an offset such that all groups before it were written before
  // `oldest_ms`, in milliseconds since 1970. Short streams are taken whole.
  // Errors: those of LogClient::Read. `client` must outlive the search.
  static void Find(platform::LogClient* client,
                   const std::string& stream,
                   int64_t oldest_ms,
                   Callback callback);

 private:
  StreamStartFinder(platform::LogClient* client,
                    std::string stream,
                    int64_t oldest_ms,
                    Callback callback);

  void OnBounds(const absl::StatusOr<platform::LogPage>& page);
  void Narrow();
  void OnMiddle(platform::Offset middle,
                const absl::StatusOr<platform::LogPage>& page);
  bool IsOld(const platform::LogRecord& record) const;

  platform::LogClient* client_;
  const std::string stream_;
  const int64_t oldest_ms_;
  const Callback callback_;
  // Groups before low_ are old; the group at high_ is not.
  platform::Offset low_ = 0;
  platform::Offset high_ = 0;
  platform::Offset end_ = 0;
};

}  // namespace wasabi::ledger

#endif  // LIBLEDGER_STREAM_START_H_
