// The application datagrams of the pool load exchange.

#ifndef LIBLOAD_POOL_LOAD_MESSAGE_H_
#define LIBLOAD_POOL_LOAD_MESSAGE_H_

#include <cstdint>
#include <vector>

#include "LibCore/identifier.h"
#include "LibCore/message.h"
#include "LibRouting/pool_load.h"

namespace wasabi::load {

struct PoolEntry {
  core::PoolId pool;
  routing::PoolDemand demand;

  MSGPACK_DEFINE(pool, demand);
};

// What an owner reports to an aggregator, and what it hears back. The sequence
// of a report returns with the totals that count it.
struct PoolReport {
  uint32_t sequence = 0;
  std::vector<PoolEntry> pools;

  MSGPACK_DEFINE(sequence, pools);
};

struct PoolTotals {
  uint32_t sequence = 0;
  std::vector<PoolEntry> pools;

  MSGPACK_DEFINE(sequence, pools);
};

// The sums of the sender's data centre, from aggregator to aggregator.
struct PoolSums {
  std::vector<PoolEntry> pools;

  MSGPACK_DEFINE(pools);
};

}  // namespace wasabi::load

#endif  // LIBLOAD_POOL_LOAD_MESSAGE_H_
