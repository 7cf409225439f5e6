// Tails the configuration stream on the event loop and holds the current
// configuration. Each router and control daemon owns one follower.

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
  // Long-poll timeout: how long the log holds a read at its end until a record
  // arrives. It bounds the time until a silent connection is detected.
  core::Duration read_wait = std::chrono::seconds(5);
  // Delay after a read that returned no records.
  core::Duration idle_pause = std::chrono::milliseconds(20);
  // Delay after a failed read.
  core::Duration retry_pause = std::chrono::milliseconds(500);
};

// The state that one daemon transfers to another.
struct FetchConfigurationResponse {
  int64_t revision = -1;
  // Output of ConfigurationFold::Snapshot, or empty if the requesting daemon
  // already holds this revision or a later one.
  std::string snapshot;

  auto operator<=>(const FetchConfigurationResponse&) const = default;

  MSGPACK_DEFINE(revision, snapshot);
};

// Reads the configuration stream continuously between Start and Stop. Pending
// reads hold a reference to the follower. All methods and callbacks run on the
// loop.
class ConfigurationFollower
    : public std::enable_shared_from_this<ConfigurationFollower> {
 public:
  using Observer = std::function<void(const ConfigurationView& view)>;
  using StepObserver = std::function<void(const FoldStep& step)>;

  // `loop`, `log` and `events` must outlive the follower.
  static std::shared_ptr<ConfigurationFollower> Create(
      core::EventLoop* loop,
      platform::LogClient* log,
      core::EventRing* events,
      FollowerOptions options = {});

  // Starts reading. Stop ends it and releases the timer.
  void Start();
  void Stop();

  // The current configuration of this daemon. Never null; its revision never
  // decreases.
  const ConfigurationView& current() const { return current_; }
  int64_t applied_offset() const { return current_->revision; }
  // True if the last read of the log succeeded.
  bool is_platform_up() const { return is_platform_up_; }
  // True after the log was read to its end at least once or a peer's state was
  // loaded. Until then, an empty configuration may only mean that no records
  // have been read yet.
  bool is_synchronized() const { return is_synchronized_; }
  const ConfigurationTracker& tracker() const { return tracker_; }

  // Registers a callback for each increase of the applied offset.
  void AddObserver(Observer observer);
  // Registers a callback for each processed record. Step observers run after
  // the observers.
  void AddStepObserver(StepObserver observer);

  // Returns the state to transfer to a daemon that holds `known_revision`.
  FetchConfigurationResponse Offer(int64_t known_revision) const;
  // Adopts a peer's state if its revision is higher; otherwise does nothing.
  // Error: kMalformedRecord.
  absl::Status Load(const FetchConfigurationResponse& response);

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
  void FetchFirstRetained();
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
  bool is_down_reported_ = false;
};

}  // namespace wasabi::intent

#endif  // LIBINTENT_CONFIGURATION_FOLLOWER_H_
