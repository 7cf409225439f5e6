#include "LibLedger/ledger_key.h"

#include "LibCore/hash.h"
#include "LibCore/text.h"

namespace wasabi::ledger {

int PartitionOf(const core::OrganisationId& organisation,
                std::string_view key) {
  const uint64_t hash =
      core::CombineHashes(organisation.Hash(), core::StableHash(key));
  return static_cast<int>(hash % kLedgerPartitions);
}

std::string StreamOf(int partition) {
  return fmt::format("ledger-{}", partition);
}

std::optional<int64_t> CreationTimeOf(std::string_view key) {
  constexpr size_t kUuidLength = 36;
  constexpr size_t kVersionPosition = 14;
  if (key.size() != kUuidLength || key[8] != '-' || key[13] != '-' ||
      key[18] != '-' || key[23] != '-' || key[kVersionPosition] != '7') {
    return std::nullopt;
  }
  const std::string digits =
      std::string(key.substr(0, 8)) + std::string(key.substr(9, 4));
  int64_t value = 0;
  const char* end = digits.data() + digits.size();
  constexpr int kHexadecimal = 16;
  const auto [rest, ec] =
      std::from_chars(digits.data(), end, value, kHexadecimal);
  if (ec != std::errc() || rest != end) {
    return std::nullopt;
  }
  return value;
}

}  // namespace wasabi::ledger
