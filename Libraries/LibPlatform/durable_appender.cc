#include "LibPlatform/durable_appender.h"

#include <utility>

#include "LibCore/result_code.h"

namespace wasabi::platform {

using core::MakeStatus;
using core::ResultCode;

std::shared_ptr<DurableAppender> DurableAppender::Create(
    LogClient* client,
    Scheduler* scheduler,
    const DurableAppenderOptions& options) {
  return std::shared_ptr<DurableAppender>(
      new DurableAppender(client, scheduler, options));
}

DurableAppender::DurableAppender(LogClient* client,
                                 Scheduler* scheduler,
                                 const DurableAppenderOptions& options)
    : client_(client), scheduler_(scheduler), options_(options) {}

RecordStamp DurableAppender::Append(const BodyMaker& make_body,
                                    Callback callback) {
  const RecordStamp stamp{options_.writer, ++sequence_};
  body_ = make_body(stamp);
  callback_ = std::move(callback);
  deadline_ = scheduler_->Now() + options_.settle_timeout;
  may_be_stored_ = false;
  is_acknowledged_ = false;
  Send();
  return stamp;
}

void DurableAppender::OnReadBack(const RecordStamp& stamp) {
  if (stamp.writer == options_.writer && IsCurrent(stamp.sequence)) {
    Finish(absl::OkStatus());
  }
}

void DurableAppender::Stop() {
  callback_ = nullptr;
}

void DurableAppender::Send() {
  client_->Append(options_.stream, body_,
                  [weak = weak_from_this(),
                   sequence = sequence_](const absl::StatusOr<Offset>& answer) {
                    if (const auto it = weak.lock()) {
                      it->OnAnswer(sequence, answer);
                    }
                  });
}

void DurableAppender::OnAnswer(uint64_t sequence,
                               const absl::StatusOr<Offset>& answer) {
  if (!IsCurrent(sequence)) {
    return;
  }
  const bool is_refused = !answer.ok() && core::CodeOf(answer.status()) ==
                                              ResultCode::kPlatformUnavailable;
  if (is_refused && !may_be_stored_) {
    Finish(answer.status());
    return;
  }
  may_be_stored_ = true;
  is_acknowledged_ = is_acknowledged_ || answer.ok();
  ScheduleCheck(sequence);
}

void DurableAppender::ScheduleCheck(uint64_t sequence) {
  scheduler_->CallAfter(options_.repeat_interval,
                        [weak = weak_from_this(), sequence] {
                          if (const auto it = weak.lock()) {
                            it->Check(sequence);
                          }
                        });
}

void DurableAppender::Check(uint64_t sequence) {
  if (!IsCurrent(sequence)) {
    return;
  }
  if (scheduler_->Now() >= deadline_) {
    Finish(MakeStatus(
        ResultCode::kAppendUncertain,
        "the record was not read back from the log before the timeout"));
    return;
  }
  if (is_acknowledged_) {
    ScheduleCheck(sequence);
  } else {
    Send();
  }
}

void DurableAppender::Finish(const absl::Status& status) {
  const Callback callback = std::exchange(callback_, nullptr);
  callback(status);
}

bool DurableAppender::IsCurrent(uint64_t sequence) const {
  return callback_ != nullptr && sequence == sequence_;
}

}  // namespace wasabi::platform
