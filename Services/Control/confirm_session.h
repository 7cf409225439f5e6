// One confirmation on its way: appends the plan's record, waits until it is
// read back, then until the hosts have applied it.

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

// How many hosts have applied an offset.
struct InForceCount {
  size_t applied = 0;
  size_t total = 0;
  // The ids of the hosts that have not, in order.
  std::vector<std::string> missing;

  auto operator<=>(const InForceCount&) const = default;
};

// Counts the members of `table` whose applied offset reaches `offset`; those
// that are leaving don't count.
InForceCount CountInForce(const membership::MemberTable& table, int64_t offset);

// The end of a confirmation.
struct ConfirmResult {
  // OK: applied and in force on all hosts. kNotInForceEverywhere: applied, but
  // some hosts lag. kConflict. kAppendUncertain: may be recorded.
  // kPlatformUnavailable: certainly not recorded. kLogWentBackwards.
  absl::Status status;
  // The offset of the record, where it was read back.
  std::optional<int64_t> offset;
  InForceCount in_force;
};

// What a session works with; all of it outlives the session.
struct ConfirmContext {
  core::EventLoop* loop = nullptr;
  platform::LogClient* log = nullptr;
  std::shared_ptr<intent::ConfigurationFollower> follower;
  std::function<membership::MemberTableView()> members;
  core::Duration confirm_timeout{};
  core::Duration in_force_timeout{};
};

// Keeps itself alive until its callbacks have been called.
class ConfirmSession : public std::enable_shared_from_this<ConfirmSession> {
 public:
  using Callback = std::function<void(const ConfirmResult& result)>;

  static std::shared_ptr<ConfirmSession> Create(
      std::shared_ptr<const ConfirmContext> context,
      std::string plan_id,
      std::string record);

  // Adds a caller that waits for the result.
  void AddCallback(Callback callback);
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
  // Holds the session while it runs.
  std::shared_ptr<ConfirmSession> self_;
  std::unique_ptr<core::Timer> timer_;
  core::TimePoint started_at_;
  core::TimePoint last_append_at_;
  std::optional<core::TimePoint> read_back_at_;
  std::optional<platform::Offset> appended_offset_;
  std::optional<intent::PlanOutcome> outcome_;
  bool is_appending_ = false;
  bool may_be_kept_ = false;
};

}  // namespace wasabi::control

#endif  // SERVICES_CONTROL_CONFIRM_SESSION_H_
