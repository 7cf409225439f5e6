#include "LibPlatform/log_follower.h"

#include <utility>

#include "LibCore/result_code.h"
#include "LibCore/text.h"

namespace wasabi::platform {

std::shared_ptr<LogFollower> LogFollower::Create(
    LogClient* client,
    Scheduler* scheduler,
    const LogFollowerOptions& options,
    LogFollowerHandlers handlers) {
  return std::shared_ptr<LogFollower>(
      new LogFollower(client, scheduler, options, std::move(handlers)));
}

LogFollower::LogFollower(LogClient* client,
                         Scheduler* scheduler,
                         const LogFollowerOptions& options,
                         LogFollowerHandlers handlers)
    : client_(client),
      scheduler_(scheduler),
      options_(options),
      handlers_(std::move(handlers)),
      backoff_(options.minimum_backoff, options.maximum_backoff, options.seed) {
}

void LogFollower::Start(Offset from) {
  next_ = from;
  is_stopped_ = false;
  Read();
}

void LogFollower::Stop() {
  is_stopped_ = true;
  handlers_ = LogFollowerHandlers();
}

void LogFollower::Read() {
  if (is_stopped_) {
    return;
  }
  read_started_at_ = scheduler_->Now();
  client_->Read(options_.stream, next_, options_.poll_wait,
                [weak = weak_from_this()](const absl::StatusOr<LogPage>& page) {
                  if (const auto it = weak.lock()) {
                    it->OnRead(page);
                  }
                });
}

void LogFollower::ReadAfter(core::Duration delay) {
  scheduler_->CallAfter(delay, [weak = weak_from_this()] {
    if (const auto it = weak.lock()) {
      it->Read();
    }
  });
}

void LogFollower::OnRead(const absl::StatusOr<LogPage>& page) {
  if (is_stopped_) {
    return;
  }
  if (page.ok()) {
    OnPage(*page);
  } else if (core::CodeOf(page.status()) ==
             core::ResultCode::kRecordsTruncated) {
    FetchFirstRetained();
  } else {
    OnFailure(page.status());
  }
}

void LogFollower::OnPage(const LogPage& page) {
  if (page.end < next_) {
    OnRegression(page);
    return;
  }
  if (!page.records.empty() && page.records.front().offset != next_) {
    OnFailure(
        core::MakeStatus(core::ResultCode::kMalformedRecord,
                         "the page does not begin at the requested offset"));
    return;
  }
  has_regressed_ = false;
  backoff_.Reset();
  SetAvailable(true, "");
  next_ += static_cast<Offset>(page.records.size());
  const bool is_behind = next_ < page.end && !page.records.empty();
  if (handlers_.on_page) {
    // The handler may stop the follower, which destroys the handler, so a copy
    // is called.
    const auto on_page = handlers_.on_page;
    on_page(page);
  }
  const core::TimePoint due =
      is_behind ? scheduler_->Now()
                : read_started_at_ + options_.minimum_interval;
  const core::Duration delay = due - scheduler_->Now();
  if (delay <= core::Duration::zero()) {
    Read();
  } else {
    ReadAfter(delay);
  }
}

void LogFollower::OnRegression(const LogPage& page) {
  SetAvailable(true, "");
  if (!has_regressed_) {
    has_regressed_ = true;
    Report(core::EventCode::kLogWentBackwards,
           fmt::format("stream={} next={} end={}", options_.stream, next_,
                       page.end));
  }
  ReadAfter(backoff_.Next());
}

void LogFollower::OnFailure(const absl::Status& status) {
  SetAvailable(false, core::MessageOf(status));
  ReadAfter(backoff_.Next());
}

void LogFollower::FetchFirstRetained() {
  client_->Bounds(options_.stream, [weak = weak_from_this()](
                                       const absl::StatusOr<LogPage>& page) {
    if (const auto it = weak.lock()) {
      it->OnBounds(page);
    }
  });
}

void LogFollower::OnBounds(const absl::StatusOr<LogPage>& page) {
  if (is_stopped_) {
    return;
  }
  if (!page.ok()) {
    OnFailure(page.status());
    return;
  }
  if (page->first_retained <= next_) {
    ReadAfter(backoff_.Next());
    return;
  }
  const Offset from = std::exchange(next_, page->first_retained);
  Report(core::EventCode::kRecordsTruncated,
         fmt::format("stream={} from={} first_kept={}", options_.stream, from,
                     next_));
  if (handlers_.on_records_truncated) {
    const auto on_records_truncated = handlers_.on_records_truncated;
    on_records_truncated(from, next_);
  }
  Read();
}

void LogFollower::SetAvailable(bool is_up, std::string_view detail) {
  if (is_up == is_up_) {
    return;
  }
  is_up_ = is_up;
  Report(is_up ? core::EventCode::kPlatformUp : core::EventCode::kPlatformDown,
         fmt::format("stream={} {}", options_.stream, detail));
}

void LogFollower::Report(core::EventCode code, std::string_view detail) {
  if (handlers_.on_event) {
    handlers_.on_event(code, detail);
  }
}

}  // namespace wasabi::platform
