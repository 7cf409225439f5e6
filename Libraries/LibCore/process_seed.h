// Seeds the random number generators of a process.

#ifndef LIBCORE_PROCESS_SEED_H_
#define LIBCORE_PROCESS_SEED_H_

#include <cstdint>

#include "LibCore/time.h"

namespace wasabi::core {

// Returns a seed that differs between processes, by the hash of their names,
// and between restarts of one process.
inline uint64_t ProcessSeed(uint64_t name_hash) {
  return name_hash ^
         static_cast<uint64_t>(Clock::now().time_since_epoch().count());
}

// Returns the number before the first that a process gives to its messages:
// nanoseconds since the start of the machine. Numbers that are counted up from
// it are higher than all of the machine's earlier processes.
inline uint64_t FirstMessageNumber() {
  return static_cast<uint64_t>(
      std::chrono::nanoseconds(Clock::now().time_since_epoch()).count());
}

// The same for messages whose numbers have 48 bits: units of 65.5 us.
inline uint64_t FirstShortMessageNumber() {
  return FirstMessageNumber() >> 16U;
}

}  // namespace wasabi::core

#endif  // LIBCORE_PROCESS_SEED_H_
