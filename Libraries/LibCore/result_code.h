// Numbered result codes. docs/RESULT_CODES.md lists them; a test compares the
// page with the table here. A code travels inside absl::Status as a payload.

#ifndef LIBCORE_RESULT_CODE_H_
#define LIBCORE_RESULT_CODE_H_

#include <optional>
#include <span>
#include <string_view>

#include "LibCore/time.h"
#include "absl/status/status.h"

namespace wasabi::core {

enum class ResultCode : int {
  kOk = 0,
  // 1xx: settings and the command line.
  kSettingsUnreadable = 100,
  kSettingsUnknownSection = 101,
  kSettingsUnknownKey = 102,
  kSettingsOutOfRange = 103,
  kSettingsContradiction = 104,
  kSettingsMissing = 105,
  kUsage = 106,
  kCannotListen = 107,
  // 2xx: the caller's request.
  kMalformedRequest = 200,
  kRequestTooLarge = 201,
  kUnknownOrganisation = 202,
  kUnknownModel = 203,
  kUnknownService = 204,
  kMissingIdempotencyKey = 205,
  kUnknownRequest = 206,
  kNoSuchResource = 207,
  kKeyReused = 208,
  kOffsetNotKept = 209,
  kUnknownRoute = 210,
  kUnknownKey = 211,
  // 3xx: refusals, none of which ran.
  kOverloaded = 300,
  kDeadlineTooShort = 301,
  kQuarantined = 302,
  kNoEndpoint = 303,
  kOrganisationLimit = 304,
  kStopping = 305,
  kPlatformUnavailable = 306,
  kNotRun = 307,
  kNoConfiguration = 308,
  // 4xx: the work started and did not end well.
  kEndpointFailed = 400,
  kAnswerTruncated = 401,
  kOutcomeUnknown = 402,
  kDeadlineExceeded = 403,
  kCallerGone = 404,
  kMismatchedAnswer = 405,
  kMalformedAnswer = 406,
  // 5xx: between processes.
  kMalformedMessage = 500,
  kPeerUnreachable = 501,
  kPeerSilent = 502,
  kWrongOwner = 503,
  kUnknownSender = 504,
  kVersionMismatch = 505,
  // 6xx: the platform.
  kAppendUncertain = 600,
  kRecordsForgotten = 601,
  kLogWentBackwards = 602,
  kMalformedRecord = 603,
  // 7xx: intents and orders.
  kConflict = 700,
  kUnknownPlan = 701,
  kPlanExpired = 702,
  kInvalidIntent = 703,
  kOrderRefused = 704,
  kNotInForceEverywhere = 705,
};

// One row of the table of result codes.
struct ResultCodeEntry {
  ResultCode code;
  std::string_view name;
  // The HTTP status that callers and operators see with the code.
  int http_status;
  std::string_view meaning;
};

// All codes in ascending order.
std::span<const ResultCodeEntry> ResultCodeTable();

// The row of `code`.
const ResultCodeEntry& Describe(ResultCode code);

// A status that carries `code`; `message` says what happened in one sentence.
absl::Status MakeStatus(ResultCode code, std::string_view message);

// As above for a refusal: `retry_after` says when the caller may come back.
absl::Status MakeRefusal(ResultCode code,
                         std::string_view message,
                         Duration retry_after);

// The code in `status`; kOk for an OK status, kEndpointFailed for a status
// that carries none.
ResultCode CodeOf(const absl::Status& status);

// The time after which the caller may come back, where `status` says one.
std::optional<Duration> RetryAfterOf(const absl::Status& status);

}  // namespace wasabi::core

#endif  // LIBCORE_RESULT_CODE_H_
