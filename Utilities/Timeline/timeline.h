// Parses, merges and formats the events of several processes.

#ifndef UTILITIES_TIMELINE_TIMELINE_H_
#define UTILITIES_TIMELINE_TIMELINE_H_

#include <string>
#include <vector>

#include "LibCore/event.h"
#include "absl/status/statusor.h"

namespace wasabi::timeline {

// An event and the name of the process that recorded it.
struct ProcessEvent {
  std::string process;
  core::Event event;
};

// Parses the response body of GET /v1/events. Error: kMalformedMessage if it is
// not a JSON object with an "events" array.
absl::StatusOr<std::vector<ProcessEvent>> ParseEvents(const std::string& body);

// Sorts by Lamport time, then wall time, process and sequence. An event that
// may have caused another one comes first even if the clocks of the hosts
// disagree.
std::vector<ProcessEvent> Merge(std::vector<ProcessEvent> events);

// Returns the events of one request in the given order.
std::vector<ProcessEvent> FilterByRequest(
    const std::vector<ProcessEvent>& events,
    const std::string& request_id);

// Formats one line per event: milliseconds since the earliest wall time,
// process, event code, event name, request id and detail.
std::string ToText(const std::vector<ProcessEvent>& events);

// Formats the events as Trace Event JSON, which browser trace viewers read: one
// instant event per event, and one span per request and process.
std::string ToTrace(const std::vector<ProcessEvent>& events);

}  // namespace wasabi::timeline

#endif  // UTILITIES_TIMELINE_TIMELINE_H_
