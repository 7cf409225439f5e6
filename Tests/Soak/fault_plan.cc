#include "Tests/Soak/fault_plan.h"

#include <algorithm>
#include <array>

#include "LibCore/random_source.h"

namespace wasabi::soak {

namespace {

using enum FaultKind;

using Family = std::vector<FaultKind>;

const std::vector<Family>& FaultFamilies() {
  static const std::vector<Family> kFamilies = {
      {kStopHost, kStopHost, kStopSeveralHosts, kStopSeveralHosts,
       kStopHostAgain, kSignalHostTwice, kReloadHost, kChangeConfiguration,
       kReplaceEndpoint, kUnregisterEndpoint, kLeaveByAnswers,
       kEvacuateDataCentre},
      {kStopHost, kStopSeveralHosts, kStopHostAgain, kSignalHostTwice,
       kKillHost, kPauseHost, kKillAllHosts, kChangeConfiguration,
       kReplaceEndpoint},
      {kCutHostFromStore, kCutHostOneWay, kResetStoreConnections,
       kSilenceStoreConnections, kRefuseHost, kStoreOutage, kStoreSlow,
       kStoreLosesAnswers, kStoreCompacts, kRestoreStore, kRestoreStore,
       kChangeConfiguration, kUnregisterEndpoint, kReplaceEndpoint,
       kEvacuateDataCentre, kEvacuateDataCentre},
      {kCrashEndpoint,
       kEndpointFails,
       kEndpointLosesAnswers,
       kEndpointCutsStreams,
       kEndpointSlow,
       kEndpointPauses,
       kEndpointPauses,
       kEndpointAnswersUnframed,
       kEndpointAnswersUnframed,
       kEndpointSendsEndlessly,
       kEndpointCopiesRefusals,
       kEndpointCopiesRefusals,
       kEndpointRepeatsRefusals,
       kRenewEndpoint,
       kRenewEndpoint,
       kTakeAddressOver,
       kLeaveByAnswers,
       kResetEndpointConnections,
       kSilenceEndpointConnections,
       kDelayEndpointLink,
       kCutEndpointOneWay,
       kReplaceEndpoint,
       kHarmfulPrompts,
       kHarmfulPrompts,
       kEndpointLimits,
       kEndpointLimits},
      {kStopHost,
       kStopSeveralHosts,
       kStopHostAgain,
       kSignalHostTwice,
       kKillHost,
       kPauseHost,
       kCutHostFromStore,
       kRefuseHost,
       kStoreOutage,
       kStoreCompacts,
       kCrashEndpoint,
       kEndpointLosesAnswers,
       kEndpointFails,
       kReplaceEndpoint,
       kChangeConfiguration,
       kReloadHost,
       kUnregisterEndpoint,
       kSilenceEndpointConnections,
       kRestoreStore,
       kEndpointPauses,
       kLeaveByAnswers,
       kEndpointAnswersUnframed,
       kEndpointSendsEndlessly,
       kEndpointCopiesRefusals,
       kEndpointRepeatsRefusals,
       kRenewEndpoint,
       kRenewEndpoint,
       kTakeAddressOver,
       kHarmfulPrompts,
       kEndpointLimits,
       kEvacuateDataCentre},
      {kRenewEndpoint, kRenewEndpoint, kRenewEndpoint, kRenewEndpoint,
       kTakeAddressOver, kTakeAddressOver, kEndpointRepeatsRefusals,
       kEndpointCopiesRefusals, kEndpointPauses, kSilenceEndpointConnections,
       kKillHost, kStopHost, kCutHostFromStore},
      {kBrittleBesidePause, kBrittleBesidePause, kKillsBesideRefusals,
       kLimitWhileLapsing, kLimitWhileLapsing, kEndpointSendsMalformed,
       kEndpointSendsMalformed, kEndpointAnswersEarly, kEndpointAnswersEarly,
       kKillHost, kCrashEndpoint},
      {kEndpointRebornUnregistered, kEndpointRebornUnregistered,
       kEndpointRebornUnregistered, kEndpointCutsStreams, kCrashEndpoint,
       kResetEndpointConnections},
  };
  return kFamilies;
}

// Families that the seed selects.
constexpr size_t kSeededFamilies = 5;
// A plan has kMinFaults or more, and fewer than kMinFaults + kFaultCountRange,
// draws.
constexpr size_t kMinFaults = 4;
constexpr size_t kFaultCountRange = 6;
constexpr double kMinDurationSeconds = 0.5;
constexpr double kDurationRangeSeconds = 4;
// A fault may be repeated on successive targets, as in a rolling restart.
constexpr double kSeriesShare = 0.3;
constexpr size_t kSeriesLength = 3;
constexpr double kSeriesGapSeconds = 0.7;
// What lasts long begins within this fraction of the time of the faults.
constexpr int kEarly = 3;

}  // namespace

std::string_view NameOf(FaultKind kind) {
  static constexpr std::array<std::string_view, static_cast<size_t>(kCount)>
      kNames = {"stop_host",
                "stop_several_hosts",
                "stop_host_again",
                "signal_host_twice",
                "reload_host",
                "change_configuration",
                "replace_endpoint",
                "unregister_endpoint",
                "leave_by_answers",
                "evacuate_data_centre",
                "kill_host",
                "pause_host",
                "kill_all_hosts",
                "cut_host_from_store",
                "cut_host_one_way",
                "reset_store_connections",
                "silence_store_connections",
                "turn_host_away",
                "store_outage",
                "store_slow",
                "store_loses_answers",
                "store_compacts",
                "restore_store",
                "crash_endpoint",
                "endpoint_fails",
                "endpoint_loses_answers",
                "endpoint_cuts_streams",
                "endpoint_slow",
                "endpoint_answers_unframed",
                "endpoint_sends_endlessly",
                "endpoint_copies_refusals",
                "endpoint_repeats_refusals",
                "renew_endpoint",
                "take_address_over",
                "endpoint_pauses",
                "reset_endpoint_connections",
                "silence_endpoint_connections",
                "delay_endpoint_link",
                "cut_endpoint_one_way",
                "harmful_prompts",
                "endpoint_limits",
                "brittle_beside_pause",
                "kills_beside_refusals",
                "limit_while_lapsing",
                "endpoint_sends_malformed",
                "endpoint_answers_early",
                "endpoint_reborn_unregistered"};
  return kNames.at(static_cast<size_t>(kind));
}

std::vector<FaultAction> MakeFaultPlan(const SoakOptions& options) {
  core::RandomSource random(options.seed);
  const Family& family = FaultFamilies().at(
      options.family.value_or(options.seed % kSeededFamilies));
  const double span = core::ToSeconds(options.faults_end - options.warm_up);
  std::vector<FaultAction> plan;
  const size_t n = kMinFaults + random.Below(kFaultCountRange);
  for (size_t i = 0; i < n; ++i) {
    FaultAction action;
    action.at = options.warm_up + core::FromSeconds(span * random.Unit());
    action.kind = family[random.Below(family.size())];
    if (action.kind == kStopHostAgain) {
      // The second stop ends late.
      action.at = options.warm_up + (action.at - options.warm_up) / kEarly;
    }
    action.duration = core::FromSeconds(kMinDurationSeconds +
                                        kDurationRangeSeconds * random.Unit());
    action.target = random.Next();
    const size_t repeats = random.Unit() < kSeriesShare ? kSeriesLength : 1;
    for (size_t k = 0; k < repeats; ++k) {
      plan.push_back(action);
      action.at += core::FromSeconds(kSeriesGapSeconds);
      ++action.target;
    }
  }
  std::sort(plan.begin(), plan.end());
  return plan;
}

}  // namespace wasabi::soak
