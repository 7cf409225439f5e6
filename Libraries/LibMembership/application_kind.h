// Datagram kinds of the modules that share the gossip socket with the
// membership protocol. A single list keeps two modules from using the same
// number.

#ifndef LIBMEMBERSHIP_APPLICATION_KIND_H_
#define LIBMEMBERSHIP_APPLICATION_KIND_H_

#include <cstdint>

namespace wasabi::membership {

enum class ApplicationKind : uint8_t {
  // Used by LibLoad.
  kPoolReport = 64,
  kPoolTotals = 65,
  kPoolSums = 66,
  // Used by FactGossip.
  kFacts = 70,
  // Used by Services/Forwarder.
  kTopicReport = 80,
  kEndpointLoads = 81,
  kCrashes = 82,
  kEndpointLoadSums = 83,
  kEndpointLoadTotal = 84,
  kStreamOrigins = 85,
  kStreamOriginQuery = 86,
  kStreamOriginAnswer = 87,
  kCrashSync = 88,
  kEndpointLimits = 89,
  kPermitQuestion = 90,
  kPermitAnswer = 91,
  kBrittleEndpoints = 92,
  kPlaceQuestion = 93,
  kPlaceAnswer = 94,
  kPlaceReport = 95,
  kBrittleQuestion = 126,
  // Used by the origins of streams that outlive the fleet.
  kOriginsToRecord = 116,
  kOriginsRecorded = 117,
  kStoredOriginQuery = 118,
  kStoredOriginAnswer = 119,
  kPoolSlotQuestion = 110,
  kPoolSlotAnswer = 111,
  kPoolSlotReport = 112,
  kEndpointPaces = 120,
  kColdEndpoints = 113,
};

}  // namespace wasabi::membership

#endif  // LIBMEMBERSHIP_APPLICATION_KIND_H_
