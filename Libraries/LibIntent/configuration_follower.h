// Follows the configuration stream on the event loop and holds the current
// configuration. Routers and control daemons embed one each.

#ifndef LIBINTENT_CONFIGURATION_FOLLOWER_H_
#define LIBINTENT_CONFIGURATION_FOLLOWER_H_

#include <cstdint>
#include <functional>
#include <memory>
#include <string>
#include <vector>

#include "LibCore/event_loop.h"
#include "LibCore/event_ring.h"
#include "LibCore/message.h"
#include "LibIntent/configuration.h"
#include "LibIntent/configuration_tracker.h"
#include "LibPlatform/log_client.h"
#include "absl/status/status.h"

namespace wasabi::intent {

struct FollowerOptions {
  std::string stream = "configuration";
  // How long one read waits at the log for a first record. It bounds how late
  // a connection that went silent is noticed.
  core::Duration read_wait = std::chrono::seconds(5);
  // Pause after a read that brought nothing.
  core::Duration idle_pause = std::chrono::milliseconds(20);
  // Pause after a failed read.
  core::Duration retry_pause = std::chrono::milliseconds(500);
};

// The state that one daemon hands to another.
struct ConfigurationOffer {
  int64_t revision = -1;
  // The text of ConfigurationFold::Snapshot, or empty where the asking daemon
  // is as new.
  std::string snapshot;

  auto operator<=>(const ConfigurationOffer&) const = default;

  MSGPACK_DEFINE(revision, snapshot);
};

// A session that keeps itself alive until Stop is called. All calls and
// callbacks happen on the loop.
class ConfigurationFollower
    : public std::enable_shared_from_this<ConfigurationFollower> {
 public:
  using Observer = std::function<void(const ConfigurationView& view)>;
  using StepObserver = std::function<void(const FoldStep& step)>;

  // `log` and `events` must outlive the follower.
  static std::shared_ptr<ConfigurationFollower> Create(
      core::EventLoop* loop,
      platform::LogClient* log,
      core::EventRing* events,
      FollowerOptions options = {});

  // Begins to read; Stop ends it and lets go of the loop.
  void Start();
  void Stop();

  // The configuration in force on this daemon; never null, never older than
  // one returned before.
  const ConfigurationView& current() const { return current_; }
  int64_t applied_offset() const { return current_->revision; }
  // Whether the last read of the log succeeded.
  bool is_platform_up() const { return is_platform_up_; }
  // Whether the log was read to its end at least once, or a peer's state was
  // loaded: before that the configuration may be empty only for want of input.
  bool is_synchronized() const { return is_synchronized_; }
  const ConfigurationTracker& tracker() const { return tracker_; }

  // Called after the applied offset has grown.
  void AddObserver(Observer observer);
  // Called for every record that was read, after the observers.
  void AddStepObserver(StepObserver observer);

  // The state for a daemon that holds `known_revision`.
  ConfigurationOffer Offer(int64_t known_revision) const;
  // Takes a peer's state where it is newer. Error: kMalformedRecord.
  absl::Status Load(const ConfigurationOffer& offer);

 private:
  ConfigurationFollower(core::EventLoop* loop,
                        platform::LogClient* log,
                        core::EventRing* events,
                        FollowerOptions options);

  void Read();
  void OnRead(platform::Offset from,
              const absl::StatusOr<platform::LogPage>& page);
  void ReadAfter(core::Duration pause);
  void OnPage(const platform::LogPage& page);
  void OnReadError(const absl::Status& status);
  void FindFirstKept();
  void SetPlatformUp(bool is_up);
  void RecordStep(const FoldStep& step);
  void Publish();

  core::EventLoop* loop_;
  platform::LogClient* log_;
  core::EventRing* events_;
  const FollowerOptions options_;
  std::unique_ptr<core::Timer> timer_;
  ConfigurationTracker tracker_;
  ConfigurationView current_ = std::make_shared<const Configuration>();
  std::vector<Observer> observers_;
  std::vector<StepObserver> step_observers_;
  bool is_running_ = false;
  bool is_platform_up_ = false;
  bool is_synchronized_ = false;
  bool is_known_down_ = false;
};

}  // namespace wasabi::intent

#endif  // LIBINTENT_CONFIGURATION_FOLLOWER_H_
