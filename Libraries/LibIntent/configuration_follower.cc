#include "LibIntent/configuration_follower.h"

#include <utility>

#include "LibCore/result_code.h"
#include "LibCore/text.h"
#include "LibCore/try.h"

namespace wasabi::intent {

using core::EventCode;

std::shared_ptr<ConfigurationFollower> ConfigurationFollower::Create(
    core::EventLoop* loop,
    platform::LogClient* log,
    core::EventRing* events,
    FollowerOptions options) {
  return std::shared_ptr<ConfigurationFollower>(
      new ConfigurationFollower(loop, log, events, std::move(options)));
}

ConfigurationFollower::ConfigurationFollower(core::EventLoop* loop,
                                             platform::LogClient* log,
                                             core::EventRing* events,
                                             FollowerOptions options)
    : loop_(loop), log_(log), events_(events), options_(std::move(options)) {}

void ConfigurationFollower::Start() {
  if (is_running_) {
    return;
  }
  is_running_ = true;
  const std::weak_ptr<ConfigurationFollower> self = weak_from_this();
  timer_ = loop_->NewTimer([self] {
    if (const auto follower = self.lock()) {
      follower->Read();
    }
  });
  Read();
}

void ConfigurationFollower::Stop() {
  is_running_ = false;
  timer_.reset();
}

void ConfigurationFollower::AddObserver(Observer observer) {
  observers_.push_back(std::move(observer));
}

void ConfigurationFollower::AddStepObserver(StepObserver observer) {
  step_observers_.push_back(std::move(observer));
}

void ConfigurationFollower::Read() {
  if (!is_running_) {
    return;
  }
  const platform::Offset from = tracker_.next_offset();
  // Long polling is used only once the end of the log has been reached.
  // Otherwise the response must not be delayed until a new record arrives.
  const bool is_current = is_synchronized_ && is_platform_up_;
  log_->Read(options_.stream, from,
             is_current ? options_.read_wait : core::Duration::zero(),
             [self = shared_from_this(),
              from](const absl::StatusOr<platform::LogPage>& page) {
               self->OnRead(from, page);
             });
}

void ConfigurationFollower::OnRead(
    platform::Offset from,
    const absl::StatusOr<platform::LogPage>& page) {
  if (!is_running_) {
    return;
  }
  if (from != tracker_.next_offset()) {
    // A peer's state was loaded while the read was in flight. Processing this
    // earlier response could report a log whose end moved backwards.
    Read();
    return;
  }
  if (page.ok()) {
    OnPage(*page);
  } else {
    OnReadError(page.status());
  }
}

void ConfigurationFollower::ReadAfter(core::Duration pause) {
  if (is_running_) {
    timer_->StartOnce(pause);
  }
}

void ConfigurationFollower::OnPage(const platform::LogPage& page) {
  SetPlatformUp(true);
  const platform::Offset old_end = tracker_.log_end();
  const PageReport report = tracker_.OnPage(page);
  if (report.has_gone_backwards) {
    events_->Record(
        EventCode::kLogWentBackwards, "",
        fmt::format("stream={} end={} old_end={} applied={}", options_.stream,
                    page.end, old_end, tracker_.fold().revision()));
  }
  if (report.has_loaded_snapshot) {
    events_->Record(
        EventCode::kSnapshotLoaded, "",
        fmt::format("source=log revision={}", tracker_.fold().revision()));
  }
  if (!tracker_.is_searching_snapshot() && tracker_.next_offset() >= page.end) {
    is_synchronized_ = true;
  }
  if (report.has_advanced) {
    Publish();
  }
  for (const FoldStep& step : report.steps) {
    RecordStep(step);
  }
  if (page.records.empty()) {
    ReadAfter(options_.idle_pause);
  } else {
    Read();
  }
}

void ConfigurationFollower::OnReadError(const absl::Status& status) {
  if (core::CodeOf(status) == core::ResultCode::kRecordsTruncated) {
    SetPlatformUp(true);
    FetchFirstRetained();
    return;
  }
  SetPlatformUp(false);
  ReadAfter(options_.retry_pause);
}

void ConfigurationFollower::FetchFirstRetained() {
  log_->Bounds(
      options_.stream, [self = shared_from_this()](
                           const absl::StatusOr<platform::LogPage>& bounds) {
        if (!self->is_running_) {
          return;
        }
        if (!bounds.ok()) {
          self->OnReadError(bounds.status());
          return;
        }
        self->events_->Record(
            EventCode::kRecordsTruncated, "",
            fmt::format("stream={} wanted={} first_kept={}",
                        self->options_.stream, self->tracker_.next_offset(),
                        bounds->first_retained));
        self->tracker_.OnRecordsTruncated(bounds->first_retained);
        self->ReadAfter(self->options_.idle_pause);
      });
}

void ConfigurationFollower::SetPlatformUp(bool is_up) {
  is_platform_up_ = is_up;
  if (is_down_reported_ != is_up) {
    return;
  }
  is_down_reported_ = !is_up;
  events_->Record(is_up ? EventCode::kPlatformUp : EventCode::kPlatformDown, "",
                  "stream=" + options_.stream);
}

void ConfigurationFollower::RecordStep(const FoldStep& step) {
  const FoldResult& result = step.result;
  switch (result.outcome) {
    case FoldOutcome::kApplied:
      events_->Record(
          EventCode::kPlanConfirmed, "",
          fmt::format("plan={} offset={}", result.plan_id, step.offset));
      break;
    case FoldOutcome::kConflict:
      events_->Record(EventCode::kPlanConflicted, "",
                      fmt::format("plan={} offset={} item={}", result.plan_id,
                                  step.offset, result.reason));
      break;
    case FoldOutcome::kMalformed:
    case FoldOutcome::kSnapshotDiffers:
      events_->Record(
          EventCode::kRecordSkipped, "",
          fmt::format("offset={} reason={}", step.offset, result.reason));
      break;
    default:
      break;
  }
  for (const StepObserver& observer : step_observers_) {
    observer(step);
  }
}

void ConfigurationFollower::Publish() {
  current_ =
      std::make_shared<const Configuration>(tracker_.fold().configuration());
  events_->Record(EventCode::kConfigurationApplied, "",
                  fmt::format("revision={}", current_->revision));
  for (const Observer& observer : observers_) {
    observer(current_);
  }
}

FetchConfigurationResponse ConfigurationFollower::Offer(
    int64_t known_revision) const {
  FetchConfigurationResponse response;
  response.revision = applied_offset();
  if (response.revision > known_revision) {
    response.snapshot = tracker_.fold().Snapshot();
  }
  return response;
}

absl::Status ConfigurationFollower::Load(
    const FetchConfigurationResponse& response) {
  if (response.snapshot.empty() || response.revision <= applied_offset()) {
    return absl::OkStatus();
  }
  TRY_ASSIGN(const bool has_advanced, tracker_.Load(response.snapshot));
  if (!has_advanced) {
    return absl::OkStatus();
  }
  is_synchronized_ = true;
  events_->Record(EventCode::kSnapshotLoaded, "",
                  fmt::format("source=peer revision={}", response.revision));
  Publish();
  return absl::OkStatus();
}

}  // namespace wasabi::intent
