// Generates a schedule of faults from a seed. Uses no sockets and no clock.

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
  // Planned maintenance.
  kStopHost,
  // All hosts but one get SIGTERM, shortly after each other.
  kStopSeveralHosts,
  // A host is stopped, and again as soon as it is back: while it starts, or
  // when it serves.
  kStopHostAgain,
  // A process gets SIGTERM twice.
  kSignalHostTwice,
  kReloadHost,
  kChangeConfiguration,
  kReplaceEndpoint,
  // An endpoint leaves unannounced: only its registration is removed.
  kUnregisterEndpoint,
  // An endpoint leaves and says so in its answers only.
  kLeaveByAnswers,
  kEvacuateDataCentre,
  // Host failures.
  kKillHost,
  kPauseHost,
  kKillAllHosts,
  // Faults of the link from one host to the store, and of the store itself.
  kCutHostFromStore,
  kCutHostOneWay,
  kResetStoreConnections,
  kSilenceStoreConnections,
  // The store refuses one host.
  kRefuseHost,
  kStoreOutage,
  kStoreSlow,
  kStoreLosesAnswers,
  kStoreCompacts,
  // The store comes back from a backup that is some seconds old.
  kRestoreStore,
  // Faults of endpoints and of the links to them.
  kCrashEndpoint,
  kEndpointFails,
  kEndpointLosesAnswers,
  kEndpointCutsStreams,
  kEndpointSlow,
  // Answers of the endpoint have neither a length nor chunks, and some of its
  // streams are cut off.
  kEndpointAnswersUnframed,
  // The endpoint sends bytes that are no answer, without end.
  kEndpointSendsEndlessly,
  // The endpoint writes copies of refusals while it works on requests.
  kEndpointCopiesRefusals,
  // The endpoint refuses requests, and repeats refusals on their connections as
  // the next request arrives.
  kEndpointRepeatsRefusals,
  // An endpoint ends, and another one of its pool starts at its address.
  kRenewEndpoint,
  // An endpoint of another pool starts there.
  kTakeAddressOver,
  // The endpoint refuses requests and asks for a pause.
  kEndpointPauses,
  kResetEndpointConnections,
  kSilenceEndpointConnections,
  kDelayEndpointLink,
  kCutEndpointOneWay,
  // Some streams have a prompt part that crashes every endpoint that runs it.
  kHarmfulPrompts,
  // The endpoint names a limit in its answers.
  kEndpointLimits,
  // The endpoints of a pool are brittle, and a host stands still.
  kBrittleBesidePause,
  // All hosts are killed, twice, while endpoints refuse requests.
  kKillsBesideRefusals,
  // The endpoint names a limit, and its registration lapses.
  kLimitWhileLapsing,
  // The endpoint sends answers whose heads are malformed.
  kEndpointSendsMalformed,
  // Large requests are answered early, in part and without a length, and their
  // connections reset.
  kEndpointAnswersEarly,
  // The endpoint can't reach the store, crashes meanwhile and starts again with
  // another software version.
  kEndpointRebornUnregistered,
  kCount,
};

std::string_view NameOf(FaultKind kind);

// The family of refusals and renewals, which only `SoakOptions::family`
// selects.
inline constexpr size_t kRenewalFamily = 5;
// The family of grants and budgets around failures of hosts, and of bytes that
// are no answer, which comes only so, too. Its callers send large requests.
inline constexpr size_t kGrantFamily = 6;
// The family of endpoints that serve before they are registered, which comes
// only so, too.
inline constexpr size_t kRebirthFamily = 7;

struct FaultAction {
  // Time since the start of the run.
  core::Duration at{};
  FaultKind kind = FaultKind::kCount;
  core::Duration duration{};
  // Selects the host or endpoint, and the variant of the fault.
  uint64_t target = 0;

  auto operator<=>(const FaultAction&) const = default;
};

// Returns the faults in chronological order. The seed modulo 5 selects the
// family from which faults are drawn: planned maintenance only, hosts, the
// store, endpoints, or a mix of all. `options.family` selects another one.
std::vector<FaultAction> MakeFaultPlan(const SoakOptions& options);

}  // namespace wasabi::soak

#endif  // TESTS_SOAK_FAULT_PLAN_H_
