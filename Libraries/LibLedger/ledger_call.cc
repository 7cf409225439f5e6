#include "LibLedger/ledger_call.h"

#include "LibCore/hash.h"

namespace wasabi::ledger {

std::string DigestOf(const std::string& service,
                     const std::string& path,
                     const std::string& body) {
  // A service name or a path cannot contain this separator, so different
  // contents never concatenate to the same text.
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
