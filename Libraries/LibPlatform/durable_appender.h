// Appends records one after the other and settles a lost answer by reading:
// an append without an answer is repeated until the record was read back.
// Stamps make readers fold it once (see record_stamp.h).

#ifndef LIBPLATFORM_DURABLE_APPENDER_H_
#define LIBPLATFORM_DURABLE_APPENDER_H_

#include <cstdint>
#include <functional>
#include <memory>
#include <string>

#include "LibPlatform/log_client.h"
#include "LibPlatform/record_stamp.h"
#include "LibPlatform/scheduler.h"

namespace wasabi::platform {

struct DurableAppenderOptions {
  std::string stream;
  // The writer of the stamps; drawn at random for each life of the appender.
  uint64_t writer = 0;
  // How long to wait for the record in the stream before repeating an append
  // whose answer was lost.
  core::Duration repeat_interval = core::milliseconds(500);
  // How long to try before an append is given up as uncertain.
  core::Duration settle_timeout = core::seconds(5);
};

class DurableAppender : public std::enable_shared_from_this<DurableAppender> {
 public:
  // Makes the body of a record from its stamp.
  using BodyMaker = std::function<std::string(const RecordStamp& stamp)>;
  // OK when the record was read back. kPlatformUnavailable when it is certainly
  // not in the stream. kAppendUncertain when it was given up: it may be in the
  // stream, but it counts only if it comes before the writer's next record.
  using Callback = std::function<void(const absl::Status& status)>;

  // `client` and `scheduler` must outlive the appender.
  static std::shared_ptr<DurableAppender> Create(
      LogClient* client,
      Scheduler* scheduler,
      const DurableAppenderOptions& options);

  // Starts an append; one at a time. The record's stamp is returned.
  RecordStamp Append(const BodyMaker& make_body, Callback callback);

  // Tells the appender that a record with `stamp` was read from the stream.
  void OnReadBack(const RecordStamp& stamp);

  // Drops the append in flight without a callback.
  void Stop();

  bool is_busy() const { return callback_ != nullptr; }

 private:
  DurableAppender(LogClient* client,
                  Scheduler* scheduler,
                  const DurableAppenderOptions& options);

  void Send();
  void OnAnswer(uint64_t sequence, const absl::StatusOr<Offset>& answer);
  void CheckLater(uint64_t sequence);
  void Check(uint64_t sequence);
  void Finish(const absl::Status& status);
  bool IsCurrent(uint64_t sequence) const;

  LogClient* client_;
  Scheduler* scheduler_;
  const DurableAppenderOptions options_;
  uint64_t sequence_ = 0;
  std::string body_;
  Callback callback_;
  core::TimePoint give_up_at_;
  // Whether the record may be in the stream.
  bool may_be_kept_ = false;
  // Whether the log said that the record is in the stream.
  bool is_kept_ = false;
};

}  // namespace wasabi::platform

#endif  // LIBPLATFORM_DURABLE_APPENDER_H_
