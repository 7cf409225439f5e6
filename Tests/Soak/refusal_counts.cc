#include "Tests/Soak/refusal_counts.h"

#include <set>
#include <utility>

namespace wasabi::soak {

RefusalCounts CountRefusals(const History& history) {
  RefusalCounts counts = {.renewals = history.renewals.size()};
  std::set<std::pair<core::RequestId, core::SocketAddress>> at_address;
  std::set<std::pair<core::RequestId, uint64_t>> on_connection;
  for (const auto& it : history.runs) {
    counts.copies += it->copied_refusal ? 1 : 0;
    counts.own_copies += it->copied_refusal == it->request ? 1 : 0;
    counts.again_at_address +=
        at_address.contains({it->request, it->address}) ? 1 : 0;
    counts.again_on_connection +=
        on_connection.contains({it->request, it->connection}) ? 1 : 0;
    if (it->end == support::RunEnd::kRefused) {
      at_address.insert({it->request, it->address});
      on_connection.insert({it->request, it->connection});
    }
  }
  return counts;
}

}  // namespace wasabi::soak
