// Keeps in the platform's store what a fleet that was killed as a whole has to
// know about the streams of its callers (docs/design/stream-origins.md).

#ifndef SERVICES_FORWARDER_ORIGIN_CONTROLLER_H_
#define SERVICES_FORWARDER_ORIGIN_CONTROLLER_H_

#include <functional>
#include <memory>
#include <optional>
#include <set>
#include <string>
#include <string_view>
#include <vector>

#include "LibCore/event_ring.h"
#include "LibForwarding/adapter_set.h"
#include "LibForwarding/endpoint_table.h"
#include "LibForwarding/origin_certainty.h"
#include "LibForwarding/origin_confirmation.h"
#include "LibForwarding/origin_history.h"
#include "LibForwarding/origin_recorder.h"
#include "LibForwarding/origin_reporter.h"
#include "LibForwarding/stored_origins.h"
#include "LibForwarding/version_recorder.h"
#include "LibPlatform/scheduler.h"
#include "LibPlatform/topic_view.h"
#include "Services/Forwarder/fleet_roles.h"
#include "Services/Forwarder/forwarder_settings.h"

namespace wasabi::forwarder {

// The dependencies of an OriginController. All of them must outlive it.
struct OriginContext {
  const forwarding::AdapterSet* adapters = nullptr;
  platform::Scheduler* scheduler = nullptr;
  core::EventRing* events = nullptr;
  const forwarding::EndpointTable* endpoints = nullptr;
  forwarding::OriginHistory* history = nullptr;
  forwarding::OriginCertainty* certainty = nullptr;
};

class OriginController {
 public:
  OriginController(const OriginContext& context,
                   const ForwarderSettings& settings,
                   uint64_t random_seed,
                   const forwarding::OriginRecorder::SendFunction& send);
  OriginController(const OriginController&) = delete;
  OriginController& operator=(const OriginController&) = delete;

  // Sets the running hosts, all hosts that were ever registered, and the roles
  // of this host.
  void SetHosts(const std::vector<core::HostId>& running,
                const std::vector<core::HostId>& registered,
                const FleetRoles& roles);

  // Sets this host's view of the registrations, which must outlive this object.
  void SetRegistrations(const platform::TopicView* view) {
    registrations_ = view;
  }

  // Reads, writes and sends what is due. `epoch` is the present history of the
  // platform's log. Must be called every few ten milliseconds.
  void Tick(platform::LogEpoch epoch);

  forwarding::OriginReporter& reporter() { return reporter_; }
  forwarding::OriginRecorder& recorder() { return recorder_; }
  forwarding::StoredOrigins& stored() { return stored_; }
  forwarding::OriginConfirmation& confirmation() { return confirmation_; }
  // Returns the number of calls to the platform so far.
  uint64_t calls() const { return calls_; }

 private:
  void Put(const std::string& key,
           const std::string& value,
           std::function<void(const absl::StatusOr<platform::LogEpoch>&)> done);
  void Read();
  void OnRead(const absl::StatusOr<platform::KeyedPage>& page);
  // A read of the registrations that this host's view lacks.
  struct RegistrationRead {
    core::TimePoint started_at;
    // The addresses of endpoints whose registrations differ from those that
    // this host holds.
    std::set<core::SocketAddress> outdated;
    forwarding::OriginConfirmation::ReadCallback callback;
  };

  // Reads the registrations at or after `from` and records their origins.
  void ReadRegistrations(platform::Offset from, RegistrationRead read);
  void OnRegistrations(platform::Offset from,
                       const absl::StatusOr<platform::KeyedPage>& page,
                       RegistrationRead read);
  // Returns whether `registered` has another start, version or address than the
  // endpoint that this host holds under its id.
  bool IsOutdated(const forwarding::Endpoint& registered) const;
  // Makes use of the reads that keep the view of the registrations current, and
  // reads for streams that have waited for them in vain.
  void UpdateCertainty();
  // Records a complete read of the registrations, unless some may have been
  // missing then.
  void RecordRead(core::TimePoint started_at,
                  const std::set<core::SocketAddress>& outdated);
  // Returns whether at `at` the platform had just been restored or was away,
  // even for a moment. Entries that it lost or that lapsed, and those of
  // endpoints that started meanwhile, are missing until their writers repeat
  // them.
  bool IsRecovering(core::TimePoint at) const;
  void UpdateVersions(platform::LogEpoch epoch);
  void WriteVersions(platform::LogEpoch epoch);

  const OriginContext context_;
  const bool is_first_start_;
  const core::TimePoint started_at_;
  forwarding::OriginRecorder recorder_;
  forwarding::OriginReporter reporter_;
  forwarding::StoredOrigins stored_;
  forwarding::OriginConfirmation confirmation_;
  forwarding::VersionRecorder versions_;
  const platform::TopicView* registrations_ = nullptr;
  size_t registered_hosts_ = 0;
  FleetRoles roles_;
  bool is_writing_versions_ = false;
  core::TimePoint next_certainty_read_at_{};
  // When the platform last did not respond to this host.
  core::TimePoint unreachable_at_{};
  uint64_t calls_ = 0;
  // Calls to the platform that are in flight when this object ends refer to it
  // through this pointer.
  const std::shared_ptr<OriginController*> self_;
};

}  // namespace wasabi::forwarder

#endif  // SERVICES_FORWARDER_ORIGIN_CONTROLLER_H_
