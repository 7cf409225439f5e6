// Runs the confirmation of one plan: appends the plan's record to the
// configuration log, waits until the follower reads the record back, and then
// until the hosts have applied it.

#ifndef SERVICES_CONTROL_CONFIRM_SESSION_H_
#define SERVICES_CONTROL_CONFIRM_SESSION_H_

#include <functional>
#include <memory>
#include <optional>
#include <string>
#include <vector>

#include "LibCore/event_loop.h"
#include "LibIntent/configuration_follower.h"
#include "LibMembership/member_table.h"
#include "LibPlatform/log_client.h"
#include "Services/Control/plan_store.h"
#include "absl/status/status.h"

namespace wasabi::control {

// The number of hosts that have applied a log offset.
struct InForceCount {
  size_t applied = 0;
  size_t total = 0;
  // Ids of the hosts that have not applied it, in ascending order.
  std::vector<std::string> missing;

  auto operator<=>(const InForceCount&) const = default;
};

// Counts the members of `table` whose applied offset is at least `offset`.
// Leaving members are ignored.
InForceCount CountInForce(const membership::MemberTable& table, int64_t offset);

// The result of a confirmation.
struct ConfirmResult {
  // One of:
  //   OK                    The plan is applied and in force on all hosts.
  //   kNotInForceEverywhere The plan is applied, but some hosts lag behind.
  //   kConflict             The record was read back, but an item of the plan
  //                         had changed, so it was not applied.
  //   kAppendUncertain      The record was not read back; it may be in the log.
  //   kPlatformUnavailable  The record is certainly not in the log.
  //   kLogWentBackwards     The log assigned an offset that was applied before.
  absl::Status status;
  // The offset of the record; nullopt if it has not been read back.
  std::optional<int64_t> offset;
  InForceCount in_force;
};

// The dependencies of a session; all of them must outlive the session.
struct ConfirmContext {
  core::EventLoop* loop = nullptr;
  platform::LogClient* log = nullptr;
  std::shared_ptr<intent::ConfigurationFollower> follower;
  std::function<membership::MemberTableSnapshot()> members;
  // Longest wait, from the start, for the record to be read back.
  core::Duration confirm_timeout{};
  // Longest wait, from then on, until all hosts have applied the record.
  core::Duration in_force_timeout{};
};

// Holds a reference to itself until its callbacks have been called. All calls
// and callbacks happen on the loop.
class ConfirmSession : public std::enable_shared_from_this<ConfirmSession> {
 public:
  using Callback = std::function<void(const ConfirmResult& result)>;

  static std::shared_ptr<ConfirmSession> Create(
      std::shared_ptr<const ConfirmContext> context,
      std::string plan_id,
      std::string record);

  // Adds a callback that receives the result. Several requests may wait for
  // the same confirmation.
  void AddCallback(Callback callback);
  // Sends the first append and starts the timer that checks the progress.
  void Start();

 private:
  ConfirmSession(std::shared_ptr<const ConfirmContext> context,
                 std::string plan_id,
                 std::string record);

  void Append();
  void OnAppended(const absl::StatusOr<platform::Offset>& answer);
  void Check();
  bool CheckOutcome();
  void CheckInForce();
  void OnConfirmTimeout();
  void Finish(absl::Status status, InForceCount in_force = {});

  const std::shared_ptr<const ConfirmContext> context_;
  const std::string plan_id_;
  const std::string record_;
  std::vector<Callback> callbacks_;
  // Keeps the session alive while it runs; null before Start and after Finish.
  std::shared_ptr<ConfirmSession> self_;
  std::unique_ptr<core::Timer> timer_;
  core::TimePoint started_at_;
  core::TimePoint last_append_at_;
  std::optional<core::TimePoint> read_back_at_;
  std::optional<platform::Offset> appended_offset_;
  std::optional<intent::PlanOutcome> outcome_;
  bool is_appending_ = false;
  // An append succeeded or may have succeeded, so a later failure no longer
  // proves that the log doesn't have the record.
  bool may_be_stored_ = false;
};

}  // namespace wasabi::control

#endif  // SERVICES_CONTROL_CONFIRM_SESSION_H_
