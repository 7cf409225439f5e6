// Counts how often a soak run reached the paths on which the copy of a refusal
// can be taken for an answer.

#ifndef TESTS_SOAK_REFUSAL_COUNTS_H_
#define TESTS_SOAK_REFUSAL_COUNTS_H_

#include <compare>
#include <cstddef>

#include "Tests/Soak/history.h"

namespace wasabi::soak {

struct RefusalCounts {
  // Endpoints whose address another one took over.
  size_t renewals = 0;
  // Copies of refusals that were written on their connections as the next
  // request arrived, and those of them that bore the id of that request.
  size_t copies = 0;
  size_t own_copies = 0;
  // Requests that arrived again at the address that had refused them, and those
  // of them that came on the connection that had refused them.
  size_t again_at_address = 0;
  size_t again_on_connection = 0;

  auto operator<=>(const RefusalCounts&) const = default;
};

RefusalCounts CountRefusals(const History& history);

}  // namespace wasabi::soak

#endif  // TESTS_SOAK_REFUSAL_COUNTS_H_
