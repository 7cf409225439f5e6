// The members of the fleet as this daemon sees them.

#ifndef SERVICES_CONTROL_FLEET_VIEW_H_
#define SERVICES_CONTROL_FLEET_VIEW_H_

#include <cstdint>

#include "LibMembership/member_table.h"

namespace wasabi::control {

class FleetView {
 public:
  virtual ~FleetView() = default;

  // The current table, which includes this daemon.
  virtual membership::MemberTableView members() const = 0;
  // Announces the configuration offset that this daemon has applied.
  virtual void AnnounceAppliedOffset(int64_t offset) = 0;
  // Announces that this daemon leaves.
  virtual void AnnounceLeaving() = 0;
};

// A fleet of this daemon alone.
class SingleMemberFleet final : public FleetView {
 public:
  explicit SingleMemberFleet(membership::Member self)
      : self_(std::move(self)) {}

  membership::MemberTableView members() const override {
    return std::make_shared<const membership::MemberTable>(
        std::vector<membership::Member>{self_});
  }
  void AnnounceAppliedOffset(int64_t offset) override {
    self_.applied_offset = offset;
  }
  void AnnounceLeaving() override {
    self_.state = membership::MemberState::kLeaving;
  }

 private:
  membership::Member self_;
};

}  // namespace wasabi::control

#endif  // SERVICES_CONTROL_FLEET_VIEW_H_
