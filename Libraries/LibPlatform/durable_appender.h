// Appends records to a stream of the log, one at a time. If the response to an
// append is lost, the append is repeated until the record is read back from the
// stream. Stamps let readers apply each record only once (see record_stamp.h).

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
  // The writer id in the stamps; chosen at random for each instance of the
  // appender.
  uint64_t writer = 0;
  // How long to wait until the record is read back before repeating an append
  // whose response was lost.
  core::Duration repeat_interval = core::milliseconds(500);
  // How long to try before an append fails as uncertain.
  core::Duration settle_timeout = core::seconds(5);
};

class DurableAppender : public std::enable_shared_from_this<DurableAppender> {
 public:
  // Builds the body of a record from its stamp.
  using BodyMaker = std::function<std::string(const RecordStamp& stamp)>;
  // Receives the result of an append. OK: the record was read back.
  // kPlatformUnavailable: the record is certainly not in the stream.
  // kAppendUncertain: the append timed out; the record may be in the stream,
  // but it counts only if it comes before the writer's next record.
  using Callback = std::function<void(const absl::Status& status)>;

  // `client` and `scheduler` must outlive the appender.
  static std::shared_ptr<DurableAppender> Create(
      LogClient* client,
      Scheduler* scheduler,
      const DurableAppenderOptions& options);

  // Starts an append and returns the record's stamp. Only one append may be in
  // flight.
  RecordStamp Append(const BodyMaker& make_body, Callback callback);

  // Must be called by the reader of the stream for each record that it has
  // read; completes the append in flight if `stamp` is its stamp.
  void OnReadBack(const RecordStamp& stamp);

  // Cancels the append in flight without calling its callback.
  void Stop();

  bool is_busy() const { return callback_ != nullptr; }

 private:
  DurableAppender(LogClient* client,
                  Scheduler* scheduler,
                  const DurableAppenderOptions& options);

  void Send();
  void OnAnswer(uint64_t sequence, const absl::StatusOr<Offset>& answer);
  void ScheduleCheck(uint64_t sequence);
  void Check(uint64_t sequence);
  void Finish(const absl::Status& status);
  bool IsCurrent(uint64_t sequence) const;

  LogClient* client_;
  Scheduler* scheduler_;
  const DurableAppenderOptions options_;
  uint64_t sequence_ = 0;
  std::string body_;
  Callback callback_;
  core::TimePoint deadline_;
  // True if the record may be in the stream.
  bool may_be_stored_ = false;
  // True if the log acknowledged that the record is in the stream.
  bool is_acknowledged_ = false;
};

}  // namespace wasabi::platform

#endif  // LIBPLATFORM_DURABLE_APPENDER_H_
