#include "LibLedger/ledger_call.h"

#include "LibCore/hash.h"

namespace wasabi::ledger {

std::string DigestOf(const std::string& service,
                     const std::string& path,
                     const std::string& body) {
  // The separator can't occur in a service's name or a path.
  constexpr char kSeparator = '\0';
  return core::ContentDigest(service + kSeparator + path + kSeparator + body);
}

LedgerOutcome MakeOutcome(core::ResultCode code, core::Duration retry_after) {
  LedgerOutcome outcome;
  outcome.code = static_cast<int>(code);
  outcome.retry_after_ms = core::ToMilliseconds(retry_after);
  return outcome;
}

}  // namespace wasabi::ledger
