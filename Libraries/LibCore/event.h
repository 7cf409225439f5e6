// Numbered events. Each process keeps its latest events in a bounded ring;
// wasabi_timeline collects the rings over HTTP and merges them. docs/EVENTS.md
// lists the numbers, and a test compares that page with the table in event.cc.

#ifndef LIBCORE_EVENT_H_
#define LIBCORE_EVENT_H_

#include <cstdint>
#include <span>
#include <string>
#include <string_view>

namespace wasabi::core {

enum class EventCode : int {
  // 1xx: process lifecycle.
  kProcessStarted = 100,
  kProcessStopping = 101,
  kProcessStopped = 102,
  kSettingsReloaded = 103,
  // 2xx: caller requests.
  kRequestReceived = 200,
  kRequestRefused = 201,
  kRequestForwarded = 202,
  kRequestAnswered = 203,
  kRequestFailed = 204,
  kCallerDisconnected = 205,
  kCallerReattached = 206,
  kBadInput = 207,
  kRequestEnded = 208,
  kRequestInterrupted = 209,
  // 3xx: attempts, runners and runner ownership.
  kAttemptStarted = 300,
  kAttemptFinished = 301,
  kAttemptFailed = 302,
  kAttemptResumed = 303,
  kRequestQueued = 304,
  kRequestDisplaced = 305,
  kPointerFollowed = 306,
  kOwnershipTaken = 307,
  kOwnershipReleased = 308,
  kRunnerUp = 309,
  kRunnerDown = 310,
  kRunnerLeaving = 311,
  kAnswerMismatched = 312,
  kConnectionSilent = 313,
  kDigestSuspected = 314,
  kDigestQuarantined = 315,
  kOwnershipTransferReceived = 316,
  kEndpointChanged = 317,
  kEndpointPaused = 318,
  kEndpointLimited = 319,
  kPathLost = 320,
  kPathRestored = 321,
  kEndpointBrittle = 322,
  kEvacuationRead = 323,
  kEvacuationInForce = 324,
  kEvacuationRemoved = 325,
  kEvacuationRetained = 326,
  kSendWithheld = 327,
  kPoolSlotDenied = 328,
  kTunnelInterrupted = 329,
  kVersionsRecorded = 335,
  kStoredOriginsRead = 336,
  kOriginLookedUp = 337,
  kBlamesRecorded = 338,
  kStoredBlamesRead = 339,
  kEndpointPaceChanged = 340,
  kEndpointMisdirected = 341,
  kRefusedEarly = 345,
  kEndpointCold = 330,
  kPermitsExhausted = 331,
  // 4xx: the ledger of non-repeatable calls.
  kIntentAppended = 400,
  kIntentWon = 401,
  kIntentLost = 402,
  kCallDispatched = 403,
  kOutcomeRecorded = 404,
  kOutcomeUnknown = 405,
  kCallVoided = 406,
  kPartitionOpened = 407,
  // 5xx: membership and links.
  kMemberAlive = 500,
  kMemberSuspect = 501,
  kMemberLeaving = 502,
  kMemberGone = 503,
  kDatagramDropped = 504,
  kLinkUp = 505,
  kLinkDown = 506,
  // 6xx: the platform and its log.
  kPlatformDown = 600,
  kPlatformUp = 601,
  kRecordSkipped = 602,
  kLogWentBackwards = 603,
  kRecordsTruncated = 604,
  kLogRestored = 605,
  kPlatformCalls = 606,
  // 7xx: configuration, intents and orders.
  kConfigurationApplied = 700,
  kPlanMade = 701,
  kPlanConfirmed = 702,
  kPlanConflicted = 703,
  kSnapshotAppended = 704,
  kSnapshotLoaded = 705,
  kClaimWon = 706,
  kClaimLost = 707,
  kOrderSent = 708,
  kOrderRefused = 709,
  kOrderCorrected = 710,
};

// Describes one event code.
struct EventCodeEntry {
  EventCode code;
  std::string_view name;
  std::string_view meaning;
};

// Returns all event codes in ascending order.
std::span<const EventCodeEntry> EventCodeTable();

// Returns the entry of `code`.
const EventCodeEntry& Describe(EventCode code);

// A recorded event.
struct Event {
  // Sequence number within its process, from 1 without gaps.
  uint64_t sequence = 0;
  // Lamport timestamp, greater than that of every event that may have caused
  // this one.
  uint64_t lamport = 0;
  // Wall-clock time in nanoseconds since 1970; for display only.
  int64_t wall_nanoseconds = 0;
  EventCode code = EventCode::kProcessStarted;
  // The related request, or empty.
  std::string request_id;
  // Details as "key=value" pairs, separated by spaces.
  std::string detail;
};

}  // namespace wasabi::core

#endif  // LIBCORE_EVENT_H_
