// Collects the event rings of processes over HTTP.

#ifndef UTILITIES_TIMELINE_EVENT_COLLECTOR_H_
#define UTILITIES_TIMELINE_EVENT_COLLECTOR_H_

#include <map>
#include <string>
#include <vector>

#include "LibCore/event_loop.h"
#include "LibCore/socket_address.h"
#include "LibHttp/client.h"
#include "Utilities/Timeline/time_line.h"

namespace wasabi::timeline {

// The result of one collection.
struct Collection {
  std::vector<ProcessEvent> events;
  // Processes that did not answer, with the reason.
  std::map<std::string, std::string> failures;
};

// Asks all `processes` at once and runs `loop` until each has answered or
// failed.
Collection CollectEvents(core::EventLoop* loop,
                         http::Client* client,
                         const std::vector<core::SocketAddress>& processes);

}  // namespace wasabi::timeline

#endif  // UTILITIES_TIMELINE_EVENT_COLLECTOR_H_
