// The ledger partitions that this host owns, and the way of a call to the owner
// of its partition.

#ifndef SERVICES_ROUTER_LEDGER_CONTROLLER_H_
#define SERVICES_ROUTER_LEDGER_CONTROLLER_H_

#include <cstdint>
#include <functional>
#include <map>
#include <memory>

#include "LibCore/event_loop.h"
#include "LibCore/event_ring.h"
#include "LibCore/random_source.h"
#include "LibIntent/configuration.h"
#include "LibLedger/dispatcher.h"
#include "LibLedger/partition_controller.h"
#include "LibLink/link.h"
#include "LibMembership/member_table.h"
#include "LibPlatform/log_client.h"
#include "LibPlatform/loop_scheduler.h"
#include "Services/Router/service_caller.h"

namespace wasabi::router {

// What the controller works with; all must outlive it.
struct LedgerContext {
  core::EventLoop* loop = nullptr;
  core::EventRing* events = nullptr;
  platform::LogClient* log = nullptr;
  link::Link* link = nullptr;
  ServiceCaller* caller = nullptr;
  core::HostId self;
  // See ledger::PartitionOptions.
  bool awaits_read_back = true;
  std::function<membership::MemberTableView()> members;
  std::function<intent::ConfigurationView()> configuration;
};

class LedgerController : public ledger::Dispatcher {
 public:
  using Callback = ledger::PartitionController::Callback;

  LedgerController(LedgerContext context, uint64_t seed);

  // Opens the partitions that this host owns by now, and closes the others.
  void Update();

  // Brings `call` to the owner of its partition. Sending it again is safe,
  // since the ledger runs a key at most once, so a host that can't be reached
  // is passed over.
  void Submit(const ledger::LedgerCall& call, Callback callback);

  // Serves a kLedgerCall of another host.
  void Serve(const std::shared_ptr<link::InboundCall>& call);

  // True when no call is in progress here.
  bool is_idle() const;

  void Dispatch(const ledger::LedgerCall& call,
                uint64_t attempt,
                core::Duration timeout,
                ledger::Dispatcher::Callback callback) override;

 private:
  class Submission;
  friend class Submission;

  void SubmitHere(const ledger::LedgerCall& call, Callback callback);
  void Open(int partition);
  void Close(int partition);

  LedgerContext context_;
  core::RandomSource random_;
  platform::LoopScheduler scheduler_;
  std::map<int, std::shared_ptr<ledger::PartitionController>> partitions_;
  // Partitions that finish their calls after this host stopped owning them.
  std::map<uint64_t, std::shared_ptr<ledger::PartitionController>> closing_;
  uint64_t next_closing_ = 1;
};

}  // namespace wasabi::router

#endif  // SERVICES_ROUTER_LEDGER_CONTROLLER_H_
