#include "LibHttp/connection_use.h"

#include "LibCore/text.h"

namespace wasabi::http {

std::string Describe(const ConnectionUse& use) {
  return fmt::format(
      "connection={} call={} sends_of_id={} skipped={} waiting_bytes={}",
      use.connection, use.call, use.sends_of_id, use.skipped_responses,
      use.waiting_bytes);
}

}  // namespace wasabi::http
