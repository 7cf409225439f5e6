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

}  // namespace wasabi::core

#endif  // LIBCORE_PROCESS_SEED_H_
