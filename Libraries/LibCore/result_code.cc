#include "LibCore/result_code.h"

#include <algorithm>
#include <array>
#include <string>

#include "LibCore/text.h"
#include "absl/strings/cord.h"

namespace wasabi::core {

namespace {

constexpr const char* kCodeUrl = "wasabifork/code";
constexpr const char* kRetryAfterUrl = "wasabifork/retry_after_ms";

constexpr auto kTable = std::to_array<ResultCodeEntry>({
    {ResultCode::kOk, "ok", 200, "The call succeeded."},
    {ResultCode::kSettingsUnreadable, "settings_unreadable", 500,
     "The settings file can't be read or is not valid INI."},
    {ResultCode::kSettingsUnknownSection, "settings_unknown_section", 500,
     "The settings file contains a section that the program does not know."},
    {ResultCode::kSettingsUnknownKey, "settings_unknown_key", 500,
     "A section of the settings file contains a key that the program does not "
     "know."},
    {ResultCode::kSettingsOutOfRange, "settings_out_of_range", 500,
     "A value of the settings file is outside its allowed range."},
    {ResultCode::kSettingsContradiction, "settings_contradiction", 500,
     "Two values of the settings file contradict each other."},
    {ResultCode::kSettingsMissing, "settings_missing", 500,
     "A required key is missing from the settings file."},
    {ResultCode::kUsage, "usage", 400, "The command line is invalid."},
    {ResultCode::kCannotListen, "cannot_listen", 500,
     "A listening address can't be bound."},
    {ResultCode::kMalformedRequest, "malformed_request", 400,
     "The request is not valid HTTP or JSON, or lacks a required field."},
    {ResultCode::kRequestTooLarge, "request_too_large", 413,
     "The request's body or headers exceed the configured limit."},
    {ResultCode::kUnknownOrganisation, "unknown_organisation", 401,
     "No deployment has this organisation."},
    {ResultCode::kUnknownModel, "unknown_model", 404,
     "The organisation's deployment has no pool for this model."},
    {ResultCode::kUnknownService, "unknown_service", 404,
     "The organisation's deployment has no such plain service."},
    {ResultCode::kMissingIdempotencyKey, "missing_idempotency_key", 400,
     "A non-repeatable call needs an Idempotency-Key header."},
    {ResultCode::kUnknownRequest, "unknown_request", 404,
     "No host holds a response for this request id."},
    {ResultCode::kNoSuchResource, "no_such_resource", 404,
     "The path or method is not part of the interface."},
    {ResultCode::kKeyReused, "key_reused", 422,
     "The idempotency key was used before with different content."},
    {ResultCode::kOffsetNotKept, "offset_not_kept", 416,
     "The requested offset of the response is no longer retained."},
    {ResultCode::kUnknownRoute, "unknown_route", 404,
     "No route matches this host and path."},
    {ResultCode::kUnknownKey, "unknown_key", 401,
     "The API key belongs to no organisation."},
    {ResultCode::kOverloaded, "overloaded", 503,
     "No runner can take the request before its deadline; the request did not "
     "run."},
    {ResultCode::kDeadlineTooShort, "deadline_too_short", 504,
     "The deadline passed before the request started; the request did not "
     "run."},
    {ResultCode::kQuarantined, "quarantined", 422,
     "Requests with this content crash endpoints and are refused; this one "
     "may have run."},
    {ResultCode::kNoEndpoint, "no_endpoint", 503,
     "The pool has no live endpoint; the request did not run."},
    {ResultCode::kOrganisationLimit, "organisation_limit", 429,
     "The organisation's rate limit is exceeded; the request did not run."},
    {ResultCode::kStopping, "stopping", 503,
     "The host is shutting down and accepts no new work; the request did not "
     "run."},
    {ResultCode::kPlatformUnavailable, "platform_unavailable", 503,
     "The platform's log is unreachable; the call did not run."},
    {ResultCode::kNotRun, "not_run", 409,
     "The call with this key was voided before it started; it will never run."},
    {ResultCode::kNoConfiguration, "no_configuration", 503,
     "The host has no current configuration yet; the request did not run."},
    {ResultCode::kCannotResume, "cannot_resume", 503,
     "No endpoint can continue the stream: the software version that began it "
     "is unknown or does not serve; the request did not run."},
    {ResultCode::kNoPath, "no_path", 503,
     "The host cannot reach the endpoints, and no other host can carry the "
     "request; the request did not run."},
    {ResultCode::kEndpointFailed, "endpoint_failed", 502,
     "The endpoint ended the request with an error."},
    {ResultCode::kAnswerTruncated, "answer_cut", 502,
     "The response was truncated and could not be resumed."},
    {ResultCode::kOutcomeUnknown, "outcome_unknown", 502,
     "The call may have run; its outcome is unknown and it is not repeated."},
    {ResultCode::kDeadlineExceeded, "deadline_exceeded", 504,
     "The deadline passed while the request ran."},
    {ResultCode::kCallerGone, "caller_gone", 499,
     "The caller closed its connection before the response was complete."},
    {ResultCode::kMismatchedAnswer, "crossed_answer", 502,
     "The endpoint sent the response to another request; it was dropped."},
    {ResultCode::kMalformedAnswer, "improper_answer", 502,
     "The endpoint sent bytes that are not a valid response to the request."},
    {ResultCode::kMalformedMessage, "malformed_message", 400,
     "A message between processes can't be decoded."},
    {ResultCode::kPeerUnreachable, "peer_unreachable", 503,
     "No connection to the other host could be established."},
    {ResultCode::kPeerSilent, "peer_silent", 503,
     "The other host stopped responding on the connection."},
    {ResultCode::kWrongOwner, "wrong_owner", 503,
     "The host does not own the requested runner or partition."},
    {ResultCode::kUnknownSender, "stranger", 403,
     "The sender is not in the member table."},
    {ResultCode::kVersionMismatch, "version_mismatch", 400,
     "The sender uses another version of the protocol."},
    {ResultCode::kAppendUncertain, "append_uncertain", 503,
     "The log did not respond; the record may or may not have been stored."},
    {ResultCode::kRecordsTruncated, "records_forgotten", 410,
     "The log no longer retains the requested offset."},
    {ResultCode::kLogWentBackwards, "log_went_backwards", 409,
     "The log reported an end before an offset that was already read."},
    {ResultCode::kMalformedRecord, "malformed_record", 422,
     "A record of the log can't be parsed and was skipped."},
    {ResultCode::kConflict, "conflict", 409,
     "An item that the plan affects was modified after the plan was made."},
    {ResultCode::kUnknownPlan, "unknown_plan", 404,
     "No plan has this identifier."},
    {ResultCode::kPlanExpired, "plan_expired", 410,
     "The plan expired before it was confirmed."},
    {ResultCode::kInvalidIntent, "invalid_intent", 400,
     "The intent is not valid."},
    {ResultCode::kOrderRefused, "order_refused", 409,
     "The endpoint refused the order's fencing number."},
    {ResultCode::kNotInForceEverywhere, "not_in_force_everywhere", 504,
     "The change is recorded, but some hosts have not applied it yet."},
});

absl::StatusCode CanonicalCode(int http_status) {
  switch (http_status) {
    case 200:
      return absl::StatusCode::kOk;
    case 400:
    case 413:
    case 422:
      return absl::StatusCode::kInvalidArgument;
    case 401:
    case 403:
      return absl::StatusCode::kPermissionDenied;
    case 404:
    case 410:
      return absl::StatusCode::kNotFound;
    case 409:
      return absl::StatusCode::kAborted;
    case 429:
      return absl::StatusCode::kResourceExhausted;
    case 504:
      return absl::StatusCode::kDeadlineExceeded;
    case 503:
      return absl::StatusCode::kUnavailable;
    default:
      return absl::StatusCode::kInternal;
  }
}

std::optional<int64_t> NumberPayload(const absl::Status& status,
                                     const char* url) {
  const auto payload = status.GetPayload(url);
  if (!payload) {
    return std::nullopt;
  }
  return ParseNumber<int64_t>(std::string(*payload));
}

}  // namespace

std::span<const ResultCodeEntry> ResultCodeTable() {
  return kTable;
}

const ResultCodeEntry& Describe(ResultCode code) {
  const auto it = std::find_if(
      kTable.begin(), kTable.end(),
      [code](const ResultCodeEntry& entry) { return entry.code == code; });
  return it == kTable.end() ? kTable.front() : *it;
}

absl::Status MakeStatus(ResultCode code, std::string_view message) {
  if (code == ResultCode::kOk) {
    return absl::OkStatus();
  }
  absl::Status status(CanonicalCode(Describe(code).http_status),
                      std::string(message));
  status.SetPayload(kCodeUrl,
                    absl::Cord(std::to_string(static_cast<int>(code))));
  return status;
}

absl::Status MakeRefusal(ResultCode code,
                         std::string_view message,
                         Duration retry_after) {
  absl::Status status = MakeStatus(code, message);
  status.SetPayload(kRetryAfterUrl,
                    absl::Cord(std::to_string(ToMilliseconds(retry_after))));
  return status;
}

ResultCode CodeOf(const absl::Status& status) {
  if (status.ok()) {
    return ResultCode::kOk;
  }
  const std::optional<int64_t> number = NumberPayload(status, kCodeUrl);
  return number ? static_cast<ResultCode>(*number)
                : ResultCode::kEndpointFailed;
}

std::optional<Duration> RetryAfterOf(const absl::Status& status) {
  const std::optional<int64_t> number = NumberPayload(status, kRetryAfterUrl);
  if (!number) {
    return std::nullopt;
  }
  return milliseconds(*number);
}

}  // namespace wasabi::core
