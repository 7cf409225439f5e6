// Manages the ledger partitions that this host owns and routes each ledger call
// to the owner of its partition.

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

// Dependencies of the controller; all must outlive it.
struct LedgerContext {
  core::EventLoop* loop = nullptr;
  core::EventRing* events = nullptr;
  platform::LogClient* log = nullptr;
  link::Link* link = nullptr;
  ServiceCaller* caller = nullptr;
  core::HostId self;
  // See ledger::PartitionOptions.
  bool requires_read_back = true;
  std::function<membership::MemberTableSnapshot()> members;
  std::function<intent::ConfigurationView()> configuration;
};

// Owns the partition controllers of this host and dispatches their calls to
// plain services.
class LedgerController : public ledger::Dispatcher {
 public:
  using Callback = ledger::PartitionController::Callback;

  // `seed` initialises the generator of writer ids.
  LedgerController(LedgerContext context, uint64_t seed);

  // Opens the partitions that this host now owns and closes the partitions that
  // it no longer owns. Call it after each membership change.
  void Update();

  // Sends `call` to the owner of its partition and runs `callback` once with
  // the outcome. An unreachable host is skipped; resending is safe because the
  // ledger runs a key at most once.
  void Submit(const ledger::LedgerCall& call, Callback callback);

  // Serves a kLedgerCall received from another host.
  void Serve(const std::shared_ptr<link::InboundCall>& call);

  // Returns true if no call is in progress on this host and no partition is
  // closing.
  bool is_idle() const;

  // Calls the plain service of `call`; used by the partition controllers.
  // Reports kNotRun only if the call certainly did not run.
  void Dispatch(const ledger::LedgerCall& call,
                uint64_t attempt,
                core::Duration timeout,
                ledger::Dispatcher::Callback callback) override;

 private:
  class Submission;
  friend class Submission;

  // Submits to a partition on this host, or ends with kWrongOwner.
  void SubmitHere(const ledger::LedgerCall& call, Callback callback);
  void Open(int partition);
  void Close(int partition);

  LedgerContext context_;
  core::RandomSource random_;
  platform::LoopScheduler scheduler_;
  std::map<int, std::shared_ptr<ledger::PartitionController>> partitions_;
  // Partitions that this host no longer owns and whose calls are still
  // finishing.
  std::map<uint64_t, std::shared_ptr<ledger::PartitionController>> closing_;
  uint64_t next_closing_ = 1;
};

}  // namespace wasabi::router

#endif  // SERVICES_ROUTER_LEDGER_CONTROLLER_H_
