// Which faults strike when, decided from a seed. Free of sockets and clocks.

#ifndef TESTS_SOAK_FAULT_PLAN_H_
#define TESTS_SOAK_FAULT_PLAN_H_

#include <compare>
#include <cstdint>
#include <string_view>
#include <vector>

#include "LibCore/time.h"
#include "Tests/Soak/soak_options.h"

namespace wasabi::soak {

enum class FaultKind : uint8_t {
  // Planned work.
  kStopHost,
  kReloadHost,
  kChangeConfiguration,
  kReplaceEndpoint,
  // An endpoint leaves without a word: only its registration goes.
  kUnregisterEndpoint,
  // Hosts.
  kKillHost,
  kPauseHost,
  kKillAllHosts,
  // The way from one host to the store, and the store itself.
  kCutHostFromStore,
  kCutHostOneWay,
  kResetStoreConnections,
  kSilenceStoreConnections,
  kTurnHostAway,
  kStoreOutage,
  kStoreSlow,
  kStoreLosesAnswers,
  kStoreCompacts,
  // Endpoints and the way to them.
  kCrashEndpoint,
  kEndpointFails,
  kEndpointLosesAnswers,
  kEndpointCutsStreams,
  kEndpointSlow,
  kResetEndpointConnections,
  kSilenceEndpointConnections,
  kDelayEndpointLink,
  kCutEndpointOneWay,
  kCount,
};

std::string_view NameOf(FaultKind kind);

struct FaultAction {
  // From the start of the run.
  core::Duration at{};
  FaultKind kind = FaultKind::kCount;
  core::Duration duration{};
  // Chooses the host or endpoint, and variants.
  uint64_t target = 0;

  auto operator<=>(const FaultAction&) const = default;
};

// Faults in order of time. Seeds take turns in which family of faults they
// draw from: planned work alone, hosts, the store, endpoints, or all of them.
std::vector<FaultAction> MakeFaultPlan(const SoakOptions& options);

}  // namespace wasabi::soak

#endif  // TESTS_SOAK_FAULT_PLAN_H_
