// Names of the ledger: the key of a call, its partition and its stream.

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

inline constexpr int kLedgerPartitions = 16;

// An idempotency key, unique within its organisation.
struct LedgerKey {
  core::OrganisationId organisation;
  std::string key;

  auto operator<=>(const LedgerKey&) const = default;

  template <typename H>
  friend H AbslHashValue(H state, const LedgerKey& it) {
    return H::combine(std::move(state), it.organisation, it.key);
  }
};

// The partition of a key, from 0 to kLedgerPartitions - 1.
int PartitionOf(const core::OrganisationId& organisation, std::string_view key);

// The stream of the log that holds a partition's records: "ledger-7".
std::string StreamOf(int partition);

// The time, in milliseconds since 1970, that a key in the form of a UUID of
// version 7 carries; nullopt for keys of any other form.
std::optional<int64_t> CreationTimeOf(std::string_view key);

}  // namespace wasabi::ledger

#endif  // LIBLEDGER_LEDGER_KEY_H_
