#include "LibHttp/send_ledger.h"

#include <algorithm>

#include "LibCore/hash.h"

namespace wasabi::http {

int SendLedger::Record(std::string_view id) {
  if (id.empty()) {
    return 1;
  }
  const uint64_t hash = core::StableHash(id);
  sent_.push_back(hash);
  return static_cast<int>(std::count(sent_.begin(), sent_.end(), hash));
}

}  // namespace wasabi::http
