// Messages with which hosts share the slots of a small pool.

#ifndef LIBFORWARDING_POOL_SLOT_MESSAGE_H_
#define LIBFORWARDING_POOL_SLOT_MESSAGE_H_

#include <cstdint>
#include <vector>

#include "LibCore/message.h"

namespace wasabi::forwarding {

// Requests in flight of the sender at one endpoint.
struct PoolSlotCount {
  // The low bits of the hash of the endpoint's id, to save bytes.
  uint32_t endpoint = 0;
  uint32_t in_flight = 0;

  MSGPACK_DEFINE(endpoint, in_flight);
};

// Everything that the sender has in flight in a pool.
struct PoolSlotReport {
  // Rises with each message of the sender.
  uint64_t sequence = 0;
  // Hash of the pool's id.
  uint64_t pool = 0;
  // Endpoints that are missing have no request of the sender.
  std::vector<PoolSlotCount> counts = {};
  // Sequence numbers of the sender's questions that wait for an answer.
  std::vector<uint64_t> pending = {};

  MSGPACK_DEFINE(sequence, pool, counts, pending);
};

// An endpoint that may serve the request of a question.
struct PoolSlotCandidate {
  uint32_t endpoint = 0;
  uint32_t slots = 1;
  // Whether it is in the sender's data centre.
  bool is_near = false;

  MSGPACK_DEFINE(endpoint, slots, is_near);
};

struct PoolSlotQuestion {
  PoolSlotReport report;
  std::vector<PoolSlotCandidate> candidates;
  // The sender's estimate of how long a request takes at an endpoint.
  int64_t service_ms = 0;
  // How long the request may wait for a slot at the endpoint.
  int64_t max_wait_ms = 0;

  MSGPACK_DEFINE(report, candidates, service_ms, max_wait_ms);
};

struct PoolSlotAnswer {
  // Sequence number of the question.
  uint64_t sequence = 0;
  bool is_granted = false;
  // The sender does not grant the slots of this pool.
  bool is_misdirected = false;
  uint32_t endpoint = 0;
  // Time until room is expected, if nothing was granted.
  int64_t wait_ms = 0;

  MSGPACK_DEFINE(sequence, is_granted, is_misdirected, endpoint, wait_ms);
};

}  // namespace wasabi::forwarding

#endif  // LIBFORWARDING_POOL_SLOT_MESSAGE_H_
