// Collects the events of several processes over HTTP.

#ifndef UTILITIES_TIMELINE_EVENT_COLLECTOR_H_
#define UTILITIES_TIMELINE_EVENT_COLLECTOR_H_

#include <map>
#include <string>
#include <vector>

#include "LibCore/event_loop.h"
#include "LibCore/socket_address.h"
#include "LibHttp/client.h"
#include "Utilities/Timeline/timeline.h"

namespace wasabi::timeline {

// The events of all processes that responded, and the failures of the others.
struct Collection {
  std::vector<ProcessEvent> events;
  // The error message for each process without a valid response, by address.
  std::map<std::string, std::string> failures;
};

// Requests the events of all `processes` concurrently and runs `loop` until
// each has responded or failed. A request times out after 5 seconds.
Collection CollectEvents(core::EventLoop* loop,
                         http::Client* client,
                         const std::vector<core::SocketAddress>& processes);

}  // namespace wasabi::timeline

#endif  // UTILITIES_TIMELINE_EVENT_COLLECTOR_H_
