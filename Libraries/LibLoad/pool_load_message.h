// Defines the application datagrams of the pool load exchange.

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

// The demand on an owner's runners, sent by the owner to an aggregator.
struct PoolReport {
  // Identifies the report to which PoolTotals is the answer.
  uint32_t sequence = 0;
  std::vector<PoolEntry> pools;

  MSGPACK_DEFINE(sequence, pools);
};

// The totals over all data centres, sent by an aggregator in answer to a
// report.
struct PoolTotals {
  // The sequence number of that report, whose demand the totals include.
  uint32_t sequence = 0;
  std::vector<PoolEntry> pools;

  MSGPACK_DEFINE(sequence, pools);
};

// The sums of the sender's data centre, sent between aggregators.
struct PoolSums {
  std::vector<PoolEntry> pools;

  MSGPACK_DEFINE(pools);
};

}  // namespace wasabi::load

#endif  // LIBLOAD_POOL_LOAD_MESSAGE_H_
