// Manages the RunnerOwner objects of the runners that this host owns.

#ifndef SERVICES_ROUTER_OWNER_CONTROLLER_H_
#define SERVICES_ROUTER_OWNER_CONTROLLER_H_

#include <functional>
#include <map>
#include <memory>
#include <string>

#include "LibIntent/configuration.h"
#include "LibMembership/member_table.h"
#include "Services/Router/runner_owner.h"

namespace wasabi::router {

// Returns the name by which the member table assigns `runner` to an owner.
std::string RunnerOwnershipName(const core::RunnerId& runner);

// Creates and releases runner owners as membership changes and passes work to
// them. Not thread-safe.
class OwnerController {
 public:
  using OwnershipTransferSender =
      std::function<void(const membership::Member&, const OwnershipTransfer&)>;

  // `directory` and the pointers in `context` must outlive the controller.
  OwnerController(OwnerContext context,
                  const EndpointDirectory* directory,
                  core::HostId self);

  // Takes ownership of runners and releases it after a change of members,
  // endpoints or configuration.
  void Update(const membership::MemberTableSnapshot& table,
              const intent::ConfigurationView& configuration);

  // Submits `work` if this host owns its runner or if the work is forced;
  // otherwise ends it with kWrongOwner.
  void Submit(const SubmitWork& work, const std::shared_ptr<WorkSink>& sink);

  // Records where a displaced chat ran, if this host has an owner for the
  // chat's first choice.
  void RecordPointer(const PointerUpdate& update);
  // Handles the message that the former owner of a runner has no more work in
  // flight there.
  void OnOwnershipTransfer(const OwnershipTransfer& message);
  // Sets the function that notifies the new owner of a runner.
  void set_ownership_transfer_sender(OwnershipTransferSender sender) {
    send_ownership_transfer_ = std::move(sender);
  }

  // Runs the periodic work of all runner owners.
  void Tick();

  // Returns the demand on the runners of this host, by pool.
  std::map<core::PoolId, routing::PoolDemand> LocalDemand() const;

  // Returns true if no attempt runs or waits on this host.
  bool is_idle() const;
  // Returns the number of runners that have not been released.
  size_t owned_runners() const;

 private:
  bool IsOwner(const core::RunnerId& runner) const;
  // Returns the owner of `runner` and creates it if needed. Returns nullptr if
  // the host list has no such runner.
  RunnerOwner* FindOrCreate(const core::RunnerId& runner);
  routing::AdmissionPolicy PolicyOf(const core::PoolId& pool) const;
  // Destroys owners that are idle and either released or no longer used, and
  // notifies the new owners.
  void DropReleased();

  OwnerContext context_;
  const EndpointDirectory* directory_;
  core::HostId self_;
  OwnershipTransferSender send_ownership_transfer_;
  membership::MemberTableSnapshot table_;
  intent::ConfigurationView configuration_;
  std::map<core::RunnerId, std::unique_ptr<RunnerOwner>> owners_;
};

}  // namespace wasabi::router

#endif  // SERVICES_ROUTER_OWNER_CONTROLLER_H_
