// The messages between an entry and the owner of a ledger partition, carried
// by link::CallKind::kLedgerCall.

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

// A call to a plain service that may not be repeated.
struct LedgerCall {
  core::OrganisationId organisation;
  // The caller's Idempotency-Key.
  std::string key;
  std::string service;
  // The path at the service, beginning with "/".
  std::string path;
  std::string body;
  // core::ContentDigest over service, path and body; see DigestOf.
  std::string content_digest;
  // How long the caller waits from now on, in milliseconds.
  int64_t deadline_ms = 0;
  core::RequestId request_id;
  // The caller's traceparent header, or empty.
  std::string trace_parent;
  // The organisation's request rate is used up: only a key that is known
  // already gets its outcome.
  bool is_over_rate = false;

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
                 is_over_rate);
};

// How a call ended. A resend of the same key gets an equal outcome once it is
// recorded.
struct LedgerOutcome {
  // core::ResultCode as a number; kOk where the service answered, whatever its
  // HTTP status.
  int code = 0;
  // The service's HTTP status; 0 where it gave no answer.
  int http_status = 0;
  std::string body;
  // False where the body was too large to be recorded, so that a resend gets
  // the status alone.
  bool is_body_kept = true;
  // When to ask again with the same key, in milliseconds; 0 means that the
  // outcome is final.
  int64_t retry_after_ms = 0;

  auto operator<=>(const LedgerOutcome&) const = default;

  core::ResultCode result_code() const {
    return static_cast<core::ResultCode>(code);
  }

  MSGPACK_DEFINE(code, http_status, body, is_body_kept, retry_after_ms);
};

// The digest that tells whether a key is used again with other content.
std::string DigestOf(const std::string& service,
                     const std::string& path,
                     const std::string& body);

// An outcome without an answer of the service.
LedgerOutcome MakeOutcome(core::ResultCode code,
                          core::Duration retry_after = core::Duration::zero());

}  // namespace wasabi::ledger

#endif  // LIBLEDGER_LEDGER_CALL_H_
