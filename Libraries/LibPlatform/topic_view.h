// Keeps this host's view of a keyed topic current: from the platform, or from
// another host that reads it. The view never goes backwards.

#ifndef LIBPLATFORM_TOPIC_VIEW_H_
#define LIBPLATFORM_TOPIC_VIEW_H_

#include <functional>
#include <map>
#include <memory>
#include <optional>
#include <string>
#include <vector>

#include "LibCore/event.h"
#include "LibPlatform/backoff.h"
#include "LibPlatform/keyed_topic_client.h"
#include "LibPlatform/scheduler.h"

namespace wasabi::platform {

struct TopicViewOptions {
  std::string topic;
  // The least time between the starts of two reads.
  core::Duration minimum_interval = core::milliseconds(150);
  core::Duration minimum_backoff = core::milliseconds(100);
  core::Duration maximum_backoff = core::milliseconds(400);
  // A view that is older than this shows an outage, of the platform or of the
  // way to it: longer than views grow where hosts read for each other.
  core::Duration outage_age = core::milliseconds(2500);
  // Seed of the backoff's jitter.
  uint64_t seed = 0;
};

struct TopicViewHandlers {
  // The newest record of every key; keys that are missing don't exist.
  std::function<void(const std::vector<KeyedRecord>& records)> on_snapshot;
  // A record that is newer than all before it.
  std::function<void(const KeyedRecord& record)> on_record;
  // kRecordSkipped for a record that can't be read, kLogWentBackwards for a
  // topic that ends before what was read earlier, with details for the log.
  std::function<void(core::EventCode code, const std::string& detail)> on_event;
  // After each successful read and each accepted report, changes or not.
  std::function<void()> on_confirmed;
  // The platform has stopped, or begun again, to answer this host.
  std::function<void(bool is_reachable)> on_reachable;
};

class TopicView : public std::enable_shared_from_this<TopicView> {
 public:
  // `client` and `scheduler` must outlive the view.
  TopicView(KeyedTopicClient* client,
            Scheduler* scheduler,
            TopicViewOptions options,
            TopicViewHandlers handlers);

  // Reads from the platform if the view is older than `age`; the read may wait
  // there up to `wait` for a record. To be called often; at most one read is in
  // flight.
  void RefreshIfOlder(core::Duration age, core::Duration wait);

  // The longest time between two tries while the platform does not answer. A
  // host that others tell of its return needs few of its own.
  void SetMaximumBackoff(core::Duration maximum) {
    backoff_.SetMaximum(maximum);
  }

  // Another host has read up to `next` and confirmed that `age` ago. `records`
  // has all that changed anything at or after `complete_from`. A report that
  // leaves a gap changes nothing. Returns true when the view is at `next`.
  bool ApplyReport(Offset complete_from,
                   Offset next,
                   const std::vector<KeyedRecord>& records,
                   core::Duration age);

  // Takes another host's whole view, confirmed `age` ago, unless it is older
  // than this one.
  void ApplyCopy(const KeyedPage& copy, core::Duration age);
  // This host's whole view.
  KeyedPage Copy() const;

  // True once any snapshot has arrived.
  bool is_loaded() const { return next_.has_value(); }
  Offset next() const { return next_.value_or(0); }
  // Everything that the platform acknowledged before this time is in the view.
  core::TimePoint confirmed_at() const { return confirmed_at_; }
  bool is_reachable() const { return is_reachable_; }
  // When the platform last answered this host.
  core::TimePoint read_at() const { return read_at_; }
  // When the view became current after it had been out of date for long, from
  // the platform or from another host; a default TimePoint if it never was.
  core::TimePoint recovered_at() const { return recovered_at_; }

 private:
  void ReadSnapshot();
  void ReadTail(core::Duration wait);
  void OnSnapshot(core::TimePoint started_at, absl::StatusOr<KeyedPage> page);
  void OnTail(core::TimePoint started_at, absl::StatusOr<KeyedPage> page);
  void ApplySnapshot(const KeyedPage& page);
  void ApplyTail(const KeyedPage& page);
  // To be called with news, before it is applied.
  void NoteRecovery();
  void Confirm(core::TimePoint at);
  void OnFailure(const absl::Status& status);
  void SetReachable(bool is_reachable);
  void ReportEvent(core::EventCode code, Offset offset);

  KeyedTopicClient* const client_;
  Scheduler* const scheduler_;
  const TopicViewOptions options_;
  const TopicViewHandlers handlers_;
  Backoff backoff_;
  // Offset of the next record that the view lacks.
  std::optional<Offset> next_;
  // Where the read in flight began.
  Offset read_from_ = 0;
  // The newest record of each key.
  std::map<std::string, KeyedRecord> newest_;
  core::TimePoint confirmed_at_{};
  core::TimePoint read_at_{};
  core::TimePoint next_try_at_{};
  core::TimePoint recovered_at_{};
  bool is_reading_ = false;
  bool is_reachable_ = true;
  bool needs_snapshot_ = true;
};

}  // namespace wasabi::platform

#endif  // LIBPLATFORM_TOPIC_VIEW_H_
