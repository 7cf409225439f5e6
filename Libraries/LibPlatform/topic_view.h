// Keeps this host's view of a keyed topic current, from reads of the platform
// or from reports of another host that reads it. The view never moves
// backwards, except into the history that begins when the platform is restored
// from a backup.

#ifndef LIBPLATFORM_TOPIC_VIEW_H_
#define LIBPLATFORM_TOPIC_VIEW_H_

#include <compare>
#include <cstdint>
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
  // The minimum time between the starts of two reads.
  core::Duration minimum_interval = core::milliseconds(150);
  core::Duration minimum_backoff = core::milliseconds(100);
  core::Duration maximum_backoff = core::milliseconds(400);
  // The age of a view that indicates an outage of the platform or of the path
  // to it. It exceeds the ages that views reach while hosts read for each
  // other.
  core::Duration outage_age = core::milliseconds(2500);
  // Seed of the backoff's jitter.
  uint64_t seed = 0;
};

// Calls that a view has made to the platform.
struct TopicViewCalls {
  uint64_t snapshot_reads = 0;
  uint64_t tail_reads = 0;

  auto operator<=>(const TopicViewCalls&) const = default;
};

struct TopicViewHandlers {
  // Receives the newest record of every key, which replace all previous
  // records; keys that are missing do not exist.
  std::function<void(const std::vector<KeyedRecord>& records)> on_snapshot;
  // Receives a record that is newer than all previous ones.
  std::function<void(const KeyedRecord& record)> on_record;
  // Receives kRecordSkipped for a record that can't be decoded,
  // kLogWentBackwards for a topic whose end is before an offset that was
  // already read, and kLogRestored for a new history, with details for the log.
  std::function<void(core::EventCode code, const std::string& detail)> on_event;
  // Called after each successful read and each accepted report, with or without
  // changes.
  std::function<void()> on_confirmed;
  // Called when the platform stops responding to this host and when it responds
  // again.
  std::function<void(bool is_reachable)> on_reachable;
};

class TopicView : public std::enable_shared_from_this<TopicView> {
 public:
  // `client` and `scheduler` must outlive the view.
  TopicView(KeyedTopicClient* client,
            Scheduler* scheduler,
            TopicViewOptions options,
            TopicViewHandlers handlers);

  // Reads from the platform if the view is older than `age`; the platform may
  // hold the read up to `wait` until there is a record. Meant to be called
  // often: at most one read is in flight.
  void RefreshIfStale(core::Duration age, core::Duration wait);

  // Sets the longest delay between two attempts while the platform does not
  // respond. A host that learns of the recovery from other hosts needs few
  // attempts of its own.
  void SetMaximumBackoff(core::Duration maximum) {
    backoff_.SetMaximum(maximum);
  }

  // Applies the report of another host that has read up to `changes.next` and
  // confirmed that `age` ago. `changes` contains all changes at or after
  // `complete_from`. A report that would leave a gap, or that belongs to
  // another history, changes nothing. Returns true if the view is then as new
  // as the report.
  bool ApplyReport(Offset complete_from,
                   const KeyedPage& changes,
                   core::Duration age);

  // Replaces the view with another host's whole view, confirmed `age` ago, if
  // that one is newer.
  void ApplyCopy(const KeyedPage& copy, core::Duration age);
  // Returns this host's whole view.
  KeyedPage Copy() const;
  // Leaves the record of `key` out of copies until it is written again. The
  // handlers call this for a record that nobody can use.
  void Forget(const std::string& key) { newest_.erase(key); }

  // Returns true once a snapshot has arrived, from the platform or from another
  // host.
  bool is_loaded() const { return next_.has_value(); }
  Offset next() const { return next_.value_or(0); }
  // Returns the history that the view belongs to.
  LogEpoch epoch() const { return epoch_; }
  // Returns the time before which everything that the platform acknowledged is
  // in the view.
  core::TimePoint confirmed_at() const { return confirmed_at_; }
  // Returns the start of the latest read of this host whose result, all that
  // the platform had acknowledged by then, is in the view. Unlike confirmed_at,
  // it does not depend on what other hosts report.
  core::TimePoint own_read_started_at() const { return own_read_started_at_; }
  bool is_reachable() const { return is_reachable_; }
  const TopicViewCalls& calls() const { return calls_; }
  const std::string& topic() const { return options_.topic; }
  // Returns the time at which the platform last responded to this host.
  core::TimePoint read_at() const { return read_at_; }
  // Returns the time at which the view last recovered from an outage (see
  // outage_age) or entered a new history, through the platform or another host;
  // a default TimePoint if it never did.
  core::TimePoint recovered_at() const { return recovered_at_; }

 private:
  void ReadSnapshot();
  void ReadTail(core::Duration wait);
  void OnSnapshot(core::TimePoint started_at, absl::StatusOr<KeyedPage> page);
  void OnTail(core::TimePoint started_at, absl::StatusOr<KeyedPage> page);
  void ApplySnapshot(const KeyedPage& page);
  // Returns whether `epoch` is an earlier or later history than that of the
  // view. False if either is unknown.
  bool IsEarlier(LogEpoch epoch) const;
  bool IsLater(LogEpoch epoch) const;
  // Must be called before the first update of the history `epoch` is applied;
  // `next` is its end offset.
  void EnterHistory(LogEpoch epoch, Offset next);
  void ApplyTail(const KeyedPage& page);
  // Must be called before an update is applied.
  void RecordRecovery();
  void Confirm(core::TimePoint at);
  // Notes whether the process may have stood still since the last call.
  void DetectPause();
  void OnFailure(const absl::Status& status);
  void SetReachable(bool is_reachable);
  void ReportEvent(core::EventCode code, Offset offset);

  KeyedTopicClient* const client_;
  Scheduler* const scheduler_;
  const TopicViewOptions options_;
  const TopicViewHandlers handlers_;
  Backoff backoff_;
  TopicViewCalls calls_;
  // The offset of the first record that the view lacks.
  std::optional<Offset> next_;
  // The offset at which the read in flight starts.
  Offset read_from_ = 0;
  LogEpoch epoch_ = 0;
  // The newest record of each key.
  std::map<std::string, KeyedRecord> newest_;
  core::TimePoint confirmed_at_{};
  core::TimePoint own_read_started_at_{};
  core::TimePoint read_at_{};
  core::TimePoint next_attempt_at_{};
  // When the view was last refreshed or answered.
  core::TimePoint running_at_{};
  // When the process last ran before it stood still during the read in flight;
  // nullopt if it did not.
  std::optional<core::TimePoint> paused_at_;
  core::TimePoint recovered_at_{};
  bool is_reading_ = false;
  bool is_reachable_ = true;
  bool needs_snapshot_ = true;
  // The topic has records after those of the last read.
  bool lacks_newer_records_ = false;
};

}  // namespace wasabi::platform

#endif  // LIBPLATFORM_TOPIC_VIEW_H_
