// The runners that this host owns.

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

// The name under which the member table finds a runner's owner.
std::string RunnerOwnershipName(const core::RunnerId& runner);

class OwnerController {
 public:
  using HandOverSender =
      std::function<void(const membership::Member&, const HandOver&)>;

  OwnerController(OwnerContext context,
                  const EndpointDirectory* directory,
                  core::HostId self);

  // Takes and releases runners after a change of members, endpoints or
  // configuration.
  void Update(const membership::MemberTableView& table,
              const intent::ConfigurationView& configuration);

  // Runs `work` if this host owns its runner; kWrongOwner otherwise, unless
  // the sender insists.
  void Submit(const SubmitWork& work, const std::shared_ptr<WorkSink>& sink);

  void NotePointer(const PointerNote& note);
  void OnHandOver(const HandOver& message);
  void set_hand_over_sender(HandOverSender sender) {
    send_hand_over_ = std::move(sender);
  }

  // Periodic work of all owned runners.
  void Tick();

  // The demand on this host's runners, by pool.
  std::map<core::PoolId, routing::PoolDemand> LocalDemand() const;

  // True when no attempt runs or waits here.
  bool is_idle() const;
  size_t owned_runners() const;

 private:
  bool IsOwner(const core::RunnerId& runner) const;
  RunnerOwner* FindOrTake(const core::RunnerId& runner);
  routing::AdmissionPolicy PolicyOf(const core::PoolId& pool) const;
  void DropReleased();

  OwnerContext context_;
  const EndpointDirectory* directory_;
  core::HostId self_;
  HandOverSender send_hand_over_;
  membership::MemberTableView table_;
  intent::ConfigurationView configuration_;
  std::map<core::RunnerId, std::unique_ptr<RunnerOwner>> owners_;
};

}  // namespace wasabi::router

#endif  // SERVICES_ROUTER_OWNER_CONTROLLER_H_
