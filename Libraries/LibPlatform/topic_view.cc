#include "LibPlatform/topic_view.h"

#include <algorithm>
#include <utility>

#include "LibCore/result_code.h"
#include "LibCore/text.h"

namespace wasabi::platform {

namespace {

// A response reflects the platform's state at the time of sending, which is at
// most this long ago.
constexpr core::Duration kMaxResponseDelay = core::milliseconds(250);
// With a longer time between two refreshes, the process may have stood still.
constexpr core::Duration kMaxTurn = core::milliseconds(250);
// Ages in reports are rounded, so a smaller gain in freshness does not count.
constexpr core::Duration kMinFreshnessGain = core::milliseconds(50);

}  // namespace

TopicView::TopicView(KeyedTopicClient* client,
                     Scheduler* scheduler,
                     TopicViewOptions options,
                     TopicViewHandlers handlers)
    : client_(client),
      scheduler_(scheduler),
      options_(std::move(options)),
      handlers_(std::move(handlers)),
      backoff_(options_.minimum_backoff,
               options_.maximum_backoff,
               options_.seed) {}

void TopicView::RefreshIfStale(core::Duration age, core::Duration wait) {
  const core::TimePoint now = scheduler_->Now();
  DetectPause();
  const bool is_due =
      needs_snapshot_ || lacks_newer_records_ || now - confirmed_at_ >= age;
  if (is_reading_ || !is_due || now < next_attempt_at_) {
    return;
  }
  is_reading_ = true;
  next_attempt_at_ = now + options_.minimum_interval;
  paused_at_.reset();
  if (needs_snapshot_) {
    ReadSnapshot();
  } else {
    ReadTail(wait);
  }
}

bool TopicView::ApplyReport(Offset complete_from,
                            const KeyedPage& changes,
                            core::Duration age) {
  if (IsEarlier(changes.epoch)) {
    return true;
  }
  if (needs_snapshot_ || IsLater(changes.epoch) || complete_from > *next_) {
    return false;
  }
  RecordRecovery();
  if (changes.next > *next_) {
    ApplyTail(changes);
  }
  if (changes.next == *next_) {
    Confirm(scheduler_->Now() - age);
  }
  return true;
}

void TopicView::ApplyCopy(const KeyedPage& copy, core::Duration age) {
  const bool is_newer = !next_ || IsLater(copy.epoch) || copy.next > *next_;
  if (IsEarlier(copy.epoch) || !is_newer) {
    return;
  }
  needs_snapshot_ = false;
  RecordRecovery();
  EnterHistory(copy.epoch, copy.next);
  ApplySnapshot(copy);
  Confirm(scheduler_->Now() - age);
}

KeyedPage TopicView::Copy() const {
  KeyedPage page;
  page.next = next();
  page.epoch = epoch_;
  page.records.reserve(newest_.size());
  for (const auto& [key, record] : newest_) {
    page.records.push_back(record);
  }
  return page;
}

void TopicView::ReadSnapshot() {
  const core::TimePoint started_at = scheduler_->Now();
  ++calls_.snapshot_reads;
  client_->ReadNewest(options_.topic, [weak = weak_from_this(), started_at](
                                          absl::StatusOr<KeyedPage> page) {
    if (const auto self = weak.lock()) {
      self->OnSnapshot(started_at, std::move(page));
    }
  });
}

void TopicView::ReadTail(core::Duration wait) {
  const core::TimePoint started_at = scheduler_->Now();
  read_from_ = *next_;
  ++calls_.tail_reads;
  client_->ReadFrom(
      options_.topic, read_from_, wait,
      [weak = weak_from_this(), started_at](absl::StatusOr<KeyedPage> page) {
        if (const auto self = weak.lock()) {
          self->OnTail(started_at, std::move(page));
        }
      });
}

void TopicView::OnSnapshot(core::TimePoint started_at,
                           absl::StatusOr<KeyedPage> page) {
  is_reading_ = false;
  if (!page.ok()) {
    OnFailure(page.status());
    return;
  }
  SetReachable(true);
  // A snapshot that ends before an offset already read is ignored until the
  // topic has caught up, unless the platform was restored in between.
  const bool is_behind = next_ && page->next < *next_ && !IsLater(page->epoch);
  if (is_behind || IsEarlier(page->epoch)) {
    ReportEvent(core::EventCode::kLogWentBackwards, page->next);
    next_attempt_at_ = scheduler_->Now() + backoff_.Next();
    return;
  }
  needs_snapshot_ = false;
  lacks_newer_records_ = false;
  RecordRecovery();
  // A record that an earlier read has skipped is reported once.
  const Offset first_unread = next_ && !IsLater(page->epoch) ? *next_ : 0;
  EnterHistory(page->epoch, page->next);
  ApplySnapshot(*page);
  for (const Offset offset : page->unreadable) {
    if (offset >= first_unread) {
      ReportEvent(core::EventCode::kRecordSkipped, offset);
    }
  }
  own_read_started_at_ = started_at;
  Confirm(started_at);
}

void TopicView::OnTail(core::TimePoint started_at,
                       absl::StatusOr<KeyedPage> page) {
  is_reading_ = false;
  DetectPause();
  if (!page.ok()) {
    OnFailure(page.status());
    return;
  }
  SetReachable(true);
  if (IsEarlier(page->epoch)) {
    return;
  }
  if (IsLater(page->epoch)) {
    // Offsets of the new history name other records than those read so far.
    needs_snapshot_ = true;
    next_attempt_at_ = scheduler_->Now();
    return;
  }
  if (page->next < read_from_) {
    ReportEvent(core::EventCode::kLogWentBackwards, page->next);
    return;
  }
  if (page->next < *next_) {
    // Another host's report was newer than this response.
    return;
  }
  for (const Offset offset : page->unreadable) {
    ReportEvent(core::EventCode::kRecordSkipped, offset);
  }
  RecordRecovery();
  EnterHistory(page->epoch, page->next);
  ApplyTail(*page);
  lacks_newer_records_ = page->lacks_newer_records;
  if (lacks_newer_records_) {
    next_attempt_at_ = scheduler_->Now();
    return;
  }
  own_read_started_at_ = started_at;
  // The response may have arrived at any time while the process stood still.
  const core::TimePoint arrived_at = paused_at_.value_or(scheduler_->Now());
  Confirm(std::max(started_at, arrived_at - kMaxResponseDelay));
}

void TopicView::DetectPause() {
  const core::TimePoint now = scheduler_->Now();
  if (now - running_at_ > kMaxTurn && !paused_at_) {
    paused_at_ = running_at_;
  }
  running_at_ = now;
}

void TopicView::ApplySnapshot(const KeyedPage& page) {
  next_ = page.next;
  newest_.clear();
  for (const KeyedRecord& record : page.records) {
    newest_[record.key] = record;
  }
  handlers_.on_snapshot(page.records);
}

void TopicView::ApplyTail(const KeyedPage& page) {
  const Offset before = *next_;
  next_ = page.next;
  for (const KeyedRecord& record : page.records) {
    if (record.offset < before) {
      continue;
    }
    if (record.value) {
      newest_[record.key] = record;
    } else {
      newest_.erase(record.key);
    }
    handlers_.on_record(record);
  }
}

bool TopicView::IsEarlier(LogEpoch epoch) const {
  return epoch != 0 && epoch < epoch_;
}

bool TopicView::IsLater(LogEpoch epoch) const {
  return epoch_ != 0 && epoch > epoch_;
}

void TopicView::EnterHistory(LogEpoch epoch, Offset next) {
  if (IsLater(epoch)) {
    recovered_at_ = scheduler_->Now();
    if (handlers_.on_event) {
      handlers_.on_event(
          core::EventCode::kLogRestored,
          fmt::format(
              "topic={} epoch={} next={} epoch_before={} next_before={}",
              options_.topic, epoch, next, epoch_, *next_));
    }
  }
  epoch_ = std::max(epoch_, epoch);
}

void TopicView::RecordRecovery() {
  const core::TimePoint now = scheduler_->Now();
  const bool was_loaded = confirmed_at_ != core::TimePoint();
  if (was_loaded && now - confirmed_at_ > options_.outage_age) {
    recovered_at_ = now;
  }
}

void TopicView::Confirm(core::TimePoint at) {
  // A report that confirms nothing newer is no evidence that the platform
  // responds.
  if (at > confirmed_at_ + kMinFreshnessGain) {
    backoff_.Reset();
  }
  confirmed_at_ = std::max(confirmed_at_, at);
  if (handlers_.on_confirmed) {
    handlers_.on_confirmed();
  }
}

void TopicView::OnFailure(const absl::Status& status) {
  if (core::CodeOf(status) == core::ResultCode::kRecordsTruncated) {
    needs_snapshot_ = true;
    return;
  }
  SetReachable(false);
  next_attempt_at_ = scheduler_->Now() + backoff_.Next();
}

void TopicView::ReportEvent(core::EventCode code, Offset offset) {
  if (handlers_.on_event) {
    handlers_.on_event(code, fmt::format("topic={} offset={} next={}",
                                         options_.topic, offset, *next_));
  }
}

void TopicView::SetReachable(bool is_reachable) {
  if (is_reachable) {
    read_at_ = scheduler_->Now();
  }
  if (is_reachable_ == is_reachable) {
    return;
  }
  is_reachable_ = is_reachable;
  if (handlers_.on_reachable) {
    handlers_.on_reachable(is_reachable);
  }
}

}  // namespace wasabi::platform
