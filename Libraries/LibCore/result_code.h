// Numbered result codes, carried by absl::Status as a payload.
// docs/RESULT_CODES.md lists them, and a test compares that page with the table
// in result_code.cc.

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
  // 2xx: errors of the caller's request.
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
  // 3xx: refusals; the request did not run, except perhaps for kQuarantined.
  kOverloaded = 300,
  kDeadlineTooShort = 301,
  kQuarantined = 302,
  kNoEndpoint = 303,
  kOrganisationLimit = 304,
  kStopping = 305,
  kPlatformUnavailable = 306,
  kNotRun = 307,
  kNoConfiguration = 308,
  kCannotResume = 309,
  kNoPath = 310,
  // 4xx: failures after the work started.
  kEndpointFailed = 400,
  kAnswerTruncated = 401,
  kOutcomeUnknown = 402,
  kDeadlineExceeded = 403,
  kCallerGone = 404,
  kMismatchedAnswer = 405,
  kMalformedAnswer = 406,
  // 5xx: communication between processes.
  kMalformedMessage = 500,
  kPeerUnreachable = 501,
  kPeerSilent = 502,
  kWrongOwner = 503,
  kUnknownSender = 504,
  kVersionMismatch = 505,
  // 6xx: the platform's log.
  kAppendUncertain = 600,
  kRecordsTruncated = 601,
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

// Describes one result code.
struct ResultCodeEntry {
  ResultCode code;
  std::string_view name;
  // The HTTP status that is sent to callers and operators with the code.
  int http_status;
  std::string_view meaning;
};

// Returns all codes in ascending order.
std::span<const ResultCodeEntry> ResultCodeTable();

// Returns the entry of `code`.
const ResultCodeEntry& Describe(ResultCode code);

// Returns a status that carries `code`, or an OK status for kOk. `message`
// describes the failure in one sentence.
absl::Status MakeStatus(ResultCode code, std::string_view message);

// Returns MakeStatus(code, message) with `retry_after`, the delay after which
// the caller may retry.
absl::Status MakeRefusal(ResultCode code,
                         std::string_view message,
                         Duration retry_after);

// Returns the code of `status`: kOk for an OK status, kEndpointFailed for an
// error without a code.
ResultCode CodeOf(const absl::Status& status);

// Returns the delay after which the caller may retry, if `status` carries one.
std::optional<Duration> RetryAfterOf(const absl::Status& status);

}  // namespace wasabi::core

#endif  // LIBCORE_RESULT_CODE_H_
