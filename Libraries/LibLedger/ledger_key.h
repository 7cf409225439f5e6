// Identifies calls in the ledger and maps them to partitions and log streams.

#ifndef LIBLEDGER_LEDGER_KEY_H_
#define LIBLEDGER_LEDGER_KEY_H_

#include <compare>
#include <cstdint>
#include <optional>
#include <string>
#include <string_view>
#include <utility>

#include "LibCore/identifier.h"

namespace wasabi::ledger {

// Number of ledger partitions. Each has one owner at a time and one log stream.
inline constexpr int kLedgerPartitions = 16;

// An idempotency key together with the organisation in which it is unique.
struct LedgerKey {
  core::OrganisationId organisation;
  std::string key;

  auto operator<=>(const LedgerKey&) const = default;

  template <typename H>
  friend H AbslHashValue(H state, const LedgerKey& it) {
    return H::combine(std::move(state), it.organisation, it.key);
  }
};

// Returns the partition of a key, from 0 to kLedgerPartitions - 1.
int PartitionOf(const core::OrganisationId& organisation, std::string_view key);

// Returns the name of the log stream that stores a partition's records, such as
// "ledger-7".
std::string StreamOf(int partition);

// Returns the creation time, in milliseconds since 1970, that is embedded in a
// key with the form of a version 7 UUID; nullopt for all other keys.
std::optional<int64_t> CreationTimeOf(std::string_view key);

}  // namespace wasabi::ledger

#endif  // LIBLEDGER_LEDGER_KEY_H_
