// The kinds of datagrams that other modules send over the gossip socket. They
// are listed in one place, so that no two modules take the same number.

#ifndef LIBMEMBERSHIP_APPLICATION_KIND_H_
#define LIBMEMBERSHIP_APPLICATION_KIND_H_

#include <cstdint>

namespace wasabi::membership {

enum class ApplicationKind : uint8_t {
  // LibLoad.
  kPoolReport = 64,
  kPoolTotals = 65,
  kPoolSums = 66,
  // FactGossip.
  kFacts = 70,
  // Services/Forwarder.
  kTopicReport = 80,
  kEndpointLoads = 81,
  kCrashes = 82,
};

}  // namespace wasabi::membership

#endif  // LIBMEMBERSHIP_APPLICATION_KIND_H_
