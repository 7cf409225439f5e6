#include "LibCore/event.h"

#include <algorithm>
#include <array>

namespace wasabi::core {

namespace {

constexpr auto kTable = std::to_array<EventCodeEntry>({
    {EventCode::kProcessStarted, "process_started",
     "The process is listening and accepts work."},
    {EventCode::kProcessStopping, "process_stopping",
     "A graceful shutdown began."},
    {EventCode::kProcessStopped, "process_stopped",
     "All in-flight work ended and the process exits."},
    {EventCode::kSettingsReloaded, "settings_reloaded",
     "The settings were reloaded."},
    {EventCode::kRequestReceived, "request_received",
     "A caller sent a request."},
    {EventCode::kRequestRefused, "request_refused",
     "A request was refused; it did not run."},
    {EventCode::kRequestForwarded, "request_forwarded",
     "The entry host forwarded a request to the host that owns its runner or "
     "partition."},
    {EventCode::kRequestAnswered, "request_answered",
     "The caller received the complete response."},
    {EventCode::kRequestFailed, "request_failed",
     "The caller received an error after the work had started."},
    {EventCode::kCallerDisconnected, "caller_disconnected",
     "The caller closed its connection before the response was complete."},
    {EventCode::kCallerReattached, "caller_reattached",
     "The caller requested the rest of a response from an offset."},
    {EventCode::kBadInput, "bad_input",
     "A request was malformed, too large, or not complete when its host "
     "stopped or had no memory for more of it (status 503). It names the "
     "request only if its head had been read; the router's own server has no "
     "id for it."},
    {EventCode::kRequestEnded, "request_ended",
     "A forwarded request ended; lists its endpoint, its attempts, and whether "
     "its caller was told that it has not run."},
    {EventCode::kRequestInterrupted, "request_interrupted",
     "A stopping host ended a request whose answer was incomplete; lists how "
     "far it was and when it was taken."},
    {EventCode::kAttemptStarted, "attempt_started",
     "An attempt was sent to an endpoint; lists its connection, the number of "
     "calls and of sends of this request that it has carried, and the bytes "
     "that waited there."},
    {EventCode::kAttemptFinished, "attempt_finished",
     "An endpoint finished an attempt."},
    {EventCode::kAttemptFailed, "attempt_failed",
     "An attempt was interrupted or returned an error; lists its connection "
     "as in 300, the responses that were skipped there, and what its answer "
     "was taken for."},
    {EventCode::kAttemptResumed, "attempt_resumed",
     "An interrupted response continues at its offset in another attempt."},
    {EventCode::kRequestQueued, "request_queued",
     "A request is queued at the owner of its runner."},
    {EventCode::kRequestDisplaced, "request_displaced",
     "A request was routed to a lower-ranked runner of its preference order."},
    {EventCode::kPointerFollowed, "pointer_followed",
     "A returning chat was routed to the runner of its displaced previous "
     "request."},
    {EventCode::kOwnershipTaken, "ownership_taken",
     "The host became the owner of a runner."},
    {EventCode::kOwnershipReleased, "ownership_released",
     "The host stopped being the owner of a runner."},
    {EventCode::kRunnerUp, "runner_up", "A runner responds and accepts work."},
    {EventCode::kRunnerDown, "runner_down", "A runner stopped responding."},
    {EventCode::kRunnerLeaving, "runner_leaving",
     "A runner is leaving and accepts no new work."},
    {EventCode::kAnswerMismatched, "answer_crossed",
     "A response to another request or attempt was dropped, or bytes that "
     "answer no request."},
    {EventCode::kConnectionSilent, "connection_silent",
     "A connection carried no data while a new one worked."},
    {EventCode::kDigestSuspected, "digest_suspected",
     "A request was in flight on an endpoint that crashed; its content digest "
     "is suspect."},
    {EventCode::kDigestQuarantined, "digest_quarantined",
     "Requests with this content digest, or with these prompt parts, are "
     "refused after repeated crashes."},
    {EventCode::kOwnershipTransferReceived, "hand_over_received",
     "The previous owner transferred its state."},
    {EventCode::kEndpointChanged, "endpoint_changed",
     "The registration of an endpoint was added, changed or removed."},
    {EventCode::kEndpointPaused, "endpoint_paused",
     "An endpoint asked this host to send it nothing for a time."},
    {EventCode::kEndpointLimited, "endpoint_limited",
     "An endpoint announced or ended a limit on the requests per second of "
     "all hosts."},
    {EventCode::kPathLost, "path_lost",
     "This host cannot connect to endpoints; other hosts carry its requests."},
    {EventCode::kPathRestored, "path_restored",
     "This host can connect to endpoints again."},
    {EventCode::kEndpointBrittle, "endpoint_brittle",
     "An endpoint said, or no longer says, that it crashes if it has to turn "
     "away too many requests."},
    {EventCode::kEvacuationRead, "evacuation_read",
     "A record that evacuates a data centre, or drops an evacuation, was "
     "read."},
    {EventCode::kEvacuationInForce, "evacuation_in_force",
     "From now on no request of this host reaches the data centre."},
    {EventCode::kEvacuationRemoved, "evacuation_removed",
     "The evacuation of the data centre ended; its endpoints get requests "
     "again."},
    {EventCode::kEvacuationRetained, "evacuation_retained",
     "The record of an evacuation is missing from a restored topic; the "
     "evacuation stays in force for a limited time."},
    {EventCode::kSendWithheld, "send_withheld",
     "A request was not sent because the data centre of its endpoint was "
     "evacuated after the endpoint was chosen, because another endpoint has "
     "the address by now, or because the request may have run and must not run "
     "again."},
    {EventCode::kPoolSlotDenied, "pool_slot_denied",
     "A request was refused because the fleet's requests take every slot of "
     "its pool, and waiting for one would take too long."},
    {EventCode::kTunnelInterrupted, "tunnel_interrupted",
     "A stopping host ended a tunnel that it carried for another host."},
    {EventCode::kVersionsRecorded, "versions_recorded",
     "This host wrote the record of the pools' recent versions to the store."},
    {EventCode::kStoredOriginsRead, "stored_origins_read",
     "This host read the origins of streams from the store."},
    {EventCode::kOriginLookedUp, "origin_looked_up",
     "No host remembered where a resumed stream began, so that the recorded "
     "origins and versions decided, or the endpoints that can continue it may "
     "have started anew, so that a read of the registrations decided."},
    {EventCode::kBlamesRecorded, "blames_recorded",
     "This host wrote the record of prompt parts that crash endpoints to the "
     "store."},
    {EventCode::kStoredBlamesRead, "stored_blames_read",
     "This host read the record of prompt parts that crash endpoints from the "
     "store."},
    {EventCode::kEndpointPaceChanged, "endpoint_pace_changed",
     "An endpoint became slower than its pool, or returned to the usual "
     "pace."},
    {EventCode::kEndpointMisdirected, "endpoint_misdirected",
     "Another endpoint answered at the address of an endpoint, which gets no "
     "request of this host before its registration changes."},
    {EventCode::kRefusedEarly, "request_refused_early",
     "A request was refused at once because it could not be expected to start "
     "within its latency objective."},
    {EventCode::kEndpointCold, "endpoint_cold",
     "An endpoint counts as cold, or for longer than known: requests to it "
     "need "
     "permits."},
    {EventCode::kPermitsExhausted, "permits_exhausted",
     "A request was denied so many permits that it no longer asks for any."},
    {EventCode::kIntentAppended, "intent_appended",
     "An intent to run a call was appended to its partition."},
    {EventCode::kIntentWon, "intent_won",
     "The intent is the first record of its key."},
    {EventCode::kIntentLost, "intent_lost",
     "Another record of the key precedes the intent."},
    {EventCode::kCallDispatched, "call_dispatched",
     "A non-repeatable call was sent to its service."},
    {EventCode::kOutcomeRecorded, "outcome_recorded",
     "The outcome of a call was appended."},
    {EventCode::kOutcomeUnknown, "outcome_unknown",
     "A call may have run and its outcome is unknown."},
    {EventCode::kCallVoided, "call_voided",
     "A key was voided before its call ran."},
    {EventCode::kPartitionOpened, "partition_opened",
     "The host became the owner of a ledger partition and read its stream."},
    {EventCode::kMemberAlive, "member_alive", "A member is alive."},
    {EventCode::kMemberSuspect, "member_suspect",
     "A member did not respond to probes."},
    {EventCode::kMemberLeaving, "member_leaving",
     "A member announced its shutdown."},
    {EventCode::kMemberGone, "member_gone",
     "A member left or was declared dead."},
    {EventCode::kDatagramDropped, "datagram_dropped",
     "A malformed datagram or one from an unknown sender was dropped."},
    {EventCode::kLinkUp, "link_up",
     "A connection to another host was established."},
    {EventCode::kLinkDown, "link_down",
     "A connection to another host was closed or stopped responding."},
    {EventCode::kPlatformDown, "platform_down",
     "The platform stopped responding."},
    {EventCode::kPlatformUp, "platform_up", "The platform responds again."},
    {EventCode::kRecordSkipped, "record_skipped",
     "A log record could not be parsed and was skipped."},
    {EventCode::kLogWentBackwards, "log_went_backwards",
     "The log reported an end before an offset that was already read."},
    {EventCode::kRecordsTruncated, "records_forgotten",
     "The log no longer retains an offset that is still needed."},
    {EventCode::kLogRestored, "log_restored",
     "The platform was restored from a backup; the topic is read again from "
     "the start of its new history."},
    {EventCode::kPlatformCalls, "platform_calls",
     "The number of calls that this host has made to the platform since its "
     "start, by kind."},
    {EventCode::kConfigurationApplied, "configuration_applied",
     "A configuration record took effect on this host."},
    {EventCode::kPlanMade, "plan_made", "A plan was made for an intent."},
    {EventCode::kPlanConfirmed, "plan_confirmed",
     "A confirmed plan was recorded in the log."},
    {EventCode::kPlanConflicted, "plan_conflicted",
     "A confirmed plan conflicted with an earlier change."},
    {EventCode::kSnapshotAppended, "snapshot_appended",
     "A configuration snapshot was appended."},
    {EventCode::kSnapshotLoaded, "snapshot_loaded",
     "The configuration was loaded from a snapshot."},
    {EventCode::kClaimWon, "claim_won",
     "The host won the claim on an endpoint's orders."},
    {EventCode::kClaimLost, "claim_lost",
     "Another host won the claim on an endpoint's orders."},
    {EventCode::kOrderSent, "order_sent",
     "The wanted state was sent to an endpoint."},
    {EventCode::kOrderRefused, "order_refused",
     "An endpoint refused the fencing number of an order."},
    {EventCode::kOrderCorrected, "order_corrected",
     "An endpoint differed from its wanted state and was corrected."},
});

}  // namespace

std::span<const EventCodeEntry> EventCodeTable() {
  return kTable;
}

const EventCodeEntry& Describe(EventCode code) {
  const auto it = std::find_if(
      kTable.begin(), kTable.end(),
      [code](const EventCodeEntry& entry) { return entry.code == code; });
  return it == kTable.end() ? kTable.front() : *it;
}

}  // namespace wasabi::core
