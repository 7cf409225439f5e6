// Connects the record of the prompt parts that crash endpoints to the
// platform's store (LibForwarding/stored_crashes.h).

#ifndef SERVICES_FORWARDER_CRASH_RECORD_CONTROLLER_H_
#define SERVICES_FORWARDER_CRASH_RECORD_CONTROLLER_H_

#include <memory>
#include <optional>
#include <string>

#include "LibCore/event_ring.h"
#include "LibForwarding/adapter_set.h"
#include "LibForwarding/crash_suspects.h"
#include "LibForwarding/stored_crashes.h"
#include "LibPlatform/scheduler.h"
#include "Services/Forwarder/fleet_roles.h"

namespace wasabi::forwarder {

// The dependencies of a CrashRecordController. All of them must outlive it.
struct CrashRecordContext {
  const forwarding::AdapterSet* adapters = nullptr;
  platform::Scheduler* scheduler = nullptr;
  core::EventRing* events = nullptr;
  forwarding::CrashSuspects* suspects = nullptr;
};

class CrashRecordController {
 public:
  // `is_first_start`: the whole fleet starts for the first time.
  CrashRecordController(const CrashRecordContext& context, bool is_first_start);
  CrashRecordController(const CrashRecordController&) = delete;
  CrashRecordController& operator=(const CrashRecordController&) = delete;

  // Sets the number of hosts that were ever registered and the roles of this
  // host.
  void SetHosts(size_t registered, const FleetRoles& roles);

  // Reads and writes what is due. `epoch` is the present history of the
  // platform's log. Must be called every few ten milliseconds.
  void Tick(platform::LogEpoch epoch);

  // Returns the number of calls to the platform so far.
  uint64_t calls() const { return calls_; }

 private:
  // Returns the rank of this host among the readers of the fleet, or nullopt
  // while it has just started and knows too few others to tell.
  std::optional<size_t> Rank() const;
  void Read();
  void OnRead(const absl::StatusOr<platform::KeyedPage>& page);
  void Write(const std::string& value);

  const CrashRecordContext context_;
  const core::TimePoint started_at_;
  forwarding::StoredCrashes stored_;
  size_t registered_hosts_ = 0;
  FleetRoles roles_;
  uint64_t calls_ = 0;
  // Calls to the platform that are in flight when this object ends refer to it
  // through this pointer.
  const std::shared_ptr<CrashRecordController*> self_;
};

}  // namespace wasabi::forwarder

#endif  // SERVICES_FORWARDER_CRASH_RECORD_CONTROLLER_H_
