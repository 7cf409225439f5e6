// The message in which hosts tell each other how many requests are at which
// endpoint.

#ifndef LIBFORWARDING_LOAD_REPORT_H_
#define LIBFORWARDING_LOAD_REPORT_H_

#include <cstdint>
#include <string>
#include <string_view>
#include <vector>

#include "LibForwarding/endpoint_counts.h"
#include "absl/status/statusor.h"

namespace wasabi::forwarding {

// The counts of one host, of a data centre, or of the fleet. They may be split
// over several datagrams.
struct LoadReport {
  // Increases with every report of a host. An older report that arrives late is
  // dropped.
  uint64_t sequence = 0;
  // Number of hosts of the sender's data centre whose requests are counted.
  uint32_t hosts = 1;
  // This is part `part` (from 0) of `parts`.
  uint32_t part = 0;
  uint32_t parts = 1;
  EndpointCounts requests = {};

  friend bool operator==(const LoadReport&, const LoadReport&) = default;
};

// Encodes a whole report in parts of at most `max_bytes`, with four bytes per
// endpoint. The encoding is compact because reports are sent several times a
// second.
std::vector<std::string> EncodeLoadReport(const LoadReport& report,
                                          size_t max_bytes);
// Decodes one part. Errors: kMalformedMessage.
absl::StatusOr<LoadReport> DecodeLoadReport(std::string_view bytes);

// Returns the number of bytes of an encoded part with `endpoints` endpoints.
size_t LoadReportBytes(size_t endpoints);

}  // namespace wasabi::forwarding

#endif  // LIBFORWARDING_LOAD_REPORT_H_
