// Request and response messages between the host that accepted a call (the
// entry) and the owner of the call's ledger partition. They are sent as
// link::CallKind::kLedgerCall.

#ifndef LIBLEDGER_LEDGER_CALL_H_
#define LIBLEDGER_LEDGER_CALL_H_

#include <compare>
#include <cstdint>
#include <string>

#include "LibCore/identifier.h"
#include "LibCore/message.h"
#include "LibCore/result_code.h"
#include "LibLedger/ledger_key.h"

namespace wasabi::ledger {

// A call to a plain service that must run at most once.
struct LedgerCall {
  core::OrganisationId organisation;
  // The value of the caller's Idempotency-Key header.
  std::string key;
  std::string service;
  // The request path at the service, starting with "/".
  std::string path;
  std::string body;
  // Digest of service, path and body as returned by DigestOf.
  std::string content_digest;
  // Remaining time until the caller's deadline, in milliseconds.
  int64_t deadline_ms = 0;
  core::RequestId request_id;
  // The value of the caller's traceparent header, or empty.
  std::string trace_parent;
  // True if the organisation has exceeded its request rate. The call is then
  // answered only if its key already has a record or a call in progress;
  // otherwise it is refused with kOrganisationLimit.
  bool is_over_rate_limit = false;

  auto operator<=>(const LedgerCall&) const = default;

  LedgerKey ledger_key() const { return {organisation, key}; }

  MSGPACK_DEFINE(organisation,
                 key,
                 service,
                 path,
                 body,
                 content_digest,
                 deadline_ms,
                 request_id,
                 trace_parent,
                 is_over_rate_limit);
};

// The outcome of a call. Once an outcome is recorded, every later request with
// the same key receives an equal outcome.
struct LedgerOutcome {
  // Numeric core::ResultCode. kOk means that the service answered, with any
  // HTTP status.
  int code = 0;
  // HTTP status of the service's answer; 0 if the service did not answer.
  int http_status = 0;
  std::string body;
  // False if the body was too large to be recorded. Later requests with the
  // same key then receive the status without the body.
  bool is_body_recorded = true;
  // Delay in milliseconds before the caller should retry with the same key; 0
  // means that the outcome is final.
  int64_t retry_after_ms = 0;

  auto operator<=>(const LedgerOutcome&) const = default;

  core::ResultCode result_code() const {
    return static_cast<core::ResultCode>(code);
  }

  MSGPACK_DEFINE(code, http_status, body, is_body_recorded, retry_after_ms);
};

// Returns the digest of a call's content. It detects that a key is reused for a
// different call.
std::string DigestOf(const std::string& service,
                     const std::string& path,
                     const std::string& body);

// Returns an outcome without a service answer.
LedgerOutcome MakeOutcome(core::ResultCode code,
                          core::Duration retry_after = core::Duration::zero());

}  // namespace wasabi::ledger

#endif  // LIBLEDGER_LEDGER_CALL_H_
