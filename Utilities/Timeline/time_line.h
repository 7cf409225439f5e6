// Merges the events of many processes into one order.

#ifndef UTILITIES_TIMELINE_TIME_LINE_H_
#define UTILITIES_TIMELINE_TIME_LINE_H_

#include <string>
#include <vector>

#include "LibCore/event.h"
#include "absl/status/statusor.h"

namespace wasabi::timeline {

// An event and the process that recorded it.
struct ProcessEvent {
  std::string process;
  core::Event event;
};

// Parses the body of GET /v1/events; kMalformedMessage.
absl::StatusOr<std::vector<ProcessEvent>> ParseEvents(const std::string& body);

// Sorts by Lamport time, then wall time, then process: an event that may have
// caused another one stands before it, whatever the hosts' clocks say.
std::vector<ProcessEvent> Merge(std::vector<ProcessEvent> events);

// The events of one request, in order.
std::vector<ProcessEvent> OfRequest(const std::vector<ProcessEvent>& events,
                                    const std::string& request_id);

// One line an event: milliseconds since the first event, process, number,
// name, request and detail.
std::string ToText(const std::vector<ProcessEvent>& events);

// The events in the JSON format of browsers' trace viewers: an instant event
// each, and a span for every request at every process.
std::string ToTrace(const std::vector<ProcessEvent>& events);

}  // namespace wasabi::timeline

#endif  // UTILITIES_TIMELINE_TIME_LINE_H_
