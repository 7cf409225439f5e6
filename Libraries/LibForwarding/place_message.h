// Messages with which hosts share the places of brittle endpoints.

#ifndef LIBFORWARDING_PLACE_MESSAGE_H_
#define LIBFORWARDING_PLACE_MESSAGE_H_

#include <cstdint>

#include "LibCore/message.h"
#include "LibForwarding/endpoint_limit.h"

namespace wasabi::forwarding {

// How many requests of the sender are in flight at an endpoint.
struct PlaceReport {
  // Rises with each message of the sender.
  uint64_t sequence = 0;
  uint32_t in_flight = 0;
  // The endpoint and its slots, as the sender knows them.
  LimitReport slots;

  MSGPACK_DEFINE(sequence, in_flight, slots);
};

// The answer to a PlaceReport that asks for one more place.
struct PlaceAnswer {
  uint64_t sequence = 0;
  bool is_granted = false;
  // The sender does not grant the places of this endpoint.
  bool is_misdirected = false;
  LimitReport slots;

  MSGPACK_DEFINE(sequence, is_granted, is_misdirected, slots);
};

}  // namespace wasabi::forwarding

#endif  // LIBFORWARDING_PLACE_MESSAGE_H_
